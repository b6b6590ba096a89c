//! The deadline of each connection, and the one timer of the host that serves them all.

use std::time::Duration;

use crate::event::ConnectionId;
use crate::timer_wheel::TimerWheel;

/// The resolution of deadlines: how late one may be noticed by a host that hands in
/// [`Event::TimerExpired`](crate::event::Event::TimerExpired) on time. One that hands it in at
/// intervals instead, as the server does, notices a deadline later by up to its interval.
const TIMER_TICK: Duration = Duration::from_millis(10);

/// One deadline for each connection. Several events may move it; only the last one counts.
pub(crate) struct Deadlines {
    wheel: TimerWheel,
    /// The buffer of expired deadlines, kept to be reused.
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

    /// Sets the deadline of a connection, in place of the one that it had.
    pub(crate) fn set(&mut self, id: ConnectionId, deadline: Duration) {
        self.wheel.set(id.0, deadline);
    }

    pub(crate) fn cancel(&mut self, id: ConnectionId) {
        self.wheel.cancel(id.0);
    }

    /// Takes the connections whose deadline has come. The list goes back through
    /// [`Deadlines::reuse`].
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<usize> {
        let mut expired = std::mem::take(&mut self.buffer);
        self.wheel.advance(now, &mut expired);
        expired
    }

    /// Takes back an empty list from [`Deadlines::take_expired`], so that none is allocated again.
    pub(crate) fn reuse(&mut self, expired: Vec<usize>) {
        debug_assert!(
            expired.is_empty(),
            "invariant: each deadline is handled once"
        );
        self.buffer = expired;
    }

    /// The host's timer has expired.
    pub(crate) fn timer_expired(&mut self) {
        self.timer_at = None;
    }

    /// The time for which the host has to set its timer, where that is not the one it has.
    pub(crate) fn timer_to_set(&mut self) -> Option<Duration> {
        let next = self.wheel.next_deadline()?;
        if self.timer_at == Some(next) {
            return None;
        }
        self.timer_at = Some(next);
        Some(next)
    }
}
