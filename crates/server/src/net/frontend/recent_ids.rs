//! The ids of recent requests of this process, over all connections.
//!
//! Every attempt has a new id, so a request with a repeated id is malformed.
//!
//! Failure: a caller sends one request repeatedly while it is rejected. The controller would count
//! each copy as an arrival. The rejected fraction and the time that requests are unread, from which
//! the controller derives the feedback to all callers, would then depend on that one caller. And a
//! request that has run would run again if it came again with its id, for example from a client
//! that has lost its connection.
//!
//! Protection: a request with a repeated id is answered with an exception before the controller
//! sees it. The ids of started requests are remembered apart from all others, so the ids of rejected
//! requests, which one client can send without a limit, do not displace them.
//!
//! Cost: the memory for the ids. A client that repeats an id by mistake is treated as one that
//! violates the protocol: it loses its reputation with the limiter, and its connection closes after
//! more than `MAX_MALFORMED_MESSAGES` malformed messages. A repeated id is not detected if it is
//! older than the remembered ids, or if the request was rejected for lack of memory, because memory
//! is checked first.

use std::collections::{HashSet, VecDeque};

/// The number of remembered ids of requests that arrived.
const MAX_ARRIVED_IDS: usize = 8192;
/// The number of remembered ids of requests that were started. They are to outlast the longest
/// client timeout.
const MAX_STARTED_IDS: usize = 16_384;

/// The ids of the last requests that arrived and of the last that were started.
pub(super) struct RecentIds {
    arrived: LastIds,
    started: LastIds,
}

impl RecentIds {
    /// Adds the id of a request that has arrived, and returns whether it is new.
    pub(super) fn insert(&mut self, id: u64) -> bool {
        !self.started.contains(id) && self.arrived.insert(id)
    }

    /// Remembers that a request was started.
    pub(super) fn record_start(&mut self, id: u64) {
        self.started.insert(id);
    }
}

impl Default for RecentIds {
    fn default() -> Self {
        RecentIds {
            arrived: LastIds::new(MAX_ARRIVED_IDS),
            started: LastIds::new(MAX_STARTED_IDS),
        }
    }
}

/// A bounded set of ids, which forgets the oldest one for a new one.
struct LastIds {
    known: HashSet<u64>,
    /// The same ids, oldest first.
    order: VecDeque<u64>,
    max_ids: usize,
}

impl LastIds {
    fn new(max_ids: usize) -> Self {
        LastIds {
            known: HashSet::new(),
            order: VecDeque::new(),
            max_ids,
        }
    }

    fn contains(&self, id: u64) -> bool {
        self.known.contains(&id)
    }

    /// Adds an id, and returns whether it is new.
    fn insert(&mut self, id: u64) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        if self.order.len() >= self.max_ids
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.order.push_back(id);
        true
    }
}

#[cfg(test)]
#[path = "recent_ids_tests.rs"]
mod tests;
