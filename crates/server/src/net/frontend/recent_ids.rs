//! The ids of recent requests of this process, over all connections.
//!
//! Every attempt has a new id, so a request with a repeated id is malformed.
//!
//! Failure: a caller sends one request repeatedly while it is rejected. The controller would count
//! each copy as an arrival. The rejected fraction and the time that requests are unread, from which
//! the controller derives the feedback to all callers, would then depend on that one caller.
//!
//! Protection: a request with a repeated id is answered with an exception before the controller
//! sees it.
//!
//! Cost: the memory for the ids. A client that repeats an id by mistake is treated as one that
//! violates the protocol: it loses its reputation with the limiter, and its connection closes after
//! more than `MAX_MALFORMED_MESSAGES` malformed messages. A repeated id is not detected if it is
//! older than the remembered ids, or if the request was rejected for lack of memory, because memory
//! is checked first.

use std::collections::{HashSet, VecDeque};

/// The number of remembered ids.
const MAX_RECENT_IDS: usize = 8192;

/// The last ids, at most `MAX_RECENT_IDS`.
#[derive(Default)]
pub(super) struct RecentIds {
    known: HashSet<u64>,
    /// The same ids, oldest first.
    order: VecDeque<u64>,
}

impl RecentIds {
    /// Adds an id, and returns whether it is new.
    pub(super) fn insert(&mut self, id: u64) -> bool {
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
