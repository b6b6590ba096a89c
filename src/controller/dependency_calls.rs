//! Calls to the dependency: when one is made, skipped, attempted again or given up.

use std::time::Duration;

use super::Controller;
use super::tuning::{
    CALL_TIME_GAIN, CALL_TIMEOUT_FACTOR, MAX_CALL_ATTEMPTS, MAX_CALLS_PER_CORE,
    MAX_LOST_CALL_FRACTION, MIN_CALL_TIMEOUT_FRACTION, MIN_CALLS_FOR_USUAL_TIME, SLOW_CALL_FACTOR,
    SLOW_CALL_TIME_GAIN,
};
use crate::action::{Action, Reason};
use crate::clock::seconds;
use crate::event::{Outcome, RequestIndex};
use crate::metrics::Metric;
use crate::request::{Request, Stage};

impl Controller {
    /// A run has reached its call.
    pub(super) fn call_reached(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        if self
            .requests
            .get(request)
            .is_none_or(|entry| entry.stage != Stage::Running)
        {
            return;
        }
        self.requests
            .leave_core(request, self.clock.awake_seconds());
        if !self.requests[request].is_answered {
            self.requests.awaiting_call.push(request);
            self.try_call(request, out);
        }
    }

    pub(super) fn retry_waiting_calls(&mut self, out: &mut Vec<Action>) {
        for request in self.requests.awaiting_call.clone() {
            self.try_call(request, out);
        }
    }

    /// Makes the call that a request waits for, or continues without it; otherwise the request
    /// stays.
    fn try_call(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let draw = self.rng.f64();
        let now = self.clock.now();
        let dimmer = self.brownout.dimmer();
        let is_drawn = *self.requests[request]
            .makes_optional_calls
            .get_or_insert(draw < dimmer);
        let timeout = self.call_timeout(request);
        let has_budget = self.has_call_budget(request, timeout);
        let entry = &self.requests[request];
        let time_left = entry.objective_at.saturating_sub(now).as_secs_f64();
        let may_attempt = entry.call_attempts == 0 || entry.may_retry_call;
        let is_worth_making = is_drawn
            && has_budget
            && may_attempt
            && time_left * 0.5 >= self.metrics.mean_call_seconds();
        if self.handlers[entry.handler].calls_are_optional && !is_worth_making {
            // One skipped call degrades the answer already: the others would be made for nothing.
            self.requests[request].makes_optional_calls = Some(false);
            self.requests.stop_awaiting_call(request);
            self.requests
                .enter_core(request, self.clock.awake_seconds());
            out.push(Action::SkipCall { request });
        } else if has_budget {
            self.requests.stop_awaiting_call(request);
            self.requests.calling += 1;
            let entry = &mut self.requests[request];
            entry.stage = Stage::Calling;
            entry.call_started_at = now;
            entry.call_times_out_at = now.saturating_add(timeout);
            entry.call_attempts += 1;
            entry.calls_made += 1;
            out.push(Action::StartCall { request, timeout });
        }
    }

    fn call_timeout(&self, request: RequestIndex) -> Duration {
        let entry = &self.requests[request];
        let profile = &self.handlers[entry.handler];
        let time_left = entry
            .objective_at
            .saturating_sub(self.clock.now())
            .as_secs_f64();
        let mut timeout = if profile.calls_are_optional {
            seconds(time_left * 0.5)
        } else {
            entry.deadline.saturating_sub(self.clock.now())
        };
        // Guards against replies that never come: given up early, the call can be made again in
        // time. It does harm where a few calls take far longer than most; where many do, the
        // dependency is slow, and this does not act.
        let may_retry = profile.calls_are_optional
            && profile.is_idempotent()
            && entry.call_attempts + 1 < MAX_CALL_ATTEMPTS;
        let mean = self.metrics.mean_call_seconds();
        if may_retry && mean > 0.0 && self.lost_calls_are_rare() {
            let early = (CALL_TIMEOUT_FACTOR * mean).max(MIN_CALL_TIMEOUT_FRACTION * time_left);
            timeout = timeout.min(seconds(early));
        }
        match self.calls.budget {
            Some(budget) => timeout.min(seconds(budget / 4.0)),
            None => timeout,
        }
    }

    /// Whether a call with this timeout can be made now.
    fn has_call_budget(&self, request: RequestIndex, timeout: Duration) -> bool {
        let is_optional = self.handlers[self.requests[request].handler].calls_are_optional;
        let reserved = if is_optional {
            self.reserved_for_mandatory_calls(timeout)
        } else {
            0.0
        };
        self.fits_call_budget(timeout.saturating_add(seconds(reserved)))
            && timeout > self.schedule.tick_interval
    }

    /// Seconds of calls that an optional call leaves for a mandatory one, as far as two of its own
    /// fit. Guards against mandatory calls that wait while the budget is spent, and return all at
    /// once.
    fn reserved_for_mandatory_calls(&self, timeout: Duration) -> f64 {
        let Some(budget) = self.calls.budget.filter(|_| self.calls.has_mandatory) else {
            return 0.0;
        };
        let (linger, own) = (self.calls.linger.as_secs_f64(), timeout.as_secs_f64());
        (budget / 4.0 + linger)
            .min(budget - 2.0 * (own + linger))
            .max(0.0)
    }

    /// Whether one more call keeps this server within its share of what the dependency survives.
    fn fits_call_budget(&self, timeout: Duration) -> bool {
        let calls = &self.calls;
        let Some(budget) = calls.budget else {
            return (self.requests.calling as f64) < self.cores.cores * MAX_CALLS_PER_CORE;
        };
        let now = self.clock.now();
        let past = self.metrics.sum_over(Metric::CallsInFlight, calls.window);
        let until_end = |entry: &Request| {
            entry
                .call_times_out_at
                .saturating_add(calls.linger)
                .saturating_sub(now)
                .as_secs_f64()
        };
        let in_flight: f64 = self.requests.in_stage(Stage::Calling).map(until_end).sum();
        let lingering: f64 = calls
            .lingering
            .iter()
            .map(|&end| end.saturating_sub(now).as_secs_f64())
            .sum();
        let ahead = in_flight + lingering;
        past + ahead + timeout.saturating_add(calls.linger).as_secs_f64() <= budget
    }

    pub(super) fn call_finished(
        &mut self,
        request: RequestIndex,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self
            .requests
            .get(request)
            .filter(|entry| entry.stage == Stage::Calling)
        else {
            return;
        };
        let duration = (self.clock.now() - entry.call_started_at).as_secs_f64();
        self.requests.calling -= 1;
        if matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost) {
            self.calls
                .lingering
                .push(self.clock.now().saturating_add(self.calls.linger));
        }
        self.record_call(duration, outcome);
        if outcome == Outcome::Succeeded {
            self.requests[request].call_attempts = 0;
            self.requests
                .enter_core(request, self.clock.awake_seconds());
        } else {
            self.call_failed(request, outcome, out);
        }
    }

    fn record_call(&mut self, duration: f64, outcome: Outcome) {
        self.metrics
            .count_if(Metric::CallsTimedOut, outcome == Outcome::TimedOut);
        // A call whose connection was lost, or that never left, shows nothing of the dependency's
        // pace.
        let has_duration = !outcome.is_connection_failure();
        let weight = f64::from(u8::from(has_duration));
        self.metrics.add(Metric::Calls, weight);
        self.metrics.add(Metric::CallTime, duration * weight);
        let usual_is_known = self.calls.observed >= MIN_CALLS_FOR_USUAL_TIME;
        let is_slow =
            has_duration && usual_is_known && duration > SLOW_CALL_FACTOR * self.calls.usual_time;
        if is_slow {
            self.brownout.cut_dimmer_ceiling();
        }
        if outcome == Outcome::Succeeded {
            self.calls.observed += 1.0;
            let gain = CALL_TIME_GAIN.max(1.0 / self.calls.observed);
            let gain = if is_slow { SLOW_CALL_TIME_GAIN } else { gain };
            self.calls.usual_time += gain * (duration - self.calls.usual_time);
        }
    }

    /// Decides whether a call that failed is attempted again.
    fn call_failed(&mut self, request: RequestIndex, outcome: Outcome, out: &mut Vec<Action>) {
        let lost_calls_are_rare = self.lost_calls_are_rare();
        let entry = &mut self.requests[request];
        let profile = &self.handlers[entry.handler];
        let never_ran = outcome.never_ran();
        let may_run_again = never_ran || profile.is_idempotent();
        let may_retry = may_run_again && entry.call_attempts < MAX_CALL_ATTEMPTS;
        entry.stage = Stage::AwaitingCall;
        // An optional call is attempted again only where its connection or reply was lost: a
        // dependency that rejects is full.
        let was_lost =
            outcome.is_connection_failure() || outcome == Outcome::TimedOut && lost_calls_are_rare;
        entry.may_retry_call = may_retry && was_lost;
        if entry.is_answered {
            return;
        }
        if profile.calls_are_optional || may_retry {
            self.requests.awaiting_call.push(request);
        } else {
            self.finish_early(request, false, Reason::CallFailed, out);
        }
    }

    /// Whether a call without a reply is the exception, so that its reply is lost rather than slow.
    fn lost_calls_are_rare(&self) -> bool {
        let calls = self.metrics.recent(Metric::Calls);
        self.metrics.recent(Metric::CallsTimedOut) <= MAX_LOST_CALL_FRACTION * calls
    }
}
