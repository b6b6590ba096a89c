//! What the controller keeps of a request, a handler and a tenant. No decision is taken here.

use std::time::Duration;

use crate::config::{Config, Dependency, HandlerConfig, Idempotency};
use crate::event::HandlerIndex;

/// What decisions need to know of a handler.
pub(crate) struct HandlerProfile {
    pub(crate) latency_objective: Duration,
    pub(crate) objective_stretch: f64,
    pub(crate) client_timeout: Duration,
    pub(crate) idempotency: Idempotency,
    pub(crate) key_retention: Duration,
    /// Its calls may be skipped.
    pub(crate) calls_are_optional: bool,
    pub(crate) makes_calls: bool,
    /// The rank of its priority weight, within and beyond a tenant's quota; higher ranks go first.
    pub(crate) level: usize,
    pub(crate) over_quota_level: usize,
    /// The work of a request that brings no estimate, learnt from runs.
    pub(crate) learnt_work: f64,
    /// Calls that one of its runs makes, learnt from runs.
    pub(crate) calls_per_run: f64,
}

impl HandlerProfile {
    /// A profile with nothing learnt yet: `default_work` stands in for the learnt work.
    fn new(handler: &HandlerConfig, config: &Config, weights: &[f64], default_work: f64) -> Self {
        let level = |weight: f64| weights.partition_point(|&other| other < weight);
        HandlerProfile {
            latency_objective: handler.latency_objective,
            objective_stretch: handler.objective_stretch,
            client_timeout: handler.client_timeout,
            idempotency: handler.idempotency,
            key_retention: handler.key_retention,
            calls_are_optional: handler.degraded_weight > 0.0,
            makes_calls: handler.calls_dependency && config.dependency != Dependency::None,
            level: level(handler.priority_weight),
            over_quota_level: level(handler.priority_weight * config.over_quota_weight),
            learnt_work: default_work,
            calls_per_run: 1.0,
        }
    }
}

/// The profiles of all handlers, and the number of priority levels. A level is the rank of a
/// priority weight among all of them, within and beyond a tenant's quota.
pub(crate) fn handler_profiles(config: &Config, default_work: f64) -> (Vec<HandlerProfile>, usize) {
    let mut weights: Vec<f64> = config
        .handlers
        .iter()
        .map(|handler| handler.priority_weight)
        .collect();
    weights.extend(
        config
            .handlers
            .iter()
            .map(|handler| handler.priority_weight * config.over_quota_weight),
    );
    weights.sort_by(f64::total_cmp);
    weights.dedup();
    let profile = |handler| HandlerProfile::new(handler, config, &weights, default_work);
    (config.handlers.iter().map(profile).collect(), weights.len())
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    #[default]
    Queued,
    /// It waits for the result of the request that it duplicates.
    Coalesced,
    Running,
    /// It has left the cores and waits until its call is made.
    AwaitingCall,
    Calling,
}

/// A request from its arrival to its release. Times are since the start of the process.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) handler: HandlerIndex,
    pub(crate) level: usize,
    pub(crate) queued_kb: f64,
    /// Expected seconds on an average core.
    pub(crate) work: f64,
    /// The work was not stated by the caller but learnt from its handler's runs.
    pub(crate) work_is_learnt: bool,
    /// It belongs to the queue of long requests.
    pub(crate) is_long: bool,
    pub(crate) is_over_quota: bool,
    pub(crate) is_retry: bool,
    pub(crate) arrived_at: Duration,
    /// An answer until then meets the latency objective.
    pub(crate) objective_at: Duration,
    pub(crate) deadline: Duration,
    /// Seconds that the process had stood still before it arrived.
    pub(crate) stalled_before: f64,
    pub(crate) stage: Stage,
    /// Seconds on a core in earlier stretches, and the start (awake time) of the present one.
    pub(crate) core_time: f64,
    pub(crate) running_since: f64,
    pub(crate) call_started_at: Duration,
    pub(crate) call_times_out_at: Duration,
    /// Attempts of the present call.
    pub(crate) call_attempts: u32,
    /// Attempts of all its calls.
    pub(crate) calls_made: u32,
    /// The present call may be attempted again although it is optional.
    pub(crate) may_retry_call: bool,
    /// Whether it makes its optional calls, once that is drawn.
    pub(crate) makes_optional_calls: Option<bool>,
    /// Its caller has its final answer, or is gone.
    pub(crate) is_answered: bool,
    /// When its idempotency key is forgotten, where it has one.
    pub(crate) key_expires_at: Option<Duration>,
}

/// A tenant's quota on this server: filled by its fraction of every admitted request, emptied by
/// its own. It counts fractions of what is admitted here and not a rate, because one server may see
/// far more of a tenant than the others do.
pub(crate) struct TokenBucket {
    pub(crate) fraction: f64,
    pub(crate) tokens: f64,
}
