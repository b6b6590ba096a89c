//! The settings as the file spells them. The operators' keys are spelled here and nowhere else.

use serde::Deserialize;

/// The effect of a class's requests.
#[derive(Clone, Copy, Deserialize, PartialEq)]
pub(crate) enum Effect {
    #[serde(rename = "pure")]
    None,
    #[serde(rename = "token")]
    Keyed,
    #[serde(rename = "side_effect")]
    Unkeyed,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DependencyKind {
    Shared,
    Tier,
    Silent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Halt {
    Silent,
    Drop,
    Pause,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Say {
    Level,
    Credit,
    Weight,
    Silent,
}

#[derive(Deserialize)]
pub(crate) struct Class {
    pub(crate) name: String,
    pub(crate) objective: f64,
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    pub(crate) deadline: f64,
    pub(crate) worth: f64,
    pub(crate) effect: Effect,
    #[serde(default)]
    pub(crate) memory_span: f64,
    /// Whether its requests write; the effect of a write is not pure.
    #[serde(default)]
    pub(crate) write: bool,
}

#[derive(Deserialize)]
pub(crate) struct FamilyInfo {
    pub(crate) below: DependencyKind,
    pub(crate) blowup: f64,
    #[serde(default)]
    pub(crate) callers: u32,
    #[serde(default)]
    pub(crate) calls_out: f64,
    #[serde(default)]
    pub(crate) class_calls: Vec<bool>,
    #[serde(default)]
    pub(crate) class_skip_worth: Vec<f64>,
    #[serde(default)]
    pub(crate) cold: bool,
    pub(crate) cores: u32,
    #[serde(default)]
    pub(crate) entry_kb: f64,
    pub(crate) halt: Halt,
    pub(crate) idle: f64,
    pub(crate) mem_limit_kb: f64,
    pub(crate) say: Say,
    #[serde(default)]
    pub(crate) own_stats: Vec<String>,
    #[serde(default)]
    pub(crate) share_span: f64,
    #[serde(default)]
    pub(crate) stays_for: f64,
    /// Whether the endpoint list follows the health that a server reports.
    #[serde(default)]
    pub(crate) list_follows: bool,
    /// Whether callers send cancellations.
    #[serde(default)]
    pub(crate) cancel_seen: bool,
}

/// The behaviour of clients.
#[derive(Deserialize)]
pub(crate) struct Clients {
    #[serde(default = "retries_are_marked")]
    pub(crate) marks_retry: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            marks_retry: retries_are_marked(),
        }
    }
}

/// The default where the key is absent: the deployment marks retries.
fn retries_are_marked() -> bool {
    true
}

#[derive(Deserialize)]
pub(crate) struct Limits {
    #[serde(default)]
    pub(crate) max_retry_after: f64,
    #[serde(default)]
    pub(crate) retry_after: bool,
}

#[derive(Deserialize)]
pub(crate) struct Rules {
    pub(crate) cold_from: f64,
    pub(crate) drain_grace: f64,
    pub(crate) fall: f64,
    pub(crate) fall_multiple: f64,
    pub(crate) grace_to_answer: f64,
    pub(crate) warm_up: f64,
}

#[derive(Deserialize)]
pub(crate) struct Tenant {
    pub(crate) name: String,
    pub(crate) allowance_per_s: f64,
}

/// The settings of a deployment, parsed and not checked.
#[derive(Deserialize)]
pub struct Settings {
    pub(crate) classes: Vec<Class>,
    #[serde(default)]
    pub(crate) clients: Clients,
    pub(crate) family_info: FamilyInfo,
    /// The number of backends of this tier on the endpoint list when this one started.
    #[serde(default)]
    pub(crate) fleet_size: u32,
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) over_share_worth: Option<f64>,
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) tenants: Vec<Tenant>,
}
