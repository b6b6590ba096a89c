//! The clock of the cluster, and timers on it.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Added to each wait, so that a thread does not wake shortly before its timer is due.
const WAIT_MARGIN: Duration = Duration::from_micros(50);
/// The longest wait of a thread whose timers are due later or not set.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A clock of the time since this process began to join the cluster. It includes the time for which
/// the machine was suspended, because the TTL of a lease also elapses in that time.
#[derive(Clone, Copy)]
pub(crate) struct ClusterClock {
    start: Duration,
    /// Seconds of this clock per second of the machine's clock; other than 1 only if a fault is
    /// injected.
    rate: f64,
}

fn boot_time() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(
        now.tv_sec.try_into().unwrap_or(0),
        now.tv_nsec.try_into().unwrap_or(0),
    )
}

impl ClusterClock {
    /// A clock that starts at zero and runs at `rate`.
    pub(crate) fn start(rate: f64) -> Self {
        ClusterClock {
            start: boot_time(),
            rate,
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start).mul_f64(self.rate)
    }

    /// How long a thread waits until that time, at most [`MAX_WAIT`], by the machine's clock.
    pub(crate) fn wait_until(&self, at: Option<Duration>) -> Duration {
        at.map_or(MAX_WAIT, |at| self.time_until(at).min(MAX_WAIT))
    }

    fn time_until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.now()).div_f64(self.rate) + WAIT_MARGIN
    }
}

/// A timer. If several times are set, it keeps the earliest.
#[derive(Clone, Copy, Default)]
pub(crate) struct Timer {
    at: Option<Duration>,
}

impl Timer {
    /// A timer that is due at that time.
    pub(crate) fn due_at(at: Duration) -> Self {
        Timer { at: Some(at) }
    }

    /// When the timer is due, if it is set.
    pub(crate) fn at(&self) -> Option<Duration> {
        self.at
    }

    /// Sets the timer, unless it is due earlier.
    pub(crate) fn set_earliest(&mut self, at: Duration) {
        self.at = Some(self.at.map_or(at, |earlier| earlier.min(at)));
    }

    /// Whether the timer is due. A due timer is cleared.
    pub(crate) fn take_if_due(&mut self, now: Duration) -> bool {
        self.at.take_if(|at| *at <= now).is_some()
    }
}
