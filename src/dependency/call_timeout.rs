//! The timeout of a dependency call.
//!
//! A mandatory call may take until the deadline of its request. An optional call may take only a
//! part of the time until the latency objective, because the run must still end in time after it.
//!
//! Some replies never arrive, because the connection broke without notice or the dependency lost
//! the request. Waiting for the whole timeout would then cost the request its objective. An
//! optional call that may be retried is therefore abandoned after a multiple of the mean call time.
//! If more than a few calls get no reply, the dependency is slow and replies are not lost, so this
//! shorter timeout does not apply. The cost is that, if a few calls take far longer than most, they
//! are made twice.

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// Fraction of the time until the latency objective that an optional call may take.
const OPTIONAL_CALL_TIME_FRACTION: f64 = 0.5;

/// Multiple of the mean call time after which a reply counts as lost.
const LOST_REPLY_FACTOR: f64 = 8.0;

/// Minimum fraction of the time until the latency objective after which a reply counts as lost.
const MIN_LOST_REPLY_TIME_FRACTION: f64 = 0.15;

/// The input of the timeout.
pub(crate) struct CallTimeoutInput {
    /// Seconds until the latency objective of the request.
    pub(crate) seconds_to_objective: f64,
    /// The time until its deadline.
    pub(crate) time_to_deadline: Duration,
    /// The call may be skipped.
    pub(crate) is_optional: bool,
    /// The call may be attempted again if this attempt gets no reply.
    pub(crate) may_retry: bool,
    /// Mean seconds of recent calls; 0 where there was none.
    pub(crate) mean_call_seconds: f64,
    /// Calls without a reply are rare.
    pub(crate) lost_calls_are_rare: bool,
    /// Seconds that the budget allows for one call, if a share of the dependency is stated.
    pub(crate) max_call_seconds: Option<f64>,
}

/// Seconds that an optional call may take.
pub(super) fn optional_call_seconds(seconds_to_objective: f64) -> f64 {
    seconds_to_objective * OPTIONAL_CALL_TIME_FRACTION
}

impl CallTimeoutInput {
    /// The timeout of the call.
    pub(crate) fn timeout(&self) -> Duration {
        let mut timeout = if self.is_optional {
            duration_from_seconds(optional_call_seconds(self.seconds_to_objective))
        } else {
            self.time_to_deadline
        };
        let expects_reply = self.mean_call_seconds > 0.0 && self.lost_calls_are_rare;
        if self.is_optional && self.may_retry && expects_reply {
            let lost_after_seconds = (LOST_REPLY_FACTOR * self.mean_call_seconds)
                .max(MIN_LOST_REPLY_TIME_FRACTION * self.seconds_to_objective);
            timeout = timeout.min(duration_from_seconds(lost_after_seconds));
        }
        match self.max_call_seconds {
            Some(max_call_seconds) => timeout.min(duration_from_seconds(max_call_seconds)),
            None => timeout,
        }
    }
}
