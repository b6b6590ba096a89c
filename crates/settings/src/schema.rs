//! The settings of the file. The fields have the names of the controller's configuration;
//! attributes keep the keys of the file.

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
    #[serde(rename = "silent")]
    None,
}

/// How a server can stop a run.
#[derive(Clone, Copy, Deserialize)]
pub(crate) enum CancellationKind {
    #[serde(rename = "silent")]
    Unsupported,
    #[serde(rename = "drop")]
    DiscardsProgress,
    #[serde(rename = "pause")]
    KeepsProgress,
}

/// How callers interpret the feedback value.
#[derive(Clone, Copy, Deserialize)]
pub(crate) enum FeedbackKind {
    #[serde(rename = "level")]
    PriorityThreshold,
    #[serde(rename = "credit")]
    ConcurrencyCredit,
    #[serde(rename = "weight")]
    TrafficWeight,
    #[serde(rename = "silent")]
    None,
}

#[derive(Deserialize)]
pub(crate) struct Class {
    pub(crate) name: String,
    #[serde(rename = "objective")]
    pub(crate) latency_objective_ms: f64,
    #[serde(default, rename = "aim_stretch")]
    pub(crate) objective_stretch: f64,
    #[serde(rename = "deadline")]
    pub(crate) client_timeout_ms: f64,
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    pub(crate) effect: Effect,
    #[serde(default, rename = "memory_span")]
    pub(crate) key_retention_ms: f64,
    /// Whether the requests of the class write. The effect of a write must not be `pure`.
    #[serde(default, rename = "write")]
    pub(crate) is_write: bool,
}

#[derive(Deserialize)]
pub(crate) struct ServerInfo {
    #[serde(rename = "below")]
    pub(crate) dependency: DependencyKind,
    #[serde(rename = "blowup")]
    pub(crate) running_memory_factor: f64,
    #[serde(default)]
    pub(crate) callers: u32,
    #[serde(default, rename = "calls_out")]
    pub(crate) dependency_share: f64,
    #[serde(default, rename = "class_calls")]
    pub(crate) class_calls_dependency: Vec<bool>,
    #[serde(default, rename = "class_skip_worth")]
    pub(crate) class_degraded_weights: Vec<f64>,
    #[serde(default, rename = "cold")]
    pub(crate) starts_cold: bool,
    pub(crate) cores: u32,
    #[serde(default, rename = "entry_kb")]
    pub(crate) key_kb: f64,
    #[serde(rename = "halt")]
    pub(crate) cancellation: CancellationKind,
    #[serde(rename = "idle")]
    pub(crate) idle_timeout_ms: f64,
    #[serde(rename = "mem_limit_kb")]
    pub(crate) memory_kb: f64,
    #[serde(rename = "say")]
    pub(crate) feedback: FeedbackKind,
    #[serde(default, rename = "own_stats")]
    pub(crate) gauge_names: Vec<String>,
    #[serde(default, rename = "share_span")]
    pub(crate) dependency_window_ms: f64,
    #[serde(default, rename = "stays_for")]
    pub(crate) dependency_linger_ms: f64,
    /// Whether the endpoint list follows the health that a server reports.
    #[serde(default, rename = "list_follows")]
    pub(crate) endpoint_list_follows_health: bool,
    /// Whether callers send cancellations.
    #[serde(default, rename = "cancel_seen")]
    pub(crate) callers_cancel: bool,
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

/// The default if the key is absent: clients mark retries.
fn retries_are_marked() -> bool {
    true
}

#[derive(Deserialize)]
pub(crate) struct Limits {
    #[serde(default, rename = "max_retry_after")]
    pub(crate) max_retry_after_ms: f64,
    #[serde(default, rename = "retry_after")]
    pub(crate) sends_retry_after: bool,
}

#[derive(Deserialize)]
pub(crate) struct Rules {
    #[serde(rename = "cold_from")]
    pub(crate) cold_speed: f64,
    #[serde(rename = "drain_grace")]
    pub(crate) drain_grace_ms: f64,
    #[serde(rename = "fall")]
    pub(crate) concurrency_window_ms: f64,
    #[serde(rename = "fall_multiple")]
    pub(crate) max_concurrency_per_core: f64,
    #[serde(rename = "grace_to_answer")]
    pub(crate) response_slack_ms: f64,
    #[serde(rename = "warm_up")]
    pub(crate) warm_up_ms: f64,
}

#[derive(Deserialize)]
pub(crate) struct Tenant {
    pub(crate) name: String,
    #[serde(rename = "allowance_per_s")]
    pub(crate) rate_quota_per_s: f64,
}

/// The settings of a deployment, parsed but not validated.
#[derive(Deserialize)]
pub struct Settings {
    pub(crate) classes: Vec<Class>,
    #[serde(default)]
    pub(crate) clients: Clients,
    pub(crate) family_info: ServerInfo,
    /// The number of backends of this tier on the endpoint list when this one started.
    #[serde(default)]
    pub(crate) fleet_size: u32,
    pub(crate) limits: Limits,
    #[serde(default, rename = "over_share_worth")]
    pub(crate) over_quota_weight: Option<f64>,
    pub(crate) rules: Rules,
    #[serde(default)]
    pub(crate) tenants: Vec<Tenant>,
}
