//! The deadline of each connection, and the single timer of the host for all deadlines.

use std::time::Duration;

use crate::event::ConnectionId;
use crate::timer_wheel::TimerWheel;

/// The resolution of deadlines: the maximum delay of a deadline if the host sends
/// [`Event::TimerExpired`](crate::event::Event::TimerExpired) on time. If the host sends it at
/// intervals instead, as the server does, the delay grows by up to one interval.
const TIMER_TICK: Duration = Duration::from_millis(10);

/// One deadline for each connection. A new deadline replaces the previous one.
pub(crate) struct Deadlines {
    wheel: TimerWheel,
    /// The reusable buffer of expired deadlines.
    buffer: Vec<usize>,
    /// The time for which the host has set its timer.
    timer_at: Option<Duration>,
}

impl Deadlines {
    pub(crate) fn new() -> Self {
        Deadlines {
            wheel: TimerWheel::new(TIMER_TICK),
            buffer: Vec::new(),
            timer_at: None,
        }
    }

    /// Sets the deadline of a connection, which replaces its previous one.
    pub(crate) fn set(&mut self, id: ConnectionId, deadline: Duration) {
        self.wheel.set(id.0, deadline);
    }

    pub(crate) fn cancel(&mut self, id: ConnectionId) {
        self.wheel.cancel(id.0);
    }

    /// Takes the connections whose deadline has expired. The caller returns the list with
    /// [`Deadlines::reuse`].
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<usize> {
        let mut expired = std::mem::take(&mut self.buffer);
        self.wheel.advance(now, &mut expired);
        expired
    }

    /// Takes back the emptied list of [`Deadlines::take_expired`], to avoid a new allocation.
    pub(crate) fn reuse(&mut self, expired: Vec<usize>) {
        debug_assert!(
            expired.is_empty(),
            "invariant: each deadline is handled once"
        );
        self.buffer = expired;
    }

    /// Records that the host's timer has expired.
    pub(crate) fn timer_expired(&mut self) {
        self.timer_at = None;
    }

    /// The time for which the host has to set its timer, if it differs from the current setting.
    pub(crate) fn timer_to_set(&mut self) -> Option<Duration> {
        let next = self.wheel.next_deadline()?;
        if self.timer_at == Some(next) {
            return None;
        }
        self.timer_at = Some(next);
        Some(next)
    }
}
