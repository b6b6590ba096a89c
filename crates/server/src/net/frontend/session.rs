//! The session of a connection: a coroutine that moves bytes between the socket and the buffers,
//! decodes messages and passes them to their handler.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tulipgap_connection_limits::Event;

use super::closing::{CloseStep, ConnectionState, close_step};
use super::codec::{self, Message};
use super::connection::Connection;
use super::connection_table::ConnectionTable;
use super::summary::MALFORMED_MESSAGES;
use crate::clock;
use crate::log::LogLimit;
use crate::net::stream::{BufferedStream, SendOutcome};

/// The number of messages and reads from the socket after which a session pauses. An edge node that
/// sends continuously would otherwise keep the only worker thread from serving other connections.
const MAX_STEPS_PER_TURN: usize = 64;
/// The pause of a session after a turn with `MAX_STEPS_PER_TURN` steps.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// How long a closing connection is still read once no request or health check is open. Requests
/// that are in transit arrive in this time; the edge node has to send later ones again.
const CLOSING_READ_TIMEOUT: Duration = Duration::from_millis(50);
/// The number of malformed messages that are tolerated on a connection. The session answers the
/// next one like the others and then stops reading. It stops at once after a malformed one-way
/// message, which it cannot answer.
const MAX_MALFORMED_MESSAGES: usize = 8;

static MESSAGE_TIMEOUTS: LogLimit = LogLimit::new();

/// A handler of the messages of a connection.
pub(super) trait MessageHandler {
    /// Handles a message, and returns whether it was well-formed.
    fn handle_message(&self, connection: &Arc<Connection>, message: Message) -> bool;

    /// Called after all messages that were read together have been handled.
    fn finish_messages(&self, connection: &Arc<Connection>);
}

/// The state of a connection's coroutine.
pub(super) struct Session<'a, H> {
    table: &'a ConnectionTable,
    handler: &'a H,
    connection: &'a Arc<Connection>,
    stream: &'a mut BufferedStream,
    /// Whether messages are still read. False after undecodable bytes, a malformed one-way message,
    /// too many malformed messages or a message timeout, and on a closing connection with no whole
    /// message left: the session then only answers the open requests.
    is_readable: bool,
    /// A whole message was read on this connection.
    has_read_message: bool,
    /// The limiter was notified that a message has begun.
    has_begun_message: bool,
    is_drain_notification_sent: bool,
    /// The time since which the limiter wants the connection closed and no request or health check
    /// is open on it.
    closing_since: Option<Instant>,
    /// The session no longer reads the socket, but still handles whole messages in the buffer.
    has_stopped_reading: bool,
    malformed_messages: usize,
}

/// The progress of one turn of a session.
struct Turn {
    /// The number of handled messages and reads from the socket.
    steps: usize,
    /// The socket may have more bytes, or the buffer holds a message that is not handled yet.
    has_more: bool,
}

impl Turn {
    fn is_used_up(&self) -> bool {
        self.steps >= MAX_STEPS_PER_TURN
    }
}

impl<'a, H: MessageHandler> Session<'a, H> {
    /// The session of a new connection.
    pub(super) fn new(
        table: &'a ConnectionTable,
        handler: &'a H,
        connection: &'a Arc<Connection>,
        stream: &'a mut BufferedStream,
    ) -> Self {
        Session {
            table,
            handler,
            connection,
            stream,
            is_readable: true,
            has_read_message: false,
            has_begun_message: false,
            is_drain_notification_sent: false,
            closing_since: None,
            has_stopped_reading: false,
            malformed_messages: 0,
        }
    }

    /// Serves the connection until the edge node has closed it and all requests are answered, or
    /// until this side closes it.
    ///
    /// # Errors
    /// The error with which the connection failed.
    pub(super) fn run(&mut self) -> io::Result<()> {
        loop {
            self.stream.output.begin_turn();
            let turn = self.take_turn()?;
            let is_closing = self.check_input(&turn);
            if self.finish(&turn, is_closing) {
                return Ok(());
            }
            let has_new_output = self.stream.output.end_turn();
            if turn.is_used_up() {
                clock::sleep(TURN_PAUSE)
            } else if !has_new_output {
                self.stream.wait()
            }
        }
    }

    /// Writes the buffered output, and reads and handles messages as long as the connection has
    /// room for another one ([`Connection::has_room`]).
    fn take_turn(&mut self) -> io::Result<Turn> {
        let mut turn = Turn {
            steps: 0,
            has_more: self.is_readable,
        };
        // The requests of a client that has left are not run.
        self.stream.check_error()?;
        self.stream.flush()?;
        loop {
            self.read_messages(&mut turn)?;
            // The replies to the messages and the notification are written in one call.
            self.send_drain_notification();
            self.stream.flush()?;
            // The write may have made room for further replies.
            if !turn.has_more || !self.may_read(&turn) {
                return Ok(turn);
            }
        }
    }

    /// Sends the drain notification once the close is requested. If the buffer is full, the next
    /// turn sends it.
    fn send_drain_notification(&mut self) {
        if !self.is_drain_notification_sent && self.connection.is_close_requested() {
            let outcome = self
                .stream
                .output
                .try_send(&[&codec::encode_drain_notification(0)]);
            self.is_drain_notification_sent = outcome == SendOutcome::Queued;
        }
    }

    fn may_read(&self, turn: &Turn) -> bool {
        self.is_readable && self.connection.has_room() && !turn.is_used_up()
    }

    /// Reads and handles messages until none is left, or there is no room for further ones.
    fn read_messages(&mut self, turn: &mut Turn) -> io::Result<()> {
        while turn.has_more && self.may_read(turn) {
            turn.has_more = !self.has_stopped_reading && self.stream.read()?;
            turn.steps += 1;
            // Requests that are answered on arrival make room for further messages in the buffer.
            while self.handle_frames(turn) > 0 {
                self.handler.finish_messages(self.connection);
            }
            turn.has_more |= self.has_complete_message();
        }
        Ok(())
    }

    /// Handles the messages in the buffer as long as there is room. Returns how many it handled.
    fn handle_frames(&mut self, turn: &mut Turn) -> usize {
        let steps_before = turn.steps;
        while self.may_read(turn) {
            let Ok(length) = codec::frame_length(self.stream.input.contiguous()) else {
                self.stop_at_malformed_bytes();
                break;
            };
            let Some(length) = length else { break };
            turn.steps += 1;
            self.handle_frame(length);
        }
        turn.steps - steps_before
    }

    /// Stops reading after bytes that cannot be decoded as a message. A decoded message that its
    /// handler rejects is counted and logged by the handler instead.
    fn stop_at_malformed_bytes(&mut self) {
        self.is_readable = false;
        if let Some(count) = MALFORMED_MESSAGES.count_event() {
            log::warn!("connection closing reason=malformed_message count={count}");
        }
    }

    fn handle_frame(&mut self, length: usize) {
        let end = codec::FRAME_HEADER_BYTES + length;
        let message =
            codec::decode(&self.stream.input.contiguous()[codec::FRAME_HEADER_BYTES..end]);
        self.stream.input.consume(end);
        self.has_read_message = true;
        self.has_begun_message = false;
        self.table.notify(Event::MessageCompleted {
            connection: self.connection.id,
        });
        let Some(message) = message else {
            return self.stop_at_malformed_bytes();
        };
        let is_oneway = message.is_oneway;
        if !self.handler.handle_message(self.connection, message) {
            self.malformed_messages += 1;
            self.is_readable = !is_oneway && self.malformed_messages <= MAX_MALFORMED_MESSAGES;
        }
    }

    /// Notifies the limiter of a message that has begun. Stops reading if a message has timed out.
    /// On a closing connection without an open request or health check, it also stops reading if
    /// only a partial message is left, or if `CLOSING_READ_TIMEOUT` has passed and no message is
    /// left. Returns whether the connection is to close.
    fn check_input(&mut self, turn: &Turn) -> bool {
        let has_partial_message = self.is_readable && !turn.has_more && self.stream.input.len() > 0;
        if has_partial_message && !std::mem::replace(&mut self.has_begun_message, true) {
            self.table.notify(Event::MessageStarted {
                connection: self.connection.id,
            });
        }
        let is_closing = self.connection.is_closing() || self.should_yield_slot();
        let has_timed_out = self.connection.has_timed_out();
        let may_end = is_closing && self.connection.open_count() == 0;
        self.stop_reading_after_timeout(may_end && self.connection.is_closing());
        let is_input_exhausted = self.has_stopped_reading && !turn.has_more;
        let should_stop_reading = may_end && (has_partial_message || is_input_exhausted);
        if self.is_readable && has_timed_out {
            self.is_readable = false;
            if let Some(count) = MESSAGE_TIMEOUTS.count_event() {
                log::warn!("connection closing reason=message_timeout count={count}");
            }
        } else if self.is_readable && should_stop_reading {
            // No log line: the connection table logs evictions, and a server that drains closes all
            // connections.
            self.is_readable = false;
        }
        is_closing
    }

    /// Whether the buffer holds a whole message that is not handled yet. An invalid frame length
    /// counts as one: `handle_frames` reports it.
    fn has_complete_message(&mut self) -> bool {
        !matches!(
            codec::frame_length(self.stream.input.contiguous()),
            Ok(None)
        )
    }

    /// Stops reading a connection that is to close after `CLOSING_READ_TIMEOUT`. An edge node that
    /// sends continuously would otherwise keep it open.
    fn stop_reading_after_timeout(&mut self, may_close: bool) {
        if !may_close {
            self.closing_since = None;
            return;
        }
        let since = *self.closing_since.get_or_insert_with(Instant::now);
        self.has_stopped_reading |= since.elapsed() > CLOSING_READ_TIMEOUT;
    }

    /// Whether the connection should yield its slot to one in the backlog: its edge node was
    /// notified and the input buffer is empty. With a partial message in the buffer, the rest of
    /// that message may be in transit.
    fn should_yield_slot(&self) -> bool {
        self.is_drain_notification_sent
            && self.stream.input.len() == 0
            && self.table.is_slot_needed()
    }

    /// Decides whether the connection closes now, and if so, drains it first if necessary. Returns
    /// whether the session has ended.
    fn finish(&mut self, turn: &Turn, is_closing: bool) -> bool {
        let state = ConnectionState {
            is_done: self.connection.is_done(),
            is_read_closed: self.stream.is_read_closed,
            is_readable: self.is_readable,
            has_read_message: self.has_read_message,
            is_closing,
            has_unhandled_input: self.stream.input.len() > 0 || turn.has_more,
        };
        match close_step(&state) {
            CloseStep::StayOpen => return false,
            CloseStep::Close => {}
            CloseStep::Drain => self.drain_before_close(),
            CloseStep::DrainUnacknowledged => {
                if self.stream.has_unacknowledged_output() {
                    self.drain_before_close();
                }
            }
        }
        true
    }

    fn drain_before_close(&mut self) {
        let table = self.table;
        self.stream.drain_before_close(|| table.drain_target());
    }
}
