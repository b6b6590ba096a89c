//! The end of a request: by its own run, by its caller, or early because it cannot be in time.

use super::Controller;
use crate::action::{Action, Reason};
use crate::event::{Outcome, RequestIndex};
use crate::handlers::CompletedRun;
use crate::metrics::Metric;
use crate::request::Stage;

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
            Outcome::Succeeded if stage == Stage::Running => self.learn_from_run(request),
            // A coalesced request fails with the run that it waits for: that was no run of this
            // one.
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

    fn learn_from_run(&mut self, request: RequestIndex) {
        let entry = &self.requests[request];
        if !entry.is_answered {
            let stalled = self.clock.stalled_seconds() - entry.stalled_before;
            let response_time = (self.clock.now() - entry.arrived_at).as_secs_f64() - stalled;
            self.metrics.add(Metric::Completed, 1.0);
            self.metrics
                .add(Metric::ResponseTime, response_time.max(0.0));
        }
        self.metrics.add(Metric::CoreTime, entry.core_time);
        self.metrics.add(Metric::Work, entry.work);
        self.handlers[entry.handler].learn(&CompletedRun {
            core_seconds: entry.core_time,
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
    pub(super) fn expire_requests(&mut self, out: &mut Vec<Action>) {
        self.reject_overtaken(out);
        let now = self.clock.now();
        let answer_by = self.drain.answer_by();
        for request in 0..self.requests.len() {
            let Some(entry) = self.requests.get(request) else {
                continue;
            };
            if entry.is_answered {
                // A cancellation has no effect while the cores stand still, so it is repeated.
                if entry.stage == Stage::Running && self.can_cancel {
                    out.push(Action::Cancel { request });
                }
                continue;
            }
            let is_due = entry.deadline.min(answer_by) <= now + self.schedule.tick_interval;
            let is_terminated_first = answer_by < entry.deadline;
            // A started request is given up only once it is late, and if it may not run again only
            // where it waits at a call: that call would be made for nobody, together with those of
            // all that wait as long.
            let is_idempotent = self.handlers[entry.handler].is_idempotent();
            let may_give_up = match entry.stage {
                Stage::Queued | Stage::Coalesced => false,
                Stage::AwaitingCall => true,
                Stage::Running | Stage::Calling => is_idempotent,
            };
            if is_due {
                let reason = if is_terminated_first {
                    Reason::Terminating
                } else {
                    Reason::DeadlineNear
                };
                self.finish_early(request, false, reason, out);
            } else if may_give_up && entry.objective_at < now {
                self.finish_early(request, false, Reason::ObjectiveMissed, out);
            }
        }
    }

    /// Answers a request that cannot be served any more, at once, and cancels its run where that is
    /// possible. What certainly had no effect is rejected; anything else fails.
    pub(super) fn finish_early(
        &mut self,
        request: RequestIndex,
        retry_other_server: bool,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let entry = &mut self.requests[request];
        entry.is_answered = true;
        let is_idempotent = self.handlers[entry.handler].is_idempotent();
        let may_reject = match entry.stage {
            Stage::Queued => true,
            Stage::Coalesced => false,
            Stage::Running | Stage::AwaitingCall | Stage::Calling => is_idempotent,
        };
        if may_reject {
            let retry_after = self.retry_after();
            out.push(Action::Reject {
                request,
                retry_after,
                retry_other_server,
                reason,
            });
        } else {
            out.push(Action::Fail { request, reason });
        }
        self.abandon(request, out);
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
            Stage::AwaitingCall => self.requests.stop_awaiting_call(request),
        }
    }
}
