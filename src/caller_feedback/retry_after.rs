//! When a rejected caller should retry on this server.
//!
//! A caller that retries at once finds the server as full as before, and costs it another read. The
//! caller is therefore asked to wait until the queued work has run, or for the longest time that
//! callers honour while the server is degraded or draining. The rule applies to every rejection, if
//! answers can carry a retry-after. The cost is that a caller which waits may lose the time that
//! its request has left.
//!
//! The longest time that callers honour may be shorter than the shortest useful wait. Callers are
//! then asked to wait for the longest time that they honour.

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// The input of the retry-after.
pub(crate) struct RetryAfterInput {
    /// The longest wait that callers honour; `None` where answers cannot carry one.
    pub(crate) max_retry_after: Option<Duration>,
    /// The shortest useful wait.
    pub(crate) min_retry_after: Duration,
    /// Another server would do better.
    pub(crate) is_degraded: bool,
    /// Seconds of work of all queued requests.
    pub(crate) queued_work_seconds: f64,
    /// Seconds on a core for a second of work.
    pub(crate) slowdown: f64,
    /// Requests that may be on the cores at once.
    pub(crate) running_limit: f64,
}

impl RetryAfterInput {
    /// How long the caller should wait; `None` where answers cannot carry a wait.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let max_retry_after = self.max_retry_after?;
        if self.is_degraded {
            return Some(max_retry_after);
        }
        let queue_run_time =
            duration_from_seconds(self.queued_work_seconds * self.slowdown / self.running_limit);
        Some(
            queue_run_time
                .max(self.min_retry_after)
                .min(max_retry_after),
        )
    }
}
