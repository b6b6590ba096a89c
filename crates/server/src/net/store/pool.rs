//! The connection pool: open, idle and busy connections, and queued calls.
//!
//! Each connection carries one call at a time, so that a malformed reply affects only its own call.
//! [`ConnectionPool::place`] assigns a call to the most recently used idle connection; without one,
//! to a new connection while the pool is below its limit; otherwise the call is queued. A
//! connection never carries two consecutive calls of the same request ([`may_carry`]).

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::net::stream::{Output, SendOutcome};
use crate::requests::{Outcome, RequestId};

/// How long an idle connection is kept. The store closes a connection after at most 10 s without a
/// call, and a call that crosses such a close is lost, so the pool closes idle connections first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The id of a connection; ids are not reused.
pub(super) type ConnectionId = u64;

/// A call of a request. Its number is its position among the calls of the request.
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) number: usize,
    pub(super) bytes: Vec<u8>,
}

/// The state of a connection in the pool; its coroutine owns the stream.
struct PooledConnection {
    /// Its output; `None` until the connection is open.
    output: Option<Arc<Output>>,
    address: SocketAddr,
    call: Option<Call>,
    /// The request of its last call.
    last_request: Option<RequestId>,
    last_used: Instant,
    /// The connection is to close: its call was abandoned or could not be sent, the connection was
    /// idle, or the store has moved.
    is_closing: bool,
}

impl PooledConnection {
    fn close(&mut self) {
        self.is_closing = true;
        if let Some(output) = &self.output {
            output.wake();
        }
    }
}

/// The state of a call when it was abandoned.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AbandonedCall {
    /// The call was not sent.
    NotSent,
    /// The call was sent and not answered.
    Unanswered,
    /// The call had already ended.
    Ended,
}

impl From<AbandonedCall> for Outcome {
    fn from(abandoned: AbandonedCall) -> Self {
        match abandoned {
            AbandonedCall::NotSent => Outcome::Unreachable,
            AbandonedCall::Unanswered | AbandonedCall::Ended => Outcome::TimedOut,
        }
    }
}

/// Where a call is placed.
pub(super) enum Placement {
    /// On this open and idle connection.
    Idle(ConnectionId),
    /// On a new connection.
    NewConnection,
    /// In the queue, until a connection is free.
    Queue,
}

/// Whether a connection may carry a call of `request`. Replies carry only the id of the request. If
/// the store sent the reply to a call twice, the second one would otherwise be taken as the reply
/// to the next call of the same request. The cost is another connection for that call.
fn may_carry(last_request: Option<&RequestId>, request: &RequestId) -> bool {
    last_request != Some(request)
}

/// The connections to the store, and the calls on them.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: HashMap<ConnectionId, PooledConnection>,
    /// Connections without a call, the most recently used one last.
    idle: Vec<ConnectionId>,
    /// The connection that carries a request's open call.
    open_calls: HashMap<RequestId, ConnectionId>,
    /// Calls for which no connection was free. Each open request has one call at a time, so the
    /// limit on open requests bounds the queue.
    queued: VecDeque<Call>,
    last_id: ConnectionId,
}

impl ConnectionPool {
    /// Adds a connection that is about to be opened for this call.
    pub(super) fn insert(&mut self, address: SocketAddr, call: Call) -> ConnectionId {
        self.last_id += 1;
        self.open_calls.insert(call.request.clone(), self.last_id);
        let connection = PooledConnection {
            output: None,
            address,
            call: Some(call),
            last_request: None,
            last_used: Instant::now(),
            is_closing: false,
        };
        self.connections.insert(self.last_id, connection);
        self.last_id
    }

    /// Decides where a call of `request` is placed, in a pool of at most `max_connections`. An idle
    /// connection that is returned is removed from the idle ones.
    pub(super) fn place(&mut self, request: &RequestId, max_connections: usize) -> Placement {
        if let Some(connection) = self.take_idle(request) {
            Placement::Idle(connection)
        } else if self.connections.len() < max_connections {
            Placement::NewConnection
        } else {
            Placement::Queue
        }
    }

    /// Takes the most recently used idle connection that may carry a call of `request`.
    fn take_idle(&mut self, request: &RequestId) -> Option<ConnectionId> {
        let is_suitable = |id: &ConnectionId| {
            let connection = &self.connections[id];
            may_carry(connection.last_request.as_ref(), request)
        };
        let position = self.idle.iter().rposition(is_suitable)?;
        Some(self.idle.remove(position))
    }

    /// Assigns a call to an open connection without a call.
    pub(super) fn assign(&mut self, id: ConnectionId, call: Call) {
        self.open_calls.insert(call.request.clone(), id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let added = connection
            .output
            .as_ref()
            .map(|output| output.try_send(&[&call.bytes]));
        connection.call = Some(call);
        // If the connection has ended or its buffer is full, the call is reported as lost when the
        // connection is removed.
        if added != Some(SendOutcome::Queued) {
            connection.close();
        }
    }

    /// Queues a call until a connection is free.
    pub(super) fn enqueue(&mut self, call: Call) {
        self.queued.push_back(call);
    }

    /// Takes the call that has been queued longest.
    pub(super) fn pop_queued(&mut self) -> Option<Call> {
        self.queued.pop_front()
    }

    /// Takes all queued calls.
    pub(super) fn take_queued(&mut self) -> VecDeque<Call> {
        std::mem::take(&mut self.queued)
    }

    /// Abandons call `number` of a request, and closes its connection.
    pub(super) fn abandon_call(&mut self, request: &RequestId, number: usize) -> AbandonedCall {
        let is_this_call = |call: &Call| call.request == *request && call.number == number;
        if let Some(position) = self.queued.iter().position(is_this_call) {
            self.queued.remove(position);
            return AbandonedCall::NotSent;
        }
        let id = self.open_calls.get(request).copied();
        let connection = id.and_then(|id| self.connections.get_mut(&id));
        let Some(connection) =
            connection.filter(|connection| connection.call.as_ref().is_some_and(is_this_call))
        else {
            return AbandonedCall::Ended;
        };
        connection.call = None;
        connection.close();
        let was_sent = connection.output.is_some();
        self.open_calls.remove(request);
        if was_sent {
            AbandonedCall::Unanswered
        } else {
            AbandonedCall::NotSent
        }
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`, and idle connections to other
    /// addresses than `address`.
    pub(super) fn close_idle(&mut self, address: Option<SocketAddr>) {
        let ConnectionPool {
            connections, idle, ..
        } = self;
        idle.retain(|id| {
            let Some(connection) = connections.get_mut(id) else {
                return false;
            };
            let stays = Some(connection.address) == address
                && connection.last_used.elapsed() < IDLE_TIMEOUT;
            if !stays {
                connection.close();
            }
            stays
        });
    }

    /// Whether a connection is in the pool and is not to close.
    pub(super) fn is_wanted(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| !connection.is_closing)
    }

    /// Stores the output of a connection that has opened, and sends its first call.
    pub(super) fn handle_opened(&mut self, id: ConnectionId, output: &Arc<Output>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.output = Some(output.clone());
        if let Some(call) = &connection.call {
            output.try_send(&[&call.bytes]);
        }
    }

    /// Marks a connection as failed, so that it gets no further call. Returns whether it was idle:
    /// the store may close an idle connection at any time, so this is not a failure.
    pub(super) fn mark_failed(&mut self, id: ConnectionId) -> bool {
        self.idle.retain(|&other| other != id);
        self.connections
            .get(&id)
            .is_none_or(|connection| connection.call.is_none())
    }

    /// Handles a reply on a connection, and assigns the connection its next call. `current` is the
    /// current address of the store. Returns the request whose call has ended, or `None` if the
    /// reply is a duplicate or belongs to no open call of this connection.
    pub(super) fn handle_reply(
        &mut self,
        id: ConnectionId,
        request: &str,
        current: Option<SocketAddr>,
    ) -> Option<RequestId> {
        let connection = self.connections.get_mut(&id)?;
        let call = connection.call.take_if(|call| *call.request == *request)?;
        connection.last_used = Instant::now();
        connection.last_request = Some(call.request.clone());
        let stays = Some(connection.address) == current;
        // The store has moved. When this connection ends, a new one is opened for a queued call.
        if !stays {
            connection.close();
        }
        self.open_calls.remove(&call.request);
        let next = self
            .queued
            .iter()
            .position(|next| may_carry(Some(&call.request), &next.request))
            .filter(|_| stays);
        match next.and_then(|position| self.queued.remove(position)) {
            Some(next) => self.assign(id, next),
            None if stays => self.idle.push(id),
            None => {}
        }
        Some(call.request)
    }

    /// Removes a connection that has ended. Returns the request whose call was lost, and the
    /// outcome of the call.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<(RequestId, Outcome)> {
        let connection = self.connections.remove(&id)?;
        let call = connection.call?;
        // A call of which no byte was written has not run.
        let is_unsent = connection
            .output
            .is_none_or(|output| output.buffered_bytes() >= call.bytes.len());
        self.open_calls.remove(&call.request);
        Some((
            call.request,
            if is_unsent {
                Outcome::Unreachable
            } else {
                Outcome::ConnectionLost
            },
        ))
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
