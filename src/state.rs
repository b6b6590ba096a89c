//! The parts of the controller's state, each with one owner among the files of `controller/`. No
//! decision is taken here.

use std::time::Duration;

/// A graceful shutdown in progress. Owner: `controller/drain.rs`.
pub(crate) struct Drain {
    /// What reached the machine later is not run.
    pub(crate) run_until: Duration,
    pub(crate) answer_by: Duration,
    /// Until then callers are not asked to stay away.
    pub(crate) welcome_until: Duration,
}
