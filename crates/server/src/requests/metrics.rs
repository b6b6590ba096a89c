//! Counts of requests by their outcome.

/// The requests since the start, by their outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RequestCounts {
    pub(super) received: u64,
    pub(super) completed: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Those whose callers were gone before their final response.
    pub(super) abandoned: u64,
    pub(super) open: usize,
}

/// How a request counts once it has its final response.
#[derive(Clone, Copy)]
pub(super) enum FinalOutcome {
    Completed,
    Rejected,
    Failed,
    /// Its caller was gone before.
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
