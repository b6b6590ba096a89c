//! What must hold: asserted in debug builds; counted, and logged at a bounded rate, in release builds.

use crate::log::Bound;

static BROKEN: Bound = Bound::new();

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
    if BROKEN.pass().is_some() {
        log::error!("must hold: {what}");
    }
}

/// How often something did not hold.
pub fn count() -> u64 {
    BROKEN.count()
}
