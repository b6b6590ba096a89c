//! What callers are told: how much to send here, when to come back, and whether to try another
//! server.

use std::time::Duration;

use super::Controller;
use super::tuning::{
    EXTRA_CREDIT_PER_CORE, MAX_REJECTED_FRACTION, MAX_RETRY_FRACTION, MAX_WASTED_FRACTION,
    MAX_WASTED_FRACTION_BY_WEIGHT, MIN_CREDIT_PER_CORE, MIN_TRAFFIC_FRACTION, TRAFFIC_CUT_ON_WASTE,
    TRAFFIC_RECOVERY_STEP, UNREAD_SETPOINT_FRACTION,
};
use crate::action::Action;
use crate::clock::{CONTROL_INTERVAL, seconds};
use crate::config::CallerFeedback;
use crate::event::RequestIndex;
use crate::metrics::Metric;

/// The fraction of the cores that may go into reading what is rejected. Credit moves traffic
/// elsewhere and a threshold spares high priorities; a weight ignores priorities, so it is cut
/// later.
pub(super) fn max_wasted_fraction(feedback: CallerFeedback) -> f64 {
    match feedback {
        CallerFeedback::TrafficWeight => MAX_WASTED_FRACTION_BY_WEIGHT,
        _ => MAX_WASTED_FRACTION,
    }
}

impl Controller {
    /// What stands unread cannot be rejected here, and reading it takes the cores from what can be
    /// in time: only callers that send less help. Guards against floods, uneven callers and a
    /// server grown slow.
    pub(super) fn update_wanted_traffic(&mut self) {
        let unread = self.metrics.mean_unread_seconds(CONTROL_INTERVAL);
        let bearable = UNREAD_SETPOINT_FRACTION * self.brownout.setpoint_seconds();
        // Reading what is then rejected costs cores too; where that is much, callers should not
        // send it.
        let rejected = self.metrics.rejected_fraction();
        let wasted = rejected * self.metrics.mean_per_tick(Metric::ReadingCores) / self.cores.cores;
        let factor = if unread > bearable {
            (bearable / unread).max(0.5)
        } else if wasted > self.feedback.max_wasted_fraction {
            TRAFFIC_CUT_ON_WASTE
        } else {
            1.0
        };
        let recovery = if factor < 1.0 {
            0.0
        } else {
            TRAFFIC_RECOVERY_STEP
        };
        let wanted = self.feedback.wanted_traffic * factor + recovery;
        self.feedback.wanted_traffic = wanted.clamp(MIN_TRAFFIC_FRACTION, 1.0);
    }

    /// Tells callers how much to send here, where they can be told and it has changed.
    pub(super) fn send_feedback(&mut self, out: &mut Vec<Action>) {
        let is_failing = self.high_failure_fraction() > 0.0;
        let willingness = match self.drain {
            Some(ref drain) if self.clock.now() >= drain.welcome_until => 0.0,
            _ if is_failing => 0.0,
            _ => self
                .slowdown
                .traffic_fraction()
                .min(self.feedback.wanted_traffic),
        };
        let value = match self.feedback.kind {
            CallerFeedback::TrafficWeight => willingness,
            CallerFeedback::PriorityThreshold => 1.0 - willingness,
            CallerFeedback::ConcurrencyCredit if is_failing => 0.0,
            CallerFeedback::ConcurrencyCredit if willingness >= 1.0 => {
                self.survivable_concurrency.warm()
            }
            CallerFeedback::ConcurrencyCredit => {
                let credit = MIN_CREDIT_PER_CORE + EXTRA_CREDIT_PER_CORE * willingness;
                self.cores.cores * credit / self.feedback.callers
            }
            CallerFeedback::None => return,
        };
        let value = (value * 20.0).round() / 20.0;
        if value != self.feedback.last_value {
            self.feedback.last_value = value;
            out.push(Action::SetFeedback { value });
        }
    }

    /// When a rejected caller should come back to this server, where callers can be told: once what
    /// is queued now has run, and as late as callers honour while this server is degraded or
    /// draining. Guards against a retry that comes at once to a server as full as before, and costs
    /// another reading.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        let longest = self.feedback.max_retry_after?;
        if self.is_degraded() {
            return Some(longest);
        }
        let work: f64 = self.requests.queued().map(|request| request.work).sum();
        let until_done = seconds(work * self.slowdown.measured() / self.running_limit.value());
        Some(until_done.clamp(self.schedule.tick_interval, longest))
    }

    /// Whether a rejected request is worth an attempt elsewhere. With few retries among arrivals,
    /// and most of them admitted, other servers still admit what this one rejects. Otherwise the
    /// fleet is full, and one more attempt only costs a reading. Unmarked retries are not seen:
    /// there only a server that is draining or failing sends requests elsewhere. Guards against
    /// retry storms; does harm on the only full server.
    pub(super) fn should_retry_other_server(&self, index: RequestIndex) -> bool {
        let request = &self.requests[index];
        let objective = request.objective_at.saturating_sub(request.arrived_at);
        let has_time_left = objective / 2 < request.objective_at.saturating_sub(self.clock.now());
        if request.is_over_quota || request.is_retry || !has_time_left {
            return false;
        }
        let is_impaired = self.drain.is_some() || self.high_failure_fraction() > 0.0;
        is_impaired
            || self.feedback.retries_are_marked && (self.is_degraded() || self.fleet_has_room())
    }

    fn fleet_has_room(&self) -> bool {
        // One retry or rejection among the few that arrive in a window proves nothing.
        let arrived = self.metrics.recent(Metric::Arrived);
        let is_rare =
            |metric: Metric, fraction: f64| self.metrics.recent(metric) <= fraction * arrived + 1.0;
        is_rare(Metric::Retries, MAX_RETRY_FRACTION)
            && is_rare(Metric::Rejected, MAX_REJECTED_FRACTION)
    }
}
