//! The inputs of the rules on this server's health.

use super::Controller;
use crate::health::{RunTimes, SlowdownSample, high_failure_fraction};
use crate::metrics::Metric;
use crate::request::Stage;

impl Controller {
    pub(super) fn update_slowdown(&mut self) {
        let sample = SlowdownSample {
            completed: RunTimes {
                core_seconds: self.metrics.recent(Metric::CoreTime),
                work_seconds: self.metrics.recent(Metric::Work),
            },
            mean_work_seconds: self.metrics.mean_work_seconds(),
            age: self.clock.now(),
            started_warm: self.survivable_concurrency.started_warm(),
        };
        let awake_seconds = self.clock.awake_seconds();
        let running = self
            .requests
            .in_stage(Stage::Running)
            .map(|request| RunTimes {
                core_seconds: request.core_time + awake_seconds - request.running_since,
                work_seconds: request.work,
            });
        self.slowdown.update(&sample, running);
    }

    /// The fraction of recent runs that failed if it is high, and 0 otherwise.
    pub(super) fn high_failure_fraction(&self) -> f64 {
        high_failure_fraction(
            self.metrics.recent(Metric::Failed),
            self.metrics.recent(Metric::Completed),
        )
    }

    /// Whether this server does worse than it should, so that another would serve better.
    pub(super) fn is_degraded(&self) -> bool {
        self.drain.has_started()
            || self.high_failure_fraction() > 0.0
            || self.slowdown.is_degraded()
    }
}
