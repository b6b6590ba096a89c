//! Every constant of the controller that is tuned by hand. docs/design.md gives the reason for
//! each.

/// A request is admitted while its predicted answer comes within this fraction of its latency
/// objective, and stays queued within the other.
pub(super) const ADMISSION_OBJECTIVE_FRACTION: f64 = 0.65;
pub(super) const QUEUED_OBJECTIVE_FRACTION: f64 = 1.0;
/// The fraction of arriving work of higher priority that is expected to overtake, and how much of
/// the running limit it takes at most.
pub(super) const OVERTAKING_FRACTION: f64 = 0.4;
pub(super) const MAX_OVERTAKING_FRACTION: f64 = 0.6;
/// By what factor an estimate of work may be wrong where an attempt delays nobody; less on a
/// degraded server.
pub(super) const IDLE_CORE_TOLERANCE: f64 = 4.0;
pub(super) const IDLE_CORE_TOLERANCE_DEGRADED: f64 = 2.0;
