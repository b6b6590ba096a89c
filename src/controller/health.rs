//! The server's view of itself: its pace, its failures and whether another server would do better.

use super::Controller;
use super::tuning::{
    DEGRADED_PACE_FACTOR, HIGH_FAILURE_FRACTION, MIN_FAILURES, PACE_GAIN, PACE_LEARNING_TIME,
    PACE_PRIOR_REQUESTS, SLOWER_PACE_GAIN,
};
use crate::metrics::Metric;
use crate::request::Stage;

impl Controller {
    /// Measures seconds on a core for a unit of work, from recent runs and from those that run
    /// longer.
    pub(super) fn update_pace(&mut self) {
        let mut core_time = self.metrics.recent(Metric::CoreTime);
        let mut work = self.metrics.recent(Metric::Work);
        for request in self.requests.in_stage(Stage::Running) {
            let so_far = request.core_time + self.clock.awake_seconds() - request.running_since;
            if so_far > request.work * self.pace.measured {
                core_time += so_far;
                work += request.work;
            }
        }
        // Few requests with rough estimates show little: on a small server two long ones would make
        // it look degraded, and it would reject with idle cores. The usual pace counts as so many
        // requests more, and is all that counts once nothing runs: a server that hung would
        // otherwise reject for ever. The price is that a slow server is noticed later.
        let prior = PACE_PRIOR_REQUESTS * self.metrics.mean_work_seconds();
        let pace = &mut self.pace;
        pace.measured = (core_time + prior * pace.usual) / (work + prior);
        // A warm start learns in its first seconds how fast this machine is: a slow kind would
        // otherwise look degraded.
        let is_learning = self.capacity.warm_at == 0.0 && self.clock.now() < PACE_LEARNING_TIME;
        let is_better = pace.measured < pace.usual;
        let gain = if is_better || is_learning {
            PACE_GAIN
        } else {
            SLOWER_PACE_GAIN
        };
        pace.usual += gain * (pace.measured - pace.usual);
    }

    /// Whether this server does worse than it should, so that another would serve better.
    pub(super) fn is_degraded(&self) -> bool {
        let is_slow = self.pace.measured > DEGRADED_PACE_FACTOR * self.pace.usual;
        self.drain.is_some() || self.high_failure_fraction() > 0.0 || is_slow
    }

    /// The fraction of recent runs that failed if it is so high that other servers are likely to do
    /// better, and 0 otherwise; what is still admitted shows when the fault is over. Guards against
    /// a server that fails fast and so attracts more than its share. It does harm where every
    /// server fails alike: a rejected request then finds no better one.
    pub(super) fn high_failure_fraction(&self) -> f64 {
        let failed = self.metrics.recent(Metric::Failed);
        let completed = self.metrics.recent(Metric::Completed);
        let fraction = failed / (failed + completed).max(1.0);
        if failed >= MIN_FAILURES && fraction > HIGH_FAILURE_FRACTION {
            fraction
        } else {
            0.0
        }
    }
}
