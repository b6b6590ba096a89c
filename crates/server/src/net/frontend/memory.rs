//! The limit on open requests that follows from this process's memory.
//!
//! The failure: the controller decides on a request only once it is registered, and a registered
//! request takes memory until its run has ended. In a flood beyond the limit the system would end
//! the process, and with it every request that is open. The guard: what is read beyond the limit is
//! rejected unregistered, at the cost of one reply. The price: such a request is rejected whatever
//! its priority. The controller has a limit of its own, by the kilobytes
//! that requests state (`admission/memory.rs` of the library).

/// What one open request takes at most, in kilobytes: its coroutine's stack as far as it is
/// touched, body and result.
const OPEN_REQUEST_KB: f64 = 24.0;
/// The fraction of this process's memory that open requests may take.
const OPEN_REQUESTS_MEMORY_FRACTION: f64 = 0.45;

/// The limit on open requests.
pub(super) struct MemoryLimit {
    max_open_requests: usize,
}

impl MemoryLimit {
    /// The limit of a process that may take `memory_mb` megabytes.
    pub(super) fn new(memory_mb: f64) -> Self {
        let max_open_requests =
            memory_mb * OPEN_REQUESTS_MEMORY_FRACTION * 1024.0 / OPEN_REQUEST_KB;
        MemoryLimit {
            max_open_requests: max_open_requests as usize,
        }
    }

    /// Whether another request may be registered beside those that are open.
    pub(super) fn admits(&self, open_requests: usize) -> bool {
        open_requests < self.max_open_requests
    }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
