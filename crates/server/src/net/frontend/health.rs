//! Health checks.

use std::sync::atomic::Ordering;
use std::time::Duration;

use tulipgap_connection_limits::Event;

use super::Frontend;
use super::codec::Reply;
use super::connection::Connection;

/// The longest that a deep check waits for its work.
const DEEP_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

impl Frontend {
    /// Answers a health check; a deep one has work done, for a bounded time.
    pub(super) fn answer_health_check(&self, connection: &Connection, sequence: i32, deep: bool) {
        let is_healthy =
            self.registry.is_healthy() && (!deep || self.executor.does_work(DEEP_CHECK_TIMEOUT));
        let fields: Vec<_> = self.feedback_field().into_iter().collect();
        let reply = Reply::Result {
            body: &[],
            fields: &fields,
            succeeded: is_healthy,
        };
        connection.conclude("probe", sequence, &reply, |_| {
            connection.open_checks.fetch_sub(1, Ordering::AcqRel);
        });
        self.notify(Event::RequestFinished {
            connection: connection.id,
            is_answered: false,
        });
    }
}
