//! The ids of the last requests that this process has read, over all connections.
//!
//! An id is new with every attempt, so a request whose id was received before is malformed. The
//! failure: a caller sends one request again and again while it is rejected. The controller would
//! count each as an arrival, and the rejected fraction and the time unread, by which it asks
//! callers for less traffic, would follow that one caller. The guard: a repeated id gets an
//! exception before the controller sees it.
//!
//! The price is the memory for the ids, and that a client which repeats an id by mistake is treated
//! as one that violates the protocol: it loses its reputation with the limiter, and its connection
//! closes after some malformed messages. A duplicate that is older than the remembered ids is not
//! recognized, and neither is one of a request that was rejected before for lack of memory, because
//! the memory is checked first.

use std::collections::{HashSet, VecDeque};

/// The number of ids that are remembered.
const MAX_RECENT_IDS: usize = 8192;

/// The last ids, at most `MAX_RECENT_IDS`.
#[derive(Default)]
pub(super) struct RecentIds {
    known: HashSet<u64>,
    /// The same ids, the oldest first.
    order: VecDeque<u64>,
}

impl RecentIds {
    /// Remembers an id, and returns whether it is new.
    pub(super) fn is_new(&mut self, id: u64) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        if self.order.len() >= MAX_RECENT_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.order.push_back(id);
        true
    }
}
