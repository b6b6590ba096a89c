//! Eviction: which connection is closed so that another gets its descriptor.

use std::time::Duration;

use crate::event::{Action, CloseReason, ConnectionId};
use crate::limiter::Limiter;

/// How long a connection may be silent, or in the middle of a message, before it is evicted.
const SILENCE_GRACE: Duration = Duration::from_millis(500);
/// How long a client has to close a connection while descriptors are short: a request that was in
/// transit when it was asked to is sent again on another.
const CLOSE_GRACE: Duration = Duration::from_millis(60);
/// How long a connection stays unused before it is evicted. Without this hysteresis two clients
/// would evict each other with each message.
const NEW_CLIENT_IDLE_GRACE: Duration = Duration::from_millis(250);
/// The same of a known client, whose connection is evicted for other known clients only.
const KNOWN_CLIENT_IDLE_GRACE: Duration = Duration::from_secs(1);

/// The classes of connections without an open request, in the order in which they are evicted. The
/// first connection of the first class whose grace period is over is evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvictionClass {
    /// It has never sent a message.
    Silent,
    /// A message has started and is not complete.
    PartialMessage,
    /// The client was asked to close it.
    CloseRequested,
    /// It is idle, and the client was not known when it connected.
    IdleNewClient,
    /// It is idle, and the client was known when it connected.
    IdleKnownClient,
}

impl EvictionClass {
    pub(crate) const ALL: [EvictionClass; 5] = [
        EvictionClass::Silent,
        EvictionClass::PartialMessage,
        EvictionClass::CloseRequested,
        EvictionClass::IdleNewClient,
        EvictionClass::IdleKnownClient,
    ];
    /// The classes of idle connections.
    pub(crate) const IDLE: [EvictionClass; 2] =
        [EvictionClass::IdleNewClient, EvictionClass::IdleKnownClient];

    pub(crate) fn is_idle(self) -> bool {
        Self::IDLE.contains(&self)
    }

    /// The queue of the class.
    pub(crate) fn queue(self) -> usize {
        self as usize
    }
}

/// How soon an eviction has to free a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// At once: most grace periods are skipped.
    Immediate,
    /// After the grace periods.
    Gradual {
        /// Whether the descriptor is for a known client.
        for_known_client: bool,
    },
}

impl Limiter {
    /// Whether another connection may be accepted now. Under
    /// [`FullPolicy::Wait`](crate::FullPolicy::Wait) a full server evicts a connection, so that the
    /// next one in the backlog finds a descriptor.
    pub fn may_accept(&mut self, now: Duration, actions: &mut Vec<Action>) -> bool {
        if self.has_room_to_accept() {
            return true;
        }
        // Where only one connection is silent and has just been accepted, its first message may be
        // in transit: it is spared.
        let is_new = |&id: &ConnectionId| {
            self.connection(id)
                .is_some_and(|connection| now.saturating_sub(connection.accepted_at) <= CLOSE_GRACE)
        };
        let only_silent = self
            .first_in(EvictionClass::Silent)
            .filter(|_| self.eviction_queues.len(EvictionClass::Silent.queue()) == 1);
        let spared = only_silent.filter(is_new);
        self.make_room(now, Urgency::Immediate, spared, actions);
        false
    }

    /// Closes one connection, or asks for one to be closed, so that another gets its descriptor.
    /// The spared one stays.
    pub(crate) fn make_room(
        &mut self,
        now: Duration,
        urgency: Urgency,
        spared: Option<ConnectionId>,
        actions: &mut Vec<Action>,
    ) {
        for class in EvictionClass::ALL {
            let Some(id) = self.first_in(class).filter(|&id| Some(id) != spared) else {
                continue;
            };
            if !self.is_evictable(now, id, class, urgency) {
                continue;
            }
            if class.is_idle() {
                self.request_close(now, id, actions);
                if urgency != Urgency::Immediate {
                    return;
                }
            }
            return self.close(id, CloseReason::Evicted, actions);
        }
    }

    fn is_evictable(
        &self,
        now: Duration,
        id: ConnectionId,
        class: EvictionClass,
        urgency: Urgency,
    ) -> bool {
        let Some(connection) = self.connection(id) else {
            return false;
        };
        let is_immediate = urgency == Urgency::Immediate;
        let is_older = |at: Duration, grace: Duration| now.saturating_sub(at) > grace;
        match class {
            EvictionClass::Silent => {
                is_immediate || is_older(connection.accepted_at, SILENCE_GRACE)
            }
            // Never at once: the rest of the message may be in transit.
            EvictionClass::PartialMessage => connection
                .partial_message_since
                .is_some_and(|at| is_older(at, SILENCE_GRACE)),
            EvictionClass::CloseRequested => connection
                .close_requested_at
                .is_some_and(|at| is_immediate || is_older(at, CLOSE_GRACE)),
            EvictionClass::IdleNewClient => {
                is_immediate || is_older(connection.last_used_at, NEW_CLIENT_IDLE_GRACE)
            }
            EvictionClass::IdleKnownClient => match urgency {
                Urgency::Immediate => true,
                Urgency::Gradual { for_known_client } => {
                    for_known_client && is_older(connection.last_used_at, KNOWN_CLIENT_IDLE_GRACE)
                }
            },
        }
    }

    /// The connection of a class that is evicted first.
    pub(crate) fn first_in(&self, class: EvictionClass) -> Option<ConnectionId> {
        self.eviction_queues.front(class.queue()).map(ConnectionId)
    }

    /// Puts a connection in the queue of its class, or in none while it may not be evicted.
    pub(crate) fn update_eviction_class(&mut self, id: ConnectionId) {
        let Some(connection) = self.connection(id) else {
            return;
        };
        let Some(class) = connection.eviction_class() else {
            return self.eviction_queues.remove(id.0);
        };
        // In its old class a connection keeps its position, unless it was used.
        if self.eviction_queues.queue_of(id.0) != Some(class.queue()) || class.is_idle() {
            self.eviction_queues.push_back(id.0, class.queue());
        }
    }
}
