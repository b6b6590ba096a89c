//! The one timer of the membership.
//!
//! **Decision**: whether the host has to set a timer for a time at which something is due.
//!
//! **When it binds**: it sets none where one is due by then, and ignores the event of a timer while
//! the one that counts is not due yet.
//!
//! **Failure it guards against**: every timer that expires sets the next one, so a second one
//! beside it would start a chain of its own and go on for ever. That showed as a simulation of 100
//! members with slow links that did not end.
//!
//! **Why it holds**: at most one timer counts, the earliest; the event of another comes before that
//! one is due again and has no effect.

use std::time::Duration;

/// The shortest time for which a timer is set, so that a deadline in the past cannot make the host
/// spin.
pub(crate) const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// The timer that the host was last asked to set.
#[derive(Default)]
pub(crate) struct Timer {
    /// When it expires, on the clock of the events; `None` where none is set.
    due: Option<Duration>,
}

impl Timer {
    /// Sets the timer, unless one is due by then. Returns whether the host has to set it.
    pub(crate) fn set(&mut self, at: Duration) -> bool {
        if self.due.is_some_and(|due| due <= at) {
            return false;
        }
        self.due = Some(at);
        true
    }

    /// Takes the event of a timer. Returns `false` only where a later one is set; with none set it
    /// returns `true`.
    pub(crate) fn expire(&mut self, now: Duration) -> bool {
        if self.due.is_some_and(|due| now < due) {
            return false;
        }
        self.due = None;
        true
    }
}
