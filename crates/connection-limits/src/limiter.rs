//! The state machine: its API, the dispatch of events, and the life of a connection.

use std::time::Duration;

use crate::config::{Config, ConfigError, FullPolicy};
use crate::connection::Connection;
use crate::descriptor_budget::{DescriptorBudget, DescriptorOwner};
use crate::event::{AcceptError, Action, CloseReason, ConnectionId, Event};
use crate::eviction::{EvictionClass, Urgency};
use crate::known_clients::KnownClients;
use crate::linked_queues::LinkedQueues;
use crate::network_counts::NetworkCounts;
use crate::network_prefix::EnclosingNetworks;
use crate::rate_sketch::RateSketch;
use crate::timer_wheel::TimerWheel;

/// The window over which the rate of new connections is measured.
pub(crate) const RATE_WINDOW: Duration = Duration::from_secs(3);
/// The columns of the sketch of rates: 256 KB in all.
const SKETCH_COLUMNS: usize = 4096;
/// Tells the seed of the sketch from that of the other hash tables.
const SKETCH_SEED: u64 = 0x5EED;
/// The number of clients whose reputation is remembered, for each connection of the capacity.
const REMEMBERED_CLIENTS_FACTOR: usize = 4;
/// The resolution of deadlines.
const TIMER_TICK: Duration = Duration::from_millis(10);
/// How long no connection is accepted when the process has no descriptor left.
const PROCESS_LIMIT_PAUSE: Duration = Duration::from_millis(20);
/// The same when the system has none.
const SYSTEM_LIMIT_PAUSE: Duration = Duration::from_millis(100);
/// The same when the system has no memory.
const OUT_OF_MEMORY_PAUSE: Duration = Duration::from_millis(200);

/// Decides on the connections of one listener.
///
/// It owns the record of each connection, the budget of descriptors and the reputation of clients;
/// the host owns the connections themselves.
pub struct Limiter {
    pub(crate) config: Config,
    pub(crate) descriptors: DescriptorBudget,
    /// The most connections there can be.
    pub(crate) capacity: usize,
    /// The open connections by their index.
    pub(crate) connections: Vec<Option<Connection>>,
    pub(crate) open_connections: usize,
    /// The open connections of each address and network.
    pub(crate) network_counts: NetworkCounts,
    /// The connections that each address and network opened recently.
    pub(crate) open_rates: RateSketch,
    pub(crate) known_clients: KnownClients,
    /// The connections that may be evicted, a queue for each class.
    pub(crate) eviction_queues: LinkedQueues,
    pub(crate) timers: TimerWheel,
    /// The buffer of the expired timers, kept to be reused.
    pub(crate) expired: Vec<usize>,
    pub(crate) is_draining: bool,
    /// The timer that the host has set.
    pub(crate) timer_at: Option<Duration>,
}

impl Limiter {
    /// Creates a limiter without connections. `seed` determines its hashes and random choices.
    ///
    /// # Errors
    ///
    /// [`ConfigError::ReservationsExceedLimit`] where more descriptors are reserved than there are.
    pub fn new(config: Config, seed: u64) -> Result<Self, ConfigError> {
        let descriptors = DescriptorBudget::new(config.max_descriptors, &config.reservations)?;
        let capacity = descriptors
            .available(DescriptorOwner::NewClients)
            .max(descriptors.available(DescriptorOwner::KnownClients));
        let max_networks = (capacity + 1) * EnclosingNetworks::COUNT;
        let max_clients = capacity * REMEMBERED_CLIENTS_FACTOR;
        Ok(Limiter {
            network_counts: NetworkCounts::new(max_networks, seed),
            open_rates: RateSketch::new(RATE_WINDOW, SKETCH_COLUMNS, seed ^ SKETCH_SEED),
            known_clients: KnownClients::new(max_clients, config.reputation_half_life, seed),
            eviction_queues: LinkedQueues::new(EvictionClass::ALL.len()),
            timers: TimerWheel::new(TIMER_TICK),
            connections: Vec::new(),
            open_connections: 0,
            expired: Vec::new(),
            is_draining: false,
            timer_at: None,
            capacity,
            descriptors,
            config,
        })
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open_connections
    }

    /// The budget of descriptors.
    pub fn descriptors(&self) -> &DescriptorBudget {
        &self.descriptors
    }

    /// Handles an event, and the deadlines that have come by `now`, the time since a start that the
    /// host chooses. Appends the actions in the order in which the host is to carry them out; the
    /// caller may reuse the buffer.
    pub fn handle_event(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Accepted {
                connection,
                address,
            } => {
                self.handle_accepted(now, connection, address, actions);
            }
            Event::MessageStarted { connection } => self.handle_message_started(now, connection),
            Event::MessageCompleted { connection } => {
                self.handle_message_completed(now, connection)
            }
            Event::RequestStarted { connection } => self.handle_request_started(now, connection),
            Event::RequestFinished {
                connection,
                is_answered,
            } => {
                self.handle_request_finished(now, connection, is_answered, actions);
            }
            Event::ProtocolViolation { connection } => {
                self.handle_protocol_violation(now, connection)
            }
            Event::Closed { connection } => self.handle_closed(connection),
            Event::AcceptFailed { error } => self.handle_accept_failed(now, error, actions),
            Event::SetIdleTimeout { timeout } => self.config.idle_timeout = timeout,
            Event::Drain => self.drain(now, actions),
            Event::TimerExpired => self.timer_at = None,
        }
        self.advance_time(now, actions);
    }

    /// Whether a connection may be accepted without an eviction.
    pub(crate) fn has_room_to_accept(&self) -> bool {
        self.config.full_policy == FullPolicy::Reject
            || self.descriptors.available(DescriptorOwner::NewClients) > 0
    }

    pub(crate) fn connection(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(id.0).and_then(Option::as_ref)
    }

    pub(crate) fn connection_mut(&mut self, id: ConnectionId) -> Option<&mut Connection> {
        self.connections.get_mut(id.0).and_then(Option::as_mut)
    }

    fn handle_message_started(&mut self, now: Duration, id: ConnectionId) {
        let deadline = now.saturating_add(self.config.message_timeout);
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if connection.partial_message_since.is_some() {
            return;
        }
        connection.partial_message_since = Some(now);
        // The time limit of the first message counts from when the connection was accepted.
        if connection.message_awaited_since.is_none() {
            connection.message_awaited_since = Some(now);
            self.timers.set(id.0, deadline);
        }
        self.update_eviction_class(id);
    }

    fn handle_message_completed(&mut self, now: Duration, id: ConnectionId) {
        let deadline = now.saturating_add(self.config.idle_timeout);
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        connection.has_sent_message = true;
        connection.last_used_at = now;
        connection.message_awaited_since = None;
        connection.partial_message_since = None;
        self.timers.set(id.0, deadline);
        self.update_eviction_class(id);
    }

    fn handle_request_started(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        connection.open_requests += 1;
        connection.last_used_at = now;
        self.update_eviction_class(id);
    }

    fn handle_request_finished(
        &mut self,
        now: Duration,
        id: ConnectionId,
        is_answered: bool,
        actions: &mut Vec<Action>,
    ) {
        let (idle_timeout, close_timeout) = (self.config.idle_timeout, self.close_timeout());
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        connection.open_requests = connection.open_requests.saturating_sub(1);
        connection.last_used_at = now;
        let address = connection.address;
        let has_timed_out = connection.is_message_overdue && connection.open_requests == 0;
        if connection.is_idle() {
            let deadline = match connection.close_requested_at {
                Some(requested_at) => requested_at.saturating_add(close_timeout),
                None => now.saturating_add(idle_timeout),
            };
            self.timers.set(id.0, deadline);
        }
        self.update_eviction_class(id);
        if is_answered {
            self.known_clients.record_success(now, address);
        }
        if has_timed_out {
            self.close(id, CloseReason::MessageTimeout, actions);
        }
    }

    fn handle_protocol_violation(&mut self, now: Duration, id: ConnectionId) {
        if let Some(address) = self.connection(id).map(|connection| connection.address) {
            self.known_clients.record_violation(now, address);
        }
    }

    fn handle_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id.0).and_then(Option::take) else {
            return;
        };
        self.eviction_queues.remove(id.0);
        self.timers.cancel(id.0);
        self.descriptors.release(connection.owner);
        for network in EnclosingNetworks::of(connection.address).all() {
            self.network_counts.decrement(network);
        }
        self.open_connections -= 1;
    }

    fn handle_accept_failed(
        &mut self,
        now: Duration,
        error: AcceptError,
        actions: &mut Vec<Action>,
    ) {
        let pause = match error {
            // A connection that was closed before says nothing of the next.
            AcceptError::ConnectionAborted => return,
            AcceptError::ProcessDescriptorLimit => PROCESS_LIMIT_PAUSE,
            AcceptError::SystemDescriptorLimit => SYSTEM_LIMIT_PAUSE,
            AcceptError::OutOfMemory => OUT_OF_MEMORY_PAUSE,
        };
        // Descriptors are in use that the budget does not know of.
        self.make_room(now, Urgency::Immediate, None, actions);
        actions.push(Action::PauseAccepting {
            until: now.saturating_add(pause),
        });
    }

    fn drain(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.is_draining = true;
        for index in 0..self.connections.len() {
            self.request_close(now, ConnectionId(index), actions);
        }
    }
}
