//! Opening connections in coroutines.

use std::io;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::io::WaitIo;
use may::net::TcpStream;
use socket2::{Domain, SockRef, Socket, Type};

use crate::clock;

/// The time limit of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a pending connect checks whether its connection is still wanted.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Converts a socket of the standard library to a stream of the coroutine runtime.
pub(crate) fn adopt(socket: impl IntoRawFd) -> io::Result<TcpStream> {
    let fd = socket.into_raw_fd();
    // Safe: this function is the only owner of the descriptor and passes it on at once. The runtime
    // panics and closes the descriptor if the system has no memory to watch it. That is an error of
    // this connection only and may not end the server.
    std::panic::catch_unwind(|| unsafe { TcpStream::from_raw_fd(fd) })
        .map_err(|_| io::ErrorKind::OutOfMemory.into())
}

/// Connects within `CONNECT_TIMEOUT`, and only while the connection is wanted. The system itself
/// would try for two minutes. If a peer moved while a connect to its old address hung, the client
/// would not connect to the new address before the end of these two minutes.
///
/// # Errors
/// The error of the system, `TimedOut`, or an error that says that the connection is no longer
/// wanted.
pub(crate) fn connect(address: SocketAddr, is_wanted: impl Fn() -> bool) -> io::Result<TcpStream> {
    let stream = adopt(Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        None,
    )?)?;
    let waker = Arc::new(stream.waker());
    let deadline = Instant::now() + CONNECT_TIMEOUT;
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
            return Err(io::Error::other("the connection is no longer wanted"));
        }
        if deadline <= Instant::now() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        clock::wake_at(Instant::now() + CONNECT_POLL_INTERVAL, &waker);
        stream.wait_io();
    }
}
