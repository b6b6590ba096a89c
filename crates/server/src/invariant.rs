//! Invariants: asserted in debug builds; counted, and logged at a bounded rate, in release builds.

use crate::log::LogLimit;

static VIOLATIONS: LogLimit = LogLimit::new();

/// Checks that a condition holds, and reports a violation otherwise.
#[macro_export]
macro_rules! invariant {
    ($condition:expr, $what:literal) => {
        if !$condition {
            $crate::invariant::violated($what);
        }
    };
}

/// Reports a violation: it panics in debug builds, and is counted and logged in release builds.
#[cold]
pub(crate) fn violated(what: &str) {
    debug_assert!(false, "invariant violated: {what}");
    if VIOLATIONS.count_event().is_some() {
        log::error!("invariant violated condition=\"{what}\"");
    }
}

/// The number of violations so far.
pub(crate) fn violations() -> u64 {
    VIOLATIONS.count()
}
