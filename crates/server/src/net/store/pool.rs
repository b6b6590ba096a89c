//! The pool: which connections are open, idle or busy with which call, and which calls wait.
//!
//! Each connection carries one call at a time, so that a malformed reply costs its own call only.
//! Calls are placed by one rule, [`ConnectionPool::place`]: on the idle connection that was used
//! last, or else on a new one while the pool has fewer than its limit, or else in the queue. A
//! connection never carries two calls of the same request in a row ([`may_carry`]).

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::net::stream::{Output, SendOutcome};
use crate::requests::{Outcome, RequestId};

/// How long an idle connection is kept. The store closes connections that are idle for 10 s, or
/// sooner, and a call that crosses such a close is lost; so they are closed here first.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of a connection; numbers are not reused.
pub(super) type ConnectionId = u64;

/// A call of a request. Its number is its position among all calls of that request.
pub(super) struct Call {
    pub(super) request: RequestId,
    pub(super) number: usize,
    pub(super) bytes: Vec<u8>,
}

/// One connection, as the pool sees it; its coroutine owns the stream.
struct PooledConnection {
    /// Its output, once it is open.
    output: Option<Arc<Output>>,
    address: SocketAddr,
    call: Option<Call>,
    /// The request of its last call.
    last_request: Option<RequestId>,
    last_used: Instant,
    /// It is to close: its call was given up, it was idle, or the store has moved.
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

/// How far a call had come when it was given up.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum AbandonedCall {
    /// It had not left this process.
    NotSent,
    /// It was sent and not answered.
    Unanswered,
    /// It was over.
    Over,
}

impl From<AbandonedCall> for Outcome {
    fn from(abandoned: AbandonedCall) -> Self {
        match abandoned {
            AbandonedCall::NotSent => Outcome::Unreachable,
            AbandonedCall::Unanswered | AbandonedCall::Over => Outcome::TimedOut,
        }
    }
}

/// Where a call is placed.
pub(super) enum Placement {
    /// On this connection, which is open and idle.
    Idle(ConnectionId),
    /// On a connection that is to be opened.
    NewConnection,
    /// In the queue, until a connection is free.
    Queue,
}

/// Whether a connection may carry a call of `request`. A store that sends the reply to a call twice
/// would otherwise have the second one taken for the reply to the next call of the same request:
/// replies are told apart by the request alone. The price is another connection for that call.
fn may_carry(last_request: Option<&RequestId>, request: &RequestId) -> bool {
    last_request != Some(request)
}

/// The connections to the store, and the calls on them.
#[derive(Default)]
pub(super) struct ConnectionPool {
    connections: HashMap<ConnectionId, PooledConnection>,
    /// Connections without a call, the one used last at the end.
    idle: Vec<ConnectionId>,
    /// The connection on which a request's call is open.
    open_calls: HashMap<RequestId, ConnectionId>,
    /// Calls for which no connection was free. Each open request has one call at a time, so the
    /// limit on open requests bounds the queue.
    waiting: VecDeque<Call>,
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

    /// Decides where a call of `request` is placed, in a pool of at most `max_connections`. A
    /// connection that is chosen is no longer idle.
    pub(super) fn place(&mut self, request: &RequestId, max_connections: usize) -> Placement {
        if let Some(connection) = self.take_idle(request) {
            Placement::Idle(connection)
        } else if self.connections.len() < max_connections {
            Placement::NewConnection
        } else {
            Placement::Queue
        }
    }

    /// Takes the connection that was used last of those that may carry a call of `request`.
    fn take_idle(&mut self, request: &RequestId) -> Option<ConnectionId> {
        let is_suitable = |id: &ConnectionId| {
            let connection = &self.connections[id];
            may_carry(connection.last_request.as_ref(), request)
        };
        let position = self.idle.iter().rposition(is_suitable)?;
        Some(self.idle.remove(position))
    }

    /// Gives an open connection without a call its next call.
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
        // Where the connection has ended or its buffer is full, its end reports the call as lost.
        if added != Some(SendOutcome::Queued) {
            connection.close();
        }
    }

    /// Queues a call until a connection is free.
    pub(super) fn enqueue(&mut self, call: Call) {
        self.waiting.push_back(call);
    }

    /// The call that waits longest.
    pub(super) fn next_waiting(&mut self) -> Option<Call> {
        self.waiting.pop_front()
    }

    /// All calls that wait.
    pub(super) fn take_waiting(&mut self) -> VecDeque<Call> {
        std::mem::take(&mut self.waiting)
    }

    /// Gives up the call of this number of a request, and closes its connection.
    pub(super) fn give_up(&mut self, request: &RequestId, number: usize) -> AbandonedCall {
        let is_it = |call: &Call| call.request == *request && call.number == number;
        if let Some(position) = self.waiting.iter().position(is_it) {
            self.waiting.remove(position);
            return AbandonedCall::NotSent;
        }
        let id = self.open_calls.get(request).copied();
        let connection = id.and_then(|id| self.connections.get_mut(&id));
        let Some(connection) =
            connection.filter(|connection| connection.call.as_ref().is_some_and(is_it))
        else {
            return AbandonedCall::Over;
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

    /// Closes connections that were idle for `IDLE_TIMEOUT`, and idle ones to another address than
    /// `address`.
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

    /// Whether a connection is still wanted.
    pub(super) fn is_wanted(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| !connection.is_closing)
    }

    /// A connection is open: its first call is sent.
    pub(super) fn opened(&mut self, id: ConnectionId, output: &Arc<Output>) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.output = Some(output.clone());
        if let Some(call) = &connection.call {
            output.try_send(&[&call.bytes]);
        }
    }

    /// The link of a connection has failed: nothing is given to it any more. Returns whether it was
    /// idle; an idle one may be closed by the store at any time.
    pub(super) fn failed(&mut self, id: ConnectionId) -> bool {
        self.idle.retain(|&other| other != id);
        self.connections
            .get(&id)
            .is_none_or(|connection| connection.call.is_none())
    }

    /// Takes a reply for a request on a connection, and gives the connection its next call.
    /// `current` is the store's address now. Returns the request whose call the reply ends; none
    /// where the reply is a duplicate, or no call is open for it.
    pub(super) fn received(
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
        // The store has moved. The end of this connection opens a new one for a call that waits.
        if !stays {
            connection.close();
        }
        self.open_calls.remove(&call.request);
        let next = self
            .waiting
            .iter()
            .position(|next| may_carry(Some(&call.request), &next.request))
            .filter(|_| stays);
        match next.and_then(|position| self.waiting.remove(position)) {
            Some(next) => self.assign(id, next),
            None if stays => self.idle.push(id),
            None => {}
        }
        Some(call.request)
    }

    /// Removes a connection that has ended. Returns the request whose call is lost with it, and its
    /// outcome.
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
