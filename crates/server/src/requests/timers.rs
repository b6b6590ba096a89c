//! The timers that the controller has set.

use std::collections::BTreeSet;
use std::time::Duration;

/// Times on the controller's clock at which it is to be called. Timers for one time count as one.
#[derive(Default)]
pub(super) struct Timers {
    due: BTreeSet<Duration>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Duration) {
        self.due.insert(at);
    }

    /// The time until the next timer is due; `None` where no timer is set.
    pub(super) fn until_next(&self, now: Duration) -> Option<Duration> {
        self.due.first().map(|at| at.saturating_sub(now))
    }

    /// Removes the timers that are due, and returns whether there was one.
    pub(super) fn take_due(&mut self, now: Duration) -> bool {
        let was_due = self.due.first().is_some_and(|&at| at <= now);
        self.due.retain(|&at| at > now);
        was_due
    }
}
