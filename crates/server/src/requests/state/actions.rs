//! Applies the controller's actions to the open requests.

use std::time::{Duration, Instant};

use tulipgap::Action;
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::invariant;
use crate::requests::messages::{Command, Response};
use crate::requests::open_request::OpenRequest;
use crate::trace::recorded_reason;

impl RegistryState {
    /// Applies one action. `now` is the time of the decision on the controller's clock.
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
                self.report_idle_rejections(reason);
            }
            Action::Fail { request, reason } => {
                self.respond_once(request, Response::Failed, recorded_reason(reason));
            }
            Action::Cancel { request } => self.requests[request].queue_command(Command::Cancel),
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

    /// Logs that every request is rejected although nothing runs, if that goes on for long. A
    /// server that drains rejects every request.
    fn report_idle_rejections(&mut self, reason: tulipgap::Reason) {
        let report = self
            .idle_rejections
            .record_rejection(Instant::now(), reason);
        let Some(report) = report else { return };
        let is_running = |request: &OpenRequest| request.is_started && !request.is_released;
        if self.shutdown.is_some() || self.requests.iter().any(|(_, request)| is_running(request)) {
            self.idle_rejections.record_run();
        } else {
            report.log();
        }
    }

    fn start_run(&mut self, index: usize) {
        self.idle_rejections.record_run();
        if let Some(delay) = self.requests[index].start_run(Instant::now()) {
            self.longest_delays.record_queued(delay);
        }
    }

    fn start_call(&mut self, index: usize, timeout: Duration) {
        let now = self.trace_time();
        self.requests[index].start_call(timeout, now);
    }

    /// Sends a final response of the controller, which decides on one response for each request.
    fn respond_once(&mut self, index: usize, response: Response, reason: Reason) {
        invariant!(
            !self.requests[index].is_answered,
            "a request is answered once"
        );
        self.respond(index, response, reason);
    }

    /// Sends a final response, unless the request already has one.
    pub(super) fn respond(&mut self, index: usize, response: Response, reason: Reason) {
        let (now, feedback) = (self.trace_time(), self.feedback);
        let request = &mut self.requests[index];
        if let Some(outcome) = request.answer(response, reason, feedback, now) {
            self.counts.count(outcome);
        }
    }

    /// Ends a request: its further events are ignored, and its index is free once its coroutine has
    /// ended too.
    fn release(&mut self, index: usize) {
        // A request that the controller has left unanswered fails: its run has ended without a
        // result.
        self.respond(index, Response::Failed, Reason::CANCELLED);
        self.record_trace(index);
        self.complete_key(index, Response::Failed);
        self.stop_waiting_for_key(index);
        let request = &mut self.requests[index];
        request.is_released = true;
        request.queue_command(Command::Finish);
        self.indices.remove(&request.id);
        if request.is_detached {
            self.requests.remove(index);
        }
    }

    /// Passes the trace record of a request to the tracer, if requests are recorded.
    fn record_trace(&mut self, index: usize) {
        if let (Some(trace), Some(tracer)) = (self.requests[index].trace.take(), &self.tracer) {
            tracer.record(&trace, Instant::now());
        }
    }
}
