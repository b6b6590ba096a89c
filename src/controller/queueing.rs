//! The queue: two lists by length of work, each by priority and then by latency objective, and
//! predictions of when a queued request will be answered.

use std::cmp::Reverse;
use std::time::Duration;

use super::Controller;
use super::tuning::{
    IDLE_CORE_TOLERANCE, IDLE_CORE_TOLERANCE_DEGRADED, MAX_OVERTAKING_FRACTION,
    OVERTAKING_FRACTION, QUEUED_OBJECTIVE_FRACTION,
};
use crate::action::{Action, Reason};
use crate::event::RequestIndex;
use crate::metrics::MEASUREMENT_WINDOW;
use crate::request::Request;

/// The order of the queue: falling priority levels, then the earlier latency objective.
pub(super) fn queue_order(request: &Request) -> (Reverse<usize>, Duration) {
    (Reverse(request.level), request.objective_at)
}

impl Controller {
    /// Puts a request into its queue, behind what has a higher priority or an earlier objective.
    pub(super) fn enqueue(&mut self, index: RequestIndex) {
        let request = &self.requests[index];
        let (order, is_long) = (queue_order(request), request.is_long);
        let queue = if is_long {
            &self.requests.long_queue
        } else {
            &self.requests.short_queue
        };
        let goes_before = |&other: &RequestIndex| {
            self.requests
                .get(other)
                .is_none_or(|other| queue_order(other) <= order)
        };
        let position = queue.partition_point(goes_before);
        let queue = if is_long {
            &mut self.requests.long_queue
        } else {
            &mut self.requests.short_queue
        };
        queue.insert(position, index);
    }

    /// The queued work that goes before a request.
    pub(super) fn work_ahead_of(&self, index: RequestIndex) -> f64 {
        let order = queue_order(&self.requests[index]);
        self.requests
            .queued()
            .filter(|other| queue_order(other) <= order)
            .map(|other| other.work)
            .sum()
    }

    /// Whether a request behind that much work is likely to be answered within `fraction` of its
    /// objective.
    pub(super) fn meets_objective(
        &self,
        index: RequestIndex,
        work_ahead: f64,
        fraction: f64,
    ) -> bool {
        let request = &self.requests[index];
        let has_free_core =
            (self.requests.running as f64) < self.running_limit.value() && work_ahead == 0.0;
        let wait = if has_free_core {
            0.0
        } else {
            // Arrivals of higher priority go first too while it waits.
            let work = (work_ahead + self.metrics.mean_work_seconds()) * self.slowdown.measured();
            work / self.running_limit.value() / (1.0 - self.overtaking_fraction(request.level))
        };
        let profile = &self.handlers[request.handler];
        let calling =
            self.metrics.mean_call_seconds() * profile.expected_calls(self.brownout.dimmer());
        let age = (self.clock.now() - request.arrived_at).as_secs_f64();
        let response_time = age + wait + request.work * self.slowdown.measured() + calling;
        // On a free core an attempt delays nobody, so an estimate that may be wrong gets some
        // tolerance.
        let is_degraded = self.is_degraded();
        let tolerance = if is_degraded {
            IDLE_CORE_TOLERANCE_DEGRADED
        } else {
            IDLE_CORE_TOLERANCE
        };
        let fraction = if wait == 0.0 {
            fraction * tolerance
        } else {
            fraction
        };
        let objective = request
            .objective_at
            .saturating_sub(request.arrived_at)
            .as_secs_f64();
        response_time <= objective * fraction
    }

    /// The fraction of the running limit that work of higher levels takes as it arrives.
    fn overtaking_fraction(&self, level: usize) -> f64 {
        let higher = self.metrics.arrivals_at(level + 1..self.priority_levels);
        let work = higher * self.metrics.mean_work_seconds() / MEASUREMENT_WINDOW.as_secs_f64();
        let fraction =
            OVERTAKING_FRACTION * work * self.slowdown.measured() / self.running_limit.value();
        fraction.min(MAX_OVERTAKING_FRACTION)
    }

    /// Rejects queued requests that are not likely to be in time any more, behind what has arrived
    /// since.
    pub(super) fn reject_overtaken(&mut self, out: &mut Vec<Action>) {
        let mut queued: Vec<RequestIndex> = self.requests.queued_indices().collect();
        queued.sort_by_key(|&request| queue_order(&self.requests[request]));
        let mut work_ahead = 0.0;
        for request in queued {
            if self.meets_objective(request, work_ahead, QUEUED_OBJECTIVE_FRACTION) {
                work_ahead += self.requests[request].work;
            } else {
                let retry_other_server = self.should_retry_other_server(request);
                self.finish_early(request, retry_other_server, Reason::Overtaken, out);
            }
        }
    }
}
