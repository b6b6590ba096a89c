//! The interface of the registry for connections, the executor link, the store client and the
//! timers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;
use tulipgap::{Arrival, Config, Controller, Event, Gauges, HandlerIndex, Idempotency};
use tulipgap_trace::Reason;

use super::key_limits::KeyLimits;
use super::messages::{IncomingRequest, RegisterError, RequestEvent};
use super::metrics::{LongestDelays, RequestCounts};
use super::open_request::OpenRequest;
use super::scoped_key::KeyHasher;
use super::state::RegistryState;
use super::ticket::Ticket;
use crate::clock;
use crate::trace::{RequestTrace, Tracer};

/// How often `tick` checks whether the controller has started.
const START_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Owns all open requests and the controller, behind one lock.
pub(crate) struct RequestRegistry {
    config: Config,
    seed: u64,
    pub(super) state: Arc<Mutex<RegistryState>>,
    key_hasher: KeyHasher,
    tracer: Option<Arc<Tracer>>,
}

impl RequestRegistry {
    /// A registry whose controller is started by [`RequestRegistry::start`]. `seed` is the seed of
    /// the controller's random numbers.
    pub(crate) fn new(
        config: Config,
        seed: u64,
        key_limits: KeyLimits,
        tracer: Option<Arc<Tracer>>,
    ) -> Self {
        let state = RegistryState::new(&config, key_limits, tracer.clone());
        RequestRegistry {
            key_hasher: KeyHasher::default(),
            config,
            seed,
            state: Arc::new(Mutex::new(state)),
            tracer,
        }
    }

    /// Starts the controller. `uptime` is the time since the start of the executor. Only the first
    /// successful call has an effect and returns true. With a cold executor, the controller's clock
    /// starts at the start of the executor, so that the controller knows how far the executor has
    /// warmed up. With a warm executor, the clock starts now, because the controller learns the
    /// speed of the machine in its first seconds.
    pub(crate) fn start(&self, starts_cold: bool, uptime: Duration) -> bool {
        let mut state = self.state.lock();
        if state.is_started() {
            return false;
        }
        let config = Config {
            starts_cold,
            ..self.config.clone()
        };
        let controller = match Controller::new(&config, self.seed) {
            Ok(controller) => controller,
            Err(error) => {
                log::error!("controller not started error=\"{error}\"");
                return false;
            }
        };
        let uptime = if starts_cold { uptime } else { Duration::ZERO };
        let started_at = Instant::now()
            .checked_sub(uptime)
            .unwrap_or_else(Instant::now);
        state.start(controller, started_at);
        true
    }

    /// Registers a request. Its ticket returns the commands for it, including the final response.
    ///
    /// # Errors
    /// [`RegisterError`] if the controller has not started, if the id of the request is open, if its
    /// idempotency key was used with another body, or if there is no room for its key. The request
    /// is then not registered.
    pub(crate) fn register(&self, incoming: IncomingRequest) -> Result<Ticket, RegisterError> {
        let mut state = self.state.lock();
        if !state.is_started() {
            self.record_unregistered(&incoming, Reason::NOT_STARTED);
            return Err(RegisterError::NotStarted);
        }
        if state.is_open(&incoming.id) {
            return Err(RegisterError::DuplicateId);
        }
        let key = self.key_hasher.scoped_key(&incoming);
        state.expire_keys();
        let duplicated_body = state.duplicated_body(key, incoming.age);
        // A key with another body was copied or forged, and its sender must not get the result of
        // the caller that assigned the key.
        if duplicated_body.is_some_and(|body_hash| body_hash != incoming.body_hash) {
            return Err(RegisterError::KeyReused);
        }
        let is_new_key = key.is_some() && duplicated_body.is_none();
        if is_new_key && self.is_keyed(incoming.handler) && state.has_no_room_for_a_key() {
            self.record_unregistered(&incoming, Reason::NO_CAPACITY);
            return Err(RegisterError::KeysFull);
        }
        let waiter = Arc::new(Blocker::new(true));
        let trace = self.new_trace(&incoming);
        let index = state.insert(OpenRequest::new(&incoming, key, waiter.clone(), trace));
        state.notify_controller(Event::Arrived(Arrival {
            request: index,
            handler: incoming.handler,
            tenant: incoming.tenant,
            age: incoming.age,
            client_wait: incoming.client_wait,
            estimated_work: incoming.estimated_work,
            queued_kb: incoming.queued_kb,
            is_retry: incoming.is_retry,
            is_duplicate: duplicated_body.is_some(),
        }));
        state.record_admission(index);
        Ok(Ticket {
            state: self.state.clone(),
            index,
            waiter,
            is_finished_on_arrival: state.is_released(index),
        })
    }

    /// Whether another attempt of the same keyed request is open or has run. Such a duplicate must
    /// not be rejected.
    pub(crate) fn is_duplicate(&self, incoming: &IncomingRequest) -> bool {
        let key = self.key_hasher.scoped_key(incoming);
        let state = self.state.lock();
        state.duplicated_body(key, incoming.age).is_some()
    }

    /// Reports an event of a request. Events of a request that is not open are ignored.
    pub(crate) fn report(&self, id: &str, event: RequestEvent) {
        let mut state = self.state.lock();
        if let Some(index) = state.index_of(id) {
            state.handle_event(index, event);
        }
    }

    /// Fires the timers that are due, with the current gauges. If none is due, blocks until the
    /// next one is due, or for `START_POLL_INTERVAL` if no timer is set.
    pub(crate) fn tick(&self, gauges: impl FnOnce() -> Gauges) {
        let left = self
            .state
            .lock()
            .until_next_timer()
            .unwrap_or(START_POLL_INTERVAL);
        if left.is_zero() {
            self.fire_timers(gauges());
        } else {
            clock::sleep(left);
        }
    }

    /// Fires the timers that are due.
    pub(super) fn fire_timers(&self, gauges: Gauges) {
        self.state.lock().fire_timers(gauges);
    }

    /// Notifies the controller of the shutdown notice that was received at `notice`. The process is
    /// terminated `termination` after the notice.
    pub(crate) fn shutdown_notice(&self, notice: Instant, termination: Duration) {
        self.state.lock().shutdown_notice(notice, termination);
    }

    /// Whether the controller has started, which happens when the executor is up for the first
    /// time.
    pub(crate) fn is_started(&self) -> bool {
        self.state.lock().is_started()
    }

    /// The feedback value that every reply carries.
    pub(crate) fn feedback(&self) -> Option<f64> {
        self.state.lock().feedback()
    }

    /// The time after which edge nodes are to close idle connections.
    pub(crate) fn idle_timeout(&self) -> Duration {
        self.state.lock().idle_timeout()
    }

    /// Whether health checks report this server as healthy.
    pub(crate) fn is_healthy(&self) -> bool {
        self.state.lock().is_healthy()
    }

    /// The number of open requests.
    pub(crate) fn open_count(&self) -> usize {
        self.state.lock().open_count()
    }

    /// The numbers of requests since the start, by outcome.
    pub(crate) fn counts(&self) -> RequestCounts {
        self.state.lock().counts()
    }

    /// The longest delays since the last call of this function.
    pub(crate) fn take_longest_delays(&self) -> LongestDelays {
        self.state.lock().take_longest_delays()
    }

    /// The maximum `retry_after` of a rejection; `None` if rejections carry none.
    pub(crate) fn max_retry_after(&self) -> Option<Duration> {
        self.config.max_retry_after
    }

    /// The client timeouts, by handler.
    pub(crate) fn client_timeouts(&self) -> Vec<Duration> {
        let handlers = self.config.handlers.iter();
        handlers.map(|handler| handler.client_timeout).collect()
    }

    /// Whether requests of a handler may run at most once.
    pub(crate) fn runs_at_most_once(&self, handler: HandlerIndex) -> bool {
        let handler = self.config.handlers.get(handler);
        handler.is_none_or(|handler| handler.idempotency != Idempotency::Idempotent)
    }

    /// Whether requests of a handler run at most once for each idempotency key.
    fn is_keyed(&self, handler: HandlerIndex) -> bool {
        let handler = self.config.handlers.get(handler);
        handler.is_some_and(|handler| handler.idempotency == Idempotency::Keyed)
    }

    /// The tracer, if requests are recorded.
    pub(crate) fn tracer(&self) -> Option<&Arc<Tracer>> {
        self.tracer.as_ref()
    }

    /// Records a request that was rejected before it was registered.
    pub(crate) fn record_unregistered(&self, incoming: &IncomingRequest, reason: Reason) {
        if let (Some(mut trace), Some(tracer)) = (self.new_trace(incoming), &self.tracer) {
            let now = Instant::now();
            trace.record_rejection(reason, now);
            tracer.record(&trace, now);
        }
    }

    fn new_trace(&self, incoming: &IncomingRequest) -> Option<Box<RequestTrace>> {
        let context = incoming.trace.filter(|_| self.tracer.is_some())?;
        Some(Box::new(RequestTrace::new(context, incoming)))
    }
}
