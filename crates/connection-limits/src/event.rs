//! Input events and output actions of the limiter.

use std::net::IpAddr;
use std::time::Duration;

/// The index of a connection, chosen by the host: small, and free again after [`Event::Closed`].
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
    /// `ECONNABORTED`: the client had closed the connection before.
    ConnectionAborted,
    /// Any other error: nothing says that a connection here is its cause.
    Other,
}

impl AcceptError {
    /// Whether descriptors or memory are short, so that it helps to close a connection.
    pub(crate) fn is_shortage(self) -> bool {
        match self {
            AcceptError::ProcessDescriptorLimit
            | AcceptError::SystemDescriptorLimit
            | AcceptError::OutOfMemory => true,
            AcceptError::ConnectionAborted | AcceptError::Other => false,
        }
    }
}

/// What has happened. Handed to [`Limiter::handle_event`](crate::Limiter::handle_event).
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
    /// The first bytes of a message have arrived, but not all of it.
    MessageStarted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A complete message has arrived.
    MessageCompleted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A request or a health check is in flight from now on.
    RequestStarted {
        /// The connection.
        connection: ConnectionId,
    },
    /// A request or a health check is no longer in flight.
    RequestFinished {
        /// The connection.
        connection: ConnectionId,
        /// Whether the client got a final answer that was written completely.
        is_answered: bool,
    },
    /// The client has violated the protocol.
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
    /// The server was told to shut down. It still serves, and whoever waits in the backlog goes
    /// before a connection that is not in use.
    ShutdownNotice,
    /// The server drains: clients are asked to close all connections, new ones too.
    Drain,
    /// The time of the last [`Action::SetTimer`] has come. An event that comes earlier does no
    /// harm.
    TimerExpired,
}

/// Why a new connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RejectReason {
    /// Its address has as many connections as it may.
    AddressConnections,
    /// Its network has as many connections as it may.
    NetworkConnections,
    /// Its wider network has as many connections as it may.
    WideNetworkConnections,
    /// Its address opens connections too often.
    AddressRate,
    /// Its network opens connections too often.
    NetworkRate,
    /// Its wider network opens connections too often.
    WideNetworkRate,
    /// All descriptors are taken, or reserved for known clients.
    Full,
    /// The server is warming up and accepts a fraction of its capacity.
    WarmingUp,
}

/// Why a connection is closed by the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CloseReason {
    /// Another connection needs its descriptor.
    Evicted,
    /// No complete message arrived in time.
    MessageTimeout,
    /// The client did not close it in time when it was asked to.
    CloseTimeout,
}

/// What the host is to do, in the order of the actions.
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
    /// Ask the client to send no more requests on the connection and to close it.
    RequestClose {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close the connection once what has arrived is read and no request is in flight.
    Close {
        /// The connection.
        connection: ConnectionId,
        /// The cause.
        reason: CloseReason,
    },
    /// Accept no connection before this time, on the clock of the events.
    PauseAccepting {
        /// The time.
        until: Duration,
    },
    /// Hand in [`Event::TimerExpired`] at this time, in place of an earlier timer. A host may hand
    /// it in at intervals instead; it then notices deadlines later by up to its interval.
    SetTimer {
        /// The time.
        at: Duration,
    },
}
