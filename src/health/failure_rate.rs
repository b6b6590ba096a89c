//! Whether runs on this server fail so often that other servers are likely to do better.
//!
//! A server that fails fast looks idle, and load balancers that follow the load send it more than
//! its share: the fleet then fails most of its requests although only one server is faulty. While
//! the fraction of failed runs is high, the server rejects that fraction of arrivals and asks
//! callers for no traffic. The requests that are still admitted show when the fault is over; where
//! every run fails, these are the probes of `queue/idle_probe.rs`. The cost is that, if every server
//! fails alike, a rejected request finds no better server.
//!
//! Outlier detection in load balancers does the same from outside; this rule uses the server's own
//! observations.

/// Fraction of recent runs that failed, above which the server counts as failing.
const HIGH_FAILURE_FRACTION: f64 = 0.4;

/// Minimum number of recent failures at which the fraction can count as high, because one failure
/// among few runs proves nothing.
const MIN_FAILURES: f64 = 3.0;

/// The fraction of recent runs that failed, or 0 if that fraction is not high.
pub(crate) fn high_failure_fraction(failed_runs: f64, completed_runs: f64) -> f64 {
    let fraction = failed_runs / (failed_runs + completed_runs).max(1.0);
    if failed_runs >= MIN_FAILURES && fraction > HIGH_FAILURE_FRACTION {
        fraction
    } else {
        0.0
    }
}

/// Whether an arrival is rejected because runs fail. The probability of a rejection is
/// `high_failure_fraction`; no random number is taken while that is 0.
pub(crate) fn is_shed_for_failures(high_failure_fraction: f64, rng: &mut fastrand::Rng) -> bool {
    high_failure_fraction > 0.0 && rng.f64() < high_failure_fraction
}
