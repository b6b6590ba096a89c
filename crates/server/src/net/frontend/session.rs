//! The session of a connection: its own coroutine, which moves bytes between the socket and the
//! buffers, decodes messages and hands them to their handler.

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

/// Messages, and reads from the socket, after which a session pauses. An edge node that sends
/// without a pause would otherwise keep the only worker thread from all other connections.
const MAX_STEPS_PER_TURN: usize = 64;
/// The pause of a session that has used up its turn.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// How long a connection that is to close is still read once nothing on it is open. Its edge node
/// was asked to send nothing more, and sends what crosses that for this long once more.
const CLOSING_READ_TIME: Duration = Duration::from_millis(50);
/// Malformed messages that are tolerated on a connection. With the next one, which is answered like
/// the others, reading ends.
const MAX_MALFORMED_MESSAGES: usize = 8;

static MESSAGE_TIMEOUTS: LogLimit = LogLimit::new();

/// What handles the messages of a connection.
pub(super) trait MessageHandler {
    /// Handles a message, and returns whether it was well-formed.
    fn handle_message(&self, connection: &Arc<Connection>, message: Message) -> bool;

    /// All messages that were read together are handled.
    fn finish_messages(&self, connection: &Arc<Connection>);
}

/// A connection in the hands of its own coroutine.
pub(super) struct Session<'a, H> {
    table: &'a ConnectionTable,
    handler: &'a H,
    connection: &'a Arc<Connection>,
    stream: &'a mut BufferedStream,
    /// False after bytes that are no message: nothing more is read, and what is open is answered.
    is_readable: bool,
    /// A whole message was read at some time.
    has_read_message: bool,
    /// The limiter is notified that a message has begun.
    has_begun_message: bool,
    drain_notification_is_sent: bool,
    /// Since when the limiter has closed it and nothing on it is open, whatever its edge node still
    /// sends.
    closing_since: Option<Instant>,
    /// The socket is read no more; whole messages that were read are still handled.
    has_stopped_reading: bool,
    malformed_messages: usize,
}

/// What one turn of a session has read.
struct Turn {
    /// Messages that were handled, and reads from the socket.
    steps: usize,
    /// The socket may have more to read, or a message that was read is still to be handled.
    has_more: bool,
}

impl Turn {
    fn is_used_up(&self) -> bool {
        self.steps >= MAX_STEPS_PER_TURN
    }
}

impl<'a, H: MessageHandler> Session<'a, H> {
    /// The session of a connection that has read nothing yet.
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
            drain_notification_is_sent: false,
            closing_since: None,
            has_stopped_reading: false,
            malformed_messages: 0,
        }
    }

    /// Moves bytes until the edge node has closed and everything is answered, or this side closes.
    ///
    /// # Errors
    /// The error with which the connection has failed.
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

    /// Writes what waits, and reads and handles messages as far as there is room.
    fn take_turn(&mut self) -> io::Result<Turn> {
        let mut turn = Turn {
            steps: 0,
            has_more: self.is_readable,
        };
        self.stream.flush()?;
        loop {
            self.read_messages(&mut turn)?;
            // Behind what was read, so that the replies to it go out in the same write.
            self.send_drain_notification();
            self.stream.flush()?;
            // What is written has left room for more.
            if !turn.has_more || !self.may_read(&turn) {
                return Ok(turn);
            }
        }
    }

    /// Sends the drain notification, once the connection is to close. Where the buffer is full, the
    /// next turn sends it.
    fn send_drain_notification(&mut self) {
        if !self.drain_notification_is_sent && self.connection.close_is_requested() {
            let outcome = self
                .stream
                .output
                .try_send(&[&codec::encode_drain_notification(0)]);
            self.drain_notification_is_sent = outcome == SendOutcome::Queued;
        }
    }

    fn may_read(&self, turn: &Turn) -> bool {
        self.is_readable && self.connection.has_room() && !turn.is_used_up()
    }

    /// Reads and handles messages until there are no more, or no room for them.
    fn read_messages(&mut self, turn: &mut Turn) -> io::Result<()> {
        while turn.has_more && self.may_read(turn) {
            turn.has_more = !self.has_stopped_reading && self.stream.read()?;
            turn.steps += 1;
            // What is answered at once leaves room for more of the messages that were read.
            while self.handle_frames(turn) > 0 {
                self.handler.finish_messages(self.connection);
            }
            turn.has_more |= self.has_complete_message();
        }
        Ok(())
    }

    /// Handles the messages that were read, as far as there is room. Returns how many there were.
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

    /// Nothing more is read behind bytes that are no message. A message that is one and that its
    /// handler rejects is counted there, with a line of its own.
    fn stop_at_malformed_bytes(&mut self) {
        self.is_readable = false;
        if let Some(count) = MALFORMED_MESSAGES.pass() {
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

    /// Stops reading where a message takes too long, and notifies the limiter of one that has
    /// begun. Returns whether the connection is to close.
    fn check_input(&mut self, turn: &Turn) -> bool {
        let has_partial_message = self.is_readable && !turn.has_more && self.stream.input.len() > 0;
        if has_partial_message && !std::mem::replace(&mut self.has_begun_message, true) {
            self.table.notify(Event::MessageStarted {
                connection: self.connection.id,
            });
        }
        let is_closing = self.connection.is_closing() || self.gives_up_place();
        let has_timed_out = self.connection.has_timed_out();
        let may_end = is_closing && self.connection.open() == 0;
        self.stop_reading_in_time(may_end && self.connection.is_closing());
        let is_read_to_the_end = self.has_stopped_reading && !turn.has_more;
        let is_cut_short = may_end && (has_partial_message || is_read_to_the_end);
        if self.is_readable && has_timed_out {
            self.is_readable = false;
            if let Some(count) = MESSAGE_TIMEOUTS.pass() {
                log::warn!("connection closing reason=message_timeout count={count}");
            }
        } else if self.is_readable && is_cut_short {
            // An eviction has a line of its own, and a drain closes all connections.
            self.is_readable = false;
        }
        is_closing
    }

    /// Whether a message that was read is still to be handled. Bytes that can be none count as one:
    /// they are met where the next message is handled.
    fn has_complete_message(&mut self) -> bool {
        !matches!(
            codec::frame_length(self.stream.input.contiguous()),
            Ok(None)
        )
    }

    /// Stops reading a connection that is to end once its edge node has had the time to learn that.
    /// One that sends without a pause would otherwise never end.
    fn stop_reading_in_time(&mut self, is_to_end: bool) {
        if !is_to_end {
            self.closing_since = None;
            return;
        }
        let since = *self.closing_since.get_or_insert_with(Instant::now);
        self.has_stopped_reading |= since.elapsed() > CLOSING_READ_TIME;
    }

    /// Whether the connection leaves its place to one that waits: its edge node was notified, and
    /// sends nothing more. The rest of a message that has begun may be in transit.
    fn gives_up_place(&self) -> bool {
        self.drain_notification_is_sent
            && self.stream.input.len() == 0
            && self.table.is_place_needed()
    }

    /// Whether the session ends here.
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
