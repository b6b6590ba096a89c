//! Health checks. A shallow check reports whether the controller is healthy. A deep check also has
//! the executor run a test job, so that it detects an executor that hangs.

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

/// How long a deep check waits for its test job.
const DEEP_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers health checks.
pub(super) struct HealthChecks {
    registry: Arc<RequestRegistry>,
    executor: Arc<ExecutorClient>,
    table: Arc<ConnectionTable>,
    /// The server is draining: deep checks no longer wait for their test jobs.
    is_draining: AtomicBool,
}

impl HealthChecks {
    /// Creates the handler of health checks for the connections of `table`.
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

    /// Starts the drain: ends deep checks that wait for the executor, so that their connections can
    /// close. With an executor that hangs, they would otherwise occupy slots that connections in
    /// the backlog need.
    pub(super) fn start_drain(&self) {
        self.is_draining.store(true, Ordering::Release);
        self.executor.abandon_test_jobs();
    }

    /// Answers a shallow check at once, and starts a coroutine for a deep check.
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
        let is_healthy =
            self.registry.is_healthy() && (!is_deep || self.executor_completes_test_job());
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

    fn executor_completes_test_job(&self) -> bool {
        !self.is_draining.load(Ordering::Acquire)
            && self.executor.completes_test_job(DEEP_CHECK_TIMEOUT)
    }
}
