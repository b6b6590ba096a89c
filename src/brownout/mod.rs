//! Brownout: two control loops on the mean response time.
//!
//! Brownout is the normal reaction of a server to more load than it can serve. The first loop sets
//! the dimmer, the probability that a request makes its optional dependency calls. Once the dimmer
//! is at zero, a second loop cuts the fraction of requests that is admitted. Without the two loops,
//! the queue grows until all answers are late. The cost is that answers lack their optional part
//! while the mean response time is above the setpoint.
//!
//! Source: M. Maggio, C. Klein, K.-E. Årzén, "Control strategies for predictable brownouts in cloud
//! computing" (IFAC 2014).

mod admitted_fraction;
mod dimmer;
mod dimmer_ceiling;
#[cfg(test)]
mod tests;

pub(crate) use admitted_fraction::LevelArrivals;

use admitted_fraction::AdmittedFraction;
use dimmer::Dimmer;
use dimmer_ceiling::DimmerCeiling;

use crate::handlers::HandlerProfile;

/// Setpoint of the mean response time, as a fraction of the mean latency objective. The mean
/// objective is the unweighted mean over the configured handlers, without the part of an objective
/// that grows with the work of a request (`objective_stretch`).
const SETPOINT_FRACTION: f64 = 0.6;

/// The input of one control step of the dimmer and of the admitted fraction.
pub(crate) struct ResponseTimeSample {
    /// Mean response time of recently completed requests; `None` where none completed.
    mean_seconds: Option<f64>,
    /// The mean response time to reach.
    setpoint_seconds: f64,
}

impl ResponseTimeSample {
    /// The setpoint minus the mean. Without completed requests the mean counts as 0, so responses
    /// do not count as late.
    fn error_seconds(&self) -> f64 {
        self.setpoint_seconds - self.mean_seconds.unwrap_or(0.0)
    }
}

/// The two loops and the ceiling of the dimmer.
pub(crate) struct Brownout {
    setpoint_seconds: f64,
    dimmer: Dimmer,
    dimmer_ceiling: DimmerCeiling,
    admitted_fraction: AdmittedFraction,
}

impl Brownout {
    /// Both loops at rest: all requests are admitted and make their optional calls.
    pub(crate) fn new(handlers: &[HandlerProfile]) -> Self {
        let objectives_seconds: f64 = handlers
            .iter()
            .map(|handler| handler.latency_objective.as_secs_f64())
            .sum();
        Brownout {
            setpoint_seconds: SETPOINT_FRACTION * objectives_seconds / handlers.len() as f64,
            dimmer: Dimmer::new(),
            dimmer_ceiling: DimmerCeiling::new(),
            admitted_fraction: AdmittedFraction::new(),
        }
    }

    /// The mean response time to reach, in seconds.
    pub(crate) fn setpoint_seconds(&self) -> f64 {
        self.setpoint_seconds
    }

    /// The probability that a request makes its optional calls.
    pub(crate) fn dimmer(&self) -> f64 {
        self.dimmer.value()
    }

    /// The fraction of requests that is admitted.
    pub(crate) fn admitted_fraction(&self) -> &AdmittedFraction {
        &self.admitted_fraction
    }

    /// Runs one control step of the dimmer and of the admitted fraction, and raises the ceiling of
    /// the dimmer by one step of its recovery.
    pub(crate) fn update(&mut self, mean_response_seconds: Option<f64>, cores_are_busy: bool) {
        let sample = ResponseTimeSample {
            mean_seconds: mean_response_seconds,
            setpoint_seconds: self.setpoint_seconds,
        };
        let may_cut = self.dimmer.is_near_zero() && cores_are_busy;
        self.admitted_fraction.update(&sample, may_cut);
        self.dimmer.update(&sample, self.dimmer_ceiling.value());
        self.dimmer_ceiling.recover();
    }

    /// Cuts the ceiling of the dimmer, because a dependency call took far longer than usual.
    pub(crate) fn cut_dimmer_ceiling(&mut self) {
        self.dimmer_ceiling.cut();
        self.dimmer.lower_to(self.dimmer_ceiling.value());
    }
}
