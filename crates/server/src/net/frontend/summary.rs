//! The counters of the frontend, for the log.

use crate::log::LogLimit;

/// Counts messages that could not be decoded or are invalid, for example because of their method, a
/// field or a repeated id, and requests whose idempotency key was used before with another body.
/// Each message counts once.
pub(super) static MALFORMED_MESSAGES: LogLimit = LogLimit::new();
/// Counts requests that were rejected because the limit on open requests or on remembered
/// idempotency keys was reached.
pub(super) static REJECTED_WITHOUT_MEMORY: LogLimit = LogLimit::new();

/// The counters of the frontend since the start, and the number of open connections.
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
