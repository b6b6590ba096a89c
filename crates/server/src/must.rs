//! What must hold: asserted in debug builds; counted, and logged by the first few, in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

static BROKEN: AtomicU64 = AtomicU64::new(0);
const LOGGED: u64 = 20;

/// Checks that something holds, and says what otherwise.
#[macro_export]
macro_rules! must {
    ($holds:expr, $what:literal) => {
        if !$holds {
            $crate::must::broken($what);
        }
    };
}

#[cold]
pub fn broken(what: &str) {
    debug_assert!(false, "must hold: {what}");
    if BROKEN.fetch_add(1, Ordering::Relaxed) < LOGGED {
        log::error!("must hold: {what}");
    }
}

/// How often something did not hold.
pub fn count() -> u64 {
    BROKEN.load(Ordering::Relaxed)
}
