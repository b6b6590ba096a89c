//! The single timer of the membership.
//!
//! **Decision**: whether the host has to set a timer for a deadline.
//!
//! **When it binds**: no timer is set for a deadline if one is already set for the same or an
//! earlier time, and a timer event before the time that is set is ignored.
//!
//! **Failure it guards against**: every timer that expires sets the next one, so a second timer
//! would start a separate chain that continues indefinitely. As a result, a simulation of 100
//! members with slow links did not end.
//!
//! **Why it holds**: only the earliest timer counts. When an event of another timer arrives, the
//! next time that is set has not been reached, so the event has no effect.

use std::time::Duration;

/// The minimum delay of a timer, so that a deadline in the past cannot make the host spin.
pub(crate) const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// The timer that the host was last asked to set.
#[derive(Default)]
pub(crate) struct Timer {
    /// When the timer expires, on the clock of the events; `None` if none is set.
    due: Option<Duration>,
}

impl Timer {
    /// Sets the timer, unless one is already set for this or an earlier time. Returns whether the
    /// host has to set it.
    pub(crate) fn set(&mut self, at: Duration) -> bool {
        if self.due.is_some_and(|due| due <= at) {
            return false;
        }
        self.due = Some(at);
        true
    }

    /// Handles a timer event. Returns `false` only if the timer is set for a later time; if none is
    /// set, it returns `true`.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        if self.due.is_some_and(|due| now < due) {
            return false;
        }
        self.due = None;
        true
    }
}
