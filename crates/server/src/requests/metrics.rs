//! Counts of requests by outcome, and the longest delays of their stages.

use std::time::Duration;

/// The numbers of requests since the start, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RequestCounts {
    pub(super) received: u64,
    pub(super) completed: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Requests whose callers were gone before the final response.
    pub(super) abandoned: u64,
    pub(super) open: usize,
}

/// The outcome by which a request is counted once it has its final response.
#[derive(Clone, Copy)]
pub(super) enum FinalOutcome {
    Completed,
    Rejected,
    Failed,
    /// The caller was gone before the final response.
    Abandoned,
}

impl RequestCounts {
    /// Counts a request that has its final response.
    pub(super) fn count(&mut self, outcome: FinalOutcome) {
        let count = match outcome {
            FinalOutcome::Completed => &mut self.completed,
            FinalOutcome::Rejected => &mut self.rejected,
            FinalOutcome::Failed => &mut self.failed,
            FinalOutcome::Abandoned => &mut self.abandoned,
        };
        *count += 1;
    }

    /// Logs the counts.
    pub(crate) fn log(&self) {
        let RequestCounts {
            received,
            completed,
            rejected,
            failed,
            abandoned,
            open,
        } = self;
        log::info!(
            "requests summary received={received} completed={completed} rejected={rejected} \
             failed={failed} abandoned={abandoned} open={open}"
        );
    }
}

/// The longest delay of each stage of a request. The delays show whether requests wait in the queue
/// of this server or for the executor.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LongestDelays {
    /// From the registration of a request to the start of its run.
    pub(super) queued: Duration,
    /// From the start of a run to its end, dependency calls included.
    pub(super) run: Duration,
}

impl LongestDelays {
    pub(super) fn record_queued(&mut self, delay: Duration) {
        self.queued = self.queued.max(delay);
    }

    pub(super) fn record_run(&mut self, delay: Duration) {
        self.run = self.run.max(delay);
    }

    /// Logs the delays.
    pub(crate) fn log(&self) {
        let (queued, run) = (self.queued.as_millis(), self.run.as_millis());
        log::info!("requests delays max_queued_ms={queued} max_run_ms={run}");
    }
}
