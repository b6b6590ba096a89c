//! What is spoken on sockets, by peer. Here: a connection with its two ring buffers, as all peers use it.

pub mod clients;
pub mod executor;
pub mod lines;
pub mod registration;
pub mod ring;
pub mod store;
pub mod thrift;

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use may::coroutine;
use may::io::{WaitIo, WaitIoWaker};
use may::net::TcpStream;
use parking_lot::Mutex;
use socket2::{Domain, SockRef, Socket, Type};

use crate::clock;
use lines::Line;
use ring::Ring;

/// What a ring of a peer that speaks lines holds at the most.
pub const LINES_MOST: usize = 256 * 1024;

/// How long a coroutine that finds a full ring leaves it to drain.
pub const FULL_PAUSE: Duration = Duration::from_millis(5);

/// How long a connect may take, and how often it is looked meanwhile whether it is still wanted.
const CONNECT_MOST: Duration = Duration::from_secs(2);
const CONNECT_LOOK: Duration = Duration::from_millis(50);

/// How often it is looked whether a peer that is seen off has closed.
const SEE_OFF_LOOKS: usize = 200;
/// Reads of up to 4 KB that are dropped meanwhile.
const SEE_OFF_READS: usize = 256;

/// Starts a coroutine.
pub fn spawn(body: impl FnOnce() + Send + 'static) {
    // Safe where the body uses no thread-local storage across a switch and keeps to its stack, as all of
    // ours do: buffers are on the heap, and nothing recurses but the bounded skipping of unknown fields.
    drop(unsafe { coroutine::spawn(body) });
}

/// Takes a socket over from the standard library.
pub fn adopt(socket: impl IntoRawFd) -> io::Result<TcpStream> {
    let fd = socket.into_raw_fd();
    // Safe: the descriptor is owned here alone, and handed on at once. It panics where the system has no memory to
    // watch one more descriptor, which then is closed: that is an error like any other of a connection.
    std::panic::catch_unwind(|| unsafe { TcpStream::from_raw_fd(fd) })
        .map_err(|_| io::ErrorKind::OutOfMemory.into())
}

/// Connects, within `CONNECT_MOST` and only while that is wanted. The system would go on trying for two minutes: a
/// peer that moves while a connect to where it was hangs would not be spoken to until then.
pub fn connect(address: SocketAddr, wanted: impl Fn() -> bool) -> io::Result<TcpStream> {
    let stream = adopt(Socket::new(Domain::for_address(address), Type::STREAM, None)?)?;
    let waker = Arc::new(stream.waker());
    let end = Instant::now() + CONNECT_MOST;
    loop {
        match SockRef::from(stream.inner()).connect(&address.into()) {
            Ok(()) => return Ok(stream),
            Err(error) if error.raw_os_error() == Some(EISCONN) => return Ok(stream),
            Err(error) if matches!(error.raw_os_error(), Some(EINPROGRESS | EALREADY | EINTR)) => {}
            Err(error) => return Err(error),
        }
        if !wanted() {
            return Err(io::Error::other("a connect that is not wanted any more is left"));
        }
        if end <= Instant::now() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        clock::wake_at(Instant::now() + CONNECT_LOOK, &waker);
        stream.wait_io();
    }
}

/// What the system says of a connect; the same on all kinds of Linux that are served.
const EINTR: i32 = 4;
const EISCONN: i32 = 106;
const EALREADY: i32 = 114;
const EINPROGRESS: i32 = 115;

/// The way out of a connection. Any coroutine may add to it; the connection's own one moves the bytes, so what
/// is added at one time goes out in one call.
pub struct Out {
    ring: Mutex<Ring>,
    waker: WaitIoWaker,
    ended: AtomicBool,
}

/// What became of bytes that were to be added.
#[derive(PartialEq)]
pub enum Added {
    Yes,
    Full,
    Ended,
}

impl Out {
    /// Adds all parts or none.
    pub fn add(&self, parts: &[&[u8]]) -> Added {
        if self.ended.load(Ordering::Acquire) {
            return Added::Ended;
        }
        if !self.ring.lock().push(parts) {
            return Added::Full;
        }
        self.waker.wakeup();
        Added::Yes
    }

    /// Adds all parts, waiting while there is no room; false once the connection has ended.
    pub fn push(&self, parts: &[&[u8]]) -> bool {
        loop {
            match self.add(parts) {
                Added::Full => clock::sleep(FULL_PAUSE),
                added => return added == Added::Yes,
            }
        }
    }

    /// Lets the connection's own coroutine look around.
    pub fn wake(&self) {
        self.waker.wakeup();
    }

    pub fn len(&self) -> usize {
        self.ring.lock().len()
    }
}

/// A connection, in the hands of its own coroutine.
pub struct Link {
    stream: TcpStream,
    pub out: Arc<Out>,
    pub input: Ring,
    /// The peer has sent all that it will.
    pub at_end: bool,
}

impl Link {
    pub fn new(stream: TcpStream, in_most: usize, out_most: usize) -> Self {
        // A socket that does not take this works all the same, slower.
        let _ = stream.set_nodelay(true);
        let out = Out {
            ring: Mutex::new(Ring::new(out_most)),
            waker: stream.waker(),
            ended: AtomicBool::new(false),
        };
        Link { stream, out: Arc::new(out), input: Ring::new(in_most), at_end: false }
    }

    /// Writes what there is to write, as far as the peer takes it.
    pub fn flush(&mut self) -> io::Result<()> {
        let mut ring = self.out.ring.lock();
        while ring.len() > 0 {
            match ring.drain(&mut self.stream.inner()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Reads once; yields whether there may be more to read at once.
    pub fn fill(&mut self) -> io::Result<bool> {
        if self.at_end {
            return Ok(false);
        }
        match self.input.fill(&mut self.stream.inner()) {
            Ok(None) => Ok(true),
            Ok(Some(0)) => {
                self.at_end = true;
                Ok(false)
            }
            Ok(Some(_)) => Ok(true),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(true),
            Err(error) => Err(error),
        }
    }

    /// Writes what there is to write, and takes all lines that have come; an error once the peer has closed.
    pub fn take_lines(
        &mut self,
        has_body: impl Fn(&[&str]) -> bool,
        mut take: impl FnMut(&Line) -> io::Result<()>,
    ) -> io::Result<()> {
        self.flush()?;
        while self.fill()? {
            while let Some(line) = lines::next(self.input.whole(), &has_body).map_err(garbled)? {
                let used = line.used;
                take(&line)?;
                self.input.consume(used);
            }
        }
        if self.at_end { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
    }

    /// Whether the peer's system has not acknowledged all that was written: a reset would drop the rest. False where the
    /// system does not tell.
    pub fn has_unacknowledged_output(&self) -> bool {
        let mut bytes: libc::c_int = 0;
        // Safe: the descriptor is open as long as the stream is, and the call writes that one integer.
        let result = unsafe { libc::ioctl(self.stream.as_raw_fd(), libc::TIOCOUTQ, &mut bytes) };
        result == 0 && bytes > 0
    }

    /// Lets the peer read all that was written before this closes: what it still sends is read and dropped, for
    /// a socket closed with bytes unread would cut off the answers on their way.
    pub fn see_off(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Write);
        let mut reads = 0;
        for _ in 0..SEE_OFF_LOOKS {
            let turn = reads + SEE_OFF_READS / 8;
            while reads < turn {
                self.input.consume(usize::MAX);
                match self.fill() {
                    Ok(true) => reads += 1,
                    Ok(false) => break,
                    Err(_) => return,
                }
            }
            // Who sends without end has had its chance to read.
            if self.at_end || reads >= SEE_OFF_READS {
                return;
            }
            clock::sleep(FULL_PAUSE);
        }
    }

    /// Blocks until the socket is ready for something new or somebody wakes this.
    pub fn wait(&self) {
        self.stream.wait_io();
    }
}

/// The error of a peer that does not keep to its protocol.
pub fn garbled(what: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

impl Drop for Link {
    fn drop(&mut self) {
        self.out.ended.store(true, Ordering::Release);
        // Ended already, mostly.
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// What tests of one piece alone are told.
#[cfg(test)]
pub fn told() -> (tulipgap::Config, tulipgap_settings::Names) {
    let settings = r#"{"classes":[{"name":"page","objective":1e3,"deadline":2e3,"worth":1.0,"effect":"pure"}],
        "family_info":{"below":"silent","blowup":4.0,"cores":2,"halt":"drop","idle":9e3,"mem_limit_kb":9e3,
        "say":"weight"},"fleet_size":3,"limits":{"max_retry_after":1e3,"retry_after":true},"rules":{"cold_from":0.3,
        "drain_grace":1e3,"fall":2e3,"fall_multiple":4.0,"grace_to_answer":60.0,"warm_up":9e3}}"#;
    let settings: tulipgap_settings::Settings = settings.parse().unwrap();
    (settings.controller_config().unwrap(), settings.names())
}
