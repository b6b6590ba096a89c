//! Whether a dependency call that failed is retried.
//!
//! A call whose reply was lost may have had its effect, so it is retried only if the request is
//! idempotent or the call certainly never ran. An optional call is retried only if its connection
//! failed or its reply was lost: a dependency that rejects calls is full, and retries would keep it
//! full (a retry storm). A missing reply counts as lost only while missing replies are rare,
//! because slow replies look the same. The cost is that an optional call which failed for another
//! reason is skipped at once.

use crate::event::Outcome;

/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 3;

/// Fraction of recent calls without a reply up to which missing replies count as lost and not as
/// slow.
const MAX_LOST_CALL_FRACTION: f64 = 0.1;

/// A call that failed.
pub(crate) struct FailedCall {
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// Attempts of this call so far, this one included.
    pub(crate) attempts: u32,
    /// Its request may run any number of times.
    pub(crate) is_idempotent: bool,
    /// It may be skipped.
    pub(crate) is_optional: bool,
    /// Calls without a reply are rare.
    pub(crate) lost_calls_are_rare: bool,
}

/// Whether a call may be attempted again after this many attempts.
pub(crate) fn may_attempt_again(attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS
}

/// Whether calls without a reply are rare.
pub(crate) fn lost_calls_are_rare(calls: f64, calls_timed_out: f64) -> bool {
    calls_timed_out <= MAX_LOST_CALL_FRACTION * calls
}

impl FailedCall {
    /// Whether it may be attempted again if it is mandatory.
    fn may_retry(&self) -> bool {
        let may_run_again = self.outcome.never_ran() || self.is_idempotent;
        may_run_again && may_attempt_again(self.attempts)
    }

    /// Whether its request continues, and retries the call or skips it. Otherwise the request
    /// fails.
    pub(crate) fn may_request_continue(&self) -> bool {
        self.is_optional || self.may_retry()
    }

    /// Whether it may be attempted again if it is optional.
    pub(crate) fn may_retry_optional(&self) -> bool {
        let reply_was_lost = self.outcome == Outcome::TimedOut && self.lost_calls_are_rare;
        self.may_retry() && (self.outcome.is_connection_failure() || reply_was_lost)
    }
}
