//! The fraction of the usual traffic that this server wants.
//!
//! What stands unread cannot be rejected, and reading it takes the cores from what can still be in
//! time: only callers that send less help. The rule binds in a flood, with uneven callers and on a
//! server that has become slow. It shows as requests that are old when they are read, or as cores
//! that go into reading what is then rejected. The fraction falls in proportion to the time unread,
//! or a little at a time where reading is wasted, and recovers in even steps. The price: callers
//! that were told less send less for some steps after the flood.
//!
//! It is additive increase, multiplicative decrease: D. Chiu, R. Jain, "Analysis of the increase
//! and decrease algorithms for congestion avoidance in computer networks" (1989).

use crate::config::CallerFeedback;

/// Mean time unread, as a fraction of the response time setpoint, above which less is wanted.
const MAX_UNREAD_SETPOINT_FRACTION: f64 = 0.15;

/// Least factor by which one control step cuts the wanted traffic for time unread.
const MIN_CUT_FACTOR: f64 = 0.5;

/// Fraction of the cores spent on reading what is rejected, above which less is wanted.
const MAX_WASTED_CORE_FRACTION: f64 = 0.04;

/// The same fraction for a traffic weight, which ignores priorities and is therefore cut later.
const MAX_WASTED_CORE_FRACTION_BY_WEIGHT: f64 = 0.08;

/// Factor by which one control step cuts the wanted traffic for wasted reading.
const WASTE_CUT_FACTOR: f64 = 0.9;

/// Fraction of the usual traffic by which a control step recovers.
const RECOVERY_STEP: f64 = 0.05;

/// Least fraction of the usual traffic that is wanted.
const MIN_TRAFFIC_FRACTION: f64 = 0.1;

/// What one control step follows from.
pub(crate) struct WantedTrafficInput {
    /// Mean time that arrivals since the last step stood unread.
    pub(crate) mean_unread_seconds: f64,
    /// The mean response time to reach.
    pub(crate) setpoint_seconds: f64,
    /// The fraction of recent arrivals that was rejected at once.
    pub(crate) rejected_fraction: f64,
    /// Mean number of cores wanted by reading.
    pub(crate) mean_reading_cores: f64,
    /// The number of cores.
    pub(crate) cores: f64,
}

/// State of the rule.
pub(crate) struct WantedTraffic {
    /// From [`MIN_TRAFFIC_FRACTION`] to 1.
    fraction: f64,
    max_wasted_core_fraction: f64,
}

impl WantedTraffic {
    /// All of the usual traffic is wanted.
    pub(crate) fn new(feedback: CallerFeedback) -> Self {
        let max_wasted_core_fraction = match feedback {
            CallerFeedback::TrafficWeight => MAX_WASTED_CORE_FRACTION_BY_WEIGHT,
            CallerFeedback::None
            | CallerFeedback::PriorityThreshold
            | CallerFeedback::ConcurrencyCredit => MAX_WASTED_CORE_FRACTION,
        };
        WantedTraffic {
            fraction: 1.0,
            max_wasted_core_fraction,
        }
    }

    /// The fraction of the usual traffic that is wanted.
    pub(crate) fn fraction(&self) -> f64 {
        self.fraction
    }

    /// One control step.
    pub(crate) fn update(&mut self, input: &WantedTrafficInput) {
        let cut = self.cut_factor(input);
        let recovery = if cut < 1.0 { 0.0 } else { RECOVERY_STEP };
        let wanted = self.fraction * cut + recovery;
        self.fraction = wanted.clamp(MIN_TRAFFIC_FRACTION, 1.0);
    }

    fn cut_factor(&self, input: &WantedTrafficInput) -> f64 {
        let max_unread_seconds = MAX_UNREAD_SETPOINT_FRACTION * input.setpoint_seconds;
        let wasted_core_fraction = input.rejected_fraction * input.mean_reading_cores / input.cores;
        if input.mean_unread_seconds > max_unread_seconds {
            (max_unread_seconds / input.mean_unread_seconds).max(MIN_CUT_FACTOR)
        } else if wasted_core_fraction > self.max_wasted_core_fraction {
            WASTE_CUT_FACTOR
        } else {
            1.0
        }
    }
}
