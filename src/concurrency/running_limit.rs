//! The running limit: how many requests may be on the cores at once.
//!
//! More runs than cores only share the cores: each run ends later and none ends sooner. Runs that
//! wait for something while they occupy a core leave it idle, however, so the limit grows by one at
//! each control step (0.5 s) while cores are idle and requests are queued, and falls by one
//! otherwise. Cores count as idle while less than 0.9 of them were busy at the last tick
//! (`cores.rs`). The limit stays between the number of cores and the usable part of the survivable
//! concurrency. If that part is less than the number of cores, the limit is the number of cores,
//! and `survivable.rs` limits the starts. The cost is that the limit takes a few steps to adapt
//! after a change of load.

/// Requests by which a control step changes the limit.
const STEP: f64 = 1.0;

/// The limit, in requests.
pub(crate) struct RunningLimit {
    cores: f64,
    value: f64,
}

impl RunningLimit {
    /// A limit of one request per core.
    pub(crate) fn new(cores: u32) -> Self {
        let cores = f64::from(cores);
        RunningLimit {
            cores,
            value: cores,
        }
    }

    /// Requests that may be on the cores at once.
    pub(crate) fn value(&self) -> f64 {
        self.value
    }

    /// One control step. The limit stays at or below `usable_concurrency`, unless the number of
    /// cores is higher.
    pub(crate) fn update(
        &mut self,
        has_queued_requests: bool,
        cores_are_busy: bool,
        usable_concurrency: f64,
    ) {
        let step = if has_queued_requests && !cores_are_busy {
            STEP
        } else {
            -STEP
        };
        let highest = usable_concurrency.max(self.cores);
        self.value = (self.value + step).clamp(self.cores, highest);
    }
}
