//! The state behind the registry's lock: open requests, and the controller whose actions are
//! applied to them.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slab::Slab;
use tulipgap::{Action, Config, Controller, Event, Gauges, Outcome};
use tulipgap_trace::Reason;

use super::idempotency::IdempotencyKeys;
use super::messages::{Bytes, Command, IdempotencyKey, RequestEvent, RequestId, Response};
use super::metrics::RequestCounts;
use super::open_request::OpenRequest;
use super::timers::Timers;
use crate::invariant;
use crate::trace::{Tracer, recorded_reason};

/// The controller, from the moment that the executor is up.
struct RunningController {
    controller: Controller,
    /// When the controller's clock stood at zero.
    started_at: Instant,
}

/// A shutdown notice: when it was received, and how long after it the process is terminated.
#[derive(Clone, Copy)]
struct ShutdownNotice {
    received_at: Instant,
    termination: Duration,
}

/// The state of all open requests. The registry and the tickets share it behind one lock.
pub(super) struct RegistryState {
    /// None until the executor is up.
    running: Option<RunningController>,
    shutdown: Option<ShutdownNotice>,
    /// The open requests, by the index that the controller knows them by.
    requests: Slab<OpenRequest>,
    indices: HashMap<RequestId, usize>,
    keys: IdempotencyKeys,
    timers: Timers,
    /// The feedback value for replies, as the controller has set it last.
    feedback: Option<f64>,
    /// How long edge nodes may keep unused connections, as the controller has set it last.
    idle_timeout: Duration,
    /// What health checks report, as the controller has set it last.
    is_healthy: bool,
    counts: RequestCounts,
    /// The recording, where there is one.
    tracer: Option<Arc<Tracer>>,
}

impl RegistryState {
    pub(super) fn new(config: &Config, tracer: Option<Arc<Tracer>>) -> Self {
        let client_timeouts = config.handlers.iter().map(|handler| handler.client_timeout);
        RegistryState {
            running: None,
            shutdown: None,
            requests: Slab::new(),
            indices: HashMap::new(),
            keys: IdempotencyKeys::new(client_timeouts.max().unwrap_or_default()),
            timers: Timers::default(),
            feedback: None,
            idle_timeout: config.idle_timeout,
            is_healthy: false,
            counts: RequestCounts::default(),
            tracer,
        }
    }

    /// Starts the controller, whose clock stood at zero at `started_at`.
    pub(super) fn start(&mut self, controller: Controller, started_at: Instant) {
        self.running = Some(RunningController {
            controller,
            started_at,
        });
        self.decide(Event::Started);
        // The notice may be received before the executor is up. Without it, the controller would
        // admit requests that arrive long after the drain has begun.
        self.pass_on_shutdown_notice();
    }

    pub(super) fn is_started(&self) -> bool {
        self.running.is_some()
    }

    pub(super) fn is_open(&self, id: &RequestId) -> bool {
        self.indices.contains_key(id)
    }

    pub(super) fn index_of(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    pub(super) fn open(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn counts(&self) -> RequestCounts {
        RequestCounts {
            open: self.requests.len(),
            ..self.counts
        }
    }

    pub(super) fn feedback(&self) -> Option<f64> {
        self.feedback
    }

    pub(super) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// The time on the controller's clock.
    pub(super) fn now(&self) -> Duration {
        self.running
            .as_ref()
            .map_or(Duration::ZERO, |running| running.started_at.elapsed())
    }

    /// The time now, read only where there is a recording.
    fn trace_time(&self) -> Option<Instant> {
        self.tracer.as_ref().map(|_| Instant::now())
    }

    pub(super) fn insert(&mut self, request: OpenRequest) -> usize {
        let id = request.id.clone();
        let index = self.requests.insert(request);
        self.indices.insert(id, index);
        self.counts.received += 1;
        index
    }

    /// Notes the admission of a request in its recording: it is admitted where the controller has
    /// not answered it on arrival.
    pub(super) fn record_admission(&mut self, index: usize) {
        let now = self.trace_time();
        if let Some(request) = self.requests.get_mut(index) {
            request.record_admission(now);
        }
    }

    pub(super) fn expire_keys(&mut self) {
        self.keys.expire(self.now());
    }

    /// The body hash of the remembered request that a request with this key duplicates; none where
    /// it is no duplicate. `age` is how long ago the request reached the machine.
    pub(super) fn duplicated_body(
        &self,
        key: Option<&IdempotencyKey>,
        age: Duration,
    ) -> Option<u64> {
        self.keys
            .duplicated_body(key, self.now().saturating_sub(age))
    }

    pub(super) fn next_command(&mut self, index: usize) -> Option<Command> {
        self.requests[index].next_command()
    }

    /// The coroutine of a request has ended. Returns false where the request is still open.
    pub(super) fn detach(&mut self, index: usize) -> bool {
        let request = &mut self.requests[index];
        request.is_detached = true;
        let is_released = request.is_released;
        if is_released {
            self.requests.remove(index);
        }
        is_released
    }

    /// The time until the next timer is due; none before the controller has started.
    pub(super) fn until_next_timer(&self) -> Option<Duration> {
        self.timers.until_next(self.now())
    }

    /// Notifies the controller where a timer is due.
    pub(super) fn fire_timers(&mut self, gauges: Gauges) {
        let now = self.now();
        if self.timers.take_due(now) {
            self.decide(Event::TimerFired { gauges });
        }
    }

    pub(super) fn shutdown_notice(&mut self, received_at: Instant, termination: Duration) {
        self.shutdown = Some(ShutdownNotice {
            received_at,
            termination,
        });
        self.pass_on_shutdown_notice();
    }

    /// Notifies the controller, if it has started. The drain grace counts from the notice, however
    /// late the controller is notified.
    fn pass_on_shutdown_notice(&mut self) {
        if let Some(ShutdownNotice {
            received_at,
            termination,
        }) = self.shutdown
        {
            let since = received_at.elapsed();
            self.decide(Event::ShutdownNotice {
                since,
                left: termination.saturating_sub(since),
            });
        }
    }

    /// Handles an event of an open request, and passes it to the controller.
    pub(super) fn handle_event(&mut self, index: usize, event: RequestEvent) {
        let Some(request) = self
            .requests
            .get_mut(index)
            .filter(|request| !request.is_released)
        else {
            return;
        };
        // A request without a run has no events of a run.
        if !request.is_started && !matches!(event, RequestEvent::CallerGone) {
            return;
        }
        match event {
            RequestEvent::CallerGone => {
                request.is_caller_gone = true;
                self.decide(Event::CallerGone { request: index });
            }
            RequestEvent::CallReached { call, body } => {
                if request.reach_call(call, body) {
                    self.decide(Event::ReachedCall { request: index });
                }
            }
            RequestEvent::CallFinished { outcome, reply } => {
                if request.finish_call(outcome, reply) {
                    self.decide(Event::CallFinished {
                        request: index,
                        outcome,
                    });
                }
            }
            RequestEvent::RunFinished {
                outcome,
                result,
                work,
            } => {
                request.record_work(work);
                self.run_finished(index, outcome, result);
            }
        }
    }

    fn run_finished(&mut self, index: usize, outcome: Outcome, result: Bytes) {
        let response = match outcome {
            Outcome::Succeeded => Response::Completed(result),
            _ => Response::Failed,
        };
        match outcome {
            Outcome::Succeeded => self.respond(index, response.clone(), Reason::NONE),
            Outcome::Failed => self.respond(index, response.clone(), Reason::RUN_FAILED),
            // Nothing ran, so a request with its key is no duplicate.
            Outcome::NotStarted => self.forget_key(index),
            _ => {}
        }
        self.settle_key(index, response);
        self.decide(Event::Finished {
            request: index,
            outcome,
        });
    }

    /// Sends a final response, unless the request has one.
    fn respond(&mut self, index: usize, response: Response, reason: Reason) {
        let (now, feedback) = (self.trace_time(), self.feedback);
        let request = &mut self.requests[index];
        if let Some(outcome) = request.answer(response, reason, feedback, now) {
            self.counts.count(outcome);
        }
    }

    fn settle_key(&mut self, index: usize, response: Response) {
        if let Some(key) = &self.requests[index].key {
            self.keys.settle(key, index, response);
        }
    }

    fn forget_key(&mut self, index: usize) {
        if let Some(key) = &self.requests[index].key {
            self.keys.forget(key, index);
        }
    }

    /// Lets the controller decide on what happened, and on what its actions bring about in turn.
    pub(super) fn decide(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let now = self.now();
            let Some(running) = self.running.as_mut() else {
                return;
            };
            let actions = running
                .controller
                .handle_events(now, &std::mem::take(&mut events));
            for action in actions {
                self.apply(action, now);
            }
            events = self.answer_coalesced();
        }
    }

    fn apply(&mut self, action: Action, now: Duration) {
        match action {
            Action::Start { request } => {
                let now = self.trace_time();
                self.requests[request].start_run(now);
            }
            Action::Reject {
                request,
                retry_after,
                retry_other_server,
                reason,
            } => {
                invariant!(
                    !self.requests[request].is_answered,
                    "a request is answered once"
                );
                let response = Response::Rejected {
                    retry_after,
                    retry_other_server,
                };
                self.respond(request, response, recorded_reason(reason));
            }
            Action::Fail { request, reason } => {
                invariant!(
                    !self.requests[request].is_answered,
                    "a request is answered once"
                );
                self.respond(request, Response::Failed, recorded_reason(reason));
            }
            Action::Cancel { request } => self.requests[request].send(Command::Cancel),
            Action::Coalesce { request } => {
                let key = self.requests[request].key.clone().unwrap_or_default();
                self.keys.coalesce(key, request);
            }
            Action::RememberKey { request, retention } => {
                let OpenRequest { key, body_hash, .. } = &self.requests[request];
                if let Some(key) = key.clone() {
                    self.keys.remember(key, request, *body_hash, now, retention);
                }
            }
            Action::ForgetKey { request } => {
                self.forget_key(request);
                self.settle_key(request, Response::Failed);
            }
            Action::StartCall { request, timeout } => {
                let now = self.trace_time();
                self.requests[request].start_call(timeout, now);
            }
            Action::SkipCall { request } => self.requests[request].skip_call(),
            Action::SetFeedback { value } => self.feedback = Some(value),
            Action::SetIdleTimeout { timeout } => self.idle_timeout = timeout,
            Action::SetHealth { healthy } => self.is_healthy = healthy,
            Action::SetTimer { at } => self.timers.set(at),
            Action::Release { request } => self.release(request),
        }
    }

    fn release(&mut self, index: usize) {
        // The run has ended without a result, and the controller has left the request unanswered.
        self.respond(index, Response::Failed, Reason::CANCELLED);
        if let (Some(trace), Some(tracer)) = (self.requests[index].trace.take(), &self.tracer) {
            tracer.record(&trace, Instant::now());
        }
        self.settle_key(index, Response::Failed);
        if let Some(key) = &self.requests[index].key {
            self.keys.leave(key, index);
        }
        let request = &mut self.requests[index];
        request.is_released = true;
        request.send(Command::Finish);
        self.indices.remove(&request.id);
        if request.is_detached {
            self.requests.remove(index);
        }
    }

    /// Answers coalesced requests whose first attempt has ended, and returns the events of their
    /// ends.
    fn answer_coalesced(&mut self) -> Vec<Event> {
        let now = self.now();
        let mut events = Vec::new();
        for (index, response) in self.keys.take_answered(now) {
            if self
                .requests
                .get(index)
                .is_none_or(|request| request.is_released)
            {
                continue;
            }
            let (response, outcome, reason) = match response {
                Response::Completed(_) => (response, Outcome::Succeeded, Reason::COALESCED),
                _ => (Response::Failed, Outcome::Failed, Reason::ORIGINAL_FAILED),
            };
            self.respond(index, response, reason);
            events.push(Event::Finished {
                request: index,
                outcome,
            });
        }
        events
    }

    /// Moves the controller's clock on, without waiting.
    #[cfg(test)]
    pub(super) fn skip_time(&mut self, span: Duration) {
        let running = self.running.as_mut().expect("the controller has started");
        let earlier = running.started_at.checked_sub(span);
        running.started_at = earlier.expect("the machine is up for long enough");
    }

    #[cfg(test)]
    pub(super) fn request(&self, id: &str) -> Option<&OpenRequest> {
        self.requests.get(self.index_of(id)?)
    }

    #[cfg(test)]
    pub(super) fn key_sizes(&self) -> (usize, usize, usize) {
        self.keys.sizes()
    }
}
