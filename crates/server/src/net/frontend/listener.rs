//! Accepting connections, and closing the listener without losing a connection in its backlog.
//!
//! A connection in the backlog has completed its handshake and may carry a whole request. If the
//! listener were closed before the accept, the system would reset the connection and the request
//! would be lost. So at a shutdown the system first refuses new connections, and the listener
//! closes once its backlog is empty. The cost is up to `HANDSHAKE_TIMEOUT` of the time before the
//! termination.

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

/// The interval at which the acceptor of a full server asks the limiter again.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which the acceptor asks the limiter again when a slot is about to be free.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// How often the acceptor checks the backlog of a listener that is closing.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// How long handshakes in progress may take once the listener refuses new connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(20);
/// An interface index that the system assigns to no interface.
const NONEXISTENT_INTERFACE: Option<NonZeroU32> = NonZeroU32::new(i32::MAX as u32);

static ACCEPT_FAILURES: LogLimit = LogLimit::new();
static REJECTED_CONNECTIONS: LogLimit = LogLimit::new();

/// The listener, shared by the accepting coroutine and the one that closes it.
#[derive(Default)]
struct ListenerState {
    listener: Option<Arc<TcpListener>>,
    is_closing: bool,
    /// While the listener closes: the deadline of handshakes in progress.
    handshake_deadline: Option<Instant>,
    is_closed: bool,
}

impl ListenerState {
    /// Stores the listener. If `close` was called before, new connections are refused at once.
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
            self.handshake_deadline
                .get_or_insert_with(|| refuse_new_connections(listener));
            listener.waker().wakeup();
        }
    }

    /// Closes the listener. The accepting coroutine hands over its reference, the only other one.
    fn finish(&mut self, listener: Arc<TcpListener>) {
        self.listener = None;
        drop(listener);
        self.is_closed = true;
    }
}

/// Accepts connections. Owns the listener's state and the spare descriptor.
pub(super) struct Acceptor {
    table: Arc<ConnectionTable>,
    listener: Mutex<ListenerState>,
    /// A descriptor in reserve. When the process has no other descriptor left, the acceptor closes
    /// it to accept and close one connection.
    spare_descriptor: Mutex<Option<File>>,
    /// Connections beyond the limits are rejected, instead of waiting in the backlog.
    rejects_connections: bool,
}

impl Acceptor {
    /// An acceptor for the connections of `table`. It accepts none before [`Acceptor::run`].
    pub(super) fn new(table: Arc<ConnectionTable>, rejects_connections: bool) -> Self {
        Acceptor {
            table,
            listener: Mutex::default(),
            spare_descriptor: Mutex::new(open_spare_descriptor()),
            rejects_connections,
        }
    }

    /// Accepts connections until [`Acceptor::close`] is called, and then every connection in the
    /// backlog: the system has completed its handshake, so it may carry a whole request, which
    /// closing the listener would lose.
    pub(super) fn run(&self, listener: TcpListener, on_accepted: impl Fn(TcpStream, IpAddr)) {
        let listener = Arc::new(listener);
        self.listener.lock().open(&listener);
        loop {
            // The deadline is read before the accept: if it has passed and the accept finds an
            // empty backlog, the backlog stays empty.
            let handshake_deadline = self.listener.lock().handshake_deadline;
            let backlog_is_final =
                handshake_deadline.is_some_and(|deadline| deadline <= Instant::now());
            match self.table.may_accept(|| waiting_connections(&listener)) {
                Admission::Accept => {}
                Admission::WaitBriefly => {
                    self.table.wait_for_slot(EVICTION_RETRY_INTERVAL);
                    continue;
                }
                Admission::Wait => {
                    self.table.wait_for_slot(ACCEPT_RETRY_INTERVAL);
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
                    match handshake_deadline {
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
    /// backlog is empty.
    pub(super) fn close(&self) {
        self.listener.lock().close();
    }

    /// The number of connections in the backlog, or `None` if the listener is closed or the system
    /// does not report it.
    pub(super) fn waiting_connections(&self) -> Option<usize> {
        waiting_connections(self.listener.lock().listener.as_ref()?)
    }

    /// Whether the listener is closed and every accepted connection is in the table.
    pub(super) fn is_closed(&self) -> bool {
        self.listener.lock().is_closed
    }

    fn accept_failed(&self, error: &io::Error, listener: &TcpListener) {
        if let Some(count) = ACCEPT_FAILURES.count_event() {
            log::warn!("accept failed error=\"{error}\" count={count}");
        }
        let error = accept_error(error);
        self.table.accept_failed(error);
        if self.rejects_connections && error == AcceptError::ProcessDescriptorLimit {
            self.reject_one_with_spare_descriptor(listener);
        }
        clock::sleep(self.table.accepting_pause());
    }

    /// Closes the spare descriptor to accept and close one connection when no other descriptor is
    /// left, so that its client can use another server at once.
    fn reject_one_with_spare_descriptor(&self, listener: &TcpListener) {
        let Some(file) = self.spare_descriptor.lock().take() else {
            *self.spare_descriptor.lock() = open_spare_descriptor();
            return;
        };
        drop(file);
        // The last accept failed for lack of a descriptor. The system reports this failure even if
        // the backlog is empty; this accept then fails too, and no connection is closed.
        drop(listener.inner().accept());
        *self.spare_descriptor.lock() = open_spare_descriptor();
        if let Some(count) = REJECTED_CONNECTIONS.count_event() {
            log::warn!("connection rejected reason=no_descriptor count={count}");
        }
    }
}

/// Logs a connection that the limiter rejected.
pub(super) fn log_rejection(address: IpAddr, reason: RejectReason) {
    if let Some(count) = REJECTED_CONNECTIONS.count_event() {
        log::warn!("connection rejected address={address} reason={reason:?} count={count}");
    }
}

/// Has the system refuse new connections; connections in the backlog and handshakes in progress
/// stay with the listener. Returns the deadline of these handshakes.
///
/// The function binds the listener to a network interface that does not exist. New SYN packets then
/// match no listener, and the system answers them with a reset, as for a closed port. A packet
/// filter would drop them instead, and the client would hang until it retransmits. If the system
/// does not support the option, connections that arrive between the last accept and the close are
/// reset.
fn refuse_new_connections(listener: &TcpListener) -> Instant {
    let socket = SockRef::from(listener.inner());
    match socket.bind_device_by_index_v4(NONEXISTENT_INTERFACE) {
        Ok(()) => Instant::now() + HANDSHAKE_TIMEOUT,
        Err(error) => {
            log::warn!("listener cannot refuse new connections error=\"{error}\"");
            Instant::now()
        }
    }
}

/// Opens the spare descriptor. Without it, a connection for which no descriptor is left waits in
/// the backlog instead of being rejected at once.
fn open_spare_descriptor() -> Option<File> {
    File::open("/dev/null").ok()
}

/// The cause of a failed accept. On Linux, `accept` also returns network errors that are pending on
/// the new connection; they concern that connection only.
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
