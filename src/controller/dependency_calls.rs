//! The dependency calls of a run: whether, when and with which timeout each call is made, and how
//! its end is handled.

use std::time::Duration;

use super::Controller;
use super::request_end::RetryAdvice;
use crate::action::{Action, Reason};
use crate::dependency::{
    CallDecision, CallTimeoutInput, DependencyLoad, FailedCall, PendingCall, PlannedCall,
    lost_calls_are_rare, may_attempt_again,
};
use crate::event::{Outcome, RequestIndex};
use crate::metrics::Metric;
use crate::requests::{Request, Stage};

impl Controller {
    /// Handles a run that has reached its dependency call.
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

    /// Makes or skips the call for which a request waits, or leaves the request waiting.
    fn try_call(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        // A random sample is taken each time, but only the first sample of a request counts.
        let uniform_sample = self.rng.f64();
        let dimmer = self.brownout.dimmer();
        let is_sampled = *self.requests[request]
            .makes_optional_calls
            .get_or_insert(uniform_sample < dimmer);
        let entry = &self.requests[request];
        let timeout = self.call_timeout(entry);
        let is_optional = self.handler_of(entry).calls_are_optional;
        let has_budget = self.has_call_budget(&PlannedCall {
            timeout,
            is_optional,
        });
        let call = PendingCall {
            is_optional,
            is_sampled,
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
        // One skipped call already degrades the answer, so the request makes no further optional
        // calls.
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
        if outcome.may_still_run() {
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
        // A call whose connection failed shows nothing about the response time of the dependency.
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
        if call.may_request_continue() {
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
