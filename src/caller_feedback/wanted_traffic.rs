//! The fraction of the usual traffic that this server asks for.
//!
//! A server cannot reject a request that it has not read, and reading takes the cores from requests
//! that can still be in time. The overload therefore ends only if callers send less. The rule
//! applies in a flood, under an uneven load from callers, and on a server that has become slow. The
//! overload shows as requests that are old when they are read, or as cores that read requests which
//! are then rejected. The longer requests wait unread, the more a control step cuts the fraction,
//! but at most to half. If only reading is wasted, a control step cuts the fraction by a tenth.
//! Otherwise the fraction recovers in even steps. The cost is that callers which were asked to send
//! less do so for some steps after the flood.
//!
//! This is additive increase, multiplicative decrease (AIMD): D. Chiu, R. Jain, "Analysis of the
//! increase and decrease algorithms for congestion avoidance in computer networks" (1989).

use crate::config::CallerFeedback;

/// Mean unread time, as a fraction of the response time setpoint, above which the wanted traffic is
/// cut.
const MAX_UNREAD_SETPOINT_FRACTION: f64 = 0.15;

/// Smallest factor by which one control step cuts the wanted traffic because of unread time.
const MIN_CUT_FACTOR: f64 = 0.5;

/// Fraction of the cores spent on reading rejected requests, above which the wanted traffic is cut.
const MAX_WASTED_CORE_FRACTION: f64 = 0.04;

/// The same fraction if callers receive a traffic weight: it also holds back requests of high
/// priority, so the wanted traffic is cut later.
const MAX_WASTED_CORE_FRACTION_BY_WEIGHT: f64 = 0.08;

/// Factor by which one control step cuts the wanted traffic because of wasted reading.
const WASTE_CUT_FACTOR: f64 = 0.9;

/// Fraction of the usual traffic by which a control step recovers.
const RECOVERY_STEP: f64 = 0.05;

/// Minimum fraction of the usual traffic that is wanted.
const MIN_TRAFFIC_FRACTION: f64 = 0.1;

/// The input of one control step.
pub(crate) struct WantedTrafficInput {
    /// Mean seconds that the arrivals since the last step waited unread.
    pub(crate) mean_unread_seconds: f64,
    /// The mean response time to reach.
    pub(crate) setpoint_seconds: f64,
    /// The fraction of recent arrivals that was rejected on arrival.
    pub(crate) rejected_fraction: f64,
    /// Mean number of cores in demand for reading.
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
