//! Health checks. A shallow one reports the controller's verdict; a deep one also has the executor
//! do a piece of work, so that it notices an executor which hangs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use tulipgap_connection_limits::Event;

use super::codec::{self, Reply};
use super::connection::Connection;
use super::connection_table::ConnectionTable;
use crate::net::executor::ExecutorClient;
use crate::net::spawn;
use crate::requests::RequestRegistry;

/// How long a deep check waits for its work.
const DEEP_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers health checks.
pub(super) struct HealthChecks {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    table: Arc<ConnectionTable>,
    /// No deep check waits for its work any more.
    is_draining: AtomicBool,
}

impl HealthChecks {
    /// Health checks of the connections of `table`.
    pub(super) fn new(
        registry: Arc<RequestRegistry>,
        executor: Arc<ExecutorClient>,
        table: Arc<ConnectionTable>,
    ) -> Arc<Self> {
        Arc::new(HealthChecks {
            registry,
            executor,
            table,
            is_draining: AtomicBool::new(false),
        })
    }

    /// The drain begins: deep checks that wait for the executor end, and their connections with
    /// them. One that hangs would otherwise have them hold the places that requests wait for.
    pub(super) fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.executor.abandon_work();
    }

    /// Answers a shallow check at once, and starts a coroutine for a deep one.
    pub(super) fn handle(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        sequence: i32,
        is_deep: bool,
    ) {
        connection.open_checks.fetch_add(1, Ordering::AcqRel);
        self.table.notify(Event::RequestStarted {
            connection: connection.id,
        });
        if !is_deep {
            return self.answer(connection, sequence, is_deep);
        }
        let (checks, connection) = (self.clone(), connection.clone());
        spawn(move || checks.answer(&connection, sequence, is_deep));
    }

    fn answer(&self, connection: &Connection, sequence: i32, is_deep: bool) {
        let is_healthy = self.registry.is_healthy() && (!is_deep || self.executor_does_work());
        let feedback = self.registry.feedback().map(codec::feedback_field);
        let fields: Vec<_> = feedback.into_iter().collect();
        let reply = Reply::Result {
            body: &[],
            fields: &fields,
            succeeded: is_healthy,
        };
        connection.conclude(codec::HEALTH_CHECK, sequence, &reply, |_| {
            connection.open_checks.fetch_sub(1, Ordering::AcqRel);
        });
        self.table.notify(Event::RequestFinished {
            connection: connection.id,
            is_answered: false,
        });
    }

    fn executor_does_work(&self) -> bool {
        !self.is_draining.load(Ordering::Acquire) && self.executor.does_work(DEEP_CHECK_TIMEOUT)
    }
}
