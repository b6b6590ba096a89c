//! What the controller keeps of a request. No decision is taken here.

use std::time::Duration;

use crate::event::HandlerIndex;

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
