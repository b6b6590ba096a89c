//! The state behind the registry's lock: open requests, and the controller whose actions are
//! applied to them.
//!
//! - [`events`]: what happens to a request, and the controller's decision on it.
//! - [`actions`]: applies what the controller has decided.
//! - [`key_actions`]: remembers idempotency keys and answers coalesced requests.
//! - [`schedule`]: the controller's clock and timers, and the shutdown notice.

mod actions;
mod events;
mod key_actions;
mod schedule;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use slab::Slab;
use tulipgap::{Config, Controller, Event};

use self::schedule::ShutdownNotice;
use super::idempotency::IdempotencyKeys;
use super::messages::{Command, RequestId};
use super::metrics::{LongestDelays, RequestCounts};
use super::open_request::OpenRequest;
use super::timers::Timers;
use crate::trace::Tracer;

/// The controller, from the moment that the executor is up.
struct RunningController {
    controller: Controller,
    /// When the controller's clock stood at zero.
    started_at: Instant,
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
    /// Since they were last taken.
    longest_delays: LongestDelays,
    /// The recording, where there is one.
    tracer: Option<Arc<Tracer>>,
}

impl RegistryState {
    /// No open requests, and a controller that has not started.
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
            longest_delays: LongestDelays::default(),
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

    /// Whether the controller has started.
    pub(super) fn is_started(&self) -> bool {
        self.running.is_some()
    }

    /// Whether a request with this id is open.
    pub(super) fn is_open(&self, id: &RequestId) -> bool {
        self.indices.contains_key(id)
    }

    /// The index of the open request with this id.
    pub(super) fn index_of(&self, id: &str) -> Option<usize> {
        self.indices.get(id).copied()
    }

    /// The number of open requests.
    pub(super) fn open(&self) -> usize {
        self.requests.len()
    }

    /// The requests since the start, by their outcome.
    pub(super) fn counts(&self) -> RequestCounts {
        RequestCounts {
            open: self.requests.len(),
            ..self.counts
        }
    }

    /// The longest delays since this was last asked.
    pub(super) fn take_longest_delays(&mut self) -> LongestDelays {
        std::mem::take(&mut self.longest_delays)
    }

    /// The feedback value that every reply carries; none before the controller has set it.
    pub(super) fn feedback(&self) -> Option<f64> {
        self.feedback
    }

    /// How long edge nodes may keep unused connections.
    pub(super) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// What health checks report.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// The time now, read only where there is a recording.
    fn trace_time(&self) -> Option<Instant> {
        self.tracer.as_ref().map(|_| Instant::now())
    }

    /// Adds an open request, and returns its index.
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

    /// Whether the controller has released a request: no command is added to those that it has.
    pub(super) fn is_released(&self, index: usize) -> bool {
        self.requests[index].is_released
    }

    /// Takes the next command for the coroutine of a request.
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
