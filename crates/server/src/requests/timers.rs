//! The timers of the controller.

use std::collections::BTreeSet;
use std::time::Duration;

/// The times on the controller's clock at which a timer fires. Several timers for the same time
/// count as one.
#[derive(Default)]
pub(super) struct Timers {
    due: BTreeSet<Duration>,
}

impl Timers {
    /// Sets a timer for the time `at` on the controller's clock.
    pub(super) fn set(&mut self, at: Duration) {
        self.due.insert(at);
    }

    /// The time until the next timer is due; `None` if no timer is set.
    pub(super) fn until_next(&self, now: Duration) -> Option<Duration> {
        self.due.first().map(|at| at.saturating_sub(now))
    }

    /// Removes the timers that are due. Returns whether any timer was due.
    pub(super) fn take_due(&mut self, now: Duration) -> bool {
        let was_due = self.due.first().is_some_and(|&at| at <= now);
        self.due.retain(|&at| at > now);
        was_due
    }
}
