//! Counts of requests by what became of them.

/// What became of requests since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RequestCounts {
    pub(super) received: u64,
    pub(super) completed: u64,
    pub(super) rejected: u64,
    pub(super) failed: u64,
    /// Their callers were gone first.
    pub(super) abandoned: u64,
    pub(super) open: usize,
}

impl RequestCounts {
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
