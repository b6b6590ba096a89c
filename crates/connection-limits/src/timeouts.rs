//! Timeouts of connections: messages that do not complete, idle connections, and clients that do
//! not close.

use std::time::Duration;

use crate::event::{Action, CloseReason, ConnectionId};
use crate::eviction::EvictionClass;
use crate::limiter::Limiter;

/// How long a client has to close a connection when it is asked to.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same while the server drains.
const DRAIN_CLOSE_TIMEOUT: Duration = Duration::from_millis(60);

impl Limiter {
    /// Handles the deadlines that have come, and sets the timer for the next one.
    pub(crate) fn advance_time(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut expired = std::mem::take(&mut self.expired);
        self.timers.advance(now, &mut expired);
        for index in expired.drain(..) {
            self.handle_deadline(now, ConnectionId(index), actions);
        }
        self.expired = expired;
        self.close_idle_connections(now, actions);
        let next = self.timers.next_deadline();
        if next != self.timer_at
            && let Some(at) = next
        {
            self.timer_at = Some(at);
            actions.push(Action::SetTimer { at });
        }
    }

    /// Asks for idle connections to be closed. Their deadlines are too late where the idle timeout
    /// has become shorter.
    fn close_idle_connections(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for class in EvictionClass::IDLE {
            while let Some(id) = self.first_in(class)
                && self.connection(id).is_some_and(|connection| {
                    now.saturating_sub(connection.last_used_at) > self.config.idle_timeout
                })
            {
                self.request_close(now, id, actions);
            }
        }
    }

    fn handle_deadline(&mut self, now: Duration, id: ConnectionId, actions: &mut Vec<Action>) {
        let (message_timeout, idle_timeout) =
            (self.config.message_timeout, self.config.idle_timeout);
        let close_timeout = self.close_timeout();
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if let Some(since) = connection.message_awaited_since {
            if now.saturating_sub(since) < message_timeout {
                return self.timers.set(id.0, since.saturating_add(message_timeout));
            }
            // A request in flight is answered first.
            connection.is_message_overdue = true;
            if connection.open_requests == 0 {
                self.close(id, CloseReason::MessageTimeout, actions);
            }
        } else if connection.open_requests > 0 {
            // The deadline is set again when the request has finished.
        } else if let Some(requested_at) = connection.close_requested_at {
            if now.saturating_sub(requested_at) < close_timeout {
                return self
                    .timers
                    .set(id.0, requested_at.saturating_add(close_timeout));
            }
            self.close(id, CloseReason::CloseTimeout, actions);
        } else if now.saturating_sub(connection.last_used_at) < idle_timeout {
            let deadline = connection.last_used_at.saturating_add(idle_timeout);
            self.timers.set(id.0, deadline);
        } else {
            self.request_close(now, id, actions);
        }
    }

    /// Asks the client to close a connection, once.
    pub(crate) fn request_close(
        &mut self,
        now: Duration,
        id: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let close_timeout = self.close_timeout();
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if connection.close_requested_at.is_some() || connection.is_closing {
            return;
        }
        connection.close_requested_at = Some(now);
        if connection.is_idle() {
            self.timers.set(id.0, now.saturating_add(close_timeout));
        }
        self.update_eviction_class(id);
        actions.push(Action::RequestClose { connection: id });
    }

    /// How long a client has to close a connection now.
    pub(crate) fn close_timeout(&self) -> Duration {
        if self.is_draining {
            DRAIN_CLOSE_TIMEOUT
        } else {
            CLOSE_TIMEOUT
        }
    }

    /// Has the host close a connection, once.
    pub(crate) fn close(
        &mut self,
        id: ConnectionId,
        reason: CloseReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connection_mut(id) else {
            return;
        };
        if connection.is_closing {
            return;
        }
        debug_assert!(
            connection.open_requests == 0,
            "invariant: no request is in flight on a closing connection"
        );
        connection.is_closing = true;
        self.eviction_queues.remove(id.0);
        self.timers.cancel(id.0);
        actions.push(Action::Close {
            connection: id,
            reason,
        });
    }
}
