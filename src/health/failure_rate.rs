//! Whether runs on this server fail so often that other servers are likely to do better.
//!
//! A server that fails fast looks idle, and balancers that follow the load send it more than its
//! share: the fleet then fails most of its requests although only one server is faulty. While the
//! fraction of failed runs is high, that fraction of arrivals is rejected and callers are asked for
//! no traffic. What is still admitted shows when the fault is over. The price: where every server
//! fails alike, a rejected request finds no better one.
//!
//! Outlier detection in load balancers does the same from outside; this is the server's own view.

/// Fraction of recent runs that failed, above which the server counts as failing.
const HIGH_FAILURE_FRACTION: f64 = 0.4;

/// Least number of recent failures that count, so that one failure among few runs proves nothing.
const MIN_FAILURES: f64 = 3.0;

/// The fraction of recent runs that failed if it is high, and 0 otherwise.
pub(crate) fn high_failure_fraction(failed_runs: f64, completed_runs: f64) -> f64 {
    let fraction = failed_runs / (failed_runs + completed_runs).max(1.0);
    if failed_runs >= MIN_FAILURES && fraction > HIGH_FAILURE_FRACTION {
        fraction
    } else {
        0.0
    }
}
