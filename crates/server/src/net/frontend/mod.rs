//! The frontend: connections from edge nodes, and the requests and health checks that come over
//! them.
//!
//! | file | job |
//! | --- | --- |
//! | `listener` | accepting connections, and closing the listener without losing one |
//! | `connection` | one connection: reading messages, and when it closes |
//! | `request` | the life of a request, from its registration to its response |
//! | `parse` | the fields of a request |
//! | `health` | health checks |
//! | `recent_ids` | ids that came before |
//! | `codec` | the messages on the wire |

mod codec;
mod connection;
mod health;
mod listener;
mod parse;
mod recent_ids;
mod request;

#[cfg(test)]
mod tests;

use std::hash::RandomState;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use slab::Slab;
use tulipgap_connection_limits::{Action, CloseReason, Event, Limiter};
use tulipgap_settings::Names;

use self::connection::Connection;
use self::listener::ListenerState;
use self::recent_ids::RecentIds;
use super::executor::ExecutorClient;
use super::store::StoreClient;
use crate::invariant;
use crate::log::LogLimit;
use crate::requests::RequestRegistry;

/// Descriptors that are reserved for the executor, the log and the runtime.
pub(crate) const RESERVED_DESCRIPTORS: usize = 16;
/// How long a connection may take to its first message, and a message from its first byte to its
/// last.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// How much longer than an edge node this server keeps an unused connection.
pub(crate) const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// What one open request takes at most: its coroutine's stack as far as it is touched, body and
/// result.
const OPEN_REQUEST_KB: f64 = 24.0;
/// The fraction of this process's memory that open requests may take; what comes beyond is rejected
/// unregistered.
const OPEN_REQUESTS_MEMORY_FRACTION: f64 = 0.45;

static MALFORMED_MESSAGES: LogLimit = LogLimit::new();
static REJECTED_WITHOUT_MEMORY: LogLimit = LogLimit::new();
static EVICTIONS: LogLimit = LogLimit::new();

/// All connections from edge nodes. It owns the connection table and the limiter that decides on
/// it.
pub(crate) struct Frontend {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    store: Arc<StoreClient>,
    names: Names,
    /// All connections that were accepted and have not closed.
    connections: Mutex<Slab<Arc<Connection>>>,
    limiter: Mutex<Limiter>,
    /// When the limiter's clock stood at zero.
    started_at: Instant,
    /// Nothing is accepted before this time of that clock.
    accepting_paused_until: Mutex<Duration>,
    /// The idle timeout that the limiter knows.
    idle_timeout: Mutex<Duration>,
    /// A descriptor that is given up to accept and close one connection when no other is left.
    spare_descriptor: Mutex<Option<std::fs::File>>,
    /// Connections beyond the limits are rejected, instead of waiting in the backlog.
    rejects_connections: bool,
    max_open_requests: usize,
    /// Hashes bodies; nobody can make up another body with the same hash.
    body_hasher: RandomState,
    recent_ids: Mutex<RecentIds>,
    listener: Mutex<ListenerState>,
}

impl Frontend {
    pub(crate) fn new(
        registry: Arc<RequestRegistry>,
        executor: Arc<ExecutorClient>,
        store: Arc<StoreClient>,
        names: Names,
        limiter: Limiter,
        rejects_connections: bool,
        memory_mb: f64,
    ) -> Arc<Self> {
        let max_open_requests =
            memory_mb * OPEN_REQUESTS_MEMORY_FRACTION * 1024.0 / OPEN_REQUEST_KB;
        Arc::new(Frontend {
            registry,
            executor,
            store,
            names,
            connections: Mutex::new(Slab::new()),
            limiter: Mutex::new(limiter),
            started_at: Instant::now(),
            accepting_paused_until: Mutex::default(),
            idle_timeout: Mutex::default(),
            spare_descriptor: Mutex::new(listener::open_spare_descriptor()),
            rejects_connections,
            max_open_requests: max_open_requests as usize,
            body_hasher: RandomState::new(),
            recent_ids: Mutex::default(),
            listener: Mutex::default(),
        })
    }

    /// Lets the limiter decide, and carries its actions out under the same lock, so that no action
    /// meets another connection of the same index.
    fn decide<T>(&self, decide: impl FnOnce(&mut Limiter, Duration, &mut Vec<Action>) -> T) -> T {
        let mut limiter = self.limiter.lock();
        let mut actions = Vec::new();
        let decision = decide(&mut limiter, self.started_at.elapsed(), &mut actions);
        if !actions.is_empty() {
            self.apply(&actions);
        }
        decision
    }

    /// Tells the limiter what happened to a connection.
    fn notify(&self, event: Event) {
        self.decide(|limiter, now, actions| limiter.handle_event(now, event, actions));
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
                // A new connection is served or rejected where it is accepted; timers fire with the
                // sweep.
                Action::Serve { .. } | Action::Reject { .. } | Action::SetTimer { .. } => {}
            }
        }
    }

    /// Lets time pass for connections: idle ones are asked to close, those that take too long are
    /// closed.
    pub(crate) fn sweep(&self) {
        let timeout = self.registry.idle_timeout().saturating_add(IDLE_MARGIN);
        if std::mem::replace(&mut *self.idle_timeout.lock(), timeout) != timeout {
            self.notify(Event::SetIdleTimeout { timeout });
        }
        self.notify(Event::TimerExpired);
    }

    /// Closes the listener once every connection in its backlog is accepted, and asks all edge
    /// nodes to leave. New connections are refused first: an edge node that is asked to leave
    /// connects anew at once. While the accepting coroutine waits for its turn these connections
    /// would fill the backlog, and the system would drop the first packets of others.
    pub(crate) fn close(&self) {
        self.listener.lock().close();
        self.notify(Event::Drain);
    }

    /// Whether no connection is open, and none can come any more.
    pub(crate) fn is_over(&self) -> bool {
        // In this order: what is accepted stands among the connections before the listener counts
        // as closed.
        self.listener.lock().is_closed() && self.connections.lock().is_empty()
    }

    /// What is counted here, for the log.
    pub(crate) fn summary(&self) -> FrontendSummary {
        FrontendSummary {
            connections: self.connections.lock().len(),
            malformed_messages: MALFORMED_MESSAGES.count(),
            rejected_without_memory: REJECTED_WITHOUT_MEMORY.count(),
            invariants_violated: invariant::violations(),
        }
    }
}

/// What the frontend has counted since the start, and the connections that are open now.
pub(crate) struct FrontendSummary {
    connections: usize,
    malformed_messages: u64,
    rejected_without_memory: u64,
    invariants_violated: u64,
}

impl FrontendSummary {
    pub(crate) fn log(&self) {
        let FrontendSummary {
            connections,
            malformed_messages,
            rejected_without_memory,
            invariants_violated,
        } = self;
        log::info!(
            "frontend summary connections={connections} malformed_messages={malformed_messages} \
             rejected_without_memory={rejected_without_memory} \
             invariants_violated={invariants_violated}"
        );
    }
}
