//! The way of a request: arrival, queue, run, dependency calls, answer and release.

use std::time::Duration;

use super::Controller;
use crate::action::{Action, Reason};
use crate::admission::idempotency::{coalescing_failure, key_expiry, must_coalesce};
use crate::admission::{QUOTA_WINDOW, RecentArrivals};
use crate::brownout::LevelArrivals;
use crate::caller_feedback::{FleetSample, RejectedRequest, RetryAfterInput, ServerState};
use crate::concurrency::CoreLimitInput;
use crate::dependency::{
    CallDecision, CallTimeoutInput, DependencyLoad, FailedCall, PendingCall, PlannedCall,
    lost_calls_are_rare, may_attempt_again,
};
use crate::early_answer::{OpenRequest, TickTimes, has_missed_objective, may_reject};
use crate::event::{Arrival, Outcome, RequestIndex};
use crate::handlers::{CompletedRun, HandlerProfile, is_long};
use crate::health::is_shed_for_failures;
use crate::metrics::{BUCKET_WIDTH, Metric};
use crate::queue::{QueueHeads, RequestForecast, ServerForecast};
use crate::requests::{ArrivalTimes, Deadlines, Request, Stage};

/// What a rejection tells the caller about other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetryAdvice {
    /// Another server is likely to admit the request.
    OtherServer,
    /// No attempt on another server is advised.
    NoOtherServer,
}

/// From arrival to the queue.
impl Controller {
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

    /// What the controller keeps of an arrival; `None` for a handler that does not exist.
    fn describe(&self, arrival: &Arrival) -> Option<Request> {
        let now = self.clock.now();
        let profile = self.handlers.get(arrival.handler)?;
        let work_is_learnt = arrival.estimated_work.is_none();
        let work_seconds = arrival
            .estimated_work
            .map_or(profile.learnt_work_seconds, |work| work.as_secs_f64());
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
        // The load did not cause the time that the process was stalled, so that must not steer.
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

    /// Why a request is rejected on arrival, if it is.
    fn rejection_reason(&mut self, index: RequestIndex) -> Option<Reason> {
        let failure_fraction = self.high_failure_fraction();
        let is_shed_for_failures = is_shed_for_failures(failure_fraction, &mut self.rng);
        let level = self.requests[index].level;
        let is_keyed = self.handler_of(&self.requests[index]).is_keyed();
        if !self.memory.has_room_to_queue(is_keyed) {
            Some(Reason::MemoryLimit)
        } else if is_shed_for_failures {
            Some(Reason::HighFailureRate)
        } else if !self.passes_admission_control(level) {
            Some(Reason::AdmissionControl)
        } else if !self.is_predicted_in_time(index) {
            Some(Reason::PredictedLate)
        } else {
            None
        }
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
        let draw = self.rng.f64();
        self.brownout.admitted_fraction().admits(&arrivals, draw)
    }

    fn is_predicted_in_time(&self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let work_seconds_ahead = self.queue.work_seconds_ahead_of(request, &self.requests);
        let forecast = self.request_forecast(request, work_seconds_ahead);
        self.server_forecast().may_admit(&forecast)
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

    fn server_forecast(&self) -> ServerForecast {
        ServerForecast {
            running: self.requests.running() as f64,
            running_limit: self.running_limit.value(),
            slowdown: self.slowdown.measured(),
            mean_work_seconds: self.metrics.mean_work_seconds(),
            mean_call_seconds: self.metrics.mean_call_seconds(),
            is_degraded: self.is_degraded(),
        }
    }

    fn request_forecast(&self, request: &Request, work_seconds_ahead: f64) -> RequestForecast {
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

    fn handler_of(&self, request: &Request) -> &HandlerProfile {
        &self.handlers[request.handler]
    }
}

/// From the queue to the cores.
impl Controller {
    /// Starts queued requests while concurrency and memory allow.
    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        while self.has_core_for_next() {
            let Some(request) = self.next_queued() else {
                return;
            };
            let objective_at = self.requests[request].objective_at;
            if has_missed_objective(objective_at, self.clock.now()) {
                self.finish_early(
                    request,
                    RetryAdvice::NoOtherServer,
                    Reason::ObjectiveMissed,
                    out,
                );
                continue;
            }
            let queued_kb = self.requests[request].queued_kb;
            if !self.memory.has_room_to_run(queued_kb) {
                return;
            }
            self.queue.remove(request);
            self.memory.start_running(queued_kb);
            self.requests
                .enter_core(request, self.clock.awake_seconds());
            out.push(Action::Start { request });
        }
    }

    fn has_core_for_next(&self) -> bool {
        let core_limit = CoreLimitInput {
            cores: self.cores.cores,
            reading_cores: self.cores.reading_cores,
            mean_unread_seconds: self.metrics.mean_unread_seconds(BUCKET_WIDTH),
            setpoint_seconds: self.brownout.setpoint_seconds(),
            completed: self.metrics.recent(Metric::Completed),
            running_limit: self.running_limit.value(),
        };
        (self.requests.running() as f64) < core_limit.limit()
            && self
                .survivable_concurrency
                .allows_start(self.requests.started(), self.clock.now())
    }

    fn next_queued(&self) -> Option<RequestIndex> {
        let Some((short, long)) = self.queue.heads() else {
            return self.queue.indices().next();
        };
        let heads = QueueHeads {
            short: &self.requests[short],
            long: &self.requests[long],
            long_running: self
                .requests
                .in_stage(Stage::Running)
                .filter(|request| request.is_long)
                .count(),
            running_limit: self.running_limit.value(),
        };
        Some(if heads.short_is_first() { short } else { long })
    }

    /// Rejects queued requests that are not likely to be in time any more, behind what has arrived
    /// since.
    pub(super) fn reject_overtaken(&mut self, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let server = self.server_forecast();
        let mut work_seconds_ahead = 0.0;
        for index in self.queue.in_order(&self.requests) {
            let request = &self.requests[index];
            let forecast = self.request_forecast(request, work_seconds_ahead);
            if server.may_stay_queued(&forecast) {
                work_seconds_ahead += request.work_seconds;
            } else {
                let advice = self.retry_advice(index);
                self.finish_early(index, advice, Reason::Overtaken, out);
            }
        }
    }
}

/// Dependency calls.
impl Controller {
    /// A run has reached its call.
    pub(super) fn call_reached(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let is_running = self
            .requests
            .get(request)
            .is_some_and(|entry| entry.stage == Stage::Running);
        if !is_running {
            return;
        }
        self.requests
            .leave_core(request, self.clock.awake_seconds());
        if !self.requests[request].is_answered {
            self.requests.await_call(request);
            self.try_call(request, out);
        }
    }

    pub(super) fn retry_waiting_calls(&mut self, out: &mut Vec<Action>) {
        for request in self.requests.awaiting_call().to_vec() {
            self.try_call(request, out);
        }
    }

    /// Makes the call that a request waits for, or continues without it; otherwise the request
    /// stays.
    fn try_call(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        // A number is drawn at each attempt; only that of the first one counts.
        let draw = self.rng.f64();
        let dimmer = self.brownout.dimmer();
        let is_drawn = *self.requests[request]
            .makes_optional_calls
            .get_or_insert(draw < dimmer);
        let entry = &self.requests[request];
        let timeout = self.call_timeout(entry);
        let is_optional = self.handler_of(entry).calls_are_optional;
        let has_budget = self.has_call_budget(&PlannedCall {
            timeout,
            is_optional,
        });
        let call = PendingCall {
            is_optional,
            is_drawn,
            has_budget,
            may_attempt: entry.call_attempts == 0 || entry.may_retry_call,
            seconds_to_objective: entry.seconds_to_objective(self.clock.now()),
            mean_call_seconds: self.metrics.mean_call_seconds(),
        };
        match call.decide() {
            CallDecision::Make => self.start_call(request, timeout, out),
            CallDecision::Skip => self.skip_call(request, out),
            CallDecision::Wait => {}
        }
    }

    fn skip_call(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        // One skipped call degrades the answer already: the others would be made for nothing.
        self.requests[request].makes_optional_calls = Some(false);
        self.requests.stop_awaiting_call(request);
        self.requests
            .enter_core(request, self.clock.awake_seconds());
        out.push(Action::SkipCall { request });
    }

    fn start_call(&mut self, request: RequestIndex, timeout: Duration, out: &mut Vec<Action>) {
        let now = self.clock.now();
        self.requests.start_call(request);
        let entry = &mut self.requests[request];
        entry.call_started_at = now;
        entry.call_times_out_at = now.saturating_add(timeout);
        entry.call_attempts += 1;
        entry.calls_made += 1;
        out.push(Action::StartCall { request, timeout });
    }

    fn call_timeout(&self, entry: &Request) -> Duration {
        let now = self.clock.now();
        let handler = self.handler_of(entry);
        CallTimeoutInput {
            seconds_to_objective: entry.seconds_to_objective(now),
            time_to_deadline: entry.deadline.saturating_sub(now),
            is_optional: handler.calls_are_optional,
            may_retry: handler.is_idempotent() && may_attempt_again(entry.call_attempts + 1),
            mean_call_seconds: self.metrics.mean_call_seconds(),
            lost_calls_are_rare: self.lost_calls_are_rare(),
            max_call_seconds: self.call_budget.max_call_seconds(),
        }
        .timeout()
    }

    fn has_call_budget(&self, call: &PlannedCall) -> bool {
        let window = self.call_budget.window();
        let load = DependencyLoad {
            now: self.clock.now(),
            calls_in_flight: self.requests.calling(),
            past_call_seconds: self.metrics.sum_over(Metric::CallsInFlight, window),
        };
        let calls_time_out_at = self
            .requests
            .in_stage(Stage::Calling)
            .map(|entry| entry.call_times_out_at);
        self.call_budget.allows_call(call, &load, calls_time_out_at)
    }

    pub(super) fn call_finished(
        &mut self,
        request: RequestIndex,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let now = self.clock.now();
        let Some(entry) = self
            .requests
            .get(request)
            .filter(|entry| entry.stage == Stage::Calling)
        else {
            return;
        };
        let call_seconds = (now - entry.call_started_at).as_secs_f64();
        self.requests.end_call(request);
        if outcome.may_go_on() {
            self.call_budget.abandon_call(now);
        }
        self.record_call(call_seconds, outcome);
        if outcome == Outcome::Succeeded {
            self.requests[request].call_attempts = 0;
            self.requests
                .enter_core(request, self.clock.awake_seconds());
        } else {
            self.call_failed(request, outcome, out);
        }
    }

    fn record_call(&mut self, call_seconds: f64, outcome: Outcome) {
        self.metrics
            .count_if(Metric::CallsTimedOut, outcome == Outcome::TimedOut);
        // A call whose connection failed shows nothing of how long the dependency takes.
        if !outcome.is_connection_failure() {
            self.metrics.add(Metric::Calls, 1.0);
            self.metrics.add(Metric::CallTime, call_seconds);
        }
        if self.usual_call_time.observe(call_seconds, outcome) {
            self.brownout.cut_dimmer_ceiling();
        }
    }

    fn call_failed(&mut self, request: RequestIndex, outcome: Outcome, out: &mut Vec<Action>) {
        let lost_calls_are_rare = self.lost_calls_are_rare();
        let entry = &mut self.requests[request];
        let handler = &self.handlers[entry.handler];
        let call = FailedCall {
            outcome,
            attempts: entry.call_attempts,
            is_idempotent: handler.is_idempotent(),
            is_optional: handler.calls_are_optional,
            lost_calls_are_rare,
        };
        entry.may_retry_call = call.may_retry_optional();
        if entry.is_answered {
            return;
        }
        if call.may_request_go_on() {
            self.requests.await_call(request);
        } else {
            self.finish_early(request, RetryAdvice::NoOtherServer, Reason::CallFailed, out);
        }
    }

    fn lost_calls_are_rare(&self) -> bool {
        lost_calls_are_rare(
            self.metrics.recent(Metric::Calls),
            self.metrics.recent(Metric::CallsTimedOut),
        )
    }
}

/// Answers and release.
impl Controller {
    pub(super) fn run_finished(
        &mut self,
        request: RequestIndex,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (stage, is_answered) = (entry.stage, entry.is_answered);
        if stage == Stage::Queued {
            return;
        }
        if stage == Stage::Running {
            self.requests
                .leave_core(request, self.clock.awake_seconds());
        }
        match outcome {
            Outcome::Succeeded if stage == Stage::Running => self.record_completed_run(request),
            // A coalesced request fails with the run that it waits for: that was no run of its own.
            Outcome::Failed if stage != Stage::Coalesced => self.metrics.add(Metric::Failed, 1.0),
            Outcome::Cancelled if !is_answered => {
                out.push(Action::Fail {
                    request,
                    reason: Reason::Cancelled,
                });
            }
            _ => {}
        }
        self.release(request, out);
    }

    fn record_completed_run(&mut self, request: RequestIndex) {
        let entry = &self.requests[request];
        if !entry.is_answered {
            let stalled_seconds = self.clock.stalled_seconds() - entry.stalled_before_seconds;
            let elapsed_seconds = (self.clock.now() - entry.arrived_at).as_secs_f64();
            let response_seconds = elapsed_seconds - stalled_seconds;
            self.metrics.add(Metric::Completed, 1.0);
            self.metrics
                .add(Metric::ResponseTime, response_seconds.max(0.0));
        }
        self.metrics.add(Metric::CoreTime, entry.core_seconds);
        self.metrics.add(Metric::Work, entry.work_seconds);
        self.handlers[entry.handler].learn(&CompletedRun {
            core_seconds: entry.core_seconds,
            calls_made: entry.calls_made,
            work_is_learnt: entry.work_is_learnt,
            slowdown: self.slowdown.measured(),
        });
    }

    pub(super) fn caller_gone(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        entry.is_answered = true;
        self.abandon(request, out);
    }

    /// Answers what is due, what the termination would cut off, and what can no longer be in time.
    pub(super) fn give_up_late_requests(&mut self, out: &mut Vec<Action>) {
        let times = TickTimes {
            now: self.clock.now(),
            tick_interval: self.schedule.tick_interval,
            answer_by: self.drain.answer_by(),
        };
        for request in self.requests.indices() {
            let Some(entry) = self.requests.get(request) else {
                continue;
            };
            if entry.is_answered {
                // A cancellation has no effect while the cores are stalled, so it is repeated.
                if entry.stage == Stage::Running && self.can_cancel {
                    out.push(Action::Cancel { request });
                }
                continue;
            }
            let open_request = OpenRequest {
                stage: entry.stage,
                is_idempotent: self.handler_of(entry).is_idempotent(),
                objective_at: entry.objective_at,
                deadline: entry.deadline,
            };
            if let Some(reason) = open_request.give_up_reason(&times) {
                self.finish_early(request, RetryAdvice::NoOtherServer, reason, out);
            }
        }
    }

    /// Answers a request that cannot be served any more, at once, and cancels its run where that is
    /// possible.
    fn finish_early(
        &mut self,
        request: RequestIndex,
        advice: RetryAdvice,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests[request];
        entry.is_answered = true;
        let is_idempotent = self.handlers[entry.handler].is_idempotent();
        if may_reject(entry.stage, is_idempotent) {
            let retry_after = self.retry_after();
            out.push(Action::Reject {
                request,
                retry_after,
                retry_other_server: advice == RetryAdvice::OtherServer,
                reason,
            });
        } else {
            out.push(Action::Fail { request, reason });
        }
        self.abandon(request, out);
    }

    fn retry_after(&self) -> Option<Duration> {
        RetryAfterInput {
            max_retry_after: self.max_retry_after,
            min_retry_after: self.schedule.tick_interval,
            is_degraded: self.is_degraded(),
            queued_work_seconds: self.queue.work_seconds(&self.requests),
            slowdown: self.slowdown.measured(),
            running_limit: self.running_limit.value(),
        }
        .retry_after()
    }

    fn retry_advice(&self, index: RequestIndex) -> RetryAdvice {
        let request = &self.requests[index];
        let rejected = RejectedRequest {
            is_over_quota: request.is_over_quota,
            is_retry: request.is_retry,
            objective: request.objective_at.saturating_sub(request.arrived_at),
            time_left: request.objective_at.saturating_sub(self.clock.now()),
        };
        let server = ServerState {
            is_draining: self.drain.has_started(),
            is_failing: self.high_failure_fraction() > 0.0,
            is_degraded: self.is_degraded(),
        };
        let fleet = FleetSample {
            retries_are_marked: self.retries_are_marked,
            arrived: self.metrics.recent(Metric::Arrived),
            retries: self.metrics.recent(Metric::Retries),
            rejected: self.metrics.recent(Metric::Rejected),
        };
        if rejected.should_retry_other_server(&server, &fleet) {
            RetryAdvice::OtherServer
        } else {
            RetryAdvice::NoOtherServer
        }
    }

    /// Ends a request that needs no answer any more, or what can be ended of it now.
    fn abandon(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let entry = &self.requests[request];
        let stage = entry.stage;
        // It never ran, so a duplicate counts as the first again.
        if stage == Stage::Queued
            && let Some(expires_at) = entry.key_expires_at
        {
            self.memory.forget_key(expires_at);
            out.push(Action::ForgetKey { request });
        }
        match stage {
            Stage::Queued | Stage::Coalesced => self.release(request, out),
            Stage::Running if self.can_cancel => out.push(Action::Cancel { request }),
            Stage::Running | Stage::Calling => {}
            Stage::OffCore => self.requests.stop_awaiting_call(request),
        }
    }

    /// Frees what a request took; the host may reuse its index.
    fn release(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        match entry.stage {
            Stage::Queued | Stage::Coalesced => {
                self.queue.remove(request);
                self.memory.remove_queued(entry.queued_kb);
            }
            Stage::Running | Stage::OffCore => self.memory.remove_running(entry.queued_kb),
            Stage::Calling => {
                self.call_budget.abandon_call(self.clock.now());
                self.memory.remove_running(entry.queued_kb);
            }
        }
        out.push(Action::Release { request });
    }
}
