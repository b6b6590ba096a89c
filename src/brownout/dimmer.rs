//! The dimmer: the probability that a request makes its optional dependency calls.
//!
//! An adaptive PID loop on the mean response time adjusts the dimmer whenever the mean differs from
//! the setpoint. Without it, a server whose dependency or cores slow down answers late although it
//! could answer in time without the optional part. The model is that of the paper cited in
//! `brownout/mod.rs`: the mean response time is a slope times the dimmer, and the slope is
//! estimated at every step. Near zero the dimmer has no measurable effect, so the estimate is
//! frozen there. A tiny mean would make the gain very large, so the slope has a minimum.

use super::ResponseTimeSample;

/// Pole of the closed loop: at 0 the loop reaches the setpoint in one step, near 1 it takes many
/// steps.
const POLE: f64 = 0.6;

/// Gain on the change of the error, in dimmer per second.
const DERIVATIVE_GAIN: f64 = 0.2;

/// Initial estimate of the slope of the response time over the dimmer, in seconds.
const INITIAL_SLOPE_SECONDS: f64 = 0.1;

/// Minimum estimate of the slope, as a fraction of the setpoint.
const MIN_SLOPE_SETPOINT_FRACTION: f64 = 0.1;

/// Minimum of the slope from which the gain is computed, in seconds, so that a tiny setpoint does
/// not make the gain very large.
const MIN_SLOPE_SECONDS: f64 = 1e-3;

/// Value up to which the dimmer counts as zero.
const NEAR_ZERO: f64 = 0.02;

/// State of the loop.
pub(super) struct Dimmer {
    /// The probability, from 0 to 1.
    value: f64,
    /// Estimated slope of the mean response time over the dimmer, in seconds.
    slope_seconds: f64,
    /// The error of the step before.
    previous_error_seconds: f64,
}

impl Dimmer {
    /// Every request makes its optional calls.
    pub(super) fn new() -> Self {
        Dimmer {
            value: 1.0,
            slope_seconds: INITIAL_SLOPE_SECONDS,
            previous_error_seconds: 0.0,
        }
    }

    /// The probability that a request makes its optional calls.
    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Whether almost no optional calls are made.
    pub(super) fn is_near_zero(&self) -> bool {
        self.value <= NEAR_ZERO
    }

    /// One control step; the dimmer stays at or below `ceiling`.
    pub(super) fn update(&mut self, sample: &ResponseTimeSample, ceiling: f64) {
        if let Some(mean_seconds) = sample.mean_seconds
            && !self.is_near_zero()
        {
            let floor = MIN_SLOPE_SETPOINT_FRACTION * sample.setpoint_seconds;
            self.slope_seconds = (mean_seconds / self.value).max(floor);
        }
        let error = sample.error_seconds();
        let gain = (1.0 - POLE) / self.slope_seconds.max(MIN_SLOPE_SECONDS);
        self.value += gain * error + DERIVATIVE_GAIN * (error - self.previous_error_seconds);
        self.value = self.value.clamp(0.0, ceiling);
        self.previous_error_seconds = error;
    }

    /// Lowers the dimmer to `ceiling`, if it is above it.
    pub(super) fn lower_to(&mut self, ceiling: f64) {
        self.value = self.value.min(ceiling);
    }
}
