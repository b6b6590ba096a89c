//! How long connections wait in the backlog of a full server before connections in use yield to
//! them.
//!
//! The grace periods of eviction protect a connection that is in use, and a connection with a
//! request in flight is never evicted. Clients that use their connections without a pause would
//! keep all descriptors, and the requests of other clients would be lost in the backlog. So if no
//! connection is accepted for [`MAX_BACKLOG_WAIT`], the connections that were open for the longest
//! time are asked to close, one for each that waits. Each of them still gets the answers to its
//! requests, and closes at its first moment without a request in flight. As the oldest yield, every
//! client gets a turn.
//!
//! The guard does not hold against a client that ignores the request to close and always has a
//! request in flight: its connection stays open. The trade-off is that clients on more connections
//! than there are descriptors have to connect again from time to time.

use std::time::Duration;

/// How long connections wait in the backlog, without one that is accepted, before the oldest
/// connections are asked to close.
const MAX_BACKLOG_WAIT: Duration = Duration::from_millis(200);

/// The wait of the connections in the backlog.
#[derive(Default)]
pub(crate) struct BacklogWait {
    /// The start of the wait, at which no connection was accepted any more; `None` if no connection
    /// waits.
    since: Option<Duration>,
}

impl BacklogWait {
    /// Records that a connection was accepted or the backlog is empty.
    pub(crate) fn end(&mut self) {
        self.since = None;
    }

    /// Records that connections wait and none can be accepted. Returns whether they have waited for
    /// too long; the next wait then begins.
    pub(crate) fn is_too_long(&mut self, now: Duration) -> bool {
        let since = *self.since.get_or_insert(now);
        let is_too_long = now.saturating_sub(since) > MAX_BACKLOG_WAIT;
        if is_too_long {
            self.since = Some(now);
        }
        is_too_long
    }
}
