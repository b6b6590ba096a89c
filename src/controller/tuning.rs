//! Every constant of the controller that is tuned by hand. docs/design.md gives the reason for
//! each.

use std::time::Duration;

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

/// How many times slower than usual a server counts as degraded.
/// The work of a request without an estimate, at first, how fast it is learnt from each run, and
/// its floor; and from how many times the mean such a request counts as long.
/// Requests of mean work at the usual pace that the measured pace starts from.
/// The gain of the usual pace each tick while the measured one is better or new, and while it is
/// worse.
/// The fraction of recent runs that failed, and how many at least, from which a server rejects
/// traffic.
/// The busy fraction of the cores from which traffic stays welcome after the shutdown notice.
pub(super) const DRAIN_BUSY_FRACTION: f64 = 0.7;
/// The time before termination by which everything must be answered, so that a pause carries
/// nothing past it.
pub(super) const TERMINATION_MARGIN: Duration = Duration::from_millis(500);
