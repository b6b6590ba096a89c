//! Input events and output actions of the limiter.

use std::net::IpAddr;
use std::time::Duration;

/// The index of a connection, assigned by the host: a small number that the host may reuse after
/// [`Event::Closed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(pub usize);

/// Why accepting a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// `EMFILE`: the process has no descriptor left.
    ProcessDescriptorLimit,
    /// `ENFILE`: the system has no descriptor left.
    SystemDescriptorLimit,
    /// `ENOBUFS`, `ENOMEM`: the system has no memory left.
    OutOfMemory,
    /// `ECONNABORTED`: the client closed the connection before it was accepted.
    ConnectionAborted,
    /// Any other error. It does not show a shortage of descriptors or memory, so the limiter evicts
    /// no connection.
    Other,
}

impl AcceptError {
    /// Whether descriptors or memory are short, so that closing a connection may help.
    pub(crate) fn is_shortage(self) -> bool {
        match self {
            AcceptError::ProcessDescriptorLimit
            | AcceptError::SystemDescriptorLimit
            | AcceptError::OutOfMemory => true,
            AcceptError::ConnectionAborted | AcceptError::Other => false,
        }
    }
}

/// An input of [`Limiter::handle_event`](crate::Limiter::handle_event).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A connection was accepted. The actions of this event contain either [`Action::Serve`] or
    /// [`Action::Reject`].
    Accepted {
        /// The connection.
        connection: ConnectionId,
        /// The address of the client.
        address: IpAddr,
    },
    /// The first bytes of a message have arrived, but not the complete message.
    MessageStarted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A complete message has arrived.
    MessageCompleted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A request or a health check has started.
    RequestStarted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A request or a health check has finished.
    RequestFinished {
        /// The connection.
        connection: ConnectionId,
        /// Whether it was served: its answer is a result.
        is_answered: bool,
    },
    /// A request was rejected. [`Event::RequestFinished`] follows if [`Event::RequestStarted`]
    /// preceded it.
    RequestRejected {
        /// The connection.
        connection: ConnectionId,
    },
    /// The client violated the protocol.
    ProtocolViolation {
        /// The connection.
        connection: ConnectionId,
    },
    /// The connection is closed and its index is free.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be accepted.
    AcceptFailed {
        /// The cause.
        error: AcceptError,
    },
    /// The idle timeout changes, for open connections too.
    SetIdleTimeout {
        /// The new value of [`Config::idle_timeout`](crate::Config::idle_timeout).
        timeout: Duration,
    },
    /// The server received the shutdown notice. It still serves, and evicts connections that are
    /// not in use to accept the connections in the backlog.
    ShutdownNotice,
    /// The server drains: it asks clients to close all connections, including new ones.
    Drain,
    /// The time of the last [`Action::SetTimer`] has come. If the host sends the event earlier, the
    /// limiter returns the action again.
    TimerExpired,
}

/// Why a new connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its address has reached its connection limit.
    AddressConnections,
    /// Its network has reached its connection limit.
    NetworkConnections,
    /// Its wider network has reached its connection limit.
    WideNetworkConnections,
    /// Its address has reached its limit on the rate of new connections.
    AddressRate,
    /// Its network has reached its limit on the rate of new connections.
    NetworkRate,
    /// Its wider network has reached its limit on the rate of new connections.
    WideNetworkRate,
    /// All descriptors are taken, or reserved for known clients.
    Full,
    /// The server is warming up and accepts a fraction of its capacity.
    WarmingUp,
}

/// Why the server closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// Another connection needs its descriptor.
    Evicted,
    /// No complete message arrived in time.
    MessageTimeout,
    /// The client did not close the connection in time when it was asked to.
    CloseTimeout,
}

/// An instruction for the host, which carries out actions in their order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Serve the new connection.
    Serve {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close the new connection at once without reading from it. No [`Event::Closed`] follows.
    Reject {
        /// The connection.
        connection: ConnectionId,
        /// The cause.
        reason: RejectReason,
    },
    /// Ask the client to stop sending requests on the connection and to close it.
    RequestClose {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close the connection once the received bytes are read and no request is in flight.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// The cause.
        reason: CloseReason,
    },
    /// Accept no connection before this time, which is on the clock of the events.
    PauseAccepting {
        /// The time.
        until: Duration,
    },
    /// Send [`Event::TimerExpired`] at this time; this replaces an earlier timer. A host may send
    /// it at intervals instead; deadlines are then handled late by up to one interval.
    SetTimer {
        /// The time.
        at: Duration,
    },
}
