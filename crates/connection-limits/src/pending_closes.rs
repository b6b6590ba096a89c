//! Pending closes: connections that the host was recently instructed to close and that are still
//! open.
//!
//! After the shutdown notice the limiter evicts one connection for each connection in the backlog,
//! and pending closes count as evictions. A connection whose client does not read the bytes written
//! to it stays open, so a close is pending for [`PENDING_CLOSE_TIMEOUT`] at most: otherwise such a
//! connection would prevent the eviction of another as long as it stays open. The trade-off is one
//! more eviction than necessary for a connection that closes later than that.

use std::collections::VecDeque;
use std::time::Duration;

use crate::event::ConnectionId;

/// The time for which a close that has not completed counts as an eviction.
const PENDING_CLOSE_TIMEOUT: Duration = Duration::from_millis(5);

/// Connections with a pending close, in the order of the close actions.
#[derive(Default)]
pub(crate) struct PendingCloses {
    queue: VecDeque<(ConnectionId, Duration)>,
}

impl PendingCloses {
    /// Records that the host is instructed to close a connection.
    pub(crate) fn add(&mut self, id: ConnectionId, now: Duration) {
        self.remove_expired(now);
        self.queue.push_back((id, now));
    }

    /// Records that a connection is closed.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.queue.retain(|(pending, _)| *pending != id);
    }

    /// The number of pending closes.
    pub(crate) fn count(&mut self, now: Duration) -> usize {
        self.remove_expired(now);
        self.queue.len()
    }

    fn remove_expired(&mut self, now: Duration) {
        let is_expired = |at: Duration| now.saturating_sub(at) >= PENDING_CLOSE_TIMEOUT;
        while self.queue.front().is_some_and(|(_, at)| is_expired(*at)) {
            self.queue.pop_front();
        }
    }
}
