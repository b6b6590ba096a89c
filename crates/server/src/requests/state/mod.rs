//! The state under the registry's lock: the open requests, and the controller whose actions are
//! applied to them.
//!
//! - [`events`]: handles events of requests and notifies the controller.
//! - [`actions`]: applies the controller's actions.
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
use super::idle_rejections::IdleRejections;
use super::key_limits::KeyLimits;
use super::messages::{Command, RequestId};
use super::metrics::{LongestDelays, RequestCounts};
use super::open_request::OpenRequest;
use super::timers::Timers;
use crate::trace::Tracer;

/// A controller that has started.
struct RunningController {
    controller: Controller,
    /// The zero point of the controller's clock.
    started_at: Instant,
}

/// The state of all open requests. The registry and the tickets share it under one lock.
pub(super) struct RegistryState {
    /// `None` until the executor is up.
    running: Option<RunningController>,
    shutdown: Option<ShutdownNotice>,
    /// The open requests, by the index by which the controller identifies them.
    requests: Slab<OpenRequest>,
    indices: HashMap<RequestId, usize>,
    keys: IdempotencyKeys,
    timers: Timers,
    /// The feedback value for replies that the controller set last.
    feedback: Option<f64>,
    /// How long edge nodes may keep idle connections, as the controller set it last.
    idle_timeout: Duration,
    /// Whether health checks report this server as healthy, as the controller set it last.
    is_healthy: bool,
    counts: RequestCounts,
    idle_rejections: IdleRejections,
    /// The longest delays since they were last taken.
    longest_delays: LongestDelays,
    /// The tracer, if requests are recorded.
    tracer: Option<Arc<Tracer>>,
}

impl RegistryState {
    /// Creates a state without open requests, whose controller has not started.
    pub(super) fn new(config: &Config, key_limits: KeyLimits, tracer: Option<Arc<Tracer>>) -> Self {
        let client_timeouts = config.handlers.iter().map(|handler| handler.client_timeout);
        RegistryState {
            running: None,
            shutdown: None,
            requests: Slab::new(),
            indices: HashMap::new(),
            keys: IdempotencyKeys::new(key_limits, client_timeouts.max().unwrap_or_default()),
            timers: Timers::default(),
            feedback: None,
            idle_timeout: config.idle_timeout,
            is_healthy: false,
            counts: RequestCounts::default(),
            idle_rejections: IdleRejections::default(),
            longest_delays: LongestDelays::default(),
            tracer,
        }
    }

    /// Starts the controller. The zero point of its clock is `started_at`.
    pub(super) fn start(&mut self, controller: Controller, started_at: Instant) {
        self.running = Some(RunningController {
            controller,
            started_at,
        });
        self.notify_controller(Event::Started);
        // A shutdown notice may have been received before the executor was up. Without it, the
        // controller would admit requests that arrive long after the drain has begun.
        self.forward_shutdown_notice();
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
    pub(super) fn open_count(&self) -> usize {
        self.requests.len()
    }

    /// The numbers of requests since the start, by outcome.
    pub(super) fn counts(&self) -> RequestCounts {
        RequestCounts {
            open: self.requests.len(),
            ..self.counts
        }
    }

    /// The longest delays since the last call of this function.
    pub(super) fn take_longest_delays(&mut self) -> LongestDelays {
        std::mem::take(&mut self.longest_delays)
    }

    /// The feedback value that every reply carries; `None` before the controller has set one.
    pub(super) fn feedback(&self) -> Option<f64> {
        self.feedback
    }

    /// How long edge nodes may keep idle connections.
    pub(super) fn idle_timeout(&self) -> Duration {
        self.idle_timeout
    }

    /// Whether health checks report this server as healthy.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// The current time; `None` if requests are not recorded.
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

    /// Records the admission of a request, unless the controller has answered it on arrival.
    pub(super) fn record_admission(&mut self, index: usize) {
        let now = self.trace_time();
        if let Some(request) = self.requests.get_mut(index) {
            request.record_admission(now);
        }
    }

    /// Whether the controller has released a request, so that no command is added to it.
    pub(super) fn is_released(&self, index: usize) -> bool {
        self.requests[index].is_released
    }

    /// Takes the next command for the coroutine of a request.
    pub(super) fn next_command(&mut self, index: usize) -> Option<Command> {
        self.requests[index].next_command()
    }

    /// Handles the end of a request's coroutine. Returns false if the request is still open.
    pub(super) fn detach(&mut self, index: usize) -> bool {
        let request = &mut self.requests[index];
        request.is_detached = true;
        let is_released = request.is_released;
        if is_released {
            self.requests.remove(index);
        }
        is_released
    }

    /// Advances the controller's clock without waiting.
    #[cfg(test)]
    pub(super) fn advance_clock(&mut self, span: Duration) {
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
