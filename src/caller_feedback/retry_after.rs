//! When a rejected caller should come back to this server.
//!
//! A caller that comes back at once meets a server as full as before, and costs another reading.
//! So it is asked to wait until what is queued now has run, and as long as callers honour while
//! the server is degraded or draining. The rule binds on every rejection, where callers can be
//! told. The price: a caller that waits for its turn may lose the time that its request has left.
//!
//! What callers honour may be shorter than the shortest wait that is worth asking for. They are
//! then asked for what they honour.

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// What the wait follows from.
pub(crate) struct RetryAfterInput {
    /// The longest wait that callers honour; `None` where they cannot be told.
    pub(crate) max_retry_after: Option<Duration>,
    /// The shortest wait.
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
    /// How long the caller should wait, where it can be told.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let longest = self.max_retry_after?;
        if self.is_degraded {
            return Some(longest);
        }
        let until_done =
            duration_from_seconds(self.queued_work_seconds * self.slowdown / self.running_limit);
        Some(until_done.max(self.min_retry_after).min(longest))
    }
}
