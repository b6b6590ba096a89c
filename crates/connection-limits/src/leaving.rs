//! The connections that are about to leave their places: the host was told to close them a moment
//! ago.
//!
//! While others wait in the backlog, one connection is evicted for each of them, and those that are
//! about to leave count among the evicted. One that does not leave, because its client does not
//! read what was written, counts for [`LEAVE_TIME`] only: nobody else would be evicted for as long
//! as it stays. The price is a further eviction for a connection that leaves later than that.

use std::collections::VecDeque;
use std::time::Duration;

use crate::event::ConnectionId;

/// How long a connection may take to leave its place.
const LEAVE_TIME: Duration = Duration::from_millis(5);

/// The connections that are about to leave, in the order in which the host was told.
#[derive(Default)]
pub(crate) struct LeavingConnections {
    queue: VecDeque<(ConnectionId, Duration)>,
}

impl LeavingConnections {
    /// The host is told to close a connection.
    pub(crate) fn add(&mut self, id: ConnectionId, now: Duration) {
        self.forget_late(now);
        self.queue.push_back((id, now));
    }

    /// A connection has left.
    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.queue.retain(|(leaving, _)| *leaving != id);
    }

    /// How many are about to leave.
    pub(crate) fn count(&mut self, now: Duration) -> usize {
        self.forget_late(now);
        self.queue.len()
    }

    fn forget_late(&mut self, now: Duration) {
        let is_late = |at: Duration| now.saturating_sub(at) >= LEAVE_TIME;
        while self.queue.front().is_some_and(|(_, at)| is_late(*at)) {
            self.queue.pop_front();
        }
    }
}
