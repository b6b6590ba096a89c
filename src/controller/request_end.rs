//! The end of a request: its run ends, the controller gives it up, or its caller is gone. The
//! controller then answers it, if its caller still waits, and releases it.

use std::time::Duration;

use super::Controller;
use crate::action::{Action, Reason};
use crate::caller_feedback::{FleetSample, RejectedRequest, RetryAfterInput, ServerState};
use crate::early_answer::{OpenRequest, TickTimes, may_reject};
use crate::event::{Outcome, RequestIndex};
use crate::handlers::CompletedRun;
use crate::metrics::Metric;
use crate::requests::Stage;

/// The advice to the caller of a rejected request about other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryAdvice {
    /// Another server is likely to admit the request.
    OtherServer,
    /// No attempt on another server is advised.
    NoOtherServer,
}

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
        self.idle_probe.record_run(self.clock.awake_seconds());
        if stage == Stage::Running {
            self.requests
                .leave_core(request, self.clock.awake_seconds());
        }
        match outcome {
            Outcome::Succeeded if stage == Stage::Running => self.record_completed_run(request),
            // A coalesced request fails together with the run for which it waits, and is not a
            // failed run itself.
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

    /// Answers the requests that `early_answer.rs` gives up: their deadline is near, the
    /// termination of the process would cut them off, or they have missed their latency objective.
    /// Also repeats the cancellation of runs whose request was answered before.
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

    /// Answers a request at once with a rejection or a failure, and cancels its run where that is
    /// possible.
    pub(super) fn finish_early(
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

    pub(super) fn retry_advice(&self, index: RequestIndex) -> RetryAdvice {
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

    /// Ends a request that needs no answer any more, as far as it can be ended now.
    fn abandon(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let entry = &self.requests[request];
        let stage = entry.stage;
        // The request never ran, so its key is forgotten and a later duplicate counts as a first
        // request.
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

    /// Frees the resources of a request; the host may reuse its index.
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
