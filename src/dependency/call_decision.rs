//! Whether a request that has reached its dependency call makes it, skips it or waits.
//!
//! One draw per request against the dimmer decides for all its optional calls: one skipped call
//! degrades the answer already, and the others would be made for nothing. A call that is drawn is
//! still skipped where the budget is spent, where an attempt before it failed for good, or where it
//! is not likely to return in time. Otherwise requests would wait at the dependency past their
//! objectives. The price is a degraded answer. A mandatory call is never skipped: it waits until
//! the budget allows it.

use super::call_timeout::optional_call_seconds;

/// A request that has reached its call.
pub(crate) struct PendingCall {
    /// The call may be skipped.
    pub(crate) is_optional: bool,
    /// The draw against the dimmer is in favour of its optional calls.
    pub(crate) is_drawn: bool,
    /// The budget allows the call now.
    pub(crate) has_budget: bool,
    /// It is the first attempt, or an optional call that may be attempted again.
    pub(crate) may_attempt: bool,
    /// Seconds until the latency objective of the request.
    pub(crate) seconds_to_objective: f64,
    /// Mean seconds of recent calls; 0 where there was none.
    pub(crate) mean_call_seconds: f64,
}

/// What becomes of a call now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallDecision {
    /// It is made.
    Make,
    /// The request goes on without it.
    Skip,
    /// The request waits until the budget allows it.
    Wait,
}

impl PendingCall {
    /// What becomes of the call now.
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
        self.is_drawn && self.has_budget && self.may_attempt && is_in_time
    }
}
