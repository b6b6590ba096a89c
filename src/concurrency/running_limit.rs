//! The running limit: how many requests may be on the cores at once.
//!
//! More runs than cores only take turns: each ends later and none sooner. Runs that wait for
//! something on their core leave it idle, though, so the limit grows by one at each control step
//! (0.5 s) while cores idle with requests queued, and falls by one otherwise. Cores idle while less
//! than 0.9 of them were busy at the last tick (`cores.rs`). The limit stays between the number of
//! cores and the usable part of the survivable concurrency. Where that part is less than the number
//! of cores the limit is the number of cores, and `survivable.rs` holds starts back. The price:
//! after a change of load it takes a few steps to fit.

/// Requests by which a control step moves the limit.
const STEP: f64 = 1.0;

/// The limit, in requests.
pub(crate) struct RunningLimit {
    cores: f64,
    value: f64,
}

impl RunningLimit {
    /// One request on each core.
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

    /// One control step; `usable_concurrency` is the largest limit, but for the number of cores.
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
