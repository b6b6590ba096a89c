//! Eviction: which connection is closed so that another gets its descriptor.
//!
//! When descriptors are short, a server full of silent or idle connections would reject clients
//! that have work for it. One connection gives way: the first of the first class that has one, in
//! the order of [`EvictionClass`], so that whoever uses the server least goes first. Grace periods
//! keep a connection whose next message may be in transit, and keep two active clients from
//! evicting each other with each message. A connection with a request in flight has no class and
//! is never evicted. The price is that an idle client has to connect anew.
//!
//! While a new connection waits in the backlog, the grace periods are shorter, and newcomers give
//! way to newcomers: a flood of connections that send nothing would otherwise evict a client whose
//! first message is in transit, or one that was answered a moment ago. The price is that at most
//! the capacity is accepted anew in each [`NEWCOMER_GRACE`].
//!
//! From the shutdown notice on the time is short in which whoever waits in the backlog can be
//! answered at all, and a request that is lost there was complete. So nothing spares a connection
//! beyond the crossing of a message: half a message is no request, and newcomers displace idle
//! connections without a limit. Once the server drains not even that is spared. The price is that a
//! client whose message takes longer than the grace has to send it again elsewhere.

use std::time::Duration;

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::descriptor_owner::DescriptorOwner;
use crate::event::ConnectionId;
use crate::linked_queues::LinkedQueues;

/// How long a connection may be silent, or in the middle of a message, before it is evicted.
const SILENCE_GRACE: Duration = Duration::from_millis(500);
/// How long a client has to close a connection while descriptors are short: a request that was in
/// transit when it was asked to is sent again on another. `DRAIN_CLOSE_TIMEOUT` in
/// [`crate::timeouts`] is the same time during a drain.
const CLOSE_GRACE: Duration = Duration::from_millis(60);
/// How long a silent connection is spared after it was accepted while others wait in the backlog:
/// its first message may be in transit.
const NEWCOMER_GRACE: Duration = Duration::from_millis(60);
/// How long an idle connection is spared after its last use while others wait in the backlog: its
/// next message may be in transit.
const RECENT_USE_GRACE: Duration = Duration::from_millis(60);
/// How long a message that has begun is spared from the shutdown notice on while others wait in the
/// backlog: its end may be in transit.
const SHUTDOWN_MESSAGE_GRACE: Duration = Duration::from_millis(60);
/// Newcomers that may displace idle connections before they have sent a message. Behind them others
/// wait, so that silent connections cannot take the place of all who work.
const MAX_DISPLACING_NEWCOMERS: usize = 1;
/// How long a connection of a new client stays unused before it is evicted. Without this hysteresis
/// two clients would evict each other with each message.
const NEW_CLIENT_IDLE_GRACE: Duration = Duration::from_millis(250);
/// How long a connection of a known client stays unused before it is evicted, for other known
/// clients only.
const KNOWN_CLIENT_IDLE_GRACE: Duration = Duration::from_secs(1);

/// The classes of connections without a request in flight, in the order in which they are evicted.
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
    /// All classes, in the order in which they are evicted.
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

    /// The class of a connection; none while a request is in flight.
    fn of(connection: &Connection) -> Option<EvictionClass> {
        if connection.open_requests > 0 || connection.is_closing {
            None
        } else if connection.partial_message_since.is_some() {
            Some(EvictionClass::PartialMessage)
        } else if connection.close_requested_at.is_some() {
            Some(EvictionClass::CloseRequested)
        } else if !connection.has_sent_message {
            Some(EvictionClass::Silent)
        } else if connection.owner == DescriptorOwner::KnownClients {
            Some(EvictionClass::IdleKnownClient)
        } else {
            Some(EvictionClass::IdleNewClient)
        }
    }

    fn is_idle(self) -> bool {
        Self::IDLE.contains(&self)
    }

    /// The queue of the class.
    fn queue(self) -> usize {
        self as usize
    }
}

/// How soon an eviction has to free a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// At once, as the system refuses descriptors: most grace periods are skipped.
    Immediate,
    /// Soon, as a connection waits in the backlog: the shorter grace periods apply.
    Backlog,
    /// Soon, as connections wait in the backlog of a server that was told to shut down: no grace
    /// period is longer than the crossing of a message.
    ShutdownBacklog,
    /// At once, as connections wait in the backlog of a server that drains.
    DrainBacklog,
    /// After the grace periods.
    Gradual {
        /// Whether the descriptor is for a known client.
        for_known_client: bool,
    },
}

/// How a connection that is evicted ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// The client is asked to close it.
    RequestClose(ConnectionId),
    /// The client is asked to close it, and it is closed at once.
    RequestCloseAndClose(ConnectionId),
    /// It is closed at once.
    Close(ConnectionId),
}

/// The connections that may be evicted, a queue for each class. The one at the front goes first.
pub(crate) struct EvictionQueues {
    queues: LinkedQueues,
}

impl EvictionQueues {
    pub(crate) fn new() -> Self {
        EvictionQueues {
            queues: LinkedQueues::new(EvictionClass::ALL.len()),
        }
    }

    /// Puts a connection in the queue of its class, or in none while it may not be evicted. In its
    /// old class it keeps its position, unless it was used.
    pub(crate) fn update(&mut self, id: ConnectionId, connection: &Connection) {
        let Some(class) = EvictionClass::of(connection) else {
            return self.remove(id);
        };
        if self.queues.queue_of(id.0) != Some(class.queue()) || class.is_idle() {
            self.queues.push_back(id.0, class.queue());
        }
    }

    pub(crate) fn remove(&mut self, id: ConnectionId) {
        self.queues.remove(id.0);
    }

    /// The connection of a class that is evicted first.
    pub(crate) fn first_in(&self, class: EvictionClass) -> Option<ConnectionId> {
        self.queues.front(class.queue()).map(ConnectionId)
    }

    /// The connection that is evicted now, if any: the first of the first class whose grace period
    /// is over.
    pub(crate) fn choose(
        &self,
        connections: &ConnectionTable,
        now: Duration,
        urgency: Urgency,
    ) -> Option<Eviction> {
        let is_evictable = |&(class, id): &(EvictionClass, ConnectionId)| {
            connections
                .get(id)
                .is_some_and(|connection| is_evictable(connection, class, now, urgency))
        };
        let first_of_class = |class| self.first_in(class).map(|id| (class, id));
        let (class, id) = EvictionClass::ALL
            .into_iter()
            .filter_map(first_of_class)
            .find(is_evictable)?;
        if class.is_idle() && urgency == Urgency::Backlog && self.newcomers_give_way() {
            return None;
        }
        Some(match urgency {
            _ if !class.is_idle() => Eviction::Close(id),
            Urgency::Gradual { .. } => Eviction::RequestClose(id),
            Urgency::Immediate
            | Urgency::Backlog
            | Urgency::ShutdownBacklog
            | Urgency::DrainBacklog => Eviction::RequestCloseAndClose(id),
        })
    }

    /// Whether the next newcomer waits for those before it, in place of displacing who is idle.
    fn newcomers_give_way(&self) -> bool {
        self.queues.len(EvictionClass::Silent.queue()) > MAX_DISPLACING_NEWCOMERS
    }

    /// Whether a connection is silent: it sends its first message soon, or is evicted soon.
    pub(crate) fn has_silent(&self) -> bool {
        self.first_in(EvictionClass::Silent).is_some()
    }
}

/// Whether a connection of this class may be evicted now: its grace period is over, or is skipped.
fn is_evictable(
    connection: &Connection,
    class: EvictionClass,
    now: Duration,
    urgency: Urgency,
) -> bool {
    let is_gradual = matches!(urgency, Urgency::Gradual { .. });
    let is_older = |at: Duration, grace: Duration| now.saturating_sub(at) > grace;
    match class {
        EvictionClass::Silent => match urgency {
            Urgency::Immediate | Urgency::DrainBacklog => true,
            Urgency::Backlog | Urgency::ShutdownBacklog => {
                is_older(connection.accepted_at, NEWCOMER_GRACE)
            }
            Urgency::Gradual { .. } => is_older(connection.accepted_at, SILENCE_GRACE),
        },
        EvictionClass::PartialMessage => connection.partial_message_since.is_some_and(|at| {
            match urgency {
                Urgency::DrainBacklog => true,
                Urgency::ShutdownBacklog => is_older(at, SHUTDOWN_MESSAGE_GRACE),
                // Never at once: the rest of the message may be in transit.
                Urgency::Immediate | Urgency::Backlog | Urgency::Gradual { .. } => {
                    is_older(at, SILENCE_GRACE)
                }
            }
        }),
        EvictionClass::CloseRequested => connection
            .close_requested_at
            .is_some_and(|at| !is_gradual || is_older(at, CLOSE_GRACE)),
        EvictionClass::IdleNewClient => match urgency {
            Urgency::Immediate | Urgency::DrainBacklog => true,
            Urgency::Backlog | Urgency::ShutdownBacklog => {
                is_older(connection.last_used_at, RECENT_USE_GRACE)
            }
            Urgency::Gradual { .. } => is_older(connection.last_used_at, NEW_CLIENT_IDLE_GRACE),
        },
        EvictionClass::IdleKnownClient => match urgency {
            Urgency::Immediate | Urgency::DrainBacklog => true,
            Urgency::Backlog | Urgency::ShutdownBacklog => {
                is_older(connection.last_used_at, RECENT_USE_GRACE)
            }
            Urgency::Gradual { for_known_client } => {
                for_known_client && is_older(connection.last_used_at, KNOWN_CLIENT_IDLE_GRACE)
            }
        },
    }
}
