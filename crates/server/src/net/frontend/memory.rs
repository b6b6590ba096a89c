//! The limit on open requests that follows from the memory of this process.
//!
//! Failure: the controller decides on a request only once it is registered, and a registered
//! request takes memory until its run has ended. Without a limit, the system would kill the process
//! in a flood of requests, and every open request would be lost.
//!
//! Protection: a request beyond the limit is rejected without being registered, which costs one
//! reply. Such a request is rejected regardless of its priority. The controller has a separate
//! limit on the kilobytes that requests state (`admission/memory.rs` of the library).

/// The maximum memory of one open request, in kilobytes: the touched pages of its coroutine's
/// stack, its body and its result.
const OPEN_REQUEST_KB: f64 = 24.0;
/// The fraction of this process's memory that open requests may take.
const OPEN_REQUESTS_MEMORY_FRACTION: f64 = 0.45;

/// The limit on open requests.
pub(super) struct MemoryLimit {
    max_open_requests: usize,
}

impl MemoryLimit {
    /// The limit for a process that may take `memory_mb` megabytes.
    pub(super) fn new(memory_mb: f64) -> Self {
        let max_open_requests =
            memory_mb * OPEN_REQUESTS_MEMORY_FRACTION * 1024.0 / OPEN_REQUEST_KB;
        MemoryLimit {
            max_open_requests: max_open_requests as usize,
        }
    }

    /// Whether another request may be registered while `open_requests` are open.
    pub(super) fn admits(&self, open_requests: usize) -> bool {
        open_requests < self.max_open_requests
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
