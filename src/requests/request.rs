//! The state that the controller keeps for each request.

use std::time::Duration;

use crate::event::HandlerIndex;

/// The stage of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// It waits for a core.
    #[default]
    Queued,
    /// It waits for the result of the request that it duplicates.
    Coalesced,
    /// It is on a core.
    Running,
    /// It was started, and is neither on a core nor at its dependency: it waits for its call to be
    /// made, or ends during the present event, or was answered and is kept until the host reports
    /// its end.
    OffCore,
    /// Its dependency call is in flight.
    Calling,
}

/// A request from its arrival to its release. Times are since the start of the process.
#[derive(Default)]
pub(crate) struct Request {
    /// The handler that serves it.
    pub(crate) handler: HandlerIndex,
    /// Its priority level; higher levels start first.
    pub(crate) level: usize,
    /// Kilobytes that it takes while it is queued.
    pub(crate) queued_kb: f64,
    /// Expected seconds on an average core.
    pub(crate) work_seconds: f64,
    /// The caller gave no estimate, so the work is that learnt from its handler's runs.
    pub(crate) work_is_learnt: bool,
    /// It belongs to the queue of long requests.
    pub(crate) is_long: bool,
    /// Its tenant is over its quota.
    pub(crate) is_over_quota: bool,
    /// It is marked as a retry or a hedged request.
    pub(crate) is_retry: bool,
    /// When it reached the machine.
    pub(crate) arrived_at: Duration,
    /// An answer by then meets its latency objective.
    pub(crate) objective_at: Duration,
    /// Its client waits until then.
    pub(crate) deadline: Duration,
    /// Seconds for which the process had been stalled before the request arrived.
    pub(crate) stalled_before_seconds: f64,
    /// Its stage.
    pub(crate) stage: Stage,
    /// Seconds on a core before it last entered one.
    pub(crate) core_seconds: f64,
    /// When it last entered a core, in seconds for which the process was not stalled.
    pub(crate) on_core_since_seconds: f64,
    /// When its present or last call was made.
    pub(crate) call_started_at: Duration,
    /// When that call times out.
    pub(crate) call_times_out_at: Duration,
    /// Attempts of the present call.
    pub(crate) call_attempts: u32,
    /// Attempts of all its calls.
    pub(crate) calls_made: u32,
    /// The present call may be attempted again although it is optional.
    pub(crate) may_retry_call: bool,
    /// Whether it makes its optional calls; `None` until this has been sampled.
    pub(crate) makes_optional_calls: Option<bool>,
    /// Its caller has its final answer, or is gone.
    pub(crate) is_answered: bool,
    /// When its idempotency key is forgotten, where it has one.
    pub(crate) key_expires_at: Option<Duration>,
}

impl Request {
    /// Seconds on a core so far, while the request runs; `awake_seconds` are the seconds for which
    /// the process was not stalled so far.
    pub(crate) fn core_seconds_so_far(&self, awake_seconds: f64) -> f64 {
        self.core_seconds + awake_seconds - self.on_core_since_seconds
    }

    /// Seconds that are left until its latency objective; 0 where that has passed.
    pub(crate) fn seconds_to_objective(&self, now: Duration) -> f64 {
        self.objective_at.saturating_sub(now).as_secs_f64()
    }
}
