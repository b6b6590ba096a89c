//! Whether a dependency call that failed is attempted again.
//!
//! A call whose reply was lost may have had its effect, so it is made again only where the request
//! is idempotent or the call certainly never ran. An optional call is made again only where its
//! connection or its reply was lost: a dependency that rejects is full, and retries would keep it
//! full (a retry storm). A missing reply counts as lost only while that is rare, because replies
//! that are slow look the same. The price: an optional call that failed otherwise is skipped at
//! once.

use crate::event::Outcome;

/// Attempts of one call at most.
const MAX_ATTEMPTS: u32 = 3;

/// Fraction of recent calls without a reply up to which these count as lost and not as slow.
const MAX_LOST_CALL_FRACTION: f64 = 0.1;

/// A call that failed.
pub(crate) struct FailedCall {
    /// How it ended.
    pub(crate) outcome: Outcome,
    /// Attempts of this call so far, this one included.
    pub(crate) attempts: u32,
    /// Its request may run any number of times.
    pub(crate) is_idempotent: bool,
    /// Calls without a reply are the exception.
    pub(crate) lost_calls_are_rare: bool,
}

/// Whether a call may be attempted again after this many attempts.
pub(crate) fn may_attempt_again(attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS
}

/// Whether calls without a reply are the exception.
pub(crate) fn lost_calls_are_rare(calls: f64, calls_timed_out: f64) -> bool {
    calls_timed_out <= MAX_LOST_CALL_FRACTION * calls
}

impl FailedCall {
    /// Whether it may be attempted again if it is mandatory.
    pub(crate) fn may_retry(&self) -> bool {
        let may_run_again = self.outcome.never_ran() || self.is_idempotent;
        may_run_again && may_attempt_again(self.attempts)
    }

    /// Whether it may be attempted again if it is optional.
    pub(crate) fn may_retry_optional(&self) -> bool {
        let reply_was_lost = self.outcome == Outcome::TimedOut && self.lost_calls_are_rare;
        self.may_retry() && (self.outcome.is_connection_failure() || reply_was_lost)
    }
}
