//! The arrival of a request: the controller checks it, and queues, coalesces or rejects it.

use super::Controller;
use super::request_end::RetryAdvice;
use crate::action::{Action, Reason};
use crate::admission::idempotency::{coalescing_failure, key_expiry, must_coalesce};
use crate::admission::{QUOTA_WINDOW, RecentArrivals};
use crate::brownout::LevelArrivals;
use crate::event::{Arrival, RequestIndex};
use crate::handlers::{HandlerProfile, is_long};
use crate::health::is_shed_for_failures;
use crate::metrics::Metric;
use crate::queue::{ProbeRequest, RequestForecast, ServerForecast};
use crate::requests::{ArrivalTimes, Deadlines, Request, Stage};

impl Controller {
    pub(super) fn request_arrived(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let index = arrival.request;
        let Some(request) = self.new_request(arrival) else {
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
            return self.finish_early(index, RetryAdvice::OtherServer, Reason::Draining, out);
        }
        if let Some(reason) = self.rejection_reason(index) {
            self.metrics.add(Metric::Rejected, 1.0);
            let advice = self.retry_advice(index);
            return self.finish_early(index, advice, reason, out);
        }
        self.quotas.charge(arrival.tenant);
        if is_keyed {
            self.remember_key(index, out);
        }
        self.queue.insert(index, &self.requests);
    }

    /// The state that the controller keeps for an arrival; `None` if its handler does not exist.
    fn new_request(&self, arrival: &Arrival) -> Option<Request> {
        let now = self.clock.now();
        let profile = self.handlers.get(arrival.handler)?;
        let work_is_learnt = arrival.estimated_work.is_none();
        let work_seconds = profile.expected_work_seconds(arrival.estimated_work);
        let times = ArrivalTimes {
            now,
            arrived_at: now.saturating_sub(arrival.age),
            client_wait: arrival.client_wait,
        };
        let deadlines = Deadlines::new(profile, &times, work_seconds);
        let recent_arrivals = RecentArrivals {
            requests: self.metrics.sum_over(Metric::Arrived, QUOTA_WINDOW),
            retries: self.metrics.sum_over(Metric::Retries, QUOTA_WINDOW),
            age: now,
        };
        let is_over_quota = self.quotas.is_over_quota(arrival.tenant, &recent_arrivals);
        let stalled_since_arrival = self.clock.stalled_seconds_since(times.arrived_at);
        Some(Request {
            handler: arrival.handler,
            level: if is_over_quota {
                profile.over_quota_level
            } else {
                profile.level
            },
            queued_kb: self.memory.countable_kb(arrival.queued_kb),
            work_seconds,
            work_is_learnt,
            is_long: is_long(
                work_seconds,
                work_is_learnt,
                self.metrics.mean_work_seconds(),
            ),
            is_over_quota,
            is_retry: arrival.is_retry,
            arrived_at: times.arrived_at,
            objective_at: deadlines.objective_at,
            deadline: deadlines.deadline,
            stalled_before_seconds: self.clock.stalled_seconds() - stalled_since_arrival,
            ..Request::default()
        })
    }

    fn record_arrival(&mut self, arrival: &Arrival, request: &Request) {
        // Load does not cause stalls of the process, so stalled time must not affect the control
        // loops.
        let stalled_seconds = self.clock.stalled_seconds_since(request.arrived_at);
        let unread_seconds = arrival.age.as_secs_f64() - stalled_seconds;
        self.metrics.add(Metric::Arrived, 1.0);
        self.metrics.add(Metric::ArrivedWork, request.work_seconds);
        self.metrics.count_if(Metric::Retries, request.is_retry);
        self.metrics.add(Metric::ArrivedAtLevel(request.level), 1.0);
        self.metrics.add(Metric::UnreadTime, unread_seconds);
    }

    fn coalesce(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        self.requests[request].stage = Stage::Coalesced;
        let is_terminating = self.drain.is_terminating(self.clock.now());
        match coalescing_failure(is_terminating, self.memory.is_exceeded()) {
            Some(reason) => {
                self.finish_early(request, RetryAdvice::NoOtherServer, reason, out);
            }
            None => out.push(Action::Coalesce { request }),
        }
    }

    /// Why a request is rejected on arrival; `None` if it is not. A probe is rejected for memory
    /// alone.
    fn rejection_reason(&mut self, index: RequestIndex) -> Option<Reason> {
        let failure_fraction = self.high_failure_fraction();
        let is_shed_for_failures = is_shed_for_failures(failure_fraction, &mut self.rng);
        let level = self.requests[index].level;
        let is_keyed = self.handler_of(&self.requests[index]).is_keyed();
        let reason = if !self.memory.has_room_to_queue(is_keyed) {
            return Some(Reason::MemoryLimit);
        } else if is_shed_for_failures {
            Reason::HighFailureRate
        } else if !self.passes_admission_control(level) {
            Reason::AdmissionControl
        } else if !self.is_predicted_in_time(index) {
            Reason::PredictedLate
        } else {
            return None;
        };
        (!self.is_probe(index)).then_some(reason)
    }

    fn passes_admission_control(&mut self, level: usize) -> bool {
        if !self.brownout.admitted_fraction().is_cut() {
            return true;
        }
        let arrivals = LevelArrivals {
            own: self.metrics.arrivals_at(level..level + 1),
            higher: self.metrics.arrivals_at(level + 1..self.priority_levels),
            all: self.metrics.arrivals_at(0..self.priority_levels),
        };
        let uniform_sample = self.rng.f64();
        self.brownout
            .admitted_fraction()
            .admits(&arrivals, uniform_sample)
    }

    fn is_predicted_in_time(&self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let work_seconds_ahead = self.queue.work_seconds_ahead_of(request, &self.requests);
        let forecast = self.request_forecast(request, work_seconds_ahead);
        self.server_forecast().may_admit(&forecast)
    }

    /// Whether a request starts at once as a probe of an idle server.
    fn is_probe(&self, index: RequestIndex) -> bool {
        let is_idle = self.requests.started() == 0 && self.queue.is_empty();
        let request = &self.requests[index];
        let probe = ProbeRequest {
            age_seconds: (self.clock.now() - request.arrived_at).as_secs_f64(),
            work_seconds: request.work_seconds,
            work_is_learnt: request.work_is_learnt,
            objective: request.objective_at.saturating_sub(request.arrived_at),
            handler_objective: self.handler_of(request).latency_objective,
        };
        is_idle
            && self.idle_probe.is_due(self.clock.awake_seconds())
            && self.has_core_for_next()
            && probe.meets_objective()
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

    pub(super) fn server_forecast(&self) -> ServerForecast {
        ServerForecast {
            running: self.requests.running() as f64,
            running_limit: self.running_limit.value(),
            slowdown: self.slowdown.measured(),
            mean_work_seconds: self.metrics.mean_work_seconds(),
            mean_call_seconds: self.metrics.mean_call_seconds(),
            is_degraded: self.is_degraded(),
        }
    }

    pub(super) fn request_forecast(
        &self,
        request: &Request,
        work_seconds_ahead: f64,
    ) -> RequestForecast {
        let higher_levels = request.level + 1..self.priority_levels;
        RequestForecast {
            age_seconds: (self.clock.now() - request.arrived_at).as_secs_f64(),
            work_seconds: request.work_seconds,
            work_seconds_ahead,
            higher_arrivals: self.metrics.arrivals_at(higher_levels),
            expected_calls: self
                .handler_of(request)
                .expected_calls(self.brownout.dimmer()),
            objective: request.objective_at.saturating_sub(request.arrived_at),
        }
    }

    pub(super) fn handler_of(&self, request: &Request) -> &HandlerProfile {
        &self.handlers[request.handler]
    }
}
