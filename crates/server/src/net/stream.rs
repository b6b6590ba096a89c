//! A connection with a bounded buffer in each direction, as used for all peers over TCP.

use std::io;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use parking_lot::Mutex;

use super::lines::{self, Line, LineError, LineFormat, MAX_SKIPPED_BYTES};
use super::ring_buffer::RingBuffer;
use crate::clock;

/// The size of the buffer of each direction of a connection with a line protocol, in bytes.
pub(crate) const MAX_LINE_BUFFER_BYTES: usize = 256 * 1024;
/// The interval at which a coroutine tries again to add to a full output buffer.
pub(crate) const BUFFER_FULL_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How many times a draining connection is checked at most, whatever its drain target: 1 s in
/// total.
const MAX_DRAIN_POLLS: usize = 200;
/// The pause between two of these checks.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How many times a draining connection is checked if its output only has to be sent: 20 ms in
/// total.
const MAX_SEND_POLLS: usize = 4;
/// The number of unacknowledged or unsent bytes that the FIN counts as.
const FIN_BYTES: libc::c_int = 1;
/// The request for the number of bytes that the system has not sent yet (linux/sockios.h).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;
/// The maximum number of reads, of up to 4 KB each, whose bytes are dropped while a connection
/// drains.
const MAX_DRAIN_READS: usize = 256;
/// The maximum number of reads between two checks, so that the peer has time to read replies before
/// all reads are used up.
const MAX_READS_PER_DRAIN_POLL: usize = MAX_DRAIN_READS / 8;

/// The output of a connection. Any coroutine may add bytes; the connection's coroutine writes them,
/// so that one system call writes the bytes of several coroutines.
pub(crate) struct Output {
    pub(super) buffer: Mutex<RingBuffer>,
    waker: WaitIoWaker,
    /// The connection's coroutine is running and will write added bytes, so it need not be woken.
    is_in_turn: AtomicBool,
    /// Bytes were added since the connection's coroutine last wrote.
    has_new_bytes: AtomicBool,
    pub(super) is_closed: AtomicBool,
}

/// How far the output of a connection has to get before its socket may be closed. After one second,
/// the socket is closed in any case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainTarget {
    /// The peer has closed its side, so its program has read everything.
    PeerClosed,
    /// The peer's system has acknowledged everything. It keeps the bytes for its program, whatever
    /// arrives after them.
    Acknowledged,
    /// Everything is sent, or has waited for room at the peer for 20 ms. After the close, the
    /// system still sends the rest and retransmits lost packets, unless the peer sends further
    /// bytes: the system then resets the connection and drops the rest.
    Sent,
}

/// The result of adding bytes to an output buffer.
#[derive(PartialEq)]
pub(crate) enum SendOutcome {
    Queued,
    Full,
    Closed,
}

impl Output {
    /// Queues all parts or none.
    pub(crate) fn try_send(&self, parts: &[&[u8]]) -> SendOutcome {
        if self.is_closed.load(Ordering::Acquire) {
            return SendOutcome::Closed;
        }
        if !self.buffer.lock().push(parts) {
            return SendOutcome::Full;
        }
        self.has_new_bytes.store(true, Ordering::SeqCst);
        if !self.is_in_turn.load(Ordering::SeqCst) {
            self.waker.wakeup();
        }
        SendOutcome::Queued
    }

    /// Queues all parts, and waits while there is no room. Returns false if the connection has
    /// closed.
    pub(crate) fn send(&self, parts: &[&[u8]]) -> bool {
        loop {
            match self.try_send(parts) {
                SendOutcome::Full => clock::sleep(BUFFER_FULL_RETRY_INTERVAL),
                outcome => return outcome == SendOutcome::Queued,
            }
        }
    }

    /// Begins a turn of the connection's coroutine: until the end of the turn, added bytes do not
    /// wake it. A coroutine that wakes itself with its own replies would never wait, and the worker
    /// thread polls other sockets only when no coroutine is ready to run.
    pub(crate) fn begin_turn(&self) {
        self.is_in_turn.store(true, Ordering::SeqCst);
    }

    /// Ends the turn. Returns whether bytes were added that are not written yet; the coroutine was
    /// not woken for these bytes.
    pub(crate) fn end_turn(&self) -> bool {
        self.is_in_turn.store(false, Ordering::SeqCst);
        self.has_new_bytes.load(Ordering::SeqCst)
    }

    /// Wakes the connection's coroutine.
    pub(crate) fn wake(&self) {
        self.waker.wakeup();
    }

    /// The number of bytes that are not written yet.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.lock().len()
    }
}

/// A connection and its buffers, owned by its coroutine.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    /// The output buffer, shared with other coroutines.
    pub(crate) output: Arc<Output>,
    /// The bytes that were read and not consumed.
    pub(crate) input: RingBuffer,
    /// The peer has closed its side: it sends nothing more.
    pub(crate) is_read_closed: bool,
    /// The bytes of a remark that were skipped so far, while its end has not been read.
    skipped_bytes: Option<usize>,
}

impl BufferedStream {
    /// A stream with buffers of at most these sizes, in bytes.
    pub(crate) fn new(stream: TcpStream, max_input_bytes: usize, max_output_bytes: usize) -> Self {
        // Without this option the socket works, but with longer delays.
        let _ = stream.set_nodelay(true);
        let output = Output {
            buffer: Mutex::new(RingBuffer::new(max_output_bytes)),
            waker: stream.waker(),
            is_in_turn: AtomicBool::new(false),
            has_new_bytes: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
        };
        BufferedStream {
            stream,
            output: Arc::new(output),
            input: RingBuffer::new(max_input_bytes),
            is_read_closed: false,
            skipped_bytes: None,
        }
    }

    /// Writes the buffered output, as far as the socket accepts it without blocking.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let mut buffer = self.output.buffer.lock();
        self.output.has_new_bytes.store(false, Ordering::SeqCst);
        while buffer.len() > 0 {
            match buffer.write_to(&mut self.stream.inner()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Fails if the connection has failed, for example by a reset of the peer. The system delivers
    /// bytes that it received before a reset, so a read does not show it at once.
    pub(crate) fn check_error(&self) -> io::Result<()> {
        match self.stream.inner().take_error()? {
            Some(error) => Err(error),
            None => Ok(()),
        }
    }

    /// Reads once, and returns whether more bytes may be available at once.
    pub(crate) fn read(&mut self) -> io::Result<bool> {
        if self.is_read_closed {
            return Ok(false);
        }
        match self.input.read_from(&mut self.stream.inner()) {
            Ok(None) => Ok(true),
            Ok(Some(0)) => {
                self.is_read_closed = true;
                Ok(false)
            }
            Ok(Some(_)) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Writes the buffered output, and passes all received lines to `handle_line`.
    ///
    /// # Errors
    /// The first error of the connection, the protocol or `handle_line`; `UnexpectedEof` once the
    /// peer has closed its side.
    pub(crate) fn read_lines(
        &mut self,
        format: LineFormat,
        mut handle_line: impl FnMut(&Line) -> io::Result<()>,
    ) -> io::Result<()> {
        self.flush()?;
        while self.read()? {
            while self.skip_rest_of_remark().map_err(protocol_error)? {
                let line = lines::next(self.input.contiguous(), format).map_err(protocol_error)?;
                let Some(line) = line else { break };
                let used = line.used;
                self.skipped_bytes = line.is_unended.then_some(0);
                handle_line(&line)?;
                self.input.consume(used);
            }
        }
        if self.is_read_closed {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        }
    }

    /// Drops the input that belongs to a remark which was handled already. Returns whether the
    /// input begins with a line.
    ///
    /// # Errors
    /// [`LineError::RemarkTooLong`] if the remark goes on for too long.
    fn skip_rest_of_remark(&mut self) -> Result<bool, LineError> {
        let Some(skipped_before) = self.skipped_bytes else {
            return Ok(true);
        };
        let (used, is_ended) = lines::rest_of_remark(self.input.contiguous());
        self.input.consume(used);
        let skipped = skipped_before + used;
        self.skipped_bytes = (!is_ended).then_some(skipped);
        if skipped > MAX_SKIPPED_BYTES {
            return Err(LineError::RemarkTooLong);
        }
        Ok(is_ended)
    }

    /// Whether the peer's system has not acknowledged all written bytes; a reset would drop the
    /// rest. False if the system does not report it.
    pub(crate) fn has_unacknowledged_output(&self) -> bool {
        self.unacknowledged_bytes().is_some_and(|bytes| bytes > 0)
    }

    /// The number of written bytes that the peer's system has not acknowledged, or `None` if the
    /// system does not report it.
    fn unacknowledged_bytes(&self) -> Option<libc::c_int> {
        self.output_bytes(libc::TIOCOUTQ)
    }

    /// The number of written bytes that the system has not sent yet, for example because the peer
    /// has no room for them, or `None` if the system does not report it.
    fn unsent_bytes(&self) -> Option<libc::c_int> {
        self.output_bytes(SIOCOUTQNSD)
    }

    fn output_bytes(&self, request: libc::Ioctl) -> Option<libc::c_int> {
        let mut bytes: libc::c_int = 0;
        // Safe: the descriptor is open as long as the stream is, and the call writes one integer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), request, &mut bytes) };
        (result == 0).then_some(bytes)
    }

    /// Whether the output, except for the FIN after it, has reached the target. False if the system
    /// does not report it.
    fn has_reached(&self, target: DrainTarget) -> bool {
        let left = match target {
            DrainTarget::PeerClosed => None,
            DrainTarget::Acknowledged => self.unacknowledged_bytes(),
            DrainTarget::Sent => self.unsent_bytes(),
        };
        left.is_some_and(|bytes| bytes <= FIN_BYTES)
    }

    /// Shuts down the write side, and waits for at most 1 s until the written bytes have reached
    /// `target`. Input of the peer is read and dropped, because the system resets a connection that
    /// is closed with unread input, and the reset drops replies in transit. `target` is called
    /// again after each pause.
    pub(crate) fn drain_before_close(&mut self, target: impl Fn() -> DrainTarget) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut reads = 0;
        for poll in 0..MAX_DRAIN_POLLS {
            let turn = MAX_DRAIN_READS.min(reads + MAX_READS_PER_DRAIN_POLL);
            while reads < turn {
                self.input.consume(usize::MAX);
                match self.read() {
                    Ok(true) => reads += 1,
                    Ok(false) => break,
                    Err(_) => return,
                }
            }
            if self.is_read_closed {
                return;
            }
            // A peer that still sends after `MAX_DRAIN_READS` reads has had time to read its
            // replies. Its unread input causes a reset at the close, which drops all output that
            // its system has not acknowledged.
            let target = match reads >= MAX_DRAIN_READS {
                true => DrainTarget::Acknowledged,
                false => target(),
            };
            let has_waited_long_enough = target == DrainTarget::Sent && poll >= MAX_SEND_POLLS;
            if has_waited_long_enough || self.has_reached(target) {
                return;
            }
            clock::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Blocks until the socket is ready again or another coroutine wakes this one.
    pub(crate) fn wait(&self) {
        self.stream.wait_io();
    }
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        self.output.is_closed.store(true, Ordering::Release);
        // An error means that the socket is already closed.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The error of a connection whose peer violates the protocol.
pub(crate) fn protocol_error(
    error: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
