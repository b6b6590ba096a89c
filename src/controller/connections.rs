//! The connection table: when idle connections are closed.

use super::Controller;
use super::tuning::{
    IDLE_TIMEOUT_CUT, IDLE_TIMEOUT_RECOVERY, IDLE_TIMEOUT_RISE, MIN_IDLE_TIMEOUT,
    SATURATED_CONNECTIONS_PER_CORE, STARVED_BUSY_FRACTION, STORM_ARRIVALS_PER_COMPLETION,
    STORM_READERS_PER_CORE,
};
use crate::action::Action;
use crate::clock::seconds;
use crate::metrics::{MEASUREMENT_WINDOW, Metric};

impl Controller {
    /// Closes idle connections at once while they saturate the table, until connecting and reading
    /// in vain drown what runs: then it lets the table fill, until the cores starve behind it.
    /// Guards against many callers that each come rarely: the connections they leave open shut
    /// others out and cost cores. In a retry storm a full table is the cheapest limit, as opening a
    /// connection costs too; half full it shuts nobody out. It does harm where the table is far
    /// larger than that: callers then connect anew.
    pub(super) fn adjust_idle_timeout(&mut self, open_connections: f64, out: &mut Vec<Action>) {
        let cores = self.cores.cores;
        let is_above_limit = open_connections > SATURATED_CONNECTIONS_PER_CORE * cores;
        let is_saturated = is_above_limit && open_connections * 2.0 < self.feedback.callers;
        let arrived = self
            .metrics
            .sum_over(Metric::Arrived, MEASUREMENT_WINDOW * 2);
        let completed = self
            .metrics
            .sum_over(Metric::Completed, MEASUREMENT_WINDOW * 2);
        let is_storm = arrived / completed.max(1.0) > STORM_ARRIVALS_PER_COMPLETION
            && self.metrics.mean_per_tick(Metric::ReadingCores) > STORM_READERS_PER_CORE * cores;
        if is_storm {
            self.connections.is_left_to_fill = true;
        } else if is_saturated
            && self.metrics.mean_per_tick(Metric::CoresBusy) < STARVED_BUSY_FRACTION
        {
            self.connections.is_left_to_fill = false;
        }
        let factor = match (self.connections.is_left_to_fill, is_saturated) {
            (true, _) => IDLE_TIMEOUT_RISE,
            (false, true) => IDLE_TIMEOUT_CUT,
            (false, false) => IDLE_TIMEOUT_RECOVERY,
        };
        let longest = self.connections.max_idle_timeout;
        let timeout = seconds(self.connections.idle_timeout.as_secs_f64() * factor);
        let timeout = timeout.clamp(MIN_IDLE_TIMEOUT.min(longest), longest);
        if timeout != self.connections.idle_timeout {
            self.connections.idle_timeout = timeout;
            out.push(Action::SetIdleTimeout { timeout });
        }
    }
}
