//! Whether a request that has reached its dependency call makes it, skips it or waits.
//!
//! One random sample per request, compared with the dimmer, decides on all its optional calls: one
//! skipped call already degrades the answer, and further calls would be wasted. A call that the
//! sample allows is still skipped if the budget is spent, if an earlier attempt failed and may not
//! be retried, or if the call is not likely to return in time. Otherwise requests would wait for
//! the dependency past their objectives. The cost is a degraded answer. A mandatory call is never
//! skipped: it waits until the budget allows it.

use super::call_timeout::optional_call_seconds;

/// A request that has reached its call.
pub(crate) struct PendingCall {
    /// The call may be skipped.
    pub(crate) is_optional: bool,
    /// The random sample is below the dimmer, so the request makes its optional calls.
    pub(crate) is_sampled: bool,
    /// The budget allows the call now.
    pub(crate) has_budget: bool,
    /// It is the first attempt, or an optional call that may be attempted again.
    pub(crate) may_attempt: bool,
    /// Seconds until the latency objective of the request.
    pub(crate) seconds_to_objective: f64,
    /// Mean seconds of recent calls; 0 where there was none.
    pub(crate) mean_call_seconds: f64,
}

/// The decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallDecision {
    /// The call is made.
    Make,
    /// The request continues without the call.
    Skip,
    /// The request waits until the budget allows the call.
    Wait,
}

impl PendingCall {
    /// Decides on the call at this moment.
    pub(crate) fn decide(&self) -> CallDecision {
        if self.is_optional && !self.is_worth_making() {
            CallDecision::Skip
        } else if self.has_budget {
            CallDecision::Make
        } else {
            CallDecision::Wait
        }
    }

    fn is_worth_making(&self) -> bool {
        let is_in_time = optional_call_seconds(self.seconds_to_objective) >= self.mean_call_seconds;
        self.is_sampled && self.has_budget && self.may_attempt && is_in_time
    }
}
