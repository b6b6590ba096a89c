//! One connection from an edge node: reading its messages, and when it closes.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use may::net::TcpStream;
use parking_lot::Mutex;
use tulipgap_connection_limits::{CloseReason, ConnectionId, Event};

use super::codec::{self, Call, CallError, Message, Reply};
use super::{Frontend, MALFORMED_MESSAGES};
use crate::clock;
use crate::log::LogLimit;
use crate::net::spawn;
use crate::net::stream::{BufferedStream, Output, SendOutcome};
use crate::requests::{RequestEvent, RequestId};

/// Open requests that one connection carries by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// Bytes of answers that a slow reader may leave unread before nothing more is read from it. What
/// is open then comes on top, so the buffer holds all that can become due.
const MAX_UNREAD_BYTES: usize = 4 * 1024;
const MAX_ANSWER_BYTES: usize = 4608;
const MAX_OUTPUT_BYTES: usize = MAX_UNREAD_BYTES + (MAX_OPEN_REQUESTS + 1) * MAX_ANSWER_BYTES;
const MAX_INPUT_BYTES: usize = codec::MAX_FRAME_BYTES + codec::FRAME_HEADER_BYTES;
/// What is read from one connection before others have their turn: messages, and reads of a
/// buffer's room.
const MAX_STEPS_PER_TURN: usize = 64;
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// Malformed messages after which a connection closes.
const MAX_MALFORMED_MESSAGES: usize = 8;

static MESSAGE_TIMEOUTS: LogLimit = LogLimit::new();

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

/// One connection, as others than its own coroutine see it.
pub(super) struct Connection {
    pub(super) id: ConnectionId,
    pub(super) output: Arc<Output>,
    /// Its open requests, by the sequence number of their message.
    pub(super) open_requests: Mutex<HashMap<i32, OpenRequest>>,
    /// Health checks under way.
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
    pub(super) fn new(id: ConnectionId, output: Arc<Output>) -> Self {
        Connection {
            id,
            output,
            open_requests: Mutex::new(HashMap::new()),
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

    /// Whether nothing is open and nothing waits to be sent.
    pub(super) fn is_done(&self) -> bool {
        self.open() == 0 && self.output.buffered_bytes() == 0
    }

    /// Asks the edge node to close this connection once everything is answered.
    pub(super) fn request_close(&self) {
        self.close_is_requested.store(true, Ordering::Release);
        self.output.wake();
    }

    /// Closes it as soon as nothing on it is open.
    pub(super) fn close(&self, reason: CloseReason) {
        if reason == CloseReason::MessageTimeout {
            self.has_timed_out.store(true, Ordering::Release);
        }
        self.is_closing.store(true, Ordering::Release);
        self.output.wake();
    }

    pub(super) fn reply(&self, method: &str, sequence: i32, reply: &Reply) {
        self.output
            .send(&[&codec::encode_reply(method, sequence, reply)]);
    }

    /// Replies to what was open and removes it, in one step for whoever asks whether something is
    /// open: between the two a connection that is to close, or that its edge node closed behind its
    /// request, would look done and close without the reply.
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
        // The buffer holds all that can become due; if it should not, what is due waits for its
        // room.
        if outcome == SendOutcome::Full {
            self.output.send(&[&frame]);
        }
    }
}

/// A connection in the hands of its own coroutine.
struct Session<'a> {
    frontend: &'a Arc<Frontend>,
    connection: &'a Arc<Connection>,
    stream: &'a mut BufferedStream,
    /// After something that is no message nothing more is read, but what is open is answered.
    is_readable: bool,
    /// The limiter knows that a message has begun.
    has_begun_message: bool,
    drain_notification_is_sent: bool,
    malformed_messages: usize,
}

/// What one turn of a session has read.
struct Turn {
    steps: usize,
    /// The last read may have left something to read.
    has_more: bool,
}

impl Turn {
    fn is_used_up(&self) -> bool {
        self.steps >= MAX_STEPS_PER_TURN
    }
}

impl Frontend {
    /// Serves a connection from its opening to its end.
    pub(super) fn serve(
        self: &Arc<Self>,
        mut stream: BufferedStream,
        connection: &Arc<Connection>,
    ) {
        let mut session = Session {
            frontend: self,
            connection,
            stream: &mut stream,
            is_readable: true,
            has_begun_message: false,
            drain_notification_is_sent: false,
            malformed_messages: 0,
        };
        let end = session.run();
        // Closed before its place is another's.
        drop(stream);
        self.decide(|limiter, now, actions| {
            limiter.handle_event(
                now,
                Event::Closed {
                    connection: connection.id,
                },
                actions,
            );
            self.connections.lock().remove(connection.id.0);
        });
        // Cut off: nobody waits for what was open here.
        if let Err(error) = end {
            log::debug!("connection failed error=\"{error}\"");
            let open_requests = connection.open_requests.lock();
            let ids: Vec<RequestId> = open_requests
                .values()
                .map(|request| request.id.clone())
                .collect();
            drop(open_requests);
            for id in ids {
                self.registry.report(&id, RequestEvent::CallerGone);
            }
        }
    }
}

impl Session<'_> {
    /// Moves bytes until the edge node has closed and everything is answered, or the connection
    /// breaks.
    fn run(&mut self) -> io::Result<()> {
        loop {
            self.send_drain_notification();
            self.stream.flush()?;
            let turn = self.read_messages()?;
            let is_closing = self.check_input(&turn);
            if self.finish(is_closing) {
                return Ok(());
            }
            if turn.is_used_up() {
                clock::sleep(TURN_PAUSE)
            } else {
                self.stream.wait()
            }
        }
    }

    /// Asks the edge node to leave, where that is wanted; where the buffer is full, the next turn
    /// asks.
    fn send_drain_notification(&mut self) {
        if !self.drain_notification_is_sent
            && self.connection.close_is_requested.load(Ordering::Acquire)
        {
            let outcome = self
                .stream
                .output
                .try_send(&[&codec::encode_drain_notification(0)]);
            self.drain_notification_is_sent = outcome == SendOutcome::Queued;
        }
    }

    fn has_room(&self) -> bool {
        self.connection.open() < MAX_OPEN_REQUESTS
            && self.stream.output.buffered_bytes() < MAX_UNREAD_BYTES
    }

    fn may_read(&self, turn: &Turn) -> bool {
        self.is_readable && self.has_room() && !turn.is_used_up()
    }

    /// Reads and handles what has come, for one turn.
    fn read_messages(&mut self) -> io::Result<Turn> {
        let mut turn = Turn {
            steps: 0,
            has_more: self.is_readable,
        };
        while turn.has_more && self.may_read(&turn) {
            turn.has_more = self.stream.read()?;
            turn.steps += 1;
            while self.may_read(&turn) {
                let Ok(length) = codec::frame_length(self.stream.input.contiguous()) else {
                    self.is_readable = false;
                    break;
                };
                let Some(length) = length else { break };
                turn.steps += 1;
                self.handle_frame(length);
            }
        }
        Ok(turn)
    }

    fn handle_frame(&mut self, length: usize) {
        let end = codec::FRAME_HEADER_BYTES + length;
        let message =
            codec::decode(&self.stream.input.contiguous()[codec::FRAME_HEADER_BYTES..end]);
        self.stream.input.consume(end);
        self.has_begun_message = false;
        self.frontend.notify(Event::MessageCompleted {
            connection: self.connection.id,
        });
        let Some(message) = message else {
            self.is_readable = false;
            return;
        };
        let is_oneway = message.is_oneway;
        if !self.frontend.handle_message(self.connection, message) {
            self.malformed_messages += 1;
            self.is_readable = !is_oneway && self.malformed_messages <= MAX_MALFORMED_MESSAGES;
        }
    }

    /// Ends the reading where a message takes too long, and tells the limiter of one that has
    /// begun. Returns whether the connection is to close.
    fn check_input(&mut self, turn: &Turn) -> bool {
        let has_partial_message = self.is_readable
            && !turn.is_used_up()
            && self.stream.input.len() > 0
            && self.has_room();
        if has_partial_message && !std::mem::replace(&mut self.has_begun_message, true) {
            self.frontend.notify(Event::MessageStarted {
                connection: self.connection.id,
            });
        }
        let is_closing = self.connection.is_closing.load(Ordering::Acquire);
        let has_timed_out = self.connection.has_timed_out.load(Ordering::Acquire);
        let is_cut_short = has_partial_message && is_closing && self.connection.open() == 0;
        if self.is_readable && (has_timed_out || is_cut_short) {
            self.is_readable = false;
            if let Some(count) = MESSAGE_TIMEOUTS.pass() {
                log::warn!("connection closing reason=message_timeout count={count}");
            }
        } else if turn.has_more
            && !self.is_readable
            && let Some(count) = MALFORMED_MESSAGES.pass()
        {
            log::warn!("connection closing reason=malformed_message count={count}");
        }
        is_closing
    }

    /// Whether the connection can close now; then it is left so that nothing on its way to the edge
    /// node is lost.
    fn finish(&mut self, is_closing: bool) -> bool {
        if !self.connection.is_done() {
            return false;
        }
        if self.stream.is_read_closed {
            return true;
        }
        if !self.is_readable {
            self.stream.drain_before_close();
            return true;
        }
        // What has come is read first.
        if !is_closing || self.stream.input.len() > 0 {
            return false;
        }
        // What still crosses the close would reset the connection, and answers on their way with
        // it.
        if self.stream.has_unacknowledged_output() {
            self.stream.drain_before_close();
        }
        true
    }
}

impl Frontend {
    /// Handles a message; returns whether it was well-formed.
    fn handle_message(self: &Arc<Self>, connection: &Arc<Connection>, message: Message) -> bool {
        let Message {
            method,
            sequence,
            is_oneway,
            call,
        } = message;
        let handled = match call {
            Ok(Call::Process { fields, body }) => {
                self.handle_request(connection, sequence, &fields, body)
            }
            Ok(Call::HealthCheck { deep }) => {
                connection.open_checks.fetch_add(1, Ordering::AcqRel);
                self.notify(Event::RequestStarted {
                    connection: connection.id,
                });
                let (frontend, connection) = (self.clone(), connection.clone());
                spawn(move || frontend.answer_health_check(&connection, sequence, deep));
                Ok(())
            }
            // It may cross the answer: then nothing is open there any more.
            Ok(Call::Cancel { sequence }) if self.names.callers_cancel => {
                self.cancel(connection, sequence);
                Ok(())
            }
            Ok(Call::Cancel { .. }) => Err(CallError::InvalidMessageType),
            Err(error) => Err(error),
        };
        let Err(error) = handled else { return true };
        if let Some(count) = MALFORMED_MESSAGES.pass() {
            log::warn!("message rejected method={method:?} error=\"{error}\" count={count}");
        }
        self.notify(Event::ProtocolViolation {
            connection: connection.id,
        });
        if !is_oneway {
            connection.reply(&method, sequence, &Reply::Exception(&error));
        }
        false
    }

    fn cancel(&self, connection: &Connection, sequence: i32) {
        let id = connection
            .open_requests
            .lock()
            .get_mut(&sequence)
            .map(|request| {
                request.is_cancelled = true;
                request.id.clone()
            });
        if let Some(id) = id {
            self.registry.report(&id, RequestEvent::CallerGone);
        }
    }
}
