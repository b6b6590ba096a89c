//! How connections end: expired deadlines, evictions, and the actions that ask a client to close a
//! connection and instruct the host to close it.

use std::time::Duration;

use super::{ACCEPT_ORDER_QUEUE, Limiter, Phase};
use crate::event::{Action, CloseReason, ConnectionId};
use crate::eviction::{Eviction, EvictionClass, Urgency};
use crate::timeouts::DeadlineOutcome;

impl Limiter {
    /// Handles expired deadlines, and sets the timer for the next one.
    pub(super) fn advance_time(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut expired = self.deadlines.take_expired(now);
        for index in expired.drain(..) {
            self.handle_deadline(now, ConnectionId(index), actions);
        }
        self.deadlines.reuse(expired);
        self.close_idle_connections(now, actions);
        if let Some(at) = self.deadlines.timer_to_set() {
            actions.push(Action::SetTimer { at });
        }
    }

    fn handle_deadline(&mut self, now: Duration, id: ConnectionId, actions: &mut Vec<Action>) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match self.timeouts.handle_deadline(connection, now) {
            DeadlineOutcome::Extend(deadline) => self.deadlines.set(id, deadline),
            DeadlineOutcome::MessageOverdue => {
                connection.is_message_overdue = true;
                // A request in flight is answered before the connection is closed.
                if connection.open_requests == 0 {
                    self.close(now, id, CloseReason::MessageTimeout, actions);
                }
            }
            DeadlineOutcome::CloseOverdue => connection.is_close_overdue = true,
            DeadlineOutcome::Close(reason) => self.close(now, id, reason, actions),
            DeadlineOutcome::RequestClose => self.request_close(now, id, actions),
            DeadlineOutcome::Nothing => {}
        }
    }

    /// Asks the clients of connections that have exceeded the idle timeout to close them.
    fn close_idle_connections(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for class in EvictionClass::USED {
            while let Some(id) = self.eviction_queues.first_in(class)
                && let Some(connection) = self.connections.get(id)
                && self.timeouts.is_idle_too_long(connection, now)
            {
                self.request_close(now, id, actions);
            }
        }
    }

    /// Evicts one connection for each of the `waiting` connections in the backlog, as long as one
    /// may be evicted. Pending closes count as evictions, since they free a descriptor each.
    pub(super) fn evict_for_backlog(
        &mut self,
        now: Duration,
        waiting: usize,
        urgency: Urgency,
        actions: &mut Vec<Action>,
    ) {
        for _ in self.pending_closes.count(now)..waiting.min(self.capacity) {
            let actions_before = actions.len();
            self.evict_one(now, urgency, actions);
            if actions.len() == actions_before {
                break;
            }
        }
    }

    /// Asks the oldest connections to close if the backlog has waited for too long, one for each
    /// connection that waits, unless an eviction frees a descriptor soon.
    pub(super) fn limit_backlog_wait(
        &mut self,
        now: Duration,
        backlog: Option<usize>,
        actions: &mut Vec<Action>,
    ) {
        let waiting = backlog.unwrap_or(0).min(self.capacity);
        if waiting == 0 || self.eviction_queues.has_soon_evictable() {
            return self.backlog_wait.end();
        }
        if !self.backlog_wait.is_too_long(now) {
            return;
        }
        for _ in 0..waiting {
            let Some(oldest) = self.accept_order.front(ACCEPT_ORDER_QUEUE) else {
                return;
            };
            self.request_close(now, ConnectionId(oldest), actions);
        }
    }

    /// Evicts one connection, if one may be evicted, so that another gets its descriptor.
    pub(super) fn evict_one(&mut self, now: Duration, urgency: Urgency, actions: &mut Vec<Action>) {
        let eviction = self.eviction_queues.choose(&self.connections, now, urgency);
        match eviction {
            Some(Eviction::RequestClose(id)) => self.request_close(now, id, actions),
            Some(Eviction::RequestCloseAndClose(id)) => {
                self.request_close(now, id, actions);
                self.close(now, id, CloseReason::Evicted, actions);
            }
            Some(Eviction::Close(id)) => self.close(now, id, CloseReason::Evicted, actions),
            None => {}
        }
    }

    /// Moves a connection to the queue of its eviction class after its state has changed.
    pub(super) fn update_eviction_class(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(id) {
            self.eviction_queues.update(id, connection);
        }
    }

    /// Asks the client to close a connection, at most once.
    pub(super) fn request_close(
        &mut self,
        now: Duration,
        id: ConnectionId,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.close_requested_at.is_some() || connection.is_closing {
            return;
        }
        connection.close_requested_at = Some(now);
        self.accept_order.remove(id.0);
        if connection.is_idle() || self.phase == Phase::Draining {
            let deadline = self.timeouts.idle_deadline(connection, now);
            self.deadlines.set(id, deadline);
        }
        self.update_eviction_class(id);
        actions.push(Action::RequestClose { connection: id });
    }

    /// Instructs the host to close a connection, at most once.
    pub(super) fn close(
        &mut self,
        now: Duration,
        id: ConnectionId,
        reason: CloseReason,
        actions: &mut Vec<Action>,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
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
        self.pending_closes.add(id, now);
        self.eviction_queues.remove(id);
        self.accept_order.remove(id.0);
        self.deadlines.cancel(id);
        actions.push(Action::Close {
            connection: id,
            reason,
        });
    }
}
