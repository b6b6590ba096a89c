//! Admission: the way of a request from its arrival to the queue.

use super::Controller;
use super::tuning::ADMISSION_OBJECTIVE_FRACTION;
use crate::action::{Action, Reason};
use crate::admission::idempotency::{key_expiry, must_coalesce};
use crate::admission::{QUOTA_WINDOW, RecentArrivals};
use crate::brownout::LevelArrivals;
use crate::clock::seconds;
use crate::event::{Arrival, RequestIndex};
use crate::handlers::is_long;
use crate::metrics::Metric;
use crate::request::{Request, Stage};

impl Controller {
    /// The ordinary path of a request.
    pub(super) fn request_arrived(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let index = arrival.request;
        let Some(request) = self.describe(arrival) else {
            return;
        };
        if self.requests.get(index).is_some() {
            return;
        }
        self.record_arrival(arrival, &request);
        self.memory.add_queued(request.queued_kb);
        let arrived_at = request.arrived_at;
        self.requests.insert(index, request);
        let handler = &self.handlers[arrival.handler];
        let is_keyed = handler.is_keyed();

        if must_coalesce(arrival.is_duplicate, handler) {
            return self.coalesce(index, out);
        }
        if !self.drain.allows_run(arrived_at, self.clock.now()) {
            return self.finish_early(index, true, Reason::Draining, out);
        }
        if let Some(reason) = self.rejection_reason(index) {
            self.metrics.add(Metric::Rejected, 1.0);
            let retry_other_server = self.should_retry_other_server(index);
            return self.finish_early(index, retry_other_server, reason, out);
        }
        self.quotas.charge(arrival.tenant);
        if is_keyed {
            self.remember_key(index, out);
        }
        self.enqueue(index);
    }

    /// What the controller keeps of an arrival; `None` for a handler that does not exist.
    fn describe(&self, arrival: &Arrival) -> Option<Request> {
        let now = self.clock.now();
        let profile = self.handlers.get(arrival.handler)?;
        // Where requests state no work, it is learnt from their handler's runs; otherwise all would
        // look alike.
        let work_is_learnt = arrival.estimated_work.is_none();
        let work = arrival
            .estimated_work
            .map_or(profile.learnt_work_seconds, |work| work.as_secs_f64());
        let arrived_at = now.saturating_sub(arrival.age);
        let deadline = match arrival.client_wait {
            Some(wait) => now.saturating_add(wait),
            None => arrived_at.saturating_add(profile.client_timeout),
        };
        let objective = profile.latency_objective;
        let stretch = seconds(profile.objective_stretch * work);
        let objective_at = arrived_at
            .saturating_add(objective)
            .saturating_add(stretch)
            .min(deadline);
        let recent_arrivals = RecentArrivals {
            requests: self.metrics.sum_over(Metric::Arrived, QUOTA_WINDOW),
            retries: self.metrics.sum_over(Metric::Retries, QUOTA_WINDOW),
            age: now,
        };
        let is_over_quota = self.quotas.is_over_quota(arrival.tenant, &recent_arrivals);
        Some(Request {
            handler: arrival.handler,
            level: if is_over_quota {
                profile.over_quota_level
            } else {
                profile.level
            },
            queued_kb: self.memory.countable_kb(arrival.queued_kb),
            work,
            work_is_learnt,
            is_long: is_long(work, work_is_learnt, self.metrics.mean_work_seconds()),
            is_over_quota,
            is_retry: arrival.is_retry,
            arrived_at,
            objective_at,
            deadline,
            stalled_before: self.clock.stalled_seconds()
                - self.clock.stalled_seconds_since(arrived_at),
            ..Request::default()
        })
    }

    fn coalesce(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        self.requests[request].stage = Stage::Coalesced;
        if self.drain.is_terminating(self.clock.now()) {
            self.finish_early(request, false, Reason::Terminating, out);
        } else if self.memory.is_exceeded() {
            self.finish_early(request, false, Reason::MemoryLimit, out);
        } else {
            out.push(Action::Coalesce { request });
        }
    }

    fn rejection_reason(&mut self, index: RequestIndex) -> Option<Reason> {
        let failing = self.high_failure_fraction();
        let drawn_for_failures = failing > 0.0 && self.rng.f64() < failing;
        let level = self.requests[index].level;
        let is_keyed = self.handlers[self.requests[index].handler].is_keyed();
        if !self.memory.has_room_to_queue(is_keyed) {
            Some(Reason::MemoryLimit)
        } else if drawn_for_failures {
            Some(Reason::HighFailureRate)
        } else if !self.passes_admission_control(level) {
            Some(Reason::AdmissionControl)
        } else {
            let work_ahead = self.work_ahead_of(index);
            let is_in_time = self.meets_objective(index, work_ahead, ADMISSION_OBJECTIVE_FRACTION);
            (!is_in_time).then_some(Reason::PredictedLate)
        }
    }

    /// Whether the brownout loops admit a request of this level.
    fn passes_admission_control(&mut self, level: usize) -> bool {
        if !self.brownout.admitted_fraction().is_cut() {
            return true;
        }
        let arrivals = LevelArrivals {
            own: self.metrics.arrivals_at(level..level + 1),
            higher: self.metrics.arrivals_at(level + 1..self.priority_levels),
            all: self.metrics.arrivals_at(0..self.priority_levels),
        };
        let draw = self.rng.f64();
        self.brownout.admitted_fraction().admits(&arrivals, draw)
    }

    fn remember_key(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let now = self.clock.now();
        let entry = &mut self.requests[request];
        let retention = self.handlers[entry.handler].key_retention;
        let expires_at = key_expiry(entry.arrived_at, retention, now);
        entry.key_expires_at = Some(expires_at);
        self.memory.remember_key(expires_at);
        out.push(Action::RememberKey {
            request,
            retention: expires_at.saturating_sub(now),
        });
    }
}
