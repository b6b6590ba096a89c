//! A connection with a bounded buffer each way. All peers of a backend are connected by it.

use std::io;
use std::net::Shutdown;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use parking_lot::Mutex;

use super::lines::{self, Line};
use super::ring_buffer::RingBuffer;
use crate::clock;

/// The buffers of a peer whose protocol is lines, in bytes each way.
pub(crate) const MAX_LINE_BUFFER_BYTES: usize = 256 * 1024;
/// The pause of a coroutine that finds a full output buffer.
pub(crate) const BUFFER_FULL_PAUSE: Duration = Duration::from_millis(5);
/// How many times a connection that drains is checked for its peer's close: 1 s in all.
const MAX_DRAIN_POLLS: usize = 200;
/// The pause between two of these checks.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How many times a connection is checked whose output need only be sent: 20 ms in all.
const MAX_SEND_POLLS: usize = 4;
/// What the FIN counts as among the bytes that are not acknowledged.
const FIN_BYTES: libc::c_int = 1;
/// The request for the number of bytes that the system has not sent yet (linux/sockios.h).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;
/// Reads of up to 4 KB whose bytes are dropped while a connection drains.
const MAX_DRAIN_READS: usize = 256;
/// Reads after one check. The others wait until the peer has had time to read.
const MAX_READS_PER_DRAIN_POLL: usize = MAX_DRAIN_READS / 8;

/// The output of a connection. Any coroutine may add to it; the connection's own coroutine writes
/// the bytes, so that what several add is written in one system call.
pub(crate) struct Output {
    pub(super) buffer: Mutex<RingBuffer>,
    waker: WaitIoWaker,
    /// The connection's own coroutine runs and will write what is added, so it need not be woken.
    is_in_turn: AtomicBool,
    /// Bytes were added since that coroutine wrote last.
    has_new_bytes: AtomicBool,
    pub(super) is_closed: AtomicBool,
}

/// How far the output of a connection has to get before its socket may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainTarget {
    /// The peer has closed its side, so that its program has read everything, or it has had a
    /// second for that.
    PeerClosed,
    /// The peer's system has acknowledged everything: it keeps that for its program, whatever comes
    /// behind it.
    Acknowledged,
    /// Everything is sent, or has waited for room at the peer for 20 ms. The system sends the rest,
    /// and sends again what is lost on the way, unless the peer sends something behind the close:
    /// the reset that answers it ends that.
    Sent,
}

/// What became of bytes that were to be sent.
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

    /// Queues all parts, waiting while there is no room; false once the connection has closed.
    pub(crate) fn send(&self, parts: &[&[u8]]) -> bool {
        loop {
            match self.try_send(parts) {
                SendOutcome::Full => clock::sleep(BUFFER_FULL_PAUSE),
                outcome => return outcome == SendOutcome::Queued,
            }
        }
    }

    /// The connection's own coroutine begins a turn: until its end it is not woken for bytes that
    /// are added. One that wakes itself by its replies would never wait, and the worker polls the
    /// other sockets only once nothing runs.
    pub(crate) fn begin_turn(&self) {
        self.is_in_turn.store(true, Ordering::SeqCst);
    }

    /// The turn ends. Returns whether bytes were added that were not written yet: nobody was woken
    /// for them.
    pub(crate) fn end_turn(&self) -> bool {
        self.is_in_turn.store(false, Ordering::SeqCst);
        self.has_new_bytes.load(Ordering::SeqCst)
    }

    /// Wakes the connection's own coroutine.
    pub(crate) fn wake(&self) {
        self.waker.wakeup();
    }

    /// Bytes that wait to be written.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.lock().len()
    }
}

/// A connection, as its own coroutine sees it.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    /// What is to be written; shared with other coroutines.
    pub(crate) output: Arc<Output>,
    /// What was read and not consumed.
    pub(crate) input: RingBuffer,
    /// The peer has sent everything that it will.
    pub(crate) is_read_closed: bool,
}

impl BufferedStream {
    /// A stream with buffers of at most these sizes, in bytes.
    pub(crate) fn new(stream: TcpStream, max_input_bytes: usize, max_output_bytes: usize) -> Self {
        // A socket without this option works, with longer delays.
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
        }
    }

    /// Writes what waits, as far as the socket takes it without blocking.
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

    /// Reads once, and returns whether there may be more to read at once.
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

    /// Writes what waits, and hands all lines that were received to `take`.
    ///
    /// # Errors
    /// The first error of the connection, its protocol or `take`; `UnexpectedEof` once the peer has
    /// closed.
    pub(crate) fn read_lines(
        &mut self,
        has_body: impl Fn(&[&str]) -> bool,
        mut take: impl FnMut(&Line) -> io::Result<()>,
    ) -> io::Result<()> {
        self.flush()?;
        while self.read()? {
            while let Some(line) =
                lines::next(self.input.contiguous(), &has_body).map_err(protocol_error)?
            {
                let used = line.used;
                take(&line)?;
                self.input.consume(used);
            }
        }
        if self.is_read_closed {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        }
    }

    /// Whether the peer's system has not acknowledged all that was written: a reset would drop the
    /// rest. False where the system does not tell.
    pub(crate) fn has_unacknowledged_output(&self) -> bool {
        self.unacknowledged_bytes().is_some_and(|bytes| bytes > 0)
    }

    /// The bytes written that the peer's system has not acknowledged; none where the system does
    /// not tell.
    fn unacknowledged_bytes(&self) -> Option<libc::c_int> {
        self.output_bytes(libc::TIOCOUTQ)
    }

    /// The bytes written that the system has not sent, as the peer has no room for them; none where
    /// the system does not tell.
    fn unsent_bytes(&self) -> Option<libc::c_int> {
        self.output_bytes(SIOCOUTQNSD)
    }

    fn output_bytes(&self, request: libc::Ioctl) -> Option<libc::c_int> {
        let mut bytes: libc::c_int = 0;
        // Safe: the descriptor is open as long as the stream is, and the call writes that one
        // integer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), request, &mut bytes) };
        (result == 0).then_some(bytes)
    }

    /// Whether the output has got so far, with the FIN behind it. False where the system does not
    /// tell.
    fn has_reached(&self, target: DrainTarget) -> bool {
        let left = match target {
            DrainTarget::PeerClosed => None,
            DrainTarget::Acknowledged => self.unacknowledged_bytes(),
            DrainTarget::Sent => self.unsent_bytes(),
        };
        left.is_some_and(|bytes| bytes <= FIN_BYTES)
    }

    /// Lets the peer get all that was written before this side closes: what it still sends is read
    /// and dropped, because the system resets a socket that is closed with bytes unread, and the
    /// reset drops replies on their way. `target` tells how far they have to get, and is asked
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
            // A peer that goes on sending has had time to read. What is left unread of it resets
            // the socket, which drops all that its system has not acknowledged.
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
        // An error says that it is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The error of a peer that violates its protocol.
pub(crate) fn protocol_error(
    what: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

#[cfg(test)]
#[path = "stream_tests.rs"]
mod tests;
