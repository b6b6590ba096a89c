//! Timeouts of connections: messages that do not complete, idle connections, and clients that do
//! not close.
//!
//! A client that starts a message and stops, or that is never heard of again, would keep its
//! descriptor for ever. A request in flight is answered before its connection is closed, so no
//! answer is lost to a timeout.
//!
//! In a drain the client of each connection was asked to send nothing more. So a connection on
//! which nothing has begun is closed as an idle one is, whether or not it was ever used: it would
//! otherwise hold the drain for the time of a first message that does not come.
//!
//! The price: a client whose message takes longer than the message timeout is cut off in its midst,
//! an idle client has to connect anew, and a request that is in transit when its connection is
//! closed is lost; the client has to send it again.

use std::time::Duration;

use crate::connection::Connection;
use crate::event::CloseReason;

/// How long a client has to close a connection when it is asked to, outside a drain.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client has to close a connection while the server drains: short, as the process is
/// about to end. How late the host notices is on top.
const DRAIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

/// The time limits that hold now.
#[derive(Clone, Copy)]
pub(crate) struct Timeouts {
    /// For the first message of a connection, and for each message from its first byte to its last.
    pub(crate) message: Duration,
    /// Without use, until the client is asked to close the connection.
    pub(crate) idle: Duration,
    /// From the request to close until the connection is closed.
    pub(crate) close: Duration,
    is_draining: bool,
}

impl Timeouts {
    /// The time limits outside a drain.
    pub(crate) fn new(message: Duration, idle: Duration) -> Self {
        Timeouts {
            message,
            idle,
            close: CLOSE_TIMEOUT,
            is_draining: false,
        }
    }

    /// Clients get less time to close from now on: the process is about to end.
    pub(crate) fn start_drain(&mut self) {
        self.close = DRAIN_CLOSE_TIMEOUT;
        self.is_draining = true;
    }

    /// Since when a complete message is awaited for which the connection is kept.
    fn message_awaited_since(&self, connection: &Connection) -> Option<Duration> {
        let sends_nothing_more = self.is_draining && connection.close_requested_at.is_some();
        if sends_nothing_more && connection.partial_message_since.is_none() {
            return None;
        }
        connection.message_awaited_since
    }

    /// The deadline of a connection on which a message has completed.
    pub(crate) fn deadline_after_message(
        &self,
        connection: &Connection,
        now: Duration,
    ) -> Duration {
        if self.is_draining {
            self.idle_deadline(connection, now)
        } else {
            now.saturating_add(self.idle)
        }
    }

    /// The deadline of a connection that has become idle.
    pub(crate) fn idle_deadline(&self, connection: &Connection, now: Duration) -> Duration {
        match connection.close_requested_at {
            Some(requested_at) => requested_at.saturating_add(self.close),
            None => now.saturating_add(self.idle),
        }
    }

    /// Whether a connection has been idle for longer than it may. Its deadline is too late where
    /// the idle timeout has become shorter since.
    pub(crate) fn is_idle_too_long(&self, connection: &Connection, now: Duration) -> bool {
        now.saturating_sub(connection.last_used_at) > self.idle
    }

    /// What becomes of a connection whose deadline has come.
    pub(crate) fn handle_deadline(
        &self,
        connection: &Connection,
        now: Duration,
    ) -> DeadlineOutcome {
        if let Some(since) = self.message_awaited_since(connection) {
            return if now.saturating_sub(since) < self.message {
                DeadlineOutcome::Extend(since.saturating_add(self.message))
            } else {
                DeadlineOutcome::MessageOverdue
            };
        }
        if connection.open_requests > 0 {
            // A client that goes on sending may never be without a request in flight.
            let close_at = connection
                .close_requested_at
                .map(|at| at.saturating_add(self.close));
            return match close_at {
                Some(close_at) if self.is_draining && close_at <= now => {
                    DeadlineOutcome::CloseOverdue
                }
                // The deadline is set again when the request has finished.
                _ => DeadlineOutcome::Nothing,
            };
        }
        if let Some(requested_at) = connection.close_requested_at {
            return if now.saturating_sub(requested_at) < self.close {
                DeadlineOutcome::Extend(requested_at.saturating_add(self.close))
            } else {
                DeadlineOutcome::Close(CloseReason::CloseTimeout)
            };
        }
        if now.saturating_sub(connection.last_used_at) < self.idle {
            DeadlineOutcome::Extend(connection.last_used_at.saturating_add(self.idle))
        } else {
            DeadlineOutcome::RequestClose
        }
    }
}

/// What becomes of a connection whose deadline has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeadlineOutcome {
    /// The connection was used meanwhile: its deadline is later.
    Extend(Duration),
    /// A message did not complete in time: the connection is closed once no request is in flight.
    MessageOverdue,
    /// The client did not close in time: the connection is closed once no request is in flight.
    CloseOverdue,
    /// The connection is closed.
    Close(CloseReason),
    /// The client is asked to close the connection.
    RequestClose,
    /// The connection has a request in flight and stays.
    Nothing,
}
