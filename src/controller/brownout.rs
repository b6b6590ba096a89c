//! The ordinary path of control: a PID loop on the mean response time sets the dimmer, the
//! probability that a request makes its optional calls; at a dimmer of zero a second loop cuts the
//! admitted fraction.

use super::Controller;
use super::tuning::{
    ADMISSION_INTEGRAL_GAIN, ADMISSION_PROPORTIONAL_GAIN, ADMISSION_RECOVERY_STEP,
    BROWNOUT_DERIVATIVE_GAIN, BROWNOUT_POLE, BUSY_FRACTION, CEILING_CUT, CEILING_RECOVERY_STEP,
    DIMMER_NEAR_ZERO, MIN_ADMITTED_FRACTION, MIN_DIMMER_CEILING,
};

impl Controller {
    /// One step of both loops. An empty window does not count as lateness.
    pub(super) fn update_brownout(&mut self) {
        let mean = self.metrics.mean_response_seconds();
        let error = self.brownout.setpoint - mean.unwrap_or(0.0);
        self.update_admitted_fraction(error);
        self.update_dimmer(error, mean);
    }

    fn update_admitted_fraction(&mut self, error: f64) {
        let is_busy = self.capacity.busy >= BUSY_FRACTION;
        let brownout = &mut self.brownout;
        brownout.admitted_fraction +=
            if brownout.dimmer <= DIMMER_NEAR_ZERO && error < 0.0 && is_busy {
                let relative = error / brownout.setpoint;
                let change = (error - brownout.previous_error) / brownout.setpoint;
                ADMISSION_INTEGRAL_GAIN * relative.max(-1.0)
                    + ADMISSION_PROPORTIONAL_GAIN * change.clamp(-1.0, 1.0)
            } else {
                ADMISSION_RECOVERY_STEP
            };
        brownout.admitted_fraction = brownout.admitted_fraction.clamp(MIN_ADMITTED_FRACTION, 1.0);
    }

    fn update_dimmer(&mut self, error: f64, mean_response_time: Option<f64>) {
        let brownout = &mut self.brownout;
        // Near zero the dimmer shows nothing of its own effect, so the estimate is frozen.
        if let Some(mean) = mean_response_time
            && brownout.dimmer > DIMMER_NEAR_ZERO
        {
            brownout.slope = (mean / brownout.dimmer).max(0.1 * brownout.setpoint);
        }
        let gain = (1.0 - BROWNOUT_POLE) / brownout.slope.max(1e-3);
        brownout.dimmer +=
            gain * error + BROWNOUT_DERIVATIVE_GAIN * (error - brownout.previous_error);
        brownout.dimmer = brownout.dimmer.clamp(0.0, brownout.ceiling);
        brownout.previous_error = error;
        brownout.ceiling = (brownout.ceiling + CEILING_RECOVERY_STEP).min(1.0);
    }

    /// A dependency slows at its knee long before that shows in responses, and the more it is
    /// pressed the less it does in all: fewer calls at once, and all of them again slowly, because
    /// the knee shows only once it is passed. It does harm where calls get slower for good, until
    /// that is learnt.
    pub(super) fn cut_dimmer_ceiling(&mut self) {
        let brownout = &mut self.brownout;
        brownout.ceiling = (brownout.ceiling * CEILING_CUT).max(MIN_DIMMER_CEILING);
        brownout.dimmer = brownout.dimmer.min(brownout.ceiling);
    }
}
