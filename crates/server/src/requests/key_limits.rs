//! The limits on remembered idempotency keys and results that follow from the memory of this
//! process.
//!
//! Failure: a caller whose keyed requests are served at full speed, each with a new key, fills the
//! memory of the process with keys and results, and the system kills the process.
//!
//! Protection: keys and results have a fraction of the memory each. A key that is remembered is
//! never forgotten before its time, because its request could then have its effect twice; if there
//! is no room for another key, a new keyed request is rejected before it is run. Results may be
//! forgotten: a duplicate of a request whose result is forgotten fails.
//!
//! Cost: with much traffic of keyed requests, or long retention times, some are rejected although
//! the executor has capacity for them.

/// The fraction of this process's memory that remembered keys may take.
const KEYS_MEMORY_FRACTION: f64 = 0.1;
/// The fraction of this process's memory that remembered results may take.
const RESULTS_MEMORY_FRACTION: f64 = 0.1;
/// The maximum memory of a remembered key without its result, in bytes: its entry and its expiry,
/// each with the unused part of its tree node.
pub(super) const KEY_BYTES: usize = 352;
/// The memory of a remembered result besides its bytes: the allocation and its place in the order.
pub(super) const RESULT_OVERHEAD_BYTES: usize = 96;

/// The limits on remembered keys and results.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyLimits {
    /// The maximum number of remembered keys.
    pub(super) max_keys: usize,
    /// The maximum memory of remembered results, in bytes.
    pub(super) max_result_bytes: usize,
}

impl KeyLimits {
    /// The limits for a process that may take `memory_mb` megabytes.
    pub(crate) fn for_memory(memory_mb: f64) -> Self {
        let memory_bytes = memory_mb * 1024.0 * 1024.0;
        KeyLimits {
            max_keys: (memory_bytes * KEYS_MEMORY_FRACTION) as usize / KEY_BYTES,
            max_result_bytes: (memory_bytes * RESULTS_MEMORY_FRACTION) as usize,
        }
    }
}
