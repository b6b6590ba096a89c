//! The fraction of arrivals that is admitted while the dimmer alone cannot reach the setpoint.
//!
//! The loop binds once the dimmer is at zero, the mean response time is above the setpoint and the
//! cores are busy; else the fraction recovers in even steps. Without it a server with no optional
//! calls left to skip would answer everything late. It is a PI loop on the relative error. Idle
//! cores show that the responses are late for another reason, such as a slow dependency, which
//! fewer requests do not mend.
//!
//! Requests differ in priority, so the fraction is spent on the highest priority levels first, and
//! a draw decides only within the marginal level. The price: a level far below the margin gets
//! nothing at all while the loop cuts.

use super::ResponseTimeSample;

/// Gain on the change of the relative error, as a fraction of arrivals.
const PROPORTIONAL_GAIN: f64 = 0.3;

/// Gain on the relative error at each control step, as a fraction of arrivals.
const INTEGRAL_GAIN: f64 = 0.15;

/// Largest relative error, and change of it, that a control step answers: one very late request
/// does not stop admission.
const MAX_RELATIVE_ERROR: f64 = 1.0;

/// Least fraction that is admitted, so that the loop still measures something.
const MIN_ADMITTED_FRACTION: f64 = 0.05;

/// Fraction of arrivals by which each control step recovers.
const RECOVERY_STEP: f64 = 0.05;

/// Recent arrivals by priority level, as seen from one request.
pub(crate) struct LevelArrivals {
    /// Arrivals of its own level.
    pub(crate) own: f64,
    /// Arrivals of all levels above.
    pub(crate) higher: f64,
    /// Arrivals of all levels.
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
    /// Everything is admitted.
    pub(super) fn new() -> Self {
        AdmittedFraction {
            value: 1.0,
            previous_error_seconds: 0.0,
        }
    }

    /// One control step. The fraction falls only where `may_cut` and responses are late.
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

    /// Whether anything is rejected by this loop.
    pub(crate) fn is_cut(&self) -> bool {
        self.value < 1.0
    }

    /// Whether a request is admitted; `draw` is uniform from 0 to 1.
    ///
    /// Of all arrivals the fraction is admitted. What the higher levels leave of it belongs to this
    /// level, and a request is admitted with the probability that this is of its level's arrivals:
    /// always where it is all of them, never where nothing is left.
    pub(crate) fn admits(&self, arrivals: &LevelArrivals, draw: f64) -> bool {
        draw * arrivals.own < self.value * arrivals.all - arrivals.higher
    }
}
