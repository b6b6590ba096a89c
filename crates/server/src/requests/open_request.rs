//! One open request. It owns how far the request has come, the commands for its coroutine and its
//! recording; the registry's state changes a request only by these methods.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use tulipgap::Outcome;
use tulipgap_trace::Reason;

use super::messages::{Bytes, Command, IdempotencyKey, IncomingRequest, RequestId, Response};
use super::metrics::FinalOutcome;
use crate::trace::RequestTrace;

/// A request between its registration and its release.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    commands: VecDeque<Command>,
    waiter: Arc<Blocker>,
    /// Its final response is queued among its commands, or was.
    pub(super) is_answered: bool,
    pub(super) is_caller_gone: bool,
    registered_at: Instant,
    /// When its run was started; `None` before, and once it has ended.
    run_started_at: Option<Instant>,
    /// A run of it was started.
    pub(super) is_started: bool,
    /// The controller has released it.
    pub(super) is_released: bool,
    /// Its coroutine has ended before it was released.
    pub(super) is_detached: bool,
    /// The call that its run waits for: the number of the call within the run, and its body.
    call: Option<(u64, Bytes)>,
    /// The call is in flight.
    is_calling: bool,
    /// Its idempotency key within its tenant and handler.
    pub(super) key: Option<IdempotencyKey>,
    pub(super) body_hash: u64,
    pub(super) trace: Option<Box<RequestTrace>>,
}

impl OpenRequest {
    /// A request that is registered now; `waiter` wakes its coroutine.
    pub(super) fn new(
        incoming: &IncomingRequest,
        key: Option<IdempotencyKey>,
        waiter: Arc<Blocker>,
        trace: Option<Box<RequestTrace>>,
    ) -> Self {
        OpenRequest {
            id: incoming.id.clone(),
            commands: VecDeque::new(),
            waiter,
            is_answered: false,
            is_caller_gone: false,
            registered_at: Instant::now(),
            run_started_at: None,
            is_started: false,
            is_released: false,
            is_detached: false,
            call: None,
            is_calling: false,
            key,
            body_hash: incoming.body_hash,
            trace,
        }
    }

    /// Takes the next command for its coroutine.
    pub(super) fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Notes in the recording that it is admitted, where the controller has not answered it on
    /// arrival.
    pub(super) fn record_admission(&mut self, now: Option<Instant>) {
        if let Some(trace) = self.trace.as_mut().filter(|_| !self.is_answered) {
            trace.admitted = now;
        }
    }

    /// Starts its run, or starts it again. Returns how long it was queued before the first start.
    pub(super) fn start_run(&mut self, now: Instant) -> Option<Duration> {
        let is_first_start = !std::mem::replace(&mut self.is_started, true);
        self.run_started_at = Some(now);
        if let Some(trace) = &mut self.trace {
            trace.started = trace.started.or(Some(now));
        }
        self.send(Command::Start);
        is_first_start.then(|| now.saturating_duration_since(self.registered_at))
    }

    /// Its run has ended. Returns how long it took; `None` where its end was seen before.
    pub(super) fn finish_run(&mut self, now: Instant) -> Option<Duration> {
        let started_at = self.run_started_at.take()?;
        Some(now.saturating_duration_since(started_at))
    }

    /// Its run has reached a call. Returns false where the run waits for a call already: it makes
    /// one at a time, so this notice is a duplicate.
    pub(super) fn reach_call(&mut self, call: u64, body: Bytes) -> bool {
        if self.call.is_some() {
            return false;
        }
        self.call = Some((call, body));
        self.is_calling = false;
        true
    }

    /// Makes the call that its run waits for, or makes it again.
    pub(super) fn start_call(&mut self, timeout: Duration, now: Option<Instant>) {
        if let Some(trace) = &mut self.trace {
            trace.called = trace.called.or(now);
            trace.calls += 1;
        }
        if let Some((_, body)) = self.call.clone() {
            self.is_calling = true;
            self.send(Command::StartCall { timeout, body });
        }
    }

    /// Its call has ended; a reply resumes its run. Returns false where no call is in flight: a
    /// reply that was received after its call had ended is ignored.
    pub(super) fn finish_call(&mut self, outcome: Outcome, reply: Bytes) -> bool {
        if !std::mem::take(&mut self.is_calling) {
            return false;
        }
        if outcome == Outcome::Succeeded {
            self.call = None;
            self.send(Command::Resume { reply });
        }
        true
    }

    /// Resumes its run without the call that it waits for.
    pub(super) fn skip_call(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.skipped_calls += 1;
        }
        if let Some((call, _)) = self.call.take() {
            self.send(Command::SkipCall { call });
        }
    }

    /// Notes in the recording how long its run took.
    pub(super) fn record_work(&mut self, work: Option<Duration>) {
        if let Some(trace) = &mut self.trace {
            trace.work = work;
        }
    }

    /// Answers it, and returns how it counts; none where it has a final response already. Nothing
    /// is sent where its caller is gone.
    pub(super) fn answer(
        &mut self,
        response: Response,
        reason: Reason,
        feedback: Option<f64>,
        now: Option<Instant>,
    ) -> Option<FinalOutcome> {
        if std::mem::replace(&mut self.is_answered, true) {
            return None;
        }
        if let Some(trace) = &mut self.trace {
            trace.answered(&response, self.is_caller_gone, reason, feedback, now);
        }
        if self.is_caller_gone {
            return Some(FinalOutcome::Abandoned);
        }
        let outcome = match response {
            Response::Completed(_) => FinalOutcome::Completed,
            Response::Rejected { .. } => FinalOutcome::Rejected,
            Response::Failed => FinalOutcome::Failed,
        };
        self.send(Command::Respond(response));
        Some(outcome)
    }

    /// Queues a command and wakes the request's coroutine.
    pub(super) fn send(&mut self, command: Command) {
        // The controller repeats a cancellation until the run has ended.
        if command != Command::Cancel || !self.commands.contains(&command) {
            self.commands.push_back(command);
            self.waiter.unpark();
        }
    }
}
