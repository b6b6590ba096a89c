//! Accepting connections, and closing the listener without losing one that the system has accepted.
//!
//! A connection in the backlog has completed its handshake and may hold a whole request. If the
//! listener were closed over it, the system would reset it and the request would be lost. So at
//! the shutdown the system first refuses new connections, and the listener closes once its backlog
//! is accepted. The price is up to `HANDSHAKE_TIMEOUT` of the time before the termination.

use std::fs::File;
use std::io;
use std::net::IpAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use parking_lot::Mutex;
use socket2::SockRef;
use tulipgap_connection_limits::{AcceptError, RejectReason};

use super::backlog::waiting_connections;
use super::connection_table::{Admission, ConnectionTable};
use crate::clock;
use crate::log::LogLimit;
use crate::net::connect::adopt;

/// The pause before the limiter is asked again whether another connection may be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The pause before the limiter is asked again, where there is room soon.
const EVICTION_PAUSE: Duration = Duration::from_millis(1);
/// How often the backlog of a listener that closes is checked.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long handshakes in progress may take to complete once the listener refuses new connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(20);
/// An interface index that the system does not give to any interface.
const NO_INTERFACE: Option<NonZeroU32> = NonZeroU32::new(i32::MAX as u32);

static ACCEPT_FAILURES: LogLimit = LogLimit::new();
static REJECTED_CONNECTIONS: LogLimit = LogLimit::new();

/// The listener, shared by the accepting coroutine and the one that closes it.
#[derive(Default)]
struct ListenerState {
    listener: Option<Arc<TcpListener>>,
    is_closing: bool,
    /// Once it closes: when handshakes in progress have had their time.
    handshakes_until: Option<Instant>,
    is_closed: bool,
}

impl ListenerState {
    /// Accepting begins. Where `close` was called before, new connections are refused at once.
    fn open(&mut self, listener: &Arc<TcpListener>) {
        self.listener = Some(listener.clone());
        if self.is_closing {
            self.close();
        }
    }

    /// Has the system refuse new connections, and wakes the accepting coroutine.
    fn close(&mut self) {
        self.is_closing = true;
        if let Some(listener) = &self.listener {
            self.handshakes_until
                .get_or_insert_with(|| refuse_new_connections(listener));
            listener.waker().wakeup();
        }
    }

    /// Closes the listener: the accepting coroutine hands over its reference, the only one beside
    /// the one here.
    fn finish(&mut self, listener: Arc<TcpListener>) {
        self.listener = None;
        drop(listener);
        self.is_closed = true;
    }
}

/// What accepts connections. It owns the listener's state and the spare descriptor.
pub(super) struct Acceptor {
    table: Arc<ConnectionTable>,
    listener: Mutex<ListenerState>,
    /// A descriptor that is closed to accept and close one connection when no other is left.
    spare_descriptor: Mutex<Option<File>>,
    /// Connections beyond the limits are rejected, instead of waiting in the backlog.
    rejects_connections: bool,
}

impl Acceptor {
    /// An acceptor for the connections of `table`. It does not accept before [`Acceptor::run`].
    pub(super) fn new(table: Arc<ConnectionTable>, rejects_connections: bool) -> Self {
        Acceptor {
            table,
            listener: Mutex::default(),
            spare_descriptor: Mutex::new(open_spare_descriptor()),
            rejects_connections,
        }
    }

    /// Accepts connections until the listener is to be closed, and every one in the backlog then:
    /// the system has completed their handshakes, so they may hold a whole request, which closing
    /// the listener would lose.
    pub(super) fn run(&self, listener: TcpListener, on_accepted: impl Fn(TcpStream, IpAddr)) {
        let listener = Arc::new(listener);
        self.listener.lock().open(&listener);
        loop {
            // Read before the accept, so that an empty backlog behind it stays empty.
            let handshakes_until = self.listener.lock().handshakes_until;
            let backlog_is_final = handshakes_until.is_some_and(|until| until <= Instant::now());
            match self.table.may_accept(|| waiting_connections(&listener)) {
                Admission::Accept => {}
                Admission::WaitBriefly => {
                    self.table.wait_for_place(EVICTION_PAUSE);
                    continue;
                }
                Admission::Wait => {
                    self.table.wait_for_place(ACCEPT_PAUSE);
                    continue;
                }
            }
            let accepted = listener
                .inner()
                .accept()
                .and_then(|(stream, peer)| Ok((adopt(stream)?, peer)));
            match accepted {
                Ok((stream, peer)) => on_accepted(stream, peer.ip()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if backlog_is_final {
                        break;
                    }
                    match handshakes_until {
                        Some(_) => clock::sleep(BACKLOG_POLL_INTERVAL),
                        None => _ = listener.wait_io(),
                    }
                }
                Err(error) => self.accept_failed(&error, &listener),
            }
        }
        self.listener.lock().finish(listener);
    }

    /// Has the system refuse new connections. [`Acceptor::run`] closes the listener once its
    /// backlog is accepted.
    pub(super) fn close(&self) {
        self.listener.lock().close();
    }

    /// The number of connections that wait in the backlog; none where the listener is closed or the
    /// system does not tell.
    pub(super) fn waiting_connections(&self) -> Option<usize> {
        waiting_connections(self.listener.lock().listener.as_ref()?)
    }

    /// Whether the listener is closed, and each connection that was accepted is in the table.
    pub(super) fn is_closed(&self) -> bool {
        self.listener.lock().is_closed
    }

    fn accept_failed(&self, error: &io::Error, listener: &TcpListener) {
        if let Some(count) = ACCEPT_FAILURES.pass() {
            log::warn!("accept failed error=\"{error}\" count={count}");
        }
        let error = accept_error(error);
        self.table.accept_failed(error);
        if self.rejects_connections && error == AcceptError::ProcessDescriptorLimit {
            self.reject_one_with_spare_descriptor(listener);
        }
        clock::sleep(self.table.accepting_pause());
    }

    /// With no descriptor left, closes the spare one to accept and close a connection, so that the
    /// edge node that opened it can go to another server at once.
    fn reject_one_with_spare_descriptor(&self, listener: &TcpListener) {
        let Some(file) = self.spare_descriptor.lock().take() else {
            *self.spare_descriptor.lock() = open_spare_descriptor();
            return;
        };
        drop(file);
        // A connection is in the backlog: the accept before failed for want of a descriptor, not
        // of a connection.
        drop(listener.inner().accept());
        *self.spare_descriptor.lock() = open_spare_descriptor();
        if let Some(count) = REJECTED_CONNECTIONS.pass() {
            log::warn!("connection rejected reason=no_descriptor count={count}");
        }
    }
}

/// Logs a connection that the limiter has rejected.
pub(super) fn log_rejection(address: IpAddr, reason: RejectReason) {
    if let Some(count) = REJECTED_CONNECTIONS.pass() {
        log::warn!("connection rejected address={address} reason={reason:?} count={count}");
    }
}

/// Has the system refuse new connections while those in the backlog and handshakes in progress stay
/// with the listener. Returns when these handshakes have had their time.
///
/// The listener is bound to a network interface that does not exist, so no new handshake finds it,
/// and the system answers as for a port without a listener. A filter would drop the first packet
/// instead, and its caller would hang until the packet is sent again. Where the system does not
/// know the option, connections that come between the last accept and the close are reset.
fn refuse_new_connections(listener: &TcpListener) -> Instant {
    let socket = SockRef::from(listener.inner());
    match socket.bind_device_by_index_v4(NO_INTERFACE) {
        Ok(()) => Instant::now() + HANDSHAKE_TIMEOUT,
        Err(error) => {
            log::warn!("listener cannot refuse new connections error=\"{error}\"");
            Instant::now()
        }
    }
}

/// Opens the descriptor that is given up when none is left. Without it, the next connection waits
/// in the backlog instead of being rejected at once.
fn open_spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// The cause of a failed accept. Errors of the network that are pending on the new connection are
/// returned by `accept` on Linux, and concern that connection only.
fn accept_error(error: &io::Error) -> AcceptError {
    match error.raw_os_error() {
        Some(libc::EMFILE) => AcceptError::ProcessDescriptorLimit,
        Some(libc::ENFILE) => AcceptError::SystemDescriptorLimit,
        Some(libc::ENOBUFS | libc::ENOMEM) => AcceptError::OutOfMemory,
        Some(
            libc::ECONNABORTED
            | libc::EHOSTDOWN
            | libc::EHOSTUNREACH
            | libc::EINTR
            | libc::ENETDOWN
            | libc::ENETUNREACH
            | libc::ENONET
            | libc::ENOPROTOOPT
            | libc::EOPNOTSUPP
            | libc::EPROTO,
        ) => AcceptError::ConnectionAborted,
        _ => AcceptError::Other,
    }
}

#[cfg(test)]
#[path = "listener_tests.rs"]
mod tests;
