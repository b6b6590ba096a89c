//! The connection table: every open connection, and the limiter that admits and closes them.
//!
//! The table asks the limiter and applies its actions under one lock. Otherwise a connection could
//! close between the two and its index be reused, and the action would close the new connection
//! instead. No other lock of the table is held when the limiter's lock is taken.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use may::net::TcpStream;
use may::sync::Blocker;
use parking_lot::Mutex;
use slab::Slab;
use tulipgap_connection_limits::{
    AcceptError, Action, CloseReason, ConnectionId, Event, Limiter, RejectReason,
};

use super::backlog::Backlog;
use super::connection::{Connection, new_stream};
use crate::clock;
use crate::log::LogLimit;
use crate::net::stream::{BufferedStream, DrainTarget};

static EVICTIONS: LogLimit = LogLimit::new();

/// Whether the next connection may be accepted.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Admission {
    Accept,
    /// A slot is about to be free: a connection is closing, a newly accepted one is about to send
    /// its first message, after which the limiter may evict other connections, or the server is
    /// shutting down and connections yield their slots.
    WaitBriefly,
    /// No slot is free or about to be free.
    Wait,
}

/// A connection in the table and its stream.
pub(super) struct Admitted {
    pub(super) stream: BufferedStream,
    pub(super) connection: Arc<Connection>,
}

/// A connection that the limiter rejected. Its stream is unread.
pub(super) struct Rejected {
    pub(super) stream: TcpStream,
    pub(super) reason: RejectReason,
}

/// All connections from edge nodes, and the limiter that admits and closes them.
pub(super) struct ConnectionTable {
    pub(super) connections: Mutex<Slab<Arc<Connection>>>,
    pub(super) limiter: Mutex<Limiter>,
    /// The zero point of the limiter's clock.
    started_at: Instant,
    /// The acceptor pauses until this time of the limiter's clock.
    accepting_paused_until: Mutex<Duration>,
    /// The idle timeout that the limiter was last given.
    idle_timeout: Mutex<Duration>,
    /// A connection in the backlog needs a slot.
    is_slot_needed: AtomicBool,
    /// When the server terminates. Set by the shutdown notice.
    ends_at: OnceLock<Instant>,
    /// The server terminates before clients could acknowledge the replies to everything in the
    /// backlog.
    is_short_of_time: AtomicBool,
    /// Wakes the accepting coroutine when a slot becomes free during a shutdown. That coroutine
    /// creates the blocker, because a blocker that a thread creates blocks the thread.
    slot_freed: OnceLock<Arc<Blocker>>,
}

impl ConnectionTable {
    /// An empty table. The limiter's clock starts now.
    pub(super) fn new(limiter: Limiter) -> Self {
        ConnectionTable {
            connections: Mutex::new(Slab::new()),
            limiter: Mutex::new(limiter),
            started_at: Instant::now(),
            accepting_paused_until: Mutex::default(),
            idle_timeout: Mutex::default(),
            is_slot_needed: AtomicBool::new(false),
            ends_at: OnceLock::new(),
            is_short_of_time: AtomicBool::new(false),
            slot_freed: OnceLock::new(),
        }
    }

    /// Handles the shutdown notice: from now on an unused connection yields its slot to one in the
    /// backlog. The server terminates at `ends_at`.
    pub(super) fn shutdown_notice(&self, ends_at: Instant) {
        // A second notice does not change the time.
        let _ = self.ends_at.set(ends_at);
        self.notify(Event::ShutdownNotice);
        self.wake_acceptor();
    }

    /// Notifies the limiter of an event.
    pub(super) fn notify(&self, event: Event) {
        self.update_limiter(|limiter, now, actions| limiter.handle_event(now, event, actions));
    }

    /// Asks the limiter whether another connection may be accepted. `backlog` returns the length of
    /// the backlog, if that is known, and is called only if the server is full.
    pub(super) fn may_accept(&self, backlog: impl FnOnce() -> Option<usize>) -> Admission {
        self.update_limiter(|limiter, now, actions| {
            let may_accept_at_once = limiter.may_accept_at_once();
            let backlog = if may_accept_at_once {
                Some(0)
            } else {
                backlog()
            };
            // If the length is not known, a connection may be waiting.
            let is_slot_needed = backlog != Some(0);
            self.is_slot_needed.store(is_slot_needed, Ordering::Release);
            if let (Some(ends_at), Some(waiting)) = (self.ends_at.get(), backlog) {
                let slots = limiter.capacity();
                let bound = Backlog { waiting, slots }.acknowledged_bound();
                let left = ends_at.saturating_duration_since(Instant::now());
                self.is_short_of_time.store(bound > left, Ordering::Release);
            }
            if limiter.may_accept(now, backlog, actions) {
                Admission::Accept
            } else if !actions.is_empty()
                || limiter.has_silent_connection()
                || limiter.is_shutting_down()
            {
                Admission::WaitBriefly
            } else {
                Admission::Wait
            }
        })
    }

    /// Whether a connection in the backlog needs a slot.
    pub(super) fn is_slot_needed(&self) -> bool {
        self.is_slot_needed.load(Ordering::Acquire)
    }

    /// How far the output of a closing connection has to get before its socket may be closed.
    pub(super) fn drain_target(&self) -> DrainTarget {
        let is_slot_needed = self.is_slot_needed();
        if is_slot_needed && self.is_short_of_time.load(Ordering::Acquire) {
            DrainTarget::Sent
        } else if is_slot_needed || self.ends_at.get().is_some() {
            DrainTarget::Acknowledged
        } else {
            DrainTarget::PeerClosed
        }
    }

    /// Blocks the accepting coroutine of a full server for `pause`. During a shutdown, a slot that
    /// becomes free ends the pause early.
    pub(super) fn wait_for_slot(&self, pause: Duration) {
        let slot_freed = self.slot_freed.get_or_init(|| Arc::new(Blocker::new(true)));
        clock::park(slot_freed, Instant::now().checked_add(pause));
    }

    fn wake_acceptor(&self) {
        if let Some(slot_freed) = self.slot_freed.get() {
            slot_freed.unpark();
        }
    }

    /// The maximum number of connections.
    pub(super) fn capacity(&self) -> usize {
        self.limiter.lock().capacity()
    }

    /// Adds an accepted connection, unless the limiter rejects it.
    pub(super) fn admit(&self, stream: TcpStream, address: IpAddr) -> Result<Admitted, Rejected> {
        self.update_limiter(|limiter, now, actions| {
            let mut connections = self.connections.lock();
            let id = ConnectionId(connections.vacant_key());
            let accepted = Event::Accepted {
                connection: id,
                address,
            };
            limiter.handle_event(now, accepted, actions);
            let rejected = actions.iter().find_map(|action| match action {
                Action::Reject { reason, .. } => Some(*reason),
                _ => None,
            });
            if let Some(reason) = rejected {
                return Err(Rejected { stream, reason });
            }
            let stream = new_stream(stream);
            let connection = Arc::new(Connection::new(id, stream.output.clone()));
            connections.insert(connection.clone());
            Ok(Admitted { stream, connection })
        })
    }

    /// Removes a connection whose stream is closed.
    pub(super) fn remove(&self, id: ConnectionId) {
        self.update_limiter(|limiter, now, actions| {
            limiter.handle_event(now, Event::Closed { connection: id }, actions);
            self.connections.lock().remove(id.0);
        });
        if self.ends_at.get().is_some() {
            self.wake_acceptor();
        }
    }

    /// Notifies the limiter of a failed accept.
    pub(super) fn accept_failed(&self, error: AcceptError) {
        self.notify(Event::AcceptFailed { error });
    }

    /// The rest of the pause that the limiter has imposed on the acceptor after failed accepts.
    pub(super) fn accepting_pause(&self) -> Duration {
        let paused_until = *self.accepting_paused_until.lock();
        paused_until.saturating_sub(self.started_at.elapsed())
    }

    /// Has the limiter apply the timeouts of connections: it requests the close of idle connections
    /// and closes connections whose message has timed out.
    pub(super) fn sweep(&self, idle_timeout: Duration) {
        if std::mem::replace(&mut *self.idle_timeout.lock(), idle_timeout) != idle_timeout {
            let timeout = idle_timeout;
            self.notify(Event::SetIdleTimeout { timeout });
        }
        self.notify(Event::TimerExpired);
    }

    /// The number of connections.
    pub(super) fn len(&self) -> usize {
        self.connections.lock().len()
    }

    /// The number of connections with an open request or health check, or with unwritten output.
    pub(super) fn unfinished(&self) -> usize {
        let connections = self.connections.lock();
        let is_unfinished = |(_, connection): &(usize, &Arc<Connection>)| !connection.is_done();
        connections.iter().filter(is_unfinished).count()
    }

    fn update_limiter<T>(
        &self,
        update: impl FnOnce(&mut Limiter, Duration, &mut Vec<Action>) -> T,
    ) -> T {
        let mut limiter = self.limiter.lock();
        let mut actions = Vec::new();
        let result = update(&mut limiter, self.started_at.elapsed(), &mut actions);
        if !actions.is_empty() {
            self.apply(&actions);
        }
        result
    }

    fn apply(&self, actions: &[Action]) {
        let connections = self.connections.lock();
        for action in actions {
            match *action {
                Action::RequestClose { connection } => {
                    if let Some(connection) = connections.get(connection.0) {
                        connection.request_close();
                    }
                }
                Action::Close { connection, reason } => {
                    if let Some(connection) = connections.get(connection.0) {
                        connection.close(reason);
                    }
                    if reason == CloseReason::Evicted
                        && let Some(count) = EVICTIONS.count_event()
                    {
                        log::warn!("connection closing reason=evicted count={count}");
                    }
                }
                Action::PauseAccepting { until } => *self.accepting_paused_until.lock() = until,
                // `admit` handles `Serve` and `Reject`. Timers are not set: the periodic sweep
                // notifies the limiter of `TimerExpired`, so without another event the limiter
                // handles a deadline up to one sweep interval late.
                Action::Serve { .. } | Action::Reject { .. } | Action::SetTimer { .. } => {}
            }
        }
    }
}
