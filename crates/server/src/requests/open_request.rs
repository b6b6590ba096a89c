//! The state of one open request: its progress, the commands for its coroutine and its trace
//! record. `RegistryState` sets the flags `is_caller_gone`, `is_released` and `is_detached` and
//! takes the trace record; only the methods below change the rest.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use tulipgap::Outcome;
use tulipgap_trace::Reason;

use super::messages::{Bytes, Command, IncomingRequest, RequestId, Response};
use super::metrics::FinalOutcome;
use super::scoped_key::ScopedKey;
use crate::trace::RequestTrace;

/// A request between its registration and its release.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    commands: VecDeque<Command>,
    waiter: Arc<Blocker>,
    /// The request has its final response, which was queued as a command or, without a caller,
    /// dropped.
    pub(super) is_answered: bool,
    pub(super) is_caller_gone: bool,
    registered_at: Instant,
    /// When the run was started; `None` before the start and after the end.
    run_started_at: Option<Instant>,
    /// A run of the request was started.
    pub(super) is_started: bool,
    /// The controller has released the request.
    pub(super) is_released: bool,
    /// The coroutine has ended before the request was released.
    pub(super) is_detached: bool,
    /// The call that the run waits for: the number of the call and its body.
    call: Option<(u64, Bytes)>,
    /// The call is in flight.
    is_calling: bool,
    /// The idempotency key, scoped to the tenant and the handler.
    pub(super) key: Option<ScopedKey>,
    pub(super) body_hash: u64,
    pub(super) trace: Option<Box<RequestTrace>>,
}

impl OpenRequest {
    /// A request that is registered now. `waiter` wakes its coroutine.
    pub(super) fn new(
        incoming: &IncomingRequest,
        key: Option<ScopedKey>,
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

    /// Records the admission, unless the controller has answered the request on arrival.
    pub(super) fn record_admission(&mut self, now: Option<Instant>) {
        if let Some(trace) = self.trace.as_mut().filter(|_| !self.is_answered) {
            trace.admitted = now;
        }
    }

    /// Starts the run, or starts it again. On the first start, returns how long the request was
    /// queued.
    pub(super) fn start_run(&mut self, now: Instant) -> Option<Duration> {
        let is_first_start = !std::mem::replace(&mut self.is_started, true);
        self.run_started_at = Some(now);
        if let Some(trace) = &mut self.trace {
            trace.started = trace.started.or(Some(now));
        }
        self.queue_command(Command::Start);
        is_first_start.then(|| now.saturating_duration_since(self.registered_at))
    }

    /// Ends the run. Returns how long it took, or `None` if its end was reported before.
    pub(super) fn finish_run(&mut self, now: Instant) -> Option<Duration> {
        let started_at = self.run_started_at.take()?;
        Some(now.saturating_duration_since(started_at))
    }

    /// Stores the call that the run has reached. Returns false if the run already waits for a call:
    /// a run makes one call at a time, so this notice is a duplicate.
    pub(super) fn reach_call(&mut self, call: u64, body: Bytes) -> bool {
        if self.call.is_some() {
            return false;
        }
        self.call = Some((call, body));
        self.is_calling = false;
        true
    }

    /// Makes the call that the run waits for, or makes it again.
    pub(super) fn start_call(&mut self, timeout: Duration, now: Option<Instant>) {
        if let Some(trace) = &mut self.trace {
            trace.first_call_at = trace.first_call_at.or(now);
            trace.calls += 1;
        }
        if let Some((_, body)) = self.call.clone() {
            self.is_calling = true;
            self.queue_command(Command::StartCall { timeout, body });
        }
    }

    /// Ends the call; a successful one resumes the run with its reply. Returns false if no call is
    /// in flight: a reply that is received after the end of its call is ignored.
    pub(super) fn finish_call(&mut self, outcome: Outcome, reply: Bytes) -> bool {
        if !std::mem::take(&mut self.is_calling) {
            return false;
        }
        if outcome == Outcome::Succeeded {
            self.call = None;
            self.queue_command(Command::Resume { reply });
        }
        true
    }

    /// Resumes the run without the call that it waits for.
    pub(super) fn skip_call(&mut self) {
        if let Some(trace) = &mut self.trace {
            trace.skipped_calls += 1;
        }
        if let Some((call, _)) = self.call.take() {
            self.queue_command(Command::SkipCall { call });
        }
    }

    /// Records how long the run took.
    pub(super) fn record_work(&mut self, work: Option<Duration>) {
        if let Some(trace) = &mut self.trace {
            trace.work = work;
        }
    }

    /// Answers the request and returns the outcome by which it is counted, or `None` if it already
    /// has a final response. Sends no response if the caller is gone.
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
            trace.record_response(&response, self.is_caller_gone, reason, feedback, now);
        }
        if self.is_caller_gone {
            return Some(FinalOutcome::Abandoned);
        }
        let outcome = match response {
            Response::Completed(_) => FinalOutcome::Completed,
            Response::Rejected { .. } => FinalOutcome::Rejected,
            Response::Failed => FinalOutcome::Failed,
        };
        self.queue_command(Command::Respond(response));
        Some(outcome)
    }

    /// Queues a command and wakes the request's coroutine.
    pub(super) fn queue_command(&mut self, command: Command) {
        // The controller repeats a cancellation until the run has ended, so one queued cancellation
        // is enough.
        if command != Command::Cancel || !self.commands.contains(&command) {
            self.commands.push_back(command);
            self.waiter.unpark();
        }
    }
}
