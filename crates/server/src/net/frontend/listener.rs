//! Accepting connections, and closing the listener without losing one that the system has accepted.

use std::io;
use std::net::IpAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use socket2::SockRef;
use tulipgap_connection_limits::{AcceptError, Action, ConnectionId, Event};

use super::Frontend;
use super::connection::{Connection, new_stream};
use crate::clock;
use crate::log::LogLimit;
use crate::net::connect::adopt;
use crate::net::spawn;

/// The pause before the limiter is asked again whether another connection may be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// The same where a connection is about to close, and between two looks at the backlog of a
/// listener that closes.
const TURN_PAUSE: Duration = Duration::from_millis(1);
/// How long handshakes under way get to complete once the listener refuses new connections.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(20);
/// An interface index that the system does not give to any interface.
const NO_INTERFACE: Option<NonZeroU32> = NonZeroU32::new(i32::MAX as u32);

static ACCEPT_FAILURES: LogLimit = LogLimit::new();
static REJECTED_CONNECTIONS: LogLimit = LogLimit::new();

/// The listener, shared by the accepting coroutine and whoever closes it.
#[derive(Default)]
pub(super) struct ListenerState {
    listener: Option<Arc<TcpListener>>,
    is_closing: bool,
    /// Once it closes: until when handshakes under way may complete.
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
    pub(super) fn close(&mut self) {
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

    /// Whether the listener is closed, and all that came over it stands among the connections.
    pub(super) fn is_closed(&self) -> bool {
        self.is_closed
    }
}

impl Frontend {
    /// Accepts connections until the listener is to be closed, and every one in the backlog then:
    /// the system has completed their handshakes, so they may hold a whole request, which closing
    /// the listener would lose.
    pub(crate) fn accept(self: Arc<Self>, listener: TcpListener) {
        let listener = Arc::new(listener);
        self.listener.lock().open(&listener);
        loop {
            // Read before the accept, so that an empty backlog behind it stays empty.
            let handshakes_until = self.listener.lock().handshakes_until;
            let backlog_is_final = handshakes_until.is_some_and(|until| until <= Instant::now());
            let (may_accept, is_evicting) = self.decide(|limiter, now, actions| {
                let may_accept = limiter.may_accept(now, actions);
                (may_accept, !actions.is_empty())
            });
            if !may_accept {
                clock::sleep(if is_evicting {
                    TURN_PAUSE
                } else {
                    ACCEPT_PAUSE
                });
                continue;
            }
            let accepted = listener
                .inner()
                .accept()
                .and_then(|(stream, peer)| Ok((adopt(stream)?, peer)));
            match accepted {
                Ok((stream, peer)) => self.accepted(stream, peer.ip()),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    if backlog_is_final {
                        break;
                    }
                    match handshakes_until {
                        Some(_) => clock::sleep(TURN_PAUSE),
                        None => _ = listener.wait_io(),
                    }
                }
                Err(error) => self.accept_failed(&error, &listener),
            }
        }
        self.listener.lock().finish(listener);
    }

    fn accept_failed(&self, error: &io::Error, listener: &TcpListener) {
        if let Some(count) = ACCEPT_FAILURES.pass() {
            log::warn!("accept failed error=\"{error}\" count={count}");
        }
        let error = accept_error(error);
        self.notify(Event::AcceptFailed { error });
        if self.rejects_connections && error == AcceptError::ProcessDescriptorLimit {
            self.reject_one_with_spare_descriptor(listener);
        }
        let paused_until = *self.accepting_paused_until.lock();
        clock::sleep(paused_until.saturating_sub(self.started_at.elapsed()));
    }

    /// With no descriptor left, the spare one serves to accept and close a connection, so that its
    /// owner can go elsewhere at once.
    fn reject_one_with_spare_descriptor(&self, listener: &TcpListener) {
        let Some(file) = self.spare_descriptor.lock().take() else {
            *self.spare_descriptor.lock() = open_spare_descriptor();
            return;
        };
        drop(file);
        // A connection stands in the backlog: the accept before failed for want of a descriptor,
        // not of a connection.
        drop(listener.inner().accept());
        *self.spare_descriptor.lock() = open_spare_descriptor();
        if let Some(count) = REJECTED_CONNECTIONS.pass() {
            log::warn!("connection rejected reason=no_descriptor count={count}");
        }
    }

    /// A connection was accepted: from now on it is counted, and served by a coroutine of its own.
    pub(super) fn accepted(self: &Arc<Self>, stream: TcpStream, address: IpAddr) {
        let admitted = self.decide(|limiter, now, actions| {
            let mut connections = self.connections.lock();
            let id = ConnectionId(connections.vacant_key());
            limiter.handle_event(
                now,
                Event::Accepted {
                    connection: id,
                    address,
                },
                actions,
            );
            let rejected = actions.iter().find_map(|action| match action {
                Action::Reject { reason, .. } => Some(*reason),
                _ => None,
            });
            if let Some(reason) = rejected {
                return Err((reason, stream));
            }
            let stream = new_stream(stream);
            let connection = Arc::new(Connection::new(id, stream.output.clone()));
            connections.insert(connection.clone());
            Ok((stream, connection))
        });
        match admitted {
            Ok((stream, connection)) => {
                let frontend = self.clone();
                spawn(move || frontend.serve(stream, &connection));
            }
            Err((reason, stream)) => {
                // Unread, at once: its owner sees the end of the connection and can go elsewhere.
                drop(stream);
                if let Some(count) = REJECTED_CONNECTIONS.pass() {
                    log::warn!(
                        "connection rejected address={address} reason={reason:?} count={count}"
                    );
                }
            }
        }
    }
}

/// Has the system refuse new connections while those in the backlog and handshakes under way stay
/// with the listener; returns until when these handshakes may complete.
///
/// The listener is bound to a network interface that does not exist, so no new handshake finds it,
/// and the system answers as for a port without a listener. A filter would drop the first packet
/// instead, and its caller would hang until it is sent again. Where the system does not know the
/// option, connections that come between the last accept and the close are reset.
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

/// A descriptor for when none is left; without it one more connection is rejected later, no more.
pub(super) fn open_spare_descriptor() -> Option<std::fs::File> {
    std::fs::File::open("/dev/null").ok()
}

fn accept_error(error: &io::Error) -> AcceptError {
    match error.raw_os_error() {
        Some(libc::EMFILE) => AcceptError::ProcessDescriptorLimit,
        Some(libc::ENFILE) => AcceptError::SystemDescriptorLimit,
        Some(libc::ENOBUFS | libc::ENOMEM) => AcceptError::OutOfMemory,
        _ if error.kind() == io::ErrorKind::ConnectionAborted => AcceptError::ConnectionAborted,
        _ => AcceptError::ProcessDescriptorLimit,
    }
}
