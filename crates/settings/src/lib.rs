//! The settings that a server is told at its start, as JSON, and what the module calls them. Both hosts read
//! them here.

use std::collections::HashMap;
use std::time::Duration;

use serde::Deserialize;
use tulipgap::{
    CallerFeedback, Cancellation, Config, Dependency, Gauges, HandlerConfig, Idempotency, TenantConfig,
};

#[derive(Deserialize)]
struct Class {
    name: String,
    objective: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline: f64,
    worth: f64,
    effect: WireEffect,
    #[serde(default)]
    memory_span: f64,
    /// Its reqs write: they have an effect, so that they may never be pure.
    #[serde(default)]
    write: bool,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireEffect {
    Pure,
    Token,
    SideEffect,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireBelow {
    Shared,
    Tier,
    Silent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireHalt {
    Silent,
    Drop,
    Pause,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireSay {
    Level,
    Credit,
    Weight,
    Silent,
}

#[derive(Deserialize)]
struct FamilyInfo {
    below: WireBelow,
    blowup: f64,
    #[serde(default)]
    callers: u32,
    #[serde(default)]
    calls_out: f64,
    #[serde(default)]
    class_calls: Vec<bool>,
    #[serde(default)]
    class_skip_worth: Vec<f64>,
    #[serde(default)]
    cold: bool,
    cores: u32,
    #[serde(default)]
    entry_kb: f64,
    halt: WireHalt,
    idle: f64,
    mem_limit_kb: f64,
    say: WireSay,
    #[serde(default)]
    own_stats: Vec<String>,
    #[serde(default)]
    share_span: f64,
    #[serde(default)]
    stays_for: f64,
    /// The list of servers follows the health that a server tells.
    #[serde(default)]
    list_follows: bool,
    /// Callers say when they give up.
    #[serde(default)]
    cancel_seen: bool,
}

/// What clients do.
#[derive(Deserialize)]
struct Clients {
    #[serde(default = "marked")]
    marks_retry: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { marks_retry: marked() }
    }
}

/// Settings that do not tell are taken for those of a deployment that marks retries, as before they were read.
fn marked() -> bool {
    true
}

#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    retry_after: bool,
}

#[derive(Deserialize)]
struct Rules {
    cold_from: f64,
    drain_grace: f64,
    fall: f64,
    fall_multiple: f64,
    grace_to_answer: f64,
    warm_up: f64,
}

#[derive(Deserialize)]
struct WireTenant {
    name: String,
    allowance_per_s: f64,
}

/// The settings as they are written.
#[derive(Deserialize)]
pub struct Facts {
    classes: Vec<Class>,
    #[serde(default)]
    clients: Clients,
    family_info: FamilyInfo,
    /// Backends of this tier on the list when this one started.
    #[serde(default)]
    fleet_size: u32,
    limits: Limits,
    #[serde(default)]
    over_share_worth: Option<f64>,
    rules: Rules,
    #[serde(default)]
    tenants: Vec<WireTenant>,
}

/// The names of handlers and tenants, to their indices, and those of the gauges in their order.
#[derive(Clone, Default)]
pub struct Names {
    pub handlers: HashMap<String, usize>,
    pub tenants: HashMap<String, usize>,
    pub gauges: Vec<String>,
    /// Callers say when nobody waits for an answer any more.
    pub withdrawals: bool,
}

/// A time given in milliseconds.
pub fn millis(name: &str, value: f64) -> Result<Duration, String> {
    Duration::try_from_secs_f64(value / 1e3).map_err(|_| format!("{name}: {value} is no time"))
}

/// A figure from 0 to 1.
fn share(name: &str, value: f64) -> Result<f64, String> {
    if (0.0..=1.0).contains(&value) { Ok(value) } else { Err(format!("{name}: {value} is not from 0 to 1")) }
}

/// The gauge of that name, if the module reads it.
pub fn gauge<'a>(gauges: &'a mut Gauges, name: &str) -> Option<&'a mut Option<f64>> {
    match name {
        "core_use" => Some(&mut gauges.cores_busy),
        "on_cores" => Some(&mut gauges.runnable),
        "links" => Some(&mut gauges.open_connections),
        _ => None,
    }
}

/// How callers learn to send less to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Steering {
    /// By the free value on its answers.
    Advice,
    /// By its health, which the list follows.
    List,
    /// By either, as at recife-matching.
    Both,
    /// By neither: only the wait on what is turned away is left, as at verhaegen-remote and zh-pipeline-fleet.
    Waits,
}

/// Which ways of steering the settings ask for. A write that may run again is refused by the key at fault, so
/// that half a move is not taken for a whole one.
pub fn steering(facts: &Facts) -> Result<Steering, String> {
    let info = &facts.family_info;
    let pure_write =
        facts.classes.iter().position(|class| class.write && matches!(class.effect, WireEffect::Pure));
    if let Some(at) = pure_write {
        return Err(format!("classes[{at}].write: a write has an effect, so it may not be \"pure\""));
    }
    Ok(match (info.list_follows, info.say) {
        (true, WireSay::Silent) => Steering::List,
        (true, _) => Steering::Both,
        (false, WireSay::Silent) => Steering::Waits,
        (false, _) => Steering::Advice,
    })
}

/// Reads the JSON text of the settings; says what is wrong with it otherwise.
pub fn read(text: &str) -> Result<(Config, Names), String> {
    understand(&serde_json::from_str(text).map_err(|error| error.to_string())?)
}

/// Turns the settings into what the module is given.
pub fn understand(facts: &Facts) -> Result<(Config, Names), String> {
    let info = &facts.family_info;
    let names = Names {
        handlers: facts.classes.iter().enumerate().map(|(at, class)| (class.name.clone(), at)).collect(),
        tenants: facts.tenants.iter().enumerate().map(|(at, tenant)| (tenant.name.clone(), at)).collect(),
        gauges: info.own_stats.clone(),
        withdrawals: info.cancel_seen,
    };
    for (name, length) in
        [("class_calls", info.class_calls.len()), ("class_skip_worth", info.class_skip_worth.len())]
    {
        if length != 0 && length != facts.classes.len() {
            return Err(format!(
                "family_info.{name} has {length} entries for {} classes",
                facts.classes.len()
            ));
        }
    }
    let handlers = facts
        .classes
        .iter()
        .enumerate()
        .map(|(at, class)| handler(at, class, info))
        .collect::<Result<_, _>>()?;
    let config = Config {
        handlers,
        tenants: facts.tenants.iter().map(|t| TenantConfig { rate_quota_per_s: t.allowance_per_s }).collect(),
        over_quota_weight: share("over_share_worth", facts.over_share_worth.unwrap_or(1.0))?,
        cores: info.cores,
        memory_kb: info.mem_limit_kb,
        running_memory_factor: info.blowup,
        key_kb: info.entry_kb,
        starts_cold: info.cold,
        cold_speed: facts.rules.cold_from,
        warm_up: millis("rules.warm_up", facts.rules.warm_up)?,
        max_concurrency_per_core: facts.rules.fall_multiple,
        concurrency_window: millis("rules.fall", facts.rules.fall)?,
        response_slack: millis("rules.grace_to_answer", facts.rules.grace_to_answer)?,
        drain_grace: millis("rules.drain_grace", facts.rules.drain_grace)?,
        dependency: match info.below {
            WireBelow::Silent => Dependency::None,
            WireBelow::Tier => Dependency::Tier,
            WireBelow::Shared => Dependency::Shared {
                share: info.calls_out,
                window: millis("family_info.share_span", info.share_span)?,
                linger: millis("family_info.stays_for", info.stays_for)?,
            },
        },
        cancellation: match info.halt {
            WireHalt::Silent => Cancellation::Unsupported,
            WireHalt::Drop => Cancellation::DiscardsProgress,
            WireHalt::Pause => Cancellation::KeepsProgress,
        },
        feedback: match info.say {
            WireSay::Level => CallerFeedback::PriorityThreshold,
            WireSay::Credit => CallerFeedback::ConcurrencyCredit,
            WireSay::Weight => CallerFeedback::TrafficWeight,
            WireSay::Silent => CallerFeedback::None,
        },
        max_retry_after: match facts.limits.retry_after {
            true => Some(millis("limits.max_retry_after", facts.limits.max_retry_after)?),
            false => None,
        },
        servers: facts.fleet_size,
        callers: info.callers,
        marks_retries: facts.clients.marks_retry,
        idle_timeout: millis("family_info.idle", info.idle)?,
    };
    Ok((config, names))
}

fn handler(at: usize, class: &Class, info: &FamilyInfo) -> Result<HandlerConfig, String> {
    Ok(HandlerConfig {
        latency_objective: millis("classes.objective", class.objective)?,
        objective_stretch: class.aim_stretch,
        client_timeout: millis("classes.deadline", class.deadline)?,
        priority_weight: class.worth,
        idempotency: match class.effect {
            WireEffect::Pure => Idempotency::Idempotent,
            WireEffect::Token => Idempotency::Keyed,
            WireEffect::SideEffect => Idempotency::NonIdempotent,
        },
        key_retention: millis("classes.memory_span", class.memory_span)?,
        calls_dependency: info
            .class_calls
            .get(at)
            .copied()
            .unwrap_or(!matches!(info.below, WireBelow::Silent)),
        degraded_weight: info.class_skip_worth.get(at).copied().unwrap_or(0.0),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Settings in the shape of regina-main or nairobi-calc, with what is asked for spliced in.
    fn facts(info: &str, class: &str) -> Facts {
        let text = format!(
            r#"{{"classes":[{{"name":"save","objective":2200.0,"deadline":5600.0,"worth":5.0,"effect":"token",
            "memory_span":16743.0,"write":true}},{{"name":"page","objective":1300.0,"deadline":3200.0,"worth":1.0{class}}}],
            "family_info":{{"below":"tier","blowup":8.0,"cores":2,"halt":"pause","idle":30000.0,
            "mem_limit_kb":9000.0{info}}},"limits":{{"retry_after":true,"max_retry_after":1000.0}},
            "rules":{{"cold_from":0.22,"drain_grace":2500.0,"fall":2000.0,"fall_multiple":8.0,
            "grace_to_answer":80.0,"warm_up":16000.0}}}}"#
        );
        serde_json::from_str(&text).expect("settings of the right form")
    }

    #[test]
    fn the_shape_in_force_follows_from_the_settings_alone() {
        let old = facts(r#","say":"weight""#, r#","effect":"pure""#);
        assert_eq!(steering(&old), Ok(Steering::Advice));
        let new = facts(r#","say":"silent","list_follows":true"#, r#","effect":"side_effect","write":true"#);
        assert_eq!(steering(&new), Ok(Steering::List));
        let (config, _) = understand(&new).unwrap();
        assert_eq!(config.feedback, CallerFeedback::None);
        assert_eq!(
            (config.handlers[0].idempotency, config.handlers[1].idempotency),
            (Idempotency::Keyed, Idempotency::NonIdempotent)
        );
        assert_eq!(config.handlers[0].key_retention, Duration::from_millis(16_743));
    }

    #[test]
    fn retries_count_as_marked_unless_the_settings_say_otherwise() {
        let mut told = facts(r#","say":"silent""#, r#","effect":"pure""#);
        assert!(understand(&told).unwrap().0.marks_retries);
        told.clients = serde_json::from_str(r#"{"marks_retry":false}"#).unwrap();
        assert!(!understand(&told).unwrap().0.marks_retries);
        assert_eq!(understand(&told).unwrap().0.servers, 0, "how many there are is not told");
        told.fleet_size = 350;
        assert_eq!(understand(&told).unwrap().0.servers, 350);
    }

    /// A value beside a list that follows health was refused at start as half a move, and recife-matching has both.
    #[test]
    fn the_ways_of_steering_are_told_apart_and_a_write_that_may_run_again_refused() {
        let both = facts(r#","say":"weight","list_follows":true"#, r#","effect":"pure""#);
        assert_eq!(steering(&both), Ok(Steering::Both));
        let neither = facts(r#","say":"silent""#, r#","effect":"pure""#);
        assert_eq!(steering(&neither), Ok(Steering::Waits));
        let pure_write = facts(r#","say":"silent""#, r#","effect":"pure","write":true"#);
        assert!(steering(&pure_write).is_err_and(|problem| problem.starts_with("classes[1].write: ")));
    }
}
