//! Detection of a server that rejects everything although nothing runs.
//!
//! Each request of such a server has its answer in time, and health checks succeed, so only the
//! counts of completed and rejected requests would show it. The server logs it once nothing has run
//! for [`MAX_TIME_WITHOUT_RUNS`] in which it rejected requests. Requests that cannot be in time by
//! their own estimate, for example, cause the line without a fault of the server.

use std::time::{Duration, Instant};

use tulipgap::Reason;

/// How long an idle server may reject every request before that is logged: an idle server serves
/// ordinary traffic within this time (docs/design.md).
const MAX_TIME_WITHOUT_RUNS: Duration = Duration::from_secs(5);

/// Rejections since the last run ended.
#[derive(Default)]
pub(super) struct IdleRejections {
    first_at: Option<Instant>,
    rejected: u64,
    is_reported: bool,
}

/// Every request was rejected although nothing ran.
#[derive(Debug, PartialEq)]
pub(super) struct IdleRejectionReport {
    /// The time since the first of these rejections.
    pub(super) elapsed: Duration,
    /// The number of these rejections.
    pub(super) rejected: u64,
    /// The reason of the last one.
    pub(super) reason: Reason,
}

impl IdleRejections {
    /// Records that a run starts, ends or is in progress.
    pub(super) fn record_run(&mut self) {
        *self = IdleRejections::default();
    }

    /// Records a rejection. Returns a report once for each time without runs.
    pub(super) fn record_rejection(
        &mut self,
        now: Instant,
        reason: Reason,
    ) -> Option<IdleRejectionReport> {
        let first_at = *self.first_at.get_or_insert(now);
        self.rejected += 1;
        let elapsed = now.saturating_duration_since(first_at);
        if self.is_reported || elapsed < MAX_TIME_WITHOUT_RUNS {
            return None;
        }
        self.is_reported = true;
        Some(IdleRejectionReport {
            elapsed,
            rejected: self.rejected,
            reason,
        })
    }
}

impl IdleRejectionReport {
    /// Logs the report.
    pub(super) fn log(&self) {
        let IdleRejectionReport {
            elapsed,
            rejected,
            reason,
        } = self;
        let elapsed_ms = elapsed.as_millis();
        log::warn!(
            "requests rejected without any run elapsed_ms={elapsed_ms} rejected={rejected} reason={reason:?}"
        );
    }
}

#[cfg(test)]
#[path = "idle_rejections_tests.rs"]
mod tests;
