//! The ids of the last requests.
//!
//! An id is new with every attempt, so a request whose id was received before is malformed. Without
//! this guard, a caller that sends one request again and again while it is rejected would distort
//! what the controller measures. The price is the memory for the ids that are remembered; a
//! duplicate that is older than those is not recognized.

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
