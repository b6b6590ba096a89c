//! Whether a request makes an optional call.
//!
//! One draw per request against the dimmer decides for all its optional calls: one skipped call
//! degrades the answer already, and the others would be made for nothing. A call that is drawn is
//! still skipped where the budget is spent, where an attempt before it failed for good, or where it
//! is not likely to return in time. Otherwise requests would wait at the dependency past their
//! objectives. The price is a degraded answer.

use super::call_timeout::optional_call_seconds;

/// A request that has reached an optional call.
pub(crate) struct OptionalCall {
    /// The draw against the dimmer is in favour of its optional calls.
    pub(crate) is_drawn: bool,
    /// The budget allows the call now.
    pub(crate) has_budget: bool,
    /// It is the first attempt, or the one before may be repeated.
    pub(crate) may_attempt: bool,
    /// Seconds until the latency objective of the request.
    pub(crate) seconds_to_objective: f64,
    /// Mean seconds of recent calls; 0 where there was none.
    pub(crate) mean_call_seconds: f64,
}

impl OptionalCall {
    /// Whether the call is made; otherwise it is skipped.
    pub(crate) fn should_make(&self) -> bool {
        let is_in_time = optional_call_seconds(self.seconds_to_objective) >= self.mean_call_seconds;
        self.is_drawn && self.has_budget && self.may_attempt && is_in_time
    }
}
