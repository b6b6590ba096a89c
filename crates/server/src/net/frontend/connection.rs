//! One connection from an edge node, as all coroutines see it: what is open on it, its output, and
//! whether it is to close.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use may::net::TcpStream;
use parking_lot::Mutex;
use tulipgap_connection_limits::{CloseReason, ConnectionId};

use super::codec::{self, Reply};
use super::request::ArrivedRequest;
use crate::net::stream::{BufferedStream, Output, SendOutcome};
use crate::requests::RequestId;

/// Requests that the protocol allows to be open on one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes of replies that a slow reader may leave unread before nothing more is read from it. The
/// replies to its open requests may follow these, so the output buffer is larger.
const MAX_UNREAD_BYTES: usize = 4 * 1024;
/// The longest reply, in bytes: the longest result, the reply's fields and the framing.
const MAX_REPLY_BYTES: usize = 4608;
/// The output buffer of a connection, in bytes: unread replies, those of all open requests, and a
/// drain notification.
const MAX_OUTPUT_BYTES: usize = MAX_UNREAD_BYTES + (MAX_OPEN_REQUESTS + 1) * MAX_REPLY_BYTES;
/// The input buffer of a connection, in bytes: the longest frame.
const MAX_INPUT_BYTES: usize = codec::MAX_FRAME_BYTES + codec::FRAME_HEADER_BYTES;

/// The stream of a connection that was accepted.
pub(super) fn new_stream(stream: TcpStream) -> BufferedStream {
    BufferedStream::new(stream, MAX_INPUT_BYTES, MAX_OUTPUT_BYTES)
}

/// A request that is open on a connection.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    /// Its caller has cancelled it.
    pub(super) is_cancelled: bool,
}

/// One connection, shared by its session, its requests and the connection table.
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    pub(super) output: Arc<Output>,
    /// Its open requests, by the sequence number of their message.
    pub(super) open_requests: Mutex<HashMap<i32, OpenRequest>>,
    /// The open requests that were read and are not registered yet.
    pub(super) arrived_requests: Mutex<Vec<ArrivedRequest>>,
    /// Health checks that are not answered yet.
    pub(super) open_checks: AtomicUsize,
    pub(super) accepted_at: Instant,
    /// The edge node is to be asked to send nothing more here.
    close_is_requested: AtomicBool,
    /// It closes as soon as nothing on it is open.
    is_closing: AtomicBool,
    /// A message took too long: nothing more is read.
    has_timed_out: AtomicBool,
}

impl Connection {
    /// A connection that is accepted now.
    pub(super) fn new(id: ConnectionId, output: Arc<Output>) -> Self {
        Connection {
            id,
            output,
            open_requests: Mutex::new(HashMap::new()),
            arrived_requests: Mutex::default(),
            open_checks: AtomicUsize::new(0),
            accepted_at: Instant::now(),
            close_is_requested: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            has_timed_out: AtomicBool::new(false),
        }
    }

    /// The number of requests and health checks that are open.
    pub(super) fn open(&self) -> usize {
        self.open_requests.lock().len() + self.open_checks.load(Ordering::Acquire)
    }

    /// Whether the caller of the open request of this sequence number has cancelled it.
    pub(super) fn is_cancelled(&self, sequence: i32) -> bool {
        let open_requests = self.open_requests.lock();
        let request = open_requests.get(&sequence);
        request.is_some_and(|request| request.is_cancelled)
    }

    /// Whether another message may be read: the protocol's limit on open requests and the bound on
    /// unread replies keep what one connection takes of the memory bounded.
    pub(super) fn has_room(&self) -> bool {
        self.open() < MAX_OPEN_REQUESTS && self.output.buffered_bytes() < MAX_UNREAD_BYTES
    }

    /// Whether nothing is open and nothing waits to be sent.
    pub(super) fn is_done(&self) -> bool {
        self.open() == 0 && self.output.buffered_bytes() == 0
    }

    /// Asks the edge node to close this connection once everything is answered.
    pub(super) fn request_close(&self) {
        self.close_is_requested.store(true, Ordering::Release);
        self.output.wake();
    }

    /// Whether the edge node is to be asked to close this connection.
    pub(super) fn close_is_requested(&self) -> bool {
        self.close_is_requested.load(Ordering::Acquire)
    }

    /// Whether it closes as soon as nothing on it is open.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Whether a message took too long.
    pub(super) fn has_timed_out(&self) -> bool {
        self.has_timed_out.load(Ordering::Acquire)
    }

    /// Closes it as soon as nothing on it is open.
    pub(super) fn close(&self, reason: CloseReason) {
        if reason == CloseReason::MessageTimeout {
            self.has_timed_out.store(true, Ordering::Release);
        }
        self.is_closing.store(true, Ordering::Release);
        self.output.wake();
    }

    /// Replies to a message that is not among the open requests and health checks.
    pub(super) fn reply(&self, method: &str, sequence: i32, reply: &Reply) {
        self.output
            .send(&[&codec::encode_reply(method, sequence, reply)]);
    }

    /// Replies to a request or health check and removes it, under the lock that `open` takes. In
    /// two steps, a connection that is to close, or that its edge node has closed behind its
    /// request, would look done in between and close without the reply.
    pub(super) fn conclude(
        &self,
        method: &str,
        sequence: i32,
        reply: &Reply,
        remove: impl FnOnce(&mut HashMap<i32, OpenRequest>),
    ) {
        let frame = codec::encode_reply(method, sequence, reply);
        let mut open_requests = self.open_requests.lock();
        let outcome = self.output.try_send(&[&frame]);
        remove(&mut open_requests);
        drop(open_requests);
        // The buffer is large enough for the replies to everything open. If it should be full all
        // the same, this reply waits for space.
        if outcome == SendOutcome::Full {
            self.output.send(&[&frame]);
        }
    }
}
