//! How many runs the cores bear beside the reading of requests.
//!
//! In a flood, reading and rejecting take more of the cores than there are. Runs that compete with
//! it starve it: requests then stand unread until they are late, and the server answers nothing in
//! time. So runs give way to what reading wants, down to 0.34 of the cores. With a backlog of
//! unread requests they get only the cores that reading leaves, which may be none, because what is
//! read is late already until reading has caught up. Where nothing completes for a whole window it
//! does not catch up, and runs get their 0.34 again. At rest the rule never binds. The price:
//! connections or health checks that want a core for long count as reading.
//!
//! Compare: J. Mogul, K. Ramakrishnan, "Eliminating receive livelock in an interrupt-driven kernel"
//! (1997).

/// Fraction of the cores that runs keep beside reading, unless there is a backlog of unread
/// requests and some complete.
const MIN_RUNNING_CORE_FRACTION: f64 = 0.34;

/// Mean time unread, as a fraction of the response time setpoint, above which there is a backlog of
/// unread requests.
const READ_BACKLOG_SETPOINT_FRACTION: f64 = 0.5;

/// What the limit follows from.
pub(crate) struct CoreLimitInput {
    /// The number of cores.
    pub(crate) cores: f64,
    /// Cores wanted by reading.
    pub(crate) reading_cores: f64,
    /// Mean time that the last arrivals stood unread.
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
