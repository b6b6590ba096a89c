//! Schedules a voter's ticks and the timer that it requests from its host.
//!
//! A timer causes at most one tick, however late it elapses. Otherwise a process that was paused
//! would count all missed ticks at once and conclude that the leader sent no heartbeat, although
//! heartbeats are queued in its socket; it would campaign and depose a healthy leader.

use std::time::Duration;

/// The time of the next tick and the requested timer.
pub(super) struct TickTimer {
    interval: Duration,
    next_tick_at: Duration,
    /// The timer that was last requested from the host, until it elapses.
    requested_at: Option<Duration>,
}

impl TickTimer {
    /// Creates a timer whose first tick is due immediately.
    pub(super) fn new(interval: Duration) -> Self {
        TickTimer {
            interval,
            next_tick_at: Duration::ZERO,
            requested_at: None,
        }
    }

    /// Handles an elapsed timer. Returns whether a tick is due.
    pub(super) fn elapsed(&mut self, now: Duration) -> bool {
        self.requested_at = self.requested_at.filter(|&at| at > now);
        let is_due = now >= self.next_tick_at;
        if is_due {
            self.next_tick_at = now + self.interval;
        }
        is_due
    }

    /// Returns the timer to request: the next tick or the next expiry check, whichever is earlier.
    /// Returns `None` if the timer that was requested before is not later.
    pub(super) fn request(
        &mut self,
        now: Duration,
        next_expiry_check_at: Option<Duration>,
    ) -> Option<Duration> {
        let next_check_at = next_expiry_check_at.unwrap_or(self.next_tick_at);
        let at = next_check_at.min(self.next_tick_at).max(now);
        let is_sooner = self.requested_at.is_none_or(|requested| at < requested);
        if !is_sooner {
            return None;
        }
        self.requested_at = Some(at);
        Some(at)
    }
}
