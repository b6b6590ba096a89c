//! The order of the queue: which request starts next.
//!
//! Short and long requests are queued in two separate lists (size-based queues), because a few long
//! requests would otherwise take every core, and short requests would wait for them and miss their
//! objectives. In each list, higher priority levels come first, and within a level earlier latency
//! objectives come first (earliest deadline first), which answers most requests in time while the
//! server keeps up. The rule applies whenever more requests are queued than cores are free. While
//! long requests fill all cores but one, that core is left to queued short requests. The cost is
//! that a long request may wait although its objective is earlier.
//!
//! Compare: C. L. Liu, J. W. Layland, "Scheduling algorithms for multiprogramming in a
//! hard-real-time environment" (1973), for earliest deadline first; M. Harchol-Balter, M. Crovella,
//! C. Murta, "On choosing a task assignment policy for a distributed server system" (1999), for
//! queues by size.

use std::cmp::Reverse;
use std::time::Duration;

use crate::event::RequestIndex;
use crate::requests::{Request, RequestTable};

/// Cores that long requests leave to queued short requests.
const CORES_LEFT_TO_SHORT_REQUESTS: f64 = 1.0;

/// The sort key of the queue: higher priority levels first, then earlier latency objectives.
pub(crate) fn queue_order(request: &Request) -> (Reverse<usize>, Duration) {
    (Reverse(request.level), request.objective_at)
}

/// The two lists of queued requests, each in the order of the queue.
#[derive(Default)]
pub(crate) struct Queue {
    short: Vec<RequestIndex>,
    long: Vec<RequestIndex>,
}

/// The first request of each list, and the use of the cores.
pub(crate) struct QueueHeads<'a> {
    pub(crate) short: &'a Request,
    pub(crate) long: &'a Request,
    /// Long requests on the cores.
    pub(crate) long_running: usize,
    /// Requests that may run at once.
    pub(crate) running_limit: f64,
}

impl QueueHeads<'_> {
    /// Whether the short request starts before the long one.
    pub(crate) fn short_is_first(&self) -> bool {
        let long_limit = self.running_limit - CORES_LEFT_TO_SHORT_REQUESTS;
        let long_requests_fill_cores = self.long_running as f64 >= long_limit;
        long_requests_fill_cores || queue_order(self.short) <= queue_order(self.long)
    }
}

impl Queue {
    /// Whether no request is queued.
    pub(crate) fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// The indices of queued requests, short ones first.
    pub(crate) fn indices(&self) -> impl Iterator<Item = RequestIndex> {
        self.short.iter().chain(&self.long).copied()
    }

    /// Queued requests, short ones first.
    pub(crate) fn requests<'a>(
        &'a self,
        requests: &'a RequestTable,
    ) -> impl Iterator<Item = &'a Request> {
        self.indices().filter_map(|request| requests.get(request))
    }

    /// Inserts a request into its list, after the requests that precede it or have the same sort
    /// key.
    pub(crate) fn insert(&mut self, index: RequestIndex, requests: &RequestTable) {
        let request = &requests[index];
        let order = queue_order(request);
        let list = if request.is_long {
            &mut self.long
        } else {
            &mut self.short
        };
        let precedes = |&other: &RequestIndex| {
            requests
                .get(other)
                .is_none_or(|other| queue_order(other) <= order)
        };
        let position = list.partition_point(precedes);
        list.insert(position, index);
    }

    /// Removes a request from its list.
    pub(crate) fn remove(&mut self, request: RequestIndex) {
        self.short.retain(|&other| other != request);
        self.long.retain(|&other| other != request);
    }

    /// The first of the short and of the long requests, where both lists have one.
    pub(crate) fn heads(&self) -> Option<(RequestIndex, RequestIndex)> {
        Some((*self.short.first()?, *self.long.first()?))
    }

    /// All queued requests in the order of the queue; for equal sort keys, short requests come
    /// first.
    pub(crate) fn in_order(&self, requests: &RequestTable) -> Vec<RequestIndex> {
        let mut queued: Vec<RequestIndex> = self.indices().collect();
        queued.sort_by_key(|&request| queue_order(&requests[request]));
        queued
    }

    /// Seconds of queued work that precedes a request.
    pub(crate) fn work_seconds_ahead_of(&self, request: &Request, requests: &RequestTable) -> f64 {
        let order = queue_order(request);
        self.requests(requests)
            .filter(|other| queue_order(other) <= order)
            .map(|other| other.work_seconds)
            .sum()
    }

    /// Seconds of work of all queued requests.
    pub(crate) fn work_seconds(&self, requests: &RequestTable) -> f64 {
        self.requests(requests)
            .map(|request| request.work_seconds)
            .sum()
    }
}
