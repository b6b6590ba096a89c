//! Admission: the way of a request from its arrival to the queue.

use std::time::Duration;

use super::Controller;
use super::tuning::{
    ADMISSION_OBJECTIVE_FRACTION, MAX_QUEUED_MEMORY_FRACTION, QUOTA_BURST, QUOTA_WINDOW,
};
use crate::action::{Action, Reason};
use crate::brownout::LevelArrivals;
use crate::clock::seconds;
use crate::event::{Arrival, RequestIndex, TenantIndex};
use crate::handlers::is_long;
use crate::metrics::{BUCKET_WIDTH, Metric};
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
        self.requests.insert(index, request);
        let handler = &self.handlers[arrival.handler];
        let (is_idempotent, is_keyed) = (handler.is_idempotent(), handler.is_keyed());

        // No effect twice: a duplicate of a keyed request is neither run nor rejected, as the first
        // may have run.
        if arrival.is_duplicate && !is_idempotent {
            return self.coalesce(index, out);
        }
        if self.arrived_too_late_to_run(index) {
            return self.finish_early(index, true, Reason::Draining, out);
        }
        if let Some(reason) = self.rejection_reason(index) {
            self.metrics.add(Metric::Rejected, 1.0);
            let retry_other_server = self.should_retry_other_server(index);
            return self.finish_early(index, retry_other_server, reason, out);
        }
        self.charge_quota(arrival.tenant);
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
        // What a tenant sends beyond its quota ranks below everything within one.
        let bucket = arrival
            .tenant
            .and_then(|tenant| self.quotas.buckets.get(tenant));
        let is_over_quota = bucket.is_some_and(|bucket| bucket.tokens < self.quota_threshold());
        Some(Request {
            handler: arrival.handler,
            level: if is_over_quota {
                profile.over_quota_level
            } else {
                profile.level
            },
            queued_kb: arrival.queued_kb.max(0.0).min(self.memory.limit_kb * 2.0),
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
        if self.is_terminating() {
            self.finish_early(request, false, Reason::Terminating, out);
        } else if self.memory.used_kb > self.memory.limit_kb {
            self.finish_early(request, false, Reason::MemoryLimit, out);
        } else {
            out.push(Action::Coalesce { request });
        }
    }

    fn rejection_reason(&mut self, index: RequestIndex) -> Option<Reason> {
        let failing = self.high_failure_fraction();
        let drawn_for_failures = failing > 0.0 && self.rng.f64() < failing;
        let level = self.requests[index].level;
        if !self.has_memory_for(index) {
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

    /// Whether the queue and the memory have room for a request that already counts, and for its
    /// key.
    fn has_memory_for(&self, request: RequestIndex) -> bool {
        let memory = &self.memory;
        let is_keyed = self.handlers[self.requests[request].handler].is_keyed();
        let key_kb = if is_keyed { memory.key_kb } else { 0.0 };
        let queue_has_room = memory.queued_kb <= memory.limit_kb * MAX_QUEUED_MEMORY_FRACTION;
        queue_has_room && memory.used_kb + key_kb <= memory.limit_kb
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

    /// The tokens under which a tenant is over its quota. While arrivals stay within what all
    /// tenants may send to one server, none is: buckets walk at random, and a low rank would reject
    /// what there is room for. Beyond that, as large a part is over quota as there is excess. It
    /// does harm where one tenant floods a fleet that the others leave idle.
    fn quota_threshold(&self) -> f64 {
        let Some(quota) = self.quotas.rate_per_s else {
            return 1.0;
        };
        let span = QUOTA_WINDOW
            .min(self.clock.now())
            .max(Duration::from_secs(1));
        let arrived = self.metrics.sum_over(Metric::Arrived, QUOTA_WINDOW);
        let first_attempts = arrived - self.metrics.sum_over(Metric::Retries, QUOTA_WINDOW);
        let rate = first_attempts / span.as_secs_f64();
        QUOTA_BURST * (1.0 - 2.0 * quota / rate.max(quota))
    }

    fn charge_quota(&mut self, sender: Option<TenantIndex>) {
        for (tenant, bucket) in self.quotas.buckets.iter_mut().enumerate() {
            let spent = f64::from(u8::from(sender == Some(tenant)));
            bucket.tokens =
                (bucket.tokens + bucket.fraction - spent).clamp(-QUOTA_BURST, QUOTA_BURST);
        }
    }

    fn remember_key(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let now = self.clock.now();
        let entry = &mut self.requests[request];
        let retention = self.handlers[entry.handler].key_retention;
        let expires_at = entry
            .arrived_at
            .saturating_add(retention)
            .saturating_add(BUCKET_WIDTH);
        entry.key_expires_at = Some(expires_at.max(now));
        self.memory.remember_key(expires_at.max(now));
        out.push(Action::RememberKey {
            request,
            retention: expires_at.saturating_sub(now),
        });
    }
}
