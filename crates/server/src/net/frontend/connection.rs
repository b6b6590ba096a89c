//! The state of one connection from an edge node that all coroutines share: its open requests and
//! health checks, its output, and whether it is to close.

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

/// The number of requests that the protocol allows to be open on one connection.
pub(super) const MAX_OPEN_REQUESTS: usize = 32;
/// The bytes of unwritten replies at which the session stops reading from a slow client. Replies to
/// the client's open requests may be added to them, so the output buffer is larger.
const MAX_UNWRITTEN_BYTES: usize = 4 * 1024;
/// The longest reply, in bytes: the longest result, the reply's fields and the framing.
const MAX_REPLY_BYTES: usize = 4608;
/// The output buffer of a connection, in bytes: unwritten replies, the replies to all open
/// requests, and a drain notification.
const MAX_OUTPUT_BYTES: usize = MAX_UNWRITTEN_BYTES + (MAX_OPEN_REQUESTS + 1) * MAX_REPLY_BYTES;
/// The input buffer of a connection, in bytes: the longest frame.
const MAX_INPUT_BYTES: usize = codec::MAX_FRAME_BYTES + codec::FRAME_HEADER_BYTES;

/// The buffered stream of an accepted connection.
pub(super) fn new_stream(stream: TcpStream) -> BufferedStream {
    BufferedStream::new(stream, MAX_INPUT_BYTES, MAX_OUTPUT_BYTES)
}

/// An open request of a connection.
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
    /// Open requests that are not registered yet.
    pub(super) arrived_requests: Mutex<Vec<ArrivedRequest>>,
    /// The number of health checks that are not answered yet.
    pub(super) open_checks: AtomicUsize,
    pub(super) accepted_at: Instant,
    /// The edge node is to be asked to send nothing more on this connection.
    is_close_requested: AtomicBool,
    /// The connection closes as soon as no request or health check is open.
    is_closing: AtomicBool,
    /// A message has timed out: the session reads nothing more.
    has_timed_out: AtomicBool,
}

impl Connection {
    /// A connection that was accepted now.
    pub(super) fn new(id: ConnectionId, output: Arc<Output>) -> Self {
        Connection {
            id,
            output,
            open_requests: Mutex::new(HashMap::new()),
            arrived_requests: Mutex::default(),
            open_checks: AtomicUsize::new(0),
            accepted_at: Instant::now(),
            is_close_requested: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            has_timed_out: AtomicBool::new(false),
        }
    }

    /// The number of open requests and health checks.
    pub(super) fn open_count(&self) -> usize {
        self.open_requests.lock().len() + self.open_checks.load(Ordering::Acquire)
    }

    /// Whether the caller has cancelled the open request with this sequence number.
    pub(super) fn is_cancelled(&self, sequence: i32) -> bool {
        let open_requests = self.open_requests.lock();
        let request = open_requests.get(&sequence);
        request.is_some_and(|request| request.is_cancelled)
    }

    /// Whether another message may be read. The protocol's limit on open requests and the limit on
    /// unwritten replies bound the memory that one connection takes.
    pub(super) fn has_room(&self) -> bool {
        self.open_count() < MAX_OPEN_REQUESTS && self.output.buffered_bytes() < MAX_UNWRITTEN_BYTES
    }

    /// Whether no request or health check is open and all output is written.
    pub(super) fn is_done(&self) -> bool {
        self.open_count() == 0 && self.output.buffered_bytes() == 0
    }

    /// Has the session ask the edge node to close this connection once everything is answered.
    pub(super) fn request_close(&self) {
        self.is_close_requested.store(true, Ordering::Release);
        self.output.wake();
    }

    /// Whether the edge node is to be asked to close this connection.
    pub(super) fn is_close_requested(&self) -> bool {
        self.is_close_requested.load(Ordering::Acquire)
    }

    /// Whether the connection closes as soon as no request or health check is open.
    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Whether a message has timed out.
    pub(super) fn has_timed_out(&self) -> bool {
        self.has_timed_out.load(Ordering::Acquire)
    }

    /// Has the session close the connection as soon as no request or health check is open.
    pub(super) fn close(&self, reason: CloseReason) {
        if reason == CloseReason::MessageTimeout {
            self.has_timed_out.store(true, Ordering::Release);
        }
        self.is_closing.store(true, Ordering::Release);
        self.output.wake();
    }

    /// Replies to a message that does not count as an open request or health check.
    pub(super) fn reply(&self, method: &str, sequence: i32, reply: &Reply) {
        self.output
            .send(&[&codec::encode_reply(method, sequence, reply)]);
    }

    /// Replies to a request or health check and removes it, under the lock that `open_count` takes.
    /// Without the common lock, a connection that is closing, or whose edge node has closed its
    /// side after the request, could count as done between the two steps and close without the
    /// reply.
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
        // The buffer has room for the replies to all open requests. If it is full nevertheless,
        // this call waits for room.
        if outcome == SendOutcome::Full {
            self.output.send(&[&frame]);
        }
    }
}
