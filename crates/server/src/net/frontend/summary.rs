//! What the frontend counts, for the log.

use crate::log::LogLimit;

/// Messages that could not be decoded or had invalid fields, each once, and requests whose
/// idempotency key was known with another body.
pub(super) static MALFORMED_MESSAGES: LogLimit = LogLimit::new();
/// Requests that were rejected because no memory was left for them.
pub(super) static REJECTED_WITHOUT_MEMORY: LogLimit = LogLimit::new();

/// What the frontend has counted since the start, and the connections that are open now.
pub(crate) struct FrontendSummary {
    pub(super) connections: usize,
    pub(super) malformed_messages: u64,
    pub(super) rejected_without_memory: u64,
    pub(super) invariants_violated: u64,
}

impl FrontendSummary {
    /// Logs the counts.
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
