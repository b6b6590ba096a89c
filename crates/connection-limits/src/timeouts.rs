//! Timeouts of connections: messages that do not complete, idle connections, and clients that do
//! not close a connection when asked to.
//!
//! Without timeouts a client that stops in the middle of a message, or that disappears, would keep
//! its descriptor indefinitely. A request in flight is answered before its connection is closed, so
//! no answer is lost to a timeout.
//!
//! During a drain the server has asked the client of each connection to send no further requests.
//! So a connection without an incomplete message is closed like an idle one, even if it was never
//! used: otherwise it would delay the drain by the timeout of a first message that does not arrive.
//!
//! The trade-off: a client whose message takes longer than the message timeout is disconnected in
//! the middle of it, an idle client has to connect again, and a request that is in transit when its
//! connection is closed is lost; the client has to send it again.

use std::time::Duration;

use crate::connection::Connection;
use crate::event::CloseReason;

/// How long a client has to close a connection after it was asked to, outside a drain.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a client has to close a connection while the server drains: short, as the process is
/// about to end. The delay with which the host handles the deadline adds to it.
const DRAIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

/// The current timeouts.
#[derive(Clone, Copy)]
pub(crate) struct Timeouts {
    /// The timeout of the first message of a connection, and of each message from its first byte to
    /// its last.
    pub(crate) message: Duration,
    /// The time without use after which the client is asked to close the connection.
    pub(crate) idle: Duration,
    /// The time from the request to close until the limiter closes the connection.
    pub(crate) close: Duration,
    is_draining: bool,
}

impl Timeouts {
    /// Creates the timeouts outside a drain.
    pub(crate) fn new(message: Duration, idle: Duration) -> Self {
        Timeouts {
            message,
            idle,
            close: CLOSE_TIMEOUT,
            is_draining: false,
        }
    }

    /// Gives clients less time to close connections from now on, as the process is about to end.
    pub(crate) fn start_drain(&mut self) {
        self.close = DRAIN_CLOSE_TIMEOUT;
        self.is_draining = true;
    }

    /// The start of the message timeout, if it applies to the connection. It does not apply during
    /// a drain, except to an incomplete message.
    fn message_awaited_since(&self, connection: &Connection) -> Option<Duration> {
        let sends_nothing_more = self.is_draining && connection.close_requested_at.is_some();
        if sends_nothing_more && connection.partial_message_since.is_none() {
            return None;
        }
        connection.message_awaited_since
    }

    /// The deadline of a connection after a complete message.
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

    /// The deadline of a connection after it has become idle.
    pub(crate) fn idle_deadline(&self, connection: &Connection, now: Duration) -> Duration {
        match connection.close_requested_at {
            Some(requested_at) => requested_at.saturating_add(self.close),
            None => now.saturating_add(self.idle),
        }
    }

    /// Whether a connection has exceeded the idle timeout. The check does not rely on the deadline
    /// of the connection, which is too late if the idle timeout was shortened after the deadline
    /// was set.
    pub(crate) fn is_idle_too_long(&self, connection: &Connection, now: Duration) -> bool {
        now.saturating_sub(connection.last_used_at) > self.idle
    }

    /// Decides on a connection whose deadline has expired.
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
            // A client that sends without a pause may always have a request in flight.
            let close_at = connection
                .close_requested_at
                .map(|at| at.saturating_add(self.close));
            return match close_at {
                Some(close_at) if self.is_draining && close_at <= now => {
                    DeadlineOutcome::CloseOverdue
                }
                // The end of the request sets a new deadline.
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

/// The decision on a connection whose deadline has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DeadlineOutcome {
    /// The connection is not overdue, for example because it was used in the meantime: its deadline
    /// moves to this time.
    Extend(Duration),
    /// A message did not complete in time: the limiter closes the connection once no request is in
    /// flight.
    MessageOverdue,
    /// The client did not close in time: the limiter closes the connection once no request is in
    /// flight.
    CloseOverdue,
    /// The limiter closes the connection now.
    Close(CloseReason),
    /// The limiter asks the client to close the connection.
    RequestClose,
    /// The connection stays open, as a request is in flight.
    Nothing,
}
