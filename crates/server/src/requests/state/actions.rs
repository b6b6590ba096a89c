//! Applies the controller's actions to the open requests.

use std::time::{Duration, Instant};

use tulipgap::Action;
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::invariant;
use crate::requests::messages::{Command, Response};
use crate::trace::recorded_reason;

impl RegistryState {
    /// Applies one action; `now` is the time on the controller's clock at which it was decided.
    pub(super) fn apply(&mut self, action: Action, now: Duration) {
        match action {
            Action::Start { request } => self.start_run(request),
            Action::Reject {
                request,
                retry_after,
                retry_other_server,
                reason,
            } => {
                let response = Response::Rejected {
                    retry_after,
                    retry_other_server,
                };
                self.respond_once(request, response, recorded_reason(reason));
            }
            Action::Fail { request, reason } => {
                self.respond_once(request, Response::Failed, recorded_reason(reason));
            }
            Action::Cancel { request } => self.requests[request].send(Command::Cancel),
            Action::Coalesce { request } => self.coalesce(request),
            Action::RememberKey { request, retention } => {
                self.remember_key(request, now, retention);
            }
            Action::ForgetKey { request } => self.forget_key_and_fail_duplicates(request),
            Action::StartCall { request, timeout } => self.start_call(request, timeout),
            Action::SkipCall { request } => self.requests[request].skip_call(),
            Action::SetFeedback { value } => self.feedback = Some(value),
            Action::SetIdleTimeout { timeout } => self.idle_timeout = timeout,
            Action::SetHealth { healthy } => self.is_healthy = healthy,
            Action::SetTimer { at } => self.timers.set(at),
            Action::Release { request } => self.release(request),
        }
    }

    fn start_run(&mut self, index: usize) {
        if let Some(delay) = self.requests[index].start_run(Instant::now()) {
            self.longest_delays.record_queued(delay);
        }
    }

    fn start_call(&mut self, index: usize, timeout: Duration) {
        let now = self.trace_time();
        self.requests[index].start_call(timeout, now);
    }

    /// Sends the final response that the controller has decided on. Each request gets one.
    fn respond_once(&mut self, index: usize, response: Response, reason: Reason) {
        invariant!(
            !self.requests[index].is_answered,
            "a request is answered once"
        );
        self.respond(index, response, reason);
    }

    /// Sends a final response, unless the request has one.
    pub(super) fn respond(&mut self, index: usize, response: Response, reason: Reason) {
        let (now, feedback) = (self.trace_time(), self.feedback);
        let request = &mut self.requests[index];
        if let Some(outcome) = request.answer(response, reason, feedback, now) {
            self.counts.count(outcome);
        }
    }

    /// Ends a request: no event of it is taken any more, and its index is free once its coroutine
    /// has ended, too.
    fn release(&mut self, index: usize) {
        // The run has ended without a result, and the controller has left the request unanswered.
        self.respond(index, Response::Failed, Reason::CANCELLED);
        self.record_trace(index);
        self.settle_key(index, Response::Failed);
        self.leave_key(index);
        let request = &mut self.requests[index];
        request.is_released = true;
        request.send(Command::Finish);
        self.indices.remove(&request.id);
        if request.is_detached {
            self.requests.remove(index);
        }
    }

    /// Hands the recording of a request to the tracer, where there is one.
    fn record_trace(&mut self, index: usize) {
        if let (Some(trace), Some(tracer)) = (self.requests[index].trace.take(), &self.tracer) {
            tracer.record(&trace, Instant::now());
        }
    }
}
