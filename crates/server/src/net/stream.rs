//! A connection with a bounded buffer each way, as all peers of a backend use it.

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

/// The buffers of a peer that speaks lines hold so much each way.
pub(crate) const MAX_LINE_BUFFER_BYTES: usize = 256 * 1024;
/// How long a coroutine that finds a full buffer leaves it to drain.
pub(crate) const BUFFER_FULL_PAUSE: Duration = Duration::from_millis(5);
/// How often it is polled whether a peer has closed before this side does, and the pause in
/// between: 1 s in all.
const MAX_DRAIN_POLLS: usize = 200;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Reads of up to 4 KB that are dropped meanwhile.
const MAX_DRAIN_READS: usize = 256;

/// The output of a connection. Any coroutine may add to it; the connection's own one moves the
/// bytes, so what is added at one time goes out in one call.
pub(crate) struct Output {
    pub(super) buffer: Mutex<RingBuffer>,
    waker: WaitIoWaker,
    pub(super) is_closed: AtomicBool,
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
        self.waker.wakeup();
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

    /// Wakes the connection's own coroutine.
    pub(crate) fn wake(&self) {
        self.waker.wakeup();
    }

    /// Bytes that wait to be written.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffer.lock().len()
    }
}

/// A connection in the hands of its own coroutine.
pub(crate) struct BufferedStream {
    stream: TcpStream,
    /// What is to be written, also by others.
    pub(crate) output: Arc<Output>,
    /// What was read and not consumed.
    pub(crate) input: RingBuffer,
    /// The peer has sent everything that it will.
    pub(crate) is_read_closed: bool,
}

impl BufferedStream {
    pub(crate) fn new(stream: TcpStream, max_input_bytes: usize, max_output_bytes: usize) -> Self {
        // A socket that does not take this works all the same, slower.
        let _ = stream.set_nodelay(true);
        let output = Output {
            buffer: Mutex::new(RingBuffer::new(max_output_bytes)),
            waker: stream.waker(),
            is_closed: AtomicBool::new(false),
        };
        BufferedStream {
            stream,
            output: Arc::new(output),
            input: RingBuffer::new(max_input_bytes),
            is_read_closed: false,
        }
    }

    /// Writes what waits, as far as the peer takes it.
    pub(crate) fn flush(&mut self) -> io::Result<()> {
        let mut buffer = self.output.buffer.lock();
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

    /// Writes what waits, and takes all lines that have come; an error once the peer has closed.
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
        let mut bytes: libc::c_int = 0;
        // Safe: the descriptor is open as long as the stream is, and the call writes that one
        // integer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
        result == 0 && bytes > 0
    }

    /// Lets the peer read all that was written before this closes: what it still sends is read and
    /// dropped, for a socket closed with bytes unread would cut off the answers on their way.
    pub(crate) fn drain_before_close(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut reads = 0;
        for _ in 0..MAX_DRAIN_POLLS {
            let turn = reads + MAX_DRAIN_READS / 8;
            while reads < turn {
                self.input.consume(usize::MAX);
                match self.read() {
                    Ok(true) => reads += 1,
                    Ok(false) => break,
                    Err(_) => return,
                }
            }
            // A peer that sends without end has had its chance to read.
            if self.is_read_closed || reads >= MAX_DRAIN_READS {
                return;
            }
            clock::sleep(DRAIN_POLL_INTERVAL);
        }
    }

    /// Blocks until the socket is ready for something new or somebody wakes this.
    pub(crate) fn wait(&self) {
        self.stream.wait_io();
    }
}

impl Drop for BufferedStream {
    fn drop(&mut self) {
        self.output.is_closed.store(true, Ordering::Release);
        // Closed already, mostly.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// The error of a peer that violates its protocol.
pub(crate) fn protocol_error(
    what: impl Into<Box<dyn std::error::Error + Send + Sync>>,
) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
