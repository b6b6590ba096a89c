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

/// Mean time unread, as a fraction of the setpoint, from which callers are asked to send less; how
/// fast the wanted traffic recovers each step, and its floor.
pub(super) const UNREAD_SETPOINT_FRACTION: f64 = 0.15;
pub(super) const TRAFFIC_RECOVERY_STEP: f64 = 0.05;
pub(super) const MIN_TRAFFIC_FRACTION: f64 = 0.1;
/// The fraction of the cores spent on reading what is rejected from which wanted traffic is cut
/// too; the same where the cut ignores priorities; and the factor of the cut.
pub(super) const MAX_WASTED_FRACTION: f64 = 0.04;
pub(super) const MAX_WASTED_FRACTION_BY_WEIGHT: f64 = 0.08;
pub(super) const TRAFFIC_CUT_ON_WASTE: f64 = 0.9;
/// Requests by which a tenant may exceed its quota of what is admitted, or fall short, and the
/// window over which arrivals are compared with the quotas of all tenants.
/// The fraction of arrivals that are retries, or that are rejected (retries need not be marked),
/// from which callers are asked not to try another server.
pub(super) const MAX_RETRY_FRACTION: f64 = 0.1;
pub(super) const MAX_REJECTED_FRACTION: f64 = 0.5;

/// Connections per core from which the table is saturated, while most callers have none.
pub(super) const SATURATED_CONNECTIONS_PER_CORE: f64 = 6.0;
/// Arrivals per completion, and demand per core beside runs, from which the table is left to fill;
/// the busy fraction below which connections are closed again; how the idle timeout changes each
/// step in either state, how it recovers, and its floor.
pub(super) const STORM_ARRIVALS_PER_COMPLETION: f64 = 6.0;
pub(super) const STORM_READERS_PER_CORE: f64 = 1.75;
pub(super) const STARVED_BUSY_FRACTION: f64 = 0.4;
pub(super) const IDLE_TIMEOUT_CUT: f64 = 0.3;
pub(super) const IDLE_TIMEOUT_RISE: f64 = 3.0;
pub(super) const IDLE_TIMEOUT_RECOVERY: f64 = 1.02;
pub(super) const MIN_IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Outstanding requests per core that callers are granted at least, and beyond that at full
/// willingness.
pub(super) const MIN_CREDIT_PER_CORE: f64 = 0.5;
pub(super) const EXTRA_CREDIT_PER_CORE: f64 = 3.5;

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
