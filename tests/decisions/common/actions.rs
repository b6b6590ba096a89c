//! Carries out the actions of the controller, and checks each action against the four rules.

use std::time::Duration;

use super::{SimulatedHost, Stage, TrackedRequest, ms};
use tulipgap::{
    Action, CallerFeedback, Cancellation, Dependency, Event, Idempotency, Outcome, RequestIndex,
};

impl SimulatedHost {
    fn tracked(&mut self, request: RequestIndex, action: &Action) -> &mut TrackedRequest {
        self.requests
            .get_mut(&request)
            .unwrap_or_else(|| panic!("{action:?} names a request that was released"))
    }

    pub(super) fn carry_out(&mut self, action: &Action) {
        let now = self.now;
        match *action {
            Action::Start { request } => self.start(request, action),
            Action::Reject { request, .. } => self.reject(request, action),
            Action::Fail { request, .. } => self.answer(request, action),
            Action::Cancel { request } => self.cancel(request, action),
            Action::Coalesce { request } => {
                let tracked = self.tracked(request, action);
                let is_queued_duplicate = tracked.is_duplicate && tracked.stage == Stage::Queued;
                assert!(
                    is_queued_duplicate,
                    "coalesced without being a queued duplicate: {tracked:?}"
                );
                tracked.stage = Stage::Coalesced;
            }
            Action::RememberKey { request, retention } => {
                let key = self.tracked(request, action).key;
                self.keys.push((key, request, now + retention));
            }
            Action::ForgetKey { request } => {
                let tracked = self.tracked(request, action).clone();
                assert!(
                    !tracked.has_run,
                    "duplicate effect: a key is forgotten after a run"
                );
                self.keys
                    .retain(|key| (key.0, key.1) != (tracked.key, request));
            }
            Action::StartCall { request, timeout } => self.start_call(request, timeout, action),
            Action::SkipCall { request } => self.skip_call(request, action),
            Action::SetFeedback { value } => {
                let has_feedback = self.config.feedback != CallerFeedback::None;
                assert!(
                    has_feedback && value >= 0.0,
                    "feedback {value} for callers that receive none, or below 0"
                );
                self.feedback = Some(value);
            }
            Action::SetIdleTimeout { timeout } => {
                let is_in_range = timeout > Duration::ZERO && timeout <= self.config.idle_timeout;
                assert!(is_in_range, "idle timeout out of range: {timeout:?}");
                self.idle_timeout = timeout;
            }
            Action::SetHealth { .. } => {}
            Action::SetTimer { at } => self.timer = Some(at.max(now + ms(1))),
            Action::Release { request } => {
                let tracked = self.tracked(request, action);
                assert!(
                    tracked.is_answered || tracked.is_caller_gone,
                    "lost request: released without an answer: {tracked:?}"
                );
                self.requests.remove(&request);
            }
        }
    }

    fn idempotency(&mut self, request: RequestIndex, action: &Action) -> Idempotency {
        let handler = self.tracked(request, action).handler;
        self.config.handlers[handler].idempotency
    }

    fn start(&mut self, request: RequestIndex, action: &Action) {
        let idempotency = self.idempotency(request, action);
        let may_run_again = idempotency == Idempotency::Idempotent;
        let run_until = self
            .shutdown
            .map(|(notice, _)| notice + self.config.drain_grace);
        let tracked = self.tracked(request, action);
        let is_waiting = tracked.stage == Stage::Queued && !tracked.is_answered;
        assert!(
            is_waiting,
            "{action:?} of a request that is not queued: {tracked:?}"
        );
        assert!(
            !tracked.has_run || may_run_again,
            "duplicate effect: run again: {tracked:?}"
        );
        assert!(
            !tracked.is_duplicate || may_run_again,
            "duplicate effect: a duplicate is run: {tracked:?}"
        );
        let late = run_until.is_some_and(|until| tracked.arrived_at > until);
        assert!(!late, "graceful shutdown: run after the grace: {tracked:?}");
        (tracked.stage, tracked.has_run) = (Stage::Running, true);
        let (key, arrived_at, handler) = (tracked.key, tracked.arrived_at, tracked.handler);
        let key_retention = self.config.handlers[handler].key_retention;
        if idempotency == Idempotency::Keyed {
            let earlier_run = self
                .runs
                .iter()
                .find(|run| run.0 == key && run.1.abs_diff(arrived_at) <= key_retention);
            assert!(
                earlier_run.is_none(),
                "duplicate effect: key {key} already ran within its retention: {earlier_run:?}"
            );
            self.runs.push((key, arrived_at));
        }
    }

    fn reject(&mut self, request: RequestIndex, action: &Action) {
        let may_run_again = self.idempotency(request, action) == Idempotency::Idempotent;
        let tracked = self.tracked(request, action);
        assert!(
            !tracked.has_run || may_run_again,
            "duplicate effect: rejected after a run: {tracked:?}"
        );
        assert!(
            !tracked.is_duplicate || may_run_again,
            "duplicate effect: a duplicate is rejected: {tracked:?}"
        );
        self.answer(request, action);
    }

    fn cancel(&mut self, request: RequestIndex, action: &Action) {
        let can_cancel = self.config.cancellation != Cancellation::Unsupported;
        assert!(
            can_cancel,
            "a cancellation on a host that cannot cancel runs"
        );
        let tracked = self.tracked(request, action);
        if tracked.stage == Stage::Running {
            assert!(
                tracked.is_answered || tracked.is_caller_gone,
                "cancelled without an answer: {tracked:?}"
            );
            self.pending.push(Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            });
        }
    }

    fn start_call(&mut self, request: RequestIndex, timeout: Duration, action: &Action) {
        let ends_at = self.now + timeout + self.linger();
        let may_repeat = self.idempotency(request, action) == Idempotency::Idempotent;
        let tracked = self.tracked(request, action);
        assert_eq!(
            tracked.stage,
            Stage::AwaitingCall,
            "a call for a request that does not wait for one: {tracked:?}"
        );
        let is_safe = !tracked.call_may_have_run || may_repeat;
        assert!(
            is_safe,
            "duplicate effect: a call that may have run is repeated: {tracked:?}"
        );
        tracked.stage = Stage::Calling;
        tracked.call_ends_at = Some(ends_at);
    }

    fn skip_call(&mut self, request: RequestIndex, action: &Action) {
        let tracked = self.tracked(request, action);
        assert_eq!(
            tracked.stage,
            Stage::AwaitingCall,
            "a skipped call for a request that does not wait for one: {tracked:?}"
        );
        (tracked.stage, tracked.call_may_have_run) = (Stage::Running, false);
        let handler = tracked.handler;
        assert!(
            self.config.handlers[handler].degraded_weight > 0.0,
            "a mandatory call is skipped"
        );
    }

    fn answer(&mut self, request: RequestIndex, action: &Action) {
        let (now, slack) = (self.now, self.config.response_slack);
        let tracked = self.tracked(request, action);
        assert!(
            !tracked.is_answered,
            "lost request: a second answer: {tracked:?}"
        );
        assert!(
            tracked.is_caller_gone || now <= tracked.deadline + slack,
            "lost request: answered too late, at {now:?}: {tracked:?}"
        );
        tracked.is_answered = true;
        if matches!(tracked.stage, Stage::AwaitingCall | Stage::Calling) {
            self.pending.push(Event::Finished {
                request,
                outcome: Outcome::Cancelled,
            });
        }
    }

    pub(super) fn check_limits(&mut self) {
        let now = self.now;
        let keys = self.keys.iter().filter(|key| key.2 > now).count() as f64;
        let has_started =
            |tracked: &&TrackedRequest| !matches!(tracked.stage, Stage::Queued | Stage::Coalesced);
        let queued_kb_of_all: f64 = self
            .requests
            .values()
            .map(|tracked| tracked.queued_kb)
            .sum();
        let queued_kb_of_started: f64 = self
            .requests
            .values()
            .filter(has_started)
            .map(|tracked| tracked.queued_kb)
            .sum();
        let needed_kb = queued_kb_of_all
            + queued_kb_of_started * (self.config.running_memory_factor - 1.0)
            + keys * self.config.key_kb;
        assert!(
            needed_kb <= self.config.memory_kb,
            "availability: {needed_kb} kB needed"
        );
        let runnable = self
            .requests
            .values()
            .filter(|tracked| tracked.stage == Stage::Running)
            .count() as f64;
        let speed = match self.config.starts_cold {
            false => 1.0,
            true => {
                let part = now.as_secs_f64() / self.config.warm_up.as_secs_f64();
                (self.config.cold_speed + (1.0 - self.config.cold_speed) * part).min(1.0)
            }
        };
        let limit = f64::from(self.config.cores)
            * (1.0 + (self.config.max_concurrency_per_core - 1.0) * speed);
        assert!(
            runnable <= limit,
            "availability: {runnable} requests on the cores, {limit} survivable"
        );
        if let Dependency::Shared { share, window, .. } = self.config.dependency {
            let overlap = |&(from, to, count): &(Duration, Duration, f64)| {
                count
                    * to.saturating_sub(from.max(now.saturating_sub(window)))
                        .as_secs_f64()
            };
            let mean = self.calls.iter().map(overlap).sum::<f64>() / window.as_secs_f64();
            assert!(
                mean <= share,
                "availability: a mean of {mean} calls in flight over the window"
            );
        }
    }
}
