//! The store, the dependency that runs call: a bounded pool of connections, each with one open call
//! at a time. Idle connections are closed before the store closes them.
//!
//! | file | job |
//! | --- | --- |
//! | `mod` | calls, and moving when the store moves |
//! | `pool` | placing calls on connections |
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

/// The client side of the store. It owns the connection pool; the end of each call is reported to
/// the registry.
pub(crate) struct StoreClient {
    address: CurrentAddress<Option<SocketAddr>>,
    registry: Arc<RequestRegistry>,
    max_connections: usize,
    pool: Mutex<ConnectionPool>,
    /// Connections refused in a row.
    refused_in_a_row: AtomicU32,
    /// The zone's prober reports that the store is down: no call is attempted.
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
            refused_in_a_row: AtomicU32::new(0),
            is_suspended: AtomicBool::new(false),
        })
    }

    pub(crate) fn max_connections(&self) -> usize {
        self.max_connections
    }

    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.address.get()
    }

    /// The number of connections that were refused in a row.
    pub(crate) fn refused_in_a_row(&self) -> u32 {
        self.refused_in_a_row.load(Ordering::Relaxed)
    }

    /// A health check has found the store listening.
    pub(crate) fn health_check_succeeded(&self) {
        self.refused_in_a_row.store(0, Ordering::Relaxed);
    }

    /// Suspends calls while the store is down, or resumes them. A suspended call fails without
    /// being attempted.
    pub(crate) fn set_suspended(&self, is_down: bool) {
        if self.is_suspended.swap(is_down, Ordering::AcqRel) != is_down {
            if is_down {
                log::info!("store suspended reason=probe_verdict");
            } else {
                log::info!("store resumed reason=probe_verdict");
            }
        }
    }

    /// Moves to the address at which the store listens from now on: open calls get their replies
    /// where they were made, and new ones go to the new address.
    pub(crate) fn move_to(&self, address: Option<SocketAddr>) {
        if self.address.set(address) {
            self.sweep();
        }
        // Without a store, calls that wait for a connection fail.
        if address.is_none() {
            let waiting = self.pool.lock().take_waiting();
            for call in waiting {
                self.report(&call.request, Outcome::Unreachable, Bytes::default());
            }
        }
    }

    /// Makes the call of this number of a request.
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
            bytes: protocol::call(id, timeout, body),
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

    /// Gives up the call of this number of a request, and returns its outcome as far as it is
    /// known. Its connection is closed, which cancels the call at the store, and keeps a late reply
    /// from being taken for the reply to another call.
    pub(crate) fn give_up(&self, id: &RequestId, number: usize) -> Outcome {
        let outcome = self.pool.lock().give_up(id, number);
        if outcome == pool::AbandonedCall::Unanswered
            && let Some(count) = CALL_TIMEOUTS.pass()
        {
            log::warn!("store call timed out count={count}");
        }
        outcome.into()
    }

    /// Closes connections that are idle for long, or that lead to an earlier address of the store.
    pub(crate) fn sweep(&self) {
        let address = self.address.get();
        self.pool.lock().close_idle(address);
    }

    fn report(&self, id: &str, outcome: Outcome, reply: Bytes) {
        self.registry
            .report(id, RequestEvent::CallFinished { outcome, reply });
    }
}
