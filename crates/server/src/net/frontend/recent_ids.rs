//! Ids of requests that came before.

use std::collections::{HashSet, VecDeque};

/// The number of ids that are remembered.
const MAX_RECENT_IDS: usize = 8192;

/// The last ids. Each is new with every attempt, so one that comes again is no request: otherwise
/// whoever sends the same thing again as it is rejected would steer what is measured and waste what
/// is done for it.
#[derive(Default)]
pub(super) struct RecentIds {
    known: HashSet<u64>,
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
