//! When idle connections are closed.
//!
//! Many callers that rarely send requests leave connections open, which exclude other callers and
//! cost core time. While open connections saturate the connection table, the idle timeout falls at
//! each control step, and it recovers afterwards. In a retry storm the idle timeout rises instead,
//! so that the table fills: opening a connection costs more than the request on it. A full table
//! refuses connections at no cost, while a half-full table refuses none and costs core time. The
//! table stays full until it leaves the cores without enough work, which shows that the full table
//! now costs more than the storm. The cost of the rule is that callers reopen connections that they
//! would have kept, if the table is far larger than the saturation limit.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// Open connections per core above which the table may be saturated.
const SATURATED_CONNECTIONS_PER_CORE: f64 = 6.0;

/// Callers per open connection above which the table is saturated, because most callers have no
/// connection.
const MIN_CALLERS_PER_CONNECTION: f64 = 2.0;

/// Arrivals per completed request above which there may be a retry storm.
const STORM_ARRIVALS_PER_COMPLETION: f64 = 6.0;

/// Cores in demand for reading, per core, above which such a surplus of arrivals is a retry storm.
const STORM_READING_CORES_PER_CORE: f64 = 1.75;

/// Window over which arrivals are compared with completed requests.
pub(crate) const STORM_WINDOW: Duration = Duration::from_millis(4000);

/// Mean busy fraction of the cores below which a full table keeps too much work out.
const STARVED_BUSY_FRACTION: f64 = 0.4;

/// Factor of the idle timeout at each control step while the table is saturated.
const CUT_FACTOR: f64 = 0.3;

/// Factor of the idle timeout at each control step of a retry storm.
const STORM_RISE_FACTOR: f64 = 3.0;

/// Factor of the idle timeout at each other control step.
const RECOVERY_FACTOR: f64 = 1.02;

/// Shortest idle timeout, unless callers themselves close idle connections earlier.
const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(300);

/// The input of one control step.
pub(crate) struct ConnectionLoad {
    /// The number of open connections.
    pub(crate) open_connections: f64,
    /// The number of callers.
    pub(crate) callers: f64,
    /// The number of cores.
    pub(crate) cores: f64,
    /// Requests that arrived in [`STORM_WINDOW`].
    pub(crate) arrived: f64,
    /// Requests that completed in [`STORM_WINDOW`].
    pub(crate) completed: f64,
    /// Mean number of cores in demand for reading.
    pub(crate) mean_reading_cores: f64,
    /// Mean fraction of the cores that was busy.
    pub(crate) mean_busy_fraction: f64,
}

impl ConnectionLoad {
    fn is_saturated(&self) -> bool {
        self.open_connections > SATURATED_CONNECTIONS_PER_CORE * self.cores
            && self.open_connections * MIN_CALLERS_PER_CONNECTION < self.callers
    }

    fn is_retry_storm(&self) -> bool {
        self.arrived / self.completed.max(1.0) > STORM_ARRIVALS_PER_COMPLETION
            && self.mean_reading_cores > STORM_READING_CORES_PER_CORE * self.cores
    }

    fn cores_starve(&self) -> bool {
        self.mean_busy_fraction < STARVED_BUSY_FRACTION
    }
}

/// State of the rule.
pub(crate) struct IdleTimeout {
    timeout: Duration,
    /// The idle time after which callers close a connection themselves.
    max_timeout: Duration,
    /// A retry storm is in progress, so the table may stay full.
    is_storm: bool,
}

impl IdleTimeout {
    /// Connections are kept as long as callers keep them.
    pub(crate) fn new(max_timeout: Duration) -> Self {
        IdleTimeout {
            timeout: max_timeout,
            max_timeout,
            is_storm: false,
        }
    }

    /// One control step. Returns the new idle timeout if it has changed.
    pub(crate) fn update(&mut self, load: &ConnectionLoad) -> Option<Duration> {
        let is_saturated = load.is_saturated();
        if load.is_retry_storm() {
            self.is_storm = true;
        } else if is_saturated && load.cores_starve() {
            self.is_storm = false;
        }
        let factor = match (self.is_storm, is_saturated) {
            (true, _) => STORM_RISE_FACTOR,
            (false, true) => CUT_FACTOR,
            (false, false) => RECOVERY_FACTOR,
        };
        let timeout = duration_from_seconds(self.timeout.as_secs_f64() * factor);
        let timeout = timeout.clamp(MIN_IDLE_TIMEOUT.min(self.max_timeout), self.max_timeout);
        if timeout == self.timeout {
            return None;
        }
        self.timeout = timeout;
        Some(timeout)
    }
}
