//! The ceiling of the dimmer, which slow dependency calls lower.
//!
//! A shared dependency passes its knee within a few hundred milliseconds, and beyond the knee it
//! does less work the more it is called. The mean response time does not show this, because such
//! calls time out early. Each call that takes far longer than usual therefore cuts the ceiling. The
//! ceiling recovers in small steps, because the knee shows only when it is passed again. The cost
//! is that, if calls become slower permanently, optional calls are skipped until the usual call
//! time has followed.
//!
//! This is additive increase, multiplicative decrease (AIMD), as in
//! `caller_feedback/wanted_traffic.rs`.

/// Factor by which one slow call cuts the ceiling.
const CUT_FACTOR: f64 = 0.7;

/// Probability by which the ceiling recovers at each control step.
const RECOVERY_STEP: f64 = 0.05;

/// Minimum of the ceiling, so that some calls still show whether the dependency has recovered.
const MIN_CEILING: f64 = 0.3;

/// The ceiling, a probability from [`MIN_CEILING`] to 1.
pub(super) struct DimmerCeiling(f64);

impl DimmerCeiling {
    /// A ceiling that does not bind.
    pub(super) fn new() -> Self {
        DimmerCeiling(1.0)
    }

    /// The largest value that the dimmer may take.
    pub(super) fn value(&self) -> f64 {
        self.0
    }

    /// Cuts the ceiling after a slow call.
    pub(super) fn cut(&mut self) {
        self.0 = (self.0 * CUT_FACTOR).max(MIN_CEILING);
    }

    /// Raises the ceiling at a control step.
    pub(super) fn recover(&mut self) {
        self.0 = (self.0 + RECOVERY_STEP).min(1.0);
    }
}
