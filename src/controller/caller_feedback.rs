//! The inputs of the rules on what callers are asked.

use std::time::Duration;

use super::Controller;
use crate::action::Action;
use crate::caller_feedback::{
    FeedbackInput, FleetSample, RejectedRequest, RetryAfterInput, ServerState, WantedTrafficInput,
};
use crate::clock::CONTROL_INTERVAL;
use crate::event::RequestIndex;
use crate::idle_timeout::{ConnectionLoad, STORM_WINDOW};
use crate::metrics::Metric;

impl Controller {
    pub(super) fn update_wanted_traffic(&mut self) {
        self.wanted_traffic.update(&WantedTrafficInput {
            mean_unread_seconds: self.metrics.mean_unread_seconds(CONTROL_INTERVAL),
            setpoint_seconds: self.brownout.setpoint_seconds(),
            rejected_fraction: self.metrics.rejected_fraction(),
            mean_reading_cores: self.metrics.mean_per_tick(Metric::ReadingCores),
            cores: self.cores.cores,
        });
    }

    pub(super) fn update_idle_timeout(&mut self, open_connections: f64, out: &mut Vec<Action>) {
        let changed = self.idle_timeout.update(&ConnectionLoad {
            open_connections,
            callers: self.feedback.callers(),
            cores: self.cores.cores,
            arrived: self.metrics.sum_over(Metric::Arrived, STORM_WINDOW),
            completed: self.metrics.sum_over(Metric::Completed, STORM_WINDOW),
            mean_reading_cores: self.metrics.mean_per_tick(Metric::ReadingCores),
            mean_busy_fraction: self.metrics.mean_per_tick(Metric::CoresBusy),
        });
        out.extend(changed.map(|timeout| Action::SetIdleTimeout { timeout }));
    }

    pub(super) fn send_feedback(&mut self, out: &mut Vec<Action>) {
        let changed = self.feedback.update(&FeedbackInput {
            is_draining: self.drain.callers_should_leave(self.clock.now()),
            is_failing: self.high_failure_fraction() > 0.0,
            slowdown_traffic_fraction: self.slowdown.traffic_fraction(),
            wanted_traffic_fraction: self.wanted_traffic.fraction(),
            warm_concurrency: self.survivable_concurrency.warm(),
            cores: self.cores.cores,
        });
        out.extend(changed.map(|value| Action::SetFeedback { value }));
    }

    pub(super) fn retry_after(&self) -> Option<Duration> {
        RetryAfterInput {
            max_retry_after: self.max_retry_after,
            min_retry_after: self.schedule.tick_interval,
            is_degraded: self.is_degraded(),
            queued_work_seconds: self.requests.queued().map(|request| request.work).sum(),
            slowdown: self.slowdown.measured(),
            running_limit: self.running_limit.value(),
        }
        .retry_after()
    }

    pub(super) fn should_retry_other_server(&self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let rejected = RejectedRequest {
            is_over_quota: request.is_over_quota,
            is_retry: request.is_retry,
            objective: request.objective_at.saturating_sub(request.arrived_at),
            time_left: request.objective_at.saturating_sub(self.clock.now()),
        };
        let server = ServerState {
            is_draining: self.drain.has_started(),
            is_failing: self.high_failure_fraction() > 0.0,
            is_degraded: self.is_degraded(),
        };
        let fleet = FleetSample {
            retries_are_marked: self.retries_are_marked,
            arrived: self.metrics.recent(Metric::Arrived),
            retries: self.metrics.recent(Metric::Retries),
            rejected: self.metrics.recent(Metric::Rejected),
        };
        rejected.should_retry_other_server(&server, &fleet)
    }
}
