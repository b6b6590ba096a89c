//! The client of the store, the dependency that requests call while they run. It has a bounded pool
//! of connections with one open call each, and closes idle connections before the store does.
//!
//! | file | job |
//! | --- | --- |
//! | `mod` | calls, and following the store to a new address |
//! | `pool` | assigning calls to connections |
//! | `connection` | the coroutine of one connection |
//! | `protocol` | the messages on the wire |

mod connection;
mod pool;
mod protocol;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;

use self::pool::{Call, ConnectionPool, Placement};
use super::spawn;
use crate::config::CurrentAddress;
use crate::log::LogLimit;
use crate::requests::{Bytes, Outcome, RequestEvent, RequestId, RequestRegistry};

static CALL_TIMEOUTS: LogLimit = LogLimit::new();

/// The client of the store. It owns the connection pool, and reports the end of each call to the
/// registry.
pub(crate) struct StoreClient {
    address: CurrentAddress<Option<SocketAddr>>,
    registry: Arc<RequestRegistry>,
    max_connections: usize,
    pool: Mutex<ConnectionPool>,
    /// The number of consecutive failed attempts to connect to the store.
    consecutive_refusals: AtomicU32,
    /// The prober of the zone reports that the store is down, so calls are not attempted.
    is_suspended: AtomicBool,
}

impl StoreClient {
    /// A client with at most `max_connections` connections.
    pub(crate) fn new(
        address: Option<SocketAddr>,
        registry: Arc<RequestRegistry>,
        max_connections: usize,
    ) -> Arc<Self> {
        Arc::new(StoreClient {
            address: CurrentAddress::new(address),
            registry,
            max_connections,
            pool: Mutex::default(),
            consecutive_refusals: AtomicU32::new(0),
            is_suspended: AtomicBool::new(false),
        })
    }

    /// The limit on connections.
    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    /// The address of the store, or `None` without a store.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// The number of consecutive failed attempts to connect to the store.
    pub(crate) fn consecutive_refusals(&self) -> u32 {
        self.consecutive_refusals.load(Ordering::Relaxed)
    }

    /// Resets the count of failed attempts to connect after a successful connect or health check.
    pub(crate) fn health_check_succeeded(&self) {
        self.consecutive_refusals.store(0, Ordering::Relaxed);
    }

    /// Suspends calls while the store is down, or resumes them. While suspended, a call fails
    /// without being attempted.
    pub(crate) fn set_suspended(&self, is_down: bool) {
        if self.is_suspended.swap(is_down, Ordering::AcqRel) != is_down {
            if is_down {
                log::info!("store suspended reason=probe_verdict");
            } else {
                log::info!("store resumed reason=probe_verdict");
            }
        }
    }

    /// Moves to the new address of the store. Open calls get their replies on their connections,
    /// and new calls go to the new address.
    pub(crate) fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.set(address) {
            self.sweep();
        }
        // Without a store, queued calls fail.
        if address.is_none() {
            let queued_calls = self.pool.lock().take_queued();
            for call in queued_calls {
                self.report(&call.request, Outcome::Unreachable, Bytes::default());
            }
        }
    }

    /// Makes call `number` of a request; the calls of a request are numbered from 1. The outcome is
    /// reported to the registry.
    pub(crate) fn call(
        self: &Arc<Self>,
        id: &RequestId,
        number: usize,
        timeout: Duration,
        body: &Bytes,
    ) {
        let address = self
            .address
            .get()
            .filter(|_| !self.is_suspended.load(Ordering::Acquire));
        let Some(address) = address else {
            return self.report(id, Outcome::Unreachable, Bytes::default());
        };
        let call = Call {
            request: id.clone(),
            number,
            bytes: protocol::encode_call(id, timeout, body),
        };
        let mut pool = self.pool.lock();
        pool.close_idle(Some(address));
        match pool.place(id, self.max_connections) {
            Placement::Idle(connection) => pool.assign(connection, call),
            Placement::NewConnection => self.open(&mut pool, address, call),
            Placement::Queue => pool.enqueue(call),
        }
    }

    fn open(self: &Arc<Self>, pool: &mut ConnectionPool, address: SocketAddr, call: Call) {
        let connection = pool.insert(address, call);
        let client = self.clone();
        spawn(move || client.run(address, connection));
    }

    /// Abandons call `number` of a request, and returns its outcome as far as it is known. Closes
    /// the connection of the call: this cancels the call at the store, and a late reply cannot be
    /// taken as the reply to another call.
    pub(crate) fn abandon_call(&self, id: &RequestId, number: usize) -> Outcome {
        let outcome = self.pool.lock().abandon_call(id, number);
        if outcome == pool::AbandonedCall::Unanswered
            && let Some(count) = CALL_TIMEOUTS.count_event()
        {
            log::warn!("store call timed out count={count}");
        }
        outcome.into()
    }

    /// Closes connections that have been idle for `IDLE_TIMEOUT`, and idle connections to an
    /// earlier address of the store.
    pub(crate) fn sweep(&self) {
        let address = self.address.get();
        self.pool.lock().close_idle(address);
    }

    fn report(&self, id: &str, outcome: Outcome, reply: Bytes) {
        self.registry
            .report(id, RequestEvent::CallFinished { outcome, reply });
    }
}
