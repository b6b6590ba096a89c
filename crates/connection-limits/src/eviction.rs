//! Eviction: which connection is closed so that another gets its descriptor.
//!
//! When descriptors are short, a server full of silent or idle connections would reject clients
//! that have requests for it. So the limiter evicts one connection: the first connection of the
//! first class, in the order of [`EvictionClass`], whose first connection is past its grace period.
//! The least used connections are thus evicted first. Grace periods protect a connection whose next
//! message may be in transit, and prevent two active clients from evicting each other with each
//! message. A connection with a request in flight has no class and is never evicted. The trade-off
//! is that an idle client has to connect again.
//!
//! Connections whose requests are all rejected are evicted before idle ones, and their grace period
//! counts from their accept. A client that sends a request again after each rejection would
//! otherwise renew its grace period, keep its descriptor indefinitely, and leave clients that the
//! server would serve in the backlog. The trade-off is that a client that is rejected for
//! [`SERVED_PERIOD`] by an overloaded server may have to connect again.
//!
//! While a new connection waits in the backlog, the grace periods are shorter, and no idle
//! connection is evicted while more than [`MAX_DISPLACING_SILENT_CONNECTIONS`] connections are
//! silent: a flood of connections that send nothing would otherwise evict a client whose first
//! message is in transit, or a client that was answered immediately before. The trade-off is that
//! the number of connections that are accepted in each [`FIRST_MESSAGE_GRACE`] is at most the
//! capacity.
//!
//! After the shutdown notice there is little time left to answer the requests in the backlog. A
//! request in the backlog is complete and would be lost, while a partial message is not yet a
//! request. So no grace period is longer than the transit of a message, and a connection in the
//! backlog displaces an idle one regardless of the number of silent connections. During the drain
//! there is no grace period. The trade-off is that a client whose message takes longer than the
//! grace period has to send it again to another server.

use std::time::Duration;

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::descriptor_owner::DescriptorOwner;
use crate::event::ConnectionId;
use crate::linked_queues::LinkedQueues;

/// How long a connection may be silent, or have an incomplete message, before it may be evicted.
const SILENCE_GRACE: Duration = Duration::from_millis(500);
/// How long a client that was asked to close a connection has to do so before the connection may be
/// evicted: a message that it sent before may be in transit. `DRAIN_CLOSE_TIMEOUT` in
/// [`crate::timeouts`] is the same time during a drain.
const CLOSE_GRACE: Duration = Duration::from_millis(60);
/// How long a silent connection is protected after it was accepted while others wait in the
/// backlog: its first message may be in transit.
const FIRST_MESSAGE_GRACE: Duration = Duration::from_millis(60);
/// How long an idle connection is protected after its last use while others wait in the backlog:
/// its next message may be in transit.
const RECENT_USE_GRACE: Duration = Duration::from_millis(60);
/// How long after a served request the rejections on its connection do not count.
const SERVED_PERIOD: Duration = Duration::from_secs(2);
/// How long a connection whose requests are all rejected is protected after it was accepted while
/// others wait in the backlog.
const REJECTED_GRACE: Duration = Duration::from_millis(60);
/// How long a connection with an incomplete message is protected after the shutdown notice while
/// others wait in the backlog: the rest of the message may be in transit.
const SHUTDOWN_MESSAGE_GRACE: Duration = Duration::from_millis(60);
/// The maximum number of silent connections at which a connection in the backlog may still displace
/// an idle one. Further connections wait in the backlog, so that silent connections cannot displace
/// all active clients.
const MAX_DISPLACING_SILENT_CONNECTIONS: usize = 1;
/// How long a connection of a new client is unused before it may be evicted. Without this
/// hysteresis two clients would evict each other with each message.
const NEW_CLIENT_IDLE_GRACE: Duration = Duration::from_millis(250);
/// How long a connection of a known client is unused before it may be evicted, and then only in
/// favour of another known client.
const KNOWN_CLIENT_IDLE_GRACE: Duration = Duration::from_secs(1);

/// The classes of connections without a request in flight, in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvictionClass {
    /// The client has not sent a complete message on it.
    Silent,
    /// It has an incomplete message.
    PartialMessage,
    /// The client was asked to close it, and has not done so.
    CloseRequested,
    /// Its requests are all rejected, and the client was not known when it connected.
    RejectedNewClient,
    /// Its requests are all rejected, and the client was known when it connected.
    RejectedKnownClient,
    /// It is idle, and the client was not known when it connected.
    IdleNewClient,
    /// It is idle, and the client was known when it connected.
    IdleKnownClient,
}

impl EvictionClass {
    /// All classes, in the order in which they are evicted.
    pub(crate) const ALL: [EvictionClass; 7] = [
        EvictionClass::Silent,
        EvictionClass::PartialMessage,
        EvictionClass::CloseRequested,
        EvictionClass::RejectedNewClient,
        EvictionClass::RejectedKnownClient,
        EvictionClass::IdleNewClient,
        EvictionClass::IdleKnownClient,
    ];
    /// The classes of connections whose requests are all rejected.
    const REJECTED: [EvictionClass; 2] = [
        EvictionClass::RejectedNewClient,
        EvictionClass::RejectedKnownClient,
    ];
    /// The classes of connections that have sent complete messages and were not asked to close.
    pub(crate) const USED: [EvictionClass; 4] = [
        EvictionClass::RejectedNewClient,
        EvictionClass::RejectedKnownClient,
        EvictionClass::IdleNewClient,
        EvictionClass::IdleKnownClient,
    ];

    /// The class of a connection; `None` while a request is in flight or the connection is closing.
    fn of(connection: &Connection) -> Option<EvictionClass> {
        if connection.open_requests > 0 || connection.is_closing {
            None
        } else if connection.partial_message_since.is_some() {
            Some(EvictionClass::PartialMessage)
        } else if connection.close_requested_at.is_some() {
            Some(EvictionClass::CloseRequested)
        } else if !connection.has_sent_message {
            Some(EvictionClass::Silent)
        } else {
            let is_known = connection.owner == DescriptorOwner::KnownClients;
            Some(match (is_only_rejected(connection), is_known) {
                (true, false) => EvictionClass::RejectedNewClient,
                (true, true) => EvictionClass::RejectedKnownClient,
                (false, false) => EvictionClass::IdleNewClient,
                (false, true) => EvictionClass::IdleKnownClient,
            })
        }
    }

    fn is_used(self) -> bool {
        Self::USED.contains(&self)
    }

    fn is_of_known_client(self) -> bool {
        matches!(
            self,
            EvictionClass::RejectedKnownClient | EvictionClass::IdleKnownClient
        )
    }

    fn is_idle(self) -> bool {
        matches!(
            self,
            EvictionClass::IdleNewClient | EvictionClass::IdleKnownClient
        )
    }

    /// The index of the class's queue.
    fn queue(self) -> usize {
        self as usize
    }
}

/// How soon an eviction has to free a descriptor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// Immediately, as `accept` failed for lack of descriptors or memory: all grace periods except
    /// that of a partial message are skipped.
    Immediate,
    /// Soon, as a connection waits in the backlog: the shorter grace periods apply.
    Backlog,
    /// Soon, as connections wait in the backlog after the shutdown notice: no grace period is
    /// longer than the transit of a message.
    ShutdownBacklog,
    /// Immediately, as connections wait in the backlog of a server that drains.
    DrainBacklog,
    /// After the full grace periods.
    Gradual {
        /// Whether the descriptor is for a known client.
        for_known_client: bool,
    },
}

/// How an eviction ends a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Eviction {
    /// The client is asked to close it.
    RequestClose(ConnectionId),
    /// The client is asked to close it, and the host closes it immediately.
    RequestCloseAndClose(ConnectionId),
    /// The host closes it immediately.
    Close(ConnectionId),
}

/// The connections that may be evicted, in one queue for each class. The connection at the front of
/// a queue is evicted first.
pub(crate) struct EvictionQueues {
    queues: LinkedQueues,
}

impl EvictionQueues {
    pub(crate) fn new() -> Self {
        EvictionQueues {
            queues: LinkedQueues::new(EvictionClass::ALL.len()),
        }
    }

    /// Moves a connection to the queue of its class, or removes it from its queue if it has no
    /// class. A connection whose class is unchanged keeps its position, unless the class is one of
    /// those of used connections: the connection was used again, so it moves to the back.
    pub(crate) fn update(&mut self, id: ConnectionId, connection: &Connection) {
        let Some(class) = EvictionClass::of(connection) else {
            return self.remove(id);
        };
        if self.queues.queue_of(id.0) != Some(class.queue()) || class.is_used() {
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

    /// Selects the connection to evict now, if there is one: the first of the first class whose
    /// first connection is past its grace period.
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
        if class.is_idle() && urgency == Urgency::Backlog && self.protects_idle() {
            return None;
        }
        Some(match urgency {
            _ if !class.is_used() => Eviction::Close(id),
            Urgency::Gradual { .. } => Eviction::RequestClose(id),
            Urgency::Immediate
            | Urgency::Backlog
            | Urgency::ShutdownBacklog
            | Urgency::DrainBacklog => Eviction::RequestCloseAndClose(id),
        })
    }

    /// Whether a connection in the backlog displaces no idle one: there are too many silent
    /// connections, or one whose requests are all rejected, which is evicted after its grace
    /// period.
    fn protects_idle(&self) -> bool {
        let silent = self.queues.len(EvictionClass::Silent.queue());
        let has_rejected = EvictionClass::REJECTED
            .into_iter()
            .any(|class| self.first_in(class).is_some());
        silent > MAX_DISPLACING_SILENT_CONNECTIONS || has_rejected
    }

    /// Whether there is a connection whose grace period is not renewed by its use, so that its
    /// eviction frees a descriptor soon: a silent or only rejected one, one with an incomplete
    /// message, or one that was asked to close.
    pub(crate) fn has_soon_evictable(&self) -> bool {
        EvictionClass::ALL
            .into_iter()
            .any(|class| !class.is_idle() && self.first_in(class).is_some())
    }

    /// Whether there is a silent connection: it sends its first message soon, or is evicted soon.
    pub(crate) fn has_silent(&self) -> bool {
        self.first_in(EvictionClass::Silent).is_some()
    }
}

/// Whether a request on the connection was rejected, and none was served in the [`SERVED_PERIOD`]
/// before.
fn is_only_rejected(connection: &Connection) -> bool {
    let served_until = connection
        .last_served_at
        .map(|at| at.saturating_add(SERVED_PERIOD));
    connection
        .last_rejected_at
        .is_some_and(|rejected_at| served_until.is_none_or(|until| rejected_at > until))
}

/// Whether a connection of this class may be evicted now: its grace period is over or skipped.
fn is_evictable(
    connection: &Connection,
    class: EvictionClass,
    now: Duration,
    urgency: Urgency,
) -> bool {
    let skips_grace = matches!(urgency, Urgency::Immediate | Urgency::DrainBacklog);
    let is_older = |at: Duration, grace: Duration| now.saturating_sub(at) > grace;
    match class {
        EvictionClass::Silent => match urgency {
            Urgency::Immediate | Urgency::DrainBacklog => true,
            Urgency::Backlog | Urgency::ShutdownBacklog => {
                is_older(connection.accepted_at, FIRST_MESSAGE_GRACE)
            }
            Urgency::Gradual { .. } => is_older(connection.accepted_at, SILENCE_GRACE),
        },
        EvictionClass::PartialMessage => connection.partial_message_since.is_some_and(|at| {
            match urgency {
                Urgency::DrainBacklog => true,
                Urgency::ShutdownBacklog => is_older(at, SHUTDOWN_MESSAGE_GRACE),
                // Never immediately: the rest of the message may be in transit.
                Urgency::Immediate | Urgency::Backlog | Urgency::Gradual { .. } => {
                    is_older(at, SILENCE_GRACE)
                }
            }
        }),
        EvictionClass::CloseRequested => connection
            .close_requested_at
            .is_some_and(|at| skips_grace || is_older(at, CLOSE_GRACE)),
        EvictionClass::RejectedNewClient
        | EvictionClass::RejectedKnownClient
        | EvictionClass::IdleNewClient
        | EvictionClass::IdleKnownClient => {
            let (protected_since, backlog_grace) = if class.is_idle() {
                (connection.last_used_at, RECENT_USE_GRACE)
            } else {
                (connection.accepted_at, REJECTED_GRACE)
            };
            match urgency {
                Urgency::Immediate | Urgency::DrainBacklog => true,
                Urgency::Backlog | Urgency::ShutdownBacklog => {
                    is_older(protected_since, backlog_grace)
                }
                Urgency::Gradual { for_known_client } if class.is_of_known_client() => {
                    for_known_client && is_older(protected_since, KNOWN_CLIENT_IDLE_GRACE)
                }
                Urgency::Gradual { .. } => is_older(protected_since, NEW_CLIENT_IDLE_GRACE),
            }
        }
    }
}
