//! The fraction of arrivals that is admitted while the dimmer alone cannot reach the setpoint.
//!
//! The loop cuts the fraction while the dimmer is at zero, the mean response time is above the
//! setpoint and the cores are busy; otherwise the fraction recovers in even steps. Without it, a
//! server that has no optional calls left to skip would answer every request late. It is a PI loop
//! on the relative error. Idle cores show that responses are late for another reason, such as a
//! slow dependency, and fewer requests would not make them faster.
//!
//! Requests differ in priority, so the fraction is allotted to the highest priority levels first,
//! and random sampling decides only within the level at which the fraction is used up. The cost is
//! that requests at the levels below that one are all rejected while the loop cuts.

use super::ResponseTimeSample;

/// Gain on the change of the relative error, as a fraction of arrivals.
const PROPORTIONAL_GAIN: f64 = 0.3;

/// Gain on the relative error at each control step, as a fraction of arrivals.
const INTEGRAL_GAIN: f64 = 0.15;

/// Largest relative error, and largest change of it, to which a control step reacts, so that one
/// very late request does not stop admission.
const MAX_RELATIVE_ERROR: f64 = 1.0;

/// Minimum of the admitted fraction, so that there are still responses to measure.
const MIN_ADMITTED_FRACTION: f64 = 0.05;

/// Fraction of arrivals by which each control step recovers.
const RECOVERY_STEP: f64 = 0.05;

/// Recent arrivals by priority level, as seen from one request.
pub(crate) struct LevelArrivals {
    /// Arrivals at the level of the request.
    pub(crate) own: f64,
    /// Arrivals at higher levels.
    pub(crate) higher: f64,
    /// Arrivals at all levels.
    pub(crate) all: f64,
}

/// State of the loop.
pub(crate) struct AdmittedFraction {
    /// From [`MIN_ADMITTED_FRACTION`] to 1.
    value: f64,
    /// The error of the step before.
    previous_error_seconds: f64,
}

impl AdmittedFraction {
    /// All requests are admitted.
    pub(super) fn new() -> Self {
        AdmittedFraction {
            value: 1.0,
            previous_error_seconds: 0.0,
        }
    }

    /// One control step. The fraction falls only if `may_cut` is set and responses are late.
    pub(super) fn update(&mut self, sample: &ResponseTimeSample, may_cut: bool) {
        let error = sample.error_seconds();
        self.value += if may_cut && error < 0.0 {
            let relative = error / sample.setpoint_seconds;
            let change = (error - self.previous_error_seconds) / sample.setpoint_seconds;
            INTEGRAL_GAIN * relative.max(-MAX_RELATIVE_ERROR)
                + PROPORTIONAL_GAIN * change.clamp(-MAX_RELATIVE_ERROR, MAX_RELATIVE_ERROR)
        } else {
            RECOVERY_STEP
        };
        self.value = self.value.clamp(MIN_ADMITTED_FRACTION, 1.0);
        self.previous_error_seconds = error;
    }

    /// Whether this loop rejects any requests.
    pub(crate) fn is_cut(&self) -> bool {
        self.value < 1.0
    }

    /// Whether a request is admitted; `uniform_sample` is a random number from 0 to 1.
    ///
    /// The loop admits its fraction of all arrivals, and first counts all arrivals at the levels
    /// above that of the request. The level of the request gets the remainder, and the request is
    /// admitted with a probability of the remainder divided by the arrivals at its level: always if
    /// the remainder covers all of them, never if nothing remains.
    pub(crate) fn admits(&self, arrivals: &LevelArrivals, uniform_sample: f64) -> bool {
        uniform_sample * arrivals.own < self.value * arrivals.all - arrivals.higher
    }
}
