//! The connection table: every connection that was accepted and has not closed, and the limiter
//! that decides on them.
//!
//! The limiter decides and its actions are carried out under one lock. Between the two, a
//! connection could close and its index go to another one, which would then be closed in its
//! place. No other lock of the table is held when that of the limiter is taken.

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
    /// A connection is about to close and to leave its place, or one that was just accepted is
    /// about to send its first message, behind which others may be closed.
    WaitBriefly,
    /// No place is free, and none is about to be.
    Wait,
}

/// A connection in the table, and the stream that serves it.
pub(super) struct Admitted {
    pub(super) stream: BufferedStream,
    pub(super) connection: Arc<Connection>,
}

/// A connection that the limiter has rejected. Its stream is unread.
pub(super) struct Rejected {
    pub(super) stream: TcpStream,
    pub(super) reason: RejectReason,
}

/// All connections from edge nodes. It owns the limiter that decides on them.
pub(super) struct ConnectionTable {
    pub(super) connections: Mutex<Slab<Arc<Connection>>>,
    pub(super) limiter: Mutex<Limiter>,
    /// When the limiter's clock stood at zero.
    started_at: Instant,
    /// Nothing is accepted before this time of the limiter's clock.
    accepting_paused_until: Mutex<Duration>,
    /// The idle timeout that the limiter applies.
    idle_timeout: Mutex<Duration>,
    /// A connection waits in the backlog for a place.
    is_place_needed: AtomicBool,
    /// When the server ends, from the shutdown notice on.
    ends_at: OnceLock<Instant>,
    /// The server ends before everything in the backlog could be acknowledged.
    is_short_of_time: AtomicBool,
    /// Wakes the accepting coroutine of a server that shuts down when a place is free. That
    /// coroutine creates it: one that a thread creates blocks the thread.
    place_freed: OnceLock<Arc<Blocker>>,
}

impl ConnectionTable {
    /// An empty table. The clock of the limiter starts now.
    pub(super) fn new(limiter: Limiter) -> Self {
        ConnectionTable {
            connections: Mutex::new(Slab::new()),
            limiter: Mutex::new(limiter),
            started_at: Instant::now(),
            accepting_paused_until: Mutex::default(),
            idle_timeout: Mutex::default(),
            is_place_needed: AtomicBool::new(false),
            ends_at: OnceLock::new(),
            is_short_of_time: AtomicBool::new(false),
            place_freed: OnceLock::new(),
        }
    }

    /// The shutdown notice was received: from now on no connection that is not in use keeps a place
    /// that one in the backlog needs. The server ends at `ends_at`.
    pub(super) fn shutdown_notice(&self, ends_at: Instant) {
        // A second notice changes nothing.
        let _ = self.ends_at.set(ends_at);
        self.notify(Event::ShutdownNotice);
        self.wake_acceptor();
    }

    /// Notifies the limiter of what happened to a connection.
    pub(super) fn notify(&self, event: Event) {
        self.decide(|limiter, now, actions| limiter.handle_event(now, event, actions));
    }

    /// Asks the limiter whether another connection may be accepted. `backlog` tells how many wait,
    /// where that is known, and is asked on a full server only.
    pub(super) fn may_accept(&self, backlog: impl FnOnce() -> Option<usize>) -> Admission {
        self.decide(|limiter, now, actions| {
            let may_accept_at_once = limiter.may_accept_at_once();
            let backlog = if may_accept_at_once {
                Some(0)
            } else {
                backlog()
            };
            // Where the number is not known, one may wait.
            let is_place_needed = backlog != Some(0);
            self.is_place_needed
                .store(is_place_needed, Ordering::Release);
            if let (Some(ends_at), Some(waiting)) = (self.ends_at.get(), backlog) {
                let places = limiter.capacity();
                let bound = Backlog { waiting, places }.acknowledged_bound();
                let left = ends_at.saturating_duration_since(Instant::now());
                self.is_short_of_time.store(bound > left, Ordering::Release);
            }
            if may_accept_at_once || limiter.may_accept(now, backlog, actions) {
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

    /// Whether a connection waits in the backlog for a place.
    pub(super) fn is_place_needed(&self) -> bool {
        self.is_place_needed.load(Ordering::Acquire)
    }

    /// How far the replies on a connection that closes have to get before its place is free.
    pub(super) fn drain_target(&self) -> DrainTarget {
        let is_place_needed = self.is_place_needed();
        if is_place_needed && self.is_short_of_time.load(Ordering::Acquire) {
            DrainTarget::Sent
        } else if is_place_needed || self.ends_at.get().is_some() {
            DrainTarget::Acknowledged
        } else {
            DrainTarget::PeerClosed
        }
    }

    /// Blocks the accepting coroutine of a full server for that long, or until a place is free at a
    /// shutdown.
    pub(super) fn wait_for_place(&self, pause: Duration) {
        let place_freed = self
            .place_freed
            .get_or_init(|| Arc::new(Blocker::new(true)));
        clock::park(place_freed, Instant::now().checked_add(pause));
    }

    fn wake_acceptor(&self) {
        if let Some(place_freed) = self.place_freed.get() {
            place_freed.unpark();
        }
    }

    /// The connections that there can be.
    pub(super) fn capacity(&self) -> usize {
        self.limiter.lock().capacity()
    }

    /// Adds a connection that was accepted, unless the limiter rejects it.
    pub(super) fn admit(&self, stream: TcpStream, address: IpAddr) -> Result<Admitted, Rejected> {
        self.decide(|limiter, now, actions| {
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
        self.decide(|limiter, now, actions| {
            limiter.handle_event(now, Event::Closed { connection: id }, actions);
            self.connections.lock().remove(id.0);
        });
        if self.ends_at.get().is_some() {
            self.wake_acceptor();
        }
    }

    /// Notifies the limiter of an accept that failed.
    pub(super) fn accept_failed(&self, error: AcceptError) {
        self.notify(Event::AcceptFailed { error });
    }

    /// How long accepting is still paused, by the limiter's decision on failed accepts.
    pub(super) fn accepting_pause(&self) -> Duration {
        let paused_until = *self.accepting_paused_until.lock();
        paused_until.saturating_sub(self.started_at.elapsed())
    }

    /// Lets time pass for connections: idle ones are asked to close, and those that take too long
    /// are closed.
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

    /// The number of connections on which something is open or waits to be written.
    pub(super) fn unfinished(&self) -> usize {
        let connections = self.connections.lock();
        let is_unfinished = |(_, connection): &(usize, &Arc<Connection>)| !connection.is_done();
        connections.iter().filter(is_unfinished).count()
    }

    fn decide<T>(&self, decide: impl FnOnce(&mut Limiter, Duration, &mut Vec<Action>) -> T) -> T {
        let mut limiter = self.limiter.lock();
        let mut actions = Vec::new();
        let decision = decide(&mut limiter, self.started_at.elapsed(), &mut actions);
        if !actions.is_empty() {
            self.apply(&actions);
        }
        decision
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
                        && let Some(count) = EVICTIONS.pass()
                    {
                        log::warn!("connection closing reason=evicted count={count}");
                    }
                }
                Action::PauseAccepting { until } => *self.accepting_paused_until.lock() = until,
                // A new connection is served or rejected where it is admitted. Timers are not set:
                // the periodic sweep hands in `TimerExpired`, so a deadline is noticed up to one
                // sweep late where no other event comes.
                Action::Serve { .. } | Action::Reject { .. } | Action::SetTimer { .. } => {}
            }
        }
    }
}
