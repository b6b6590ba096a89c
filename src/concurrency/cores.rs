//! The cores and their use at the last tick.

use crate::event::Gauges;

/// Busy fraction at which the cores count as busy.
const BUSY_FRACTION: f64 = 0.9;

/// Readings of the last tick.
pub(crate) struct CoreUsage {
    /// The number of cores.
    pub(crate) cores: f64,
    /// The fraction of the cores that is busy.
    pub(crate) busy_fraction: f64,
    /// Cores in demand for anything but runs, above all for reading.
    pub(crate) reading_cores: f64,
}

impl CoreUsage {
    /// Idle cores.
    pub(crate) fn new(cores: u32) -> Self {
        CoreUsage {
            cores: f64::from(cores),
            busy_fraction: 0.0,
            reading_cores: 0.0,
        }
    }

    /// Stores the readings of a tick. If the host measures no busy fraction, the cores count as
    /// busy once runs fill them.
    pub(crate) fn update(&mut self, gauges: &Gauges, running: f64) {
        let runs_fill_cores = running >= self.cores;
        self.busy_fraction =
            gauges
                .busy_fraction
                .unwrap_or(if runs_fill_cores { 1.0 } else { 0.0 });
        self.reading_cores = gauges
            .runnable
            .map_or(0.0, |runnable| (runnable - running).max(0.0));
    }

    /// Whether nearly all cores are busy.
    pub(crate) fn are_busy(&self) -> bool {
        self.busy_fraction >= BUSY_FRACTION
    }
}
