//! Brownout: two control loops on the mean response time.
//!
//! This is the ordinary way in which a server answers more load than it can serve. The first loop
//! sets the dimmer, the probability that a request makes its optional dependency calls. Once the
//! dimmer is at zero, a second loop cuts the fraction of requests that is admitted. Without them
//! the queue grows until all answers are late at once. The price is answers without their optional
//! part while the mean response time is above the setpoint.
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

/// Setpoint of the mean response time, as a fraction of the mean latency objective. That is the
/// plain mean over the configured handlers, whatever their traffic, of the objectives without the
/// part that grows with a request's work (`objective_stretch`).
const SETPOINT_FRACTION: f64 = 0.6;

/// What both loops follow at one step.
pub(crate) struct ResponseTimeSample {
    /// Mean response time of recently completed requests; `None` where none completed.
    mean_seconds: Option<f64>,
    /// The mean response time to reach.
    setpoint_seconds: f64,
}

impl ResponseTimeSample {
    /// The setpoint less the mean. An empty window does not count as lateness.
    fn error_seconds(&self) -> f64 {
        self.setpoint_seconds - self.mean_seconds.unwrap_or(0.0)
    }
}

/// Owner of both loops.
pub(crate) struct Brownout {
    setpoint_seconds: f64,
    dimmer: Dimmer,
    dimmer_ceiling: DimmerCeiling,
    admitted_fraction: AdmittedFraction,
}

impl Brownout {
    /// Both loops at rest: everything is admitted, and makes its optional calls.
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

    /// One step of both loops.
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

    /// A dependency call took far longer than usual.
    pub(crate) fn cut_dimmer_ceiling(&mut self) {
        self.dimmer_ceiling.cut();
        self.dimmer.lower_to(self.dimmer_ceiling.value());
    }
}
