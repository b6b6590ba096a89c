//! Opening connections from coroutines.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::io::WaitIo;
use may::net::TcpStream;
use socket2::{Domain, SockRef, Socket, Type};

use crate::clock;

/// How long a connect may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a pending connect checks whether the connection is still wanted.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Takes a socket over from the standard library.
pub(crate) fn adopt(socket: impl IntoRawFd) -> io::Result<TcpStream> {
    let fd = socket.into_raw_fd();
    // Safe: the descriptor is owned here alone, and handed on at once. The runtime panics where the
    // system has no memory to watch one more descriptor, and closes it; that is an error of this
    // connection, and may not end the server.
    std::panic::catch_unwind(|| unsafe { TcpStream::from_raw_fd(fd) })
        .map_err(|_| io::ErrorKind::OutOfMemory.into())
}

/// Connects, within `CONNECT_TIMEOUT` and only while the connection is wanted. The system would go
/// on trying for two minutes: where a peer moves while a connect to its old address hangs, it would
/// not be reached at its new one until then.
///
/// # Errors
/// The system's error, `TimedOut`, or an error of its own where the connection is no longer wanted.
pub(crate) fn connect(address: SocketAddr, is_wanted: impl Fn() -> bool) -> io::Result<TcpStream> {
    let stream = adopt(Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        None,
    )?)?;
    let waker = Arc::new(stream.waker());
    let end = Instant::now() + CONNECT_TIMEOUT;
    loop {
        match SockRef::from(stream.inner()).connect(&address.into()) {
            Ok(()) => return Ok(stream),
            Err(error) => match error.raw_os_error() {
                Some(libc::EISCONN) => return Ok(stream),
                Some(libc::EINPROGRESS | libc::EALREADY | libc::EINTR) => {}
                _ => return Err(error),
            },
        }
        if !is_wanted() {
            return Err(io::Error::other(
                "a connect that is not wanted any more is left",
            ));
        }
        if end <= Instant::now() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        clock::wake_at(Instant::now() + CONNECT_POLL_INTERVAL, &waker);
        stream.wait_io();
    }
}
