//! When a voter ticks, and which timer it asks its host for.
//!
//! A timer causes one tick at most, however late it elapses. A process that was paused would
//! otherwise count all the ticks it missed at once and conclude that the leader sent no heartbeat,
//! although heartbeats wait in its socket; it would campaign and depose a healthy leader.

use std::time::Duration;

/// The times of ticks, and the timer that the host was asked for.
pub(super) struct TickTimer {
    interval: Duration,
    next_tick_at: Duration,
    /// The timer that the host was last asked for and that has not elapsed yet.
    requested_at: Option<Duration>,
}

impl TickTimer {
    /// The first tick is due at once.
    pub(super) fn new(interval: Duration) -> Self {
        TickTimer {
            interval,
            next_tick_at: Duration::ZERO,
            requested_at: None,
        }
    }

    /// A timer has elapsed. Returns whether a tick is due.
    pub(super) fn elapsed(&mut self, now: Duration) -> bool {
        self.requested_at = self.requested_at.filter(|&at| at > now);
        let is_due = now >= self.next_tick_at;
        if is_due {
            self.next_tick_at = now + self.interval;
        }
        is_due
    }

    /// The timer to ask for: the next tick or the next check of expiries, whichever is sooner.
    /// `None` where the one asked for before is no later.
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
