//! The state machine: its API, the dispatch of events, and the life cycle of a connection. Each
//! rule has a separate module; `closing.rs` applies the rules by which connections end.

mod closing;

use std::net::IpAddr;
use std::time::Duration;

use crate::accept_pause::accept_pause;
use crate::backlog_wait::BacklogWait;
use crate::config::{Config, ConfigError, FullPolicy};
use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::deadlines::Deadlines;
use crate::descriptor_budget::DescriptorBudget;
use crate::descriptor_owner::DescriptorOwner;
use crate::event::{AcceptError, Action, ConnectionId, Event, RejectReason};
use crate::eviction::{EvictionQueues, Urgency};
use crate::known_clients::KnownClients;
use crate::linked_queues::LinkedQueues;
use crate::network_limiter::NetworkLimiter;
use crate::pending_closes::PendingCloses;
use crate::slow_start::{OpenConnections, SlowStart};
use crate::timeouts::Timeouts;

/// The number of clients whose reputation is stored, per connection of the capacity.
const REMEMBERED_CLIENTS_FACTOR: usize = 4;
/// The queue of [`Limiter::accept_order`], which has no other.
const ACCEPT_ORDER_QUEUE: usize = 0;
/// The fraction of the capacity beyond which connections are evicted gradually, so that a
/// descriptor is free before the next client connects.
const SATURATION_FRACTION: f64 = 0.85;

/// Decides on the connections of one listener.
///
/// It owns the record of each connection, the budget of descriptors and the reputation of clients;
/// the host owns the connections themselves.
pub struct Limiter {
    full_policy: FullPolicy,
    timeouts: Timeouts,
    /// The maximum number of open connections.
    capacity: usize,
    descriptors: DescriptorBudget,
    connections: ConnectionTable,
    network_limiter: NetworkLimiter,
    slow_start: SlowStart,
    known_clients: KnownClients,
    eviction_queues: EvictionQueues,
    /// The connections that were not asked to close, the oldest first.
    accept_order: LinkedQueues,
    backlog_wait: BacklogWait,
    deadlines: Deadlines,
    phase: Phase,
    /// The connections that the host was recently instructed to close.
    pending_closes: PendingCloses,
}

/// The progress of the server's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    /// The shutdown notice was received, and the server still serves.
    ShutdownNotified,
    /// The server drains: clients are asked to close all connections.
    Draining,
}

impl Limiter {
    /// Creates a limiter without connections. `seed` determines its hashes and random choices.
    ///
    /// # Errors
    ///
    /// [`ConfigError::ReservationsExceedLimit`] if the reservations exceed the number of
    /// descriptors.
    pub fn new(config: Config, seed: u64) -> Result<Self, ConfigError> {
        let descriptors = DescriptorBudget::new(config.max_descriptors, &config.reservations)?;
        let capacity = descriptors
            .available(DescriptorOwner::NewClients)
            .max(descriptors.available(DescriptorOwner::KnownClients));
        Ok(Limiter {
            full_policy: config.full_policy,
            timeouts: Timeouts::new(config.message_timeout, config.idle_timeout),
            capacity,
            descriptors,
            connections: ConnectionTable::default(),
            network_limiter: NetworkLimiter::new(config.network_limits, capacity, seed),
            slow_start: SlowStart {
                cold_start_fraction: config.cold_start_fraction,
                warm_up: config.warm_up,
            },
            known_clients: KnownClients::new(
                config.trusted_networks,
                capacity * REMEMBERED_CLIENTS_FACTOR,
                config.reputation_half_life,
                seed,
            ),
            eviction_queues: EvictionQueues::new(),
            accept_order: LinkedQueues::new(ACCEPT_ORDER_QUEUE + 1),
            backlog_wait: BacklogWait::default(),
            deadlines: Deadlines::new(),
            phase: Phase::Serving,
            pending_closes: PendingCloses::default(),
        })
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.connections.open()
    }

    /// The budget of descriptors.
    pub fn descriptors(&self) -> &DescriptorBudget {
        &self.descriptors
    }

    /// Whether another connection may be accepted without an eviction. Under [`FullPolicy::Reject`]
    /// one always may, since a full server rejects the connection after accepting it.
    pub fn may_accept_at_once(&self) -> bool {
        let rejects_when_full = self.full_policy == FullPolicy::Reject;
        rejects_when_full || self.descriptors.available(DescriptorOwner::NewClients) > 0
    }

    /// Whether another connection may be accepted now. Under [`FullPolicy::Wait`] a full server
    /// evicts a connection, so that a descriptor is free for the next one in the backlog. If
    /// connections wait in the backlog for too long, it asks connections in use to close. After the
    /// shutdown notice it evicts one for each connection in the backlog, or one at each call if
    /// their number is not known.
    pub fn may_accept(
        &mut self,
        now: Duration,
        backlog: Option<usize>,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.may_accept_at_once() {
            return true;
        }
        let urgency = match self.phase {
            Phase::Serving => Urgency::Backlog,
            Phase::ShutdownNotified => Urgency::ShutdownBacklog,
            Phase::Draining => Urgency::DrainBacklog,
        };
        match backlog {
            Some(waiting) if self.is_shutting_down() => {
                self.evict_for_backlog(now, waiting, urgency, actions);
            }
            _ => self.evict_one(now, urgency, actions),
        }
        self.limit_backlog_wait(now, backlog, actions);
        false
    }

    /// Whether the server received the shutdown notice. A full server then frees descriptors within
    /// a short time.
    pub fn is_shutting_down(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// The maximum number of open connections.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether there is a connection that has sent nothing yet. A full server then frees a
    /// descriptor within a short time: either the first message arrives, so that idle connections
    /// may be evicted, or the silent connection itself is evicted.
    pub fn has_silent_connection(&self) -> bool {
        self.eviction_queues.has_silent()
    }

    /// Handles an event and the deadlines that have expired at `now`, the time since the start of
    /// the host, at which the warm-up begins. Appends the actions in the order in which the host
    /// must carry them out; the caller may reuse the buffer.
    pub fn handle_event(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Accepted {
                connection,
                address,
            } => self.handle_accepted(now, connection, address, actions),
            Event::MessageStarted { connection } => self.handle_message_started(now, connection),
            Event::MessageCompleted { connection } => {
                self.handle_message_completed(now, connection);
            }
            Event::RequestStarted { connection } => self.handle_request_started(now, connection),
            Event::RequestFinished {
                connection,
                is_answered,
            } => self.handle_request_finished(now, connection, is_answered, actions),
            Event::RequestRejected { connection } => self.handle_request_rejected(now, connection),
            Event::ProtocolViolation { connection } => {
                self.handle_protocol_violation(now, connection);
            }
            Event::Closed { connection } => self.handle_closed(connection),
            Event::AcceptFailed { error } => self.handle_accept_failed(now, error, actions),
            Event::SetIdleTimeout { timeout } => self.timeouts.idle = timeout,
            Event::ShutdownNotice => self.handle_shutdown_notice(),
            Event::Drain => self.drain(now, actions),
            Event::TimerExpired => self.deadlines.timer_expired(),
        }
        self.advance_time(now, actions);
    }

    /// Serves or rejects an accepted connection.
    fn handle_accepted(
        &mut self,
        now: Duration,
        id: ConnectionId,
        address: IpAddr,
        actions: &mut Vec<Action>,
    ) {
        let address = address.to_canonical();
        let is_known = self.known_clients.is_known(now, address);
        let urgency = Urgency::Gradual {
            for_known_client: is_known,
        };
        if let Err(reason) = self.admit(now, address, is_known) {
            if reason == RejectReason::Full {
                // Frees a descriptor for the next connection, if a connection may be evicted.
                self.evict_one(now, urgency, actions);
            }
            return actions.push(Action::Reject {
                connection: id,
                reason,
            });
        }
        self.open(now, id, address, DescriptorOwner::of_client(is_known));
        actions.push(Action::Serve { connection: id });
        // The eviction precedes the queueing of the new connection, so that the new connection is
        // not evicted itself.
        if self.connections.open() as f64 > self.capacity as f64 * SATURATION_FRACTION {
            self.evict_one(now, urgency, actions);
        }
        self.update_eviction_class(id);
        self.deadlines
            .set(id, now.saturating_add(self.timeouts.message));
        if self.phase == Phase::Draining {
            self.request_close(now, id, actions);
        }
    }

    /// Checks a new connection against all limits and returns the first limit that it exceeds.
    fn admit(
        &mut self,
        now: Duration,
        address: IpAddr,
        is_known: bool,
    ) -> Result<(), RejectReason> {
        self.network_limiter.admit(now, address, is_known)?;
        let open_connections = OpenConnections {
            capacity: self.capacity,
            total: self.connections.open(),
            of_address: self.network_limiter.open_connections(address),
            addresses: self.network_limiter.estimated_addresses(),
        };
        if !self.slow_start.may_accept(now, &open_connections) {
            return Err(RejectReason::WarmingUp);
        }
        let owner = DescriptorOwner::of_client(is_known);
        if self.descriptors.available(owner) == 0 {
            return Err(RejectReason::Full);
        }
        Ok(())
    }

    /// Acquires the descriptor of a connection that is served, and records the connection.
    fn open(&mut self, now: Duration, id: ConnectionId, address: IpAddr, owner: DescriptorOwner) {
        let is_acquired = self.descriptors.try_acquire(owner);
        debug_assert!(
            is_acquired,
            "invariant: a connection that is served has a descriptor"
        );
        self.backlog_wait.end();
        self.network_limiter.record_open(address);
        self.connections
            .insert(id, Connection::new(address, owner, now));
        self.accept_order.push_back(id.0, ACCEPT_ORDER_QUEUE);
    }

    fn handle_message_started(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.partial_message_since.is_some() {
            return;
        }
        connection.partial_message_since = Some(now);
        // The timeout of the first message already runs since the connection was accepted.
        if connection.message_awaited_since.is_none() {
            connection.message_awaited_since = Some(now);
            self.deadlines
                .set(id, now.saturating_add(self.timeouts.message));
        }
        self.update_eviction_class(id);
    }

    fn handle_message_completed(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.has_sent_message = true;
        connection.last_used_at = now;
        connection.message_awaited_since = None;
        connection.partial_message_since = None;
        let deadline = self.timeouts.deadline_after_message(connection, now);
        self.deadlines.set(id, deadline);
        self.update_eviction_class(id);
    }

    fn handle_request_started(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
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
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.open_requests = connection.open_requests.saturating_sub(1);
        connection.last_used_at = now;
        if is_answered {
            connection.last_served_at = Some(now);
        }
        let address = connection.address;
        let overdue = connection
            .overdue()
            .filter(|_| connection.open_requests == 0);
        if connection.is_idle() {
            let deadline = self.timeouts.idle_deadline(connection, now);
            self.deadlines.set(id, deadline);
        }
        self.update_eviction_class(id);
        if is_answered {
            self.known_clients.record_success(now, address);
        }
        if let Some(reason) = overdue {
            self.close(now, id, reason, actions);
        }
    }

    fn handle_request_rejected(&mut self, now: Duration, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        connection.last_rejected_at = Some(now);
        self.update_eviction_class(id);
    }

    fn handle_protocol_violation(&mut self, now: Duration, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            self.known_clients.record_violation(now, connection.address);
        }
    }

    fn handle_closed(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        self.pending_closes.remove(id);
        self.eviction_queues.remove(id);
        self.accept_order.remove(id.0);
        self.deadlines.cancel(id);
        self.descriptors.release(connection.owner);
        self.network_limiter.record_close(connection.address);
    }

    fn handle_accept_failed(
        &mut self,
        now: Duration,
        error: AcceptError,
        actions: &mut Vec<Action>,
    ) {
        let Some(pause) = accept_pause(error) else {
            return;
        };
        if error.is_shortage() {
            // The budget does not count all descriptors that are in use.
            self.evict_one(now, Urgency::Immediate, actions);
        }
        actions.push(Action::PauseAccepting {
            until: now.saturating_add(pause),
        });
    }

    fn handle_shutdown_notice(&mut self) {
        if self.phase == Phase::Serving {
            self.phase = Phase::ShutdownNotified;
        }
    }

    fn drain(&mut self, now: Duration, actions: &mut Vec<Action>) {
        self.phase = Phase::Draining;
        self.timeouts.start_drain();
        for id in self.connections.indices() {
            self.request_close(now, id, actions);
        }
    }
}
