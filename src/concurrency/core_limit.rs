//! How many runs may use the cores while the server reads requests.
//!
//! In a flood, reading and rejecting requests demand more cores than the server has. Runs that
//! compete with reading starve it: requests then wait unread until they are late, and the server
//! answers none in time. Runs are therefore limited to the cores that reading leaves, but to no
//! less than 0.34 of the cores. With a backlog of unread requests, runs get only the cores that
//! reading leaves, which may be none, because until reading has caught up, requests are already
//! late when they are read. If no request completes within the measurement window (2 s), reading
//! does not catch up, and runs get 0.34 of the cores again. The rule has no effect while reading
//! leaves enough cores. The cost is that connections or health checks which demand a core for long
//! count as reading.
//!
//! Compare: J. Mogul, K. Ramakrishnan, "Eliminating receive livelock in an interrupt-driven kernel"
//! (1997).

/// Fraction of the cores that runs keep despite reading, unless there is a backlog of unread
/// requests and some requests complete.
const MIN_RUNNING_CORE_FRACTION: f64 = 0.34;

/// Mean unread time, as a fraction of the response time setpoint, above which there is a backlog of
/// unread requests.
const READ_BACKLOG_SETPOINT_FRACTION: f64 = 0.5;

/// The input of the limit.
pub(crate) struct CoreLimitInput {
    /// The number of cores.
    pub(crate) cores: f64,
    /// Cores in demand for reading.
    pub(crate) reading_cores: f64,
    /// Mean seconds that the latest arrivals waited unread.
    pub(crate) mean_unread_seconds: f64,
    /// The mean response time to reach.
    pub(crate) setpoint_seconds: f64,
    /// Requests that completed recently.
    pub(crate) completed: f64,
    /// Requests that may be on the cores at once.
    pub(crate) running_limit: f64,
}

impl CoreLimitInput {
    /// Requests that may be on the cores now.
    pub(crate) fn limit(&self) -> f64 {
        let spare_cores = self.cores - self.reading_cores;
        let limit = if self.has_read_backlog() {
            spare_cores
        } else {
            spare_cores.max(self.cores * MIN_RUNNING_CORE_FRACTION)
        };
        limit.min(self.running_limit)
    }

    fn has_read_backlog(&self) -> bool {
        let backlog_seconds = READ_BACKLOG_SETPOINT_FRACTION * self.setpoint_seconds;
        self.mean_unread_seconds > backlog_seconds && self.completed > 0.0
    }
}
