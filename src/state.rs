//! The parts of the controller's state, each with one owner among the files of `controller/`. No
//! decision is taken here.

use std::time::Duration;

use crate::config::{CallerFeedback, Config};

/// A feedback value that no caller is ever sent, so that the first one always is.
const NO_VALUE: f64 = -1.0;

/// What callers are told. Owner: `controller/caller_feedback.rs`.
pub(crate) struct Feedback {
    pub(crate) kind: CallerFeedback,
    /// The fraction of the usual traffic that is wanted.
    pub(crate) wanted_traffic: f64,
    /// The value that callers have now.
    pub(crate) last_value: f64,
    pub(crate) callers: f64,
    /// The fraction of the cores that may go into reading what is rejected.
    pub(crate) max_wasted_fraction: f64,
    pub(crate) max_retry_after: Option<Duration>,
    /// Retries are marked as such.
    pub(crate) retries_are_marked: bool,
}

impl Feedback {
    pub(crate) fn new(config: &Config, max_wasted_fraction: f64) -> Self {
        Feedback {
            kind: config.feedback,
            wanted_traffic: 1.0,
            last_value: NO_VALUE,
            callers: f64::from(config.callers.max(1)),
            max_wasted_fraction,
            max_retry_after: config.max_retry_after,
            retries_are_marked: config.marks_retries,
        }
    }
}

/// The connection table. Owner: `controller/connections.rs`.
pub(crate) struct Connections {
    pub(crate) idle_timeout: Duration,
    /// When callers close an idle connection by themselves.
    pub(crate) max_idle_timeout: Duration,
    /// The table is left to fill.
    pub(crate) is_left_to_fill: bool,
}

impl Connections {
    pub(crate) fn new(idle_timeout: Duration) -> Self {
        Connections {
            idle_timeout,
            max_idle_timeout: idle_timeout,
            is_left_to_fill: false,
        }
    }
}

/// A graceful shutdown in progress. Owner: `controller/drain.rs`.
pub(crate) struct Drain {
    /// What reached the machine later is not run.
    pub(crate) run_until: Duration,
    pub(crate) answer_by: Duration,
    /// Until then callers are not asked to stay away.
    pub(crate) welcome_until: Duration,
}
