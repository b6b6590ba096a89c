//! The time since the start of the process, the schedule of ticks and control steps, and stalls of
//! the process.
//!
//! After the process was suspended for a while (by the machine, a pause of its container or a
//! debugger), all its requests are suddenly old. Control loops that take this for load cut the
//! dimmer, the admitted fraction and the traffic of a healthy server. A tick that fires far too
//! late reveals the stall, and the stalled time is then subtracted from response times and from
//! time on a core.
//!
//! The cost is that a process whose event loop gets no core for several ticks also counts as
//! stalled, and so does a process whose host delays the tick. `tulipgapd` does delay it: its tick
//! waits up to 60 ms for the executor's gauges, and the process counts as stalled once a tick is
//! late by more than two intervals (10 to 50 ms). An executor that hangs therefore looks like a
//! stall of the process.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// Longest interval between two ticks. An overdue answer is late by at most this interval.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest interval between two ticks, which limits the cost of ticks. Between the two limits, the
/// interval follows from the configured response slack and from the shortest client timeout.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Number of ticks within the response slack, which is the time after the deadline of a request in
/// which an answer still counts.
const TICKS_PER_RESPONSE_SLACK: u32 = 2;

/// Number of ticks within the shortest client timeout. Whatever lasts no longer than a tick cannot
/// be ended in time, so a request of about a tick could make no dependency call.
const TICKS_PER_CLIENT_TIMEOUT: u32 = 8;

/// Tick intervals by which a tick must be late for the process to count as stalled.
const STALL_TICKS: u32 = 2;

/// Interval between two steps of the control loops.
pub(crate) const CONTROL_INTERVAL: Duration = Duration::from_millis(500);

/// The times of the next tick and of the next control step.
pub(crate) struct Schedule {
    /// The time between two ticks.
    pub(crate) tick_interval: Duration,
    /// When the next tick is due, since the start of the process.
    pub(crate) next_tick: Duration,
    next_control_step: Duration,
}

impl Schedule {
    /// The schedule of a process that starts now.
    pub(crate) fn new(response_slack: Duration, shortest_client_timeout: Duration) -> Self {
        let tick_interval = (response_slack / TICKS_PER_RESPONSE_SLACK)
            .min(shortest_client_timeout / TICKS_PER_CLIENT_TIMEOUT)
            .clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
        Schedule {
            tick_interval,
            next_tick: tick_interval,
            next_control_step: CONTROL_INTERVAL,
        }
    }

    /// Records that a tick fired; the next one is due one interval later.
    pub(crate) fn tick(&mut self, now: Duration) {
        self.next_tick = now + self.tick_interval;
    }

    /// Returns whether a control step is due. If so, the next one is due one interval later.
    pub(crate) fn take_control_step(&mut self, now: Duration) -> bool {
        let is_due = now >= self.next_control_step;
        if is_due {
            self.next_control_step = now + CONTROL_INTERVAL;
        }
        is_due
    }
}

/// The current time, and the stalls of the process up to it.
#[derive(Default)]
pub(crate) struct Clock {
    now: Duration,
    /// Total seconds for which the process was stalled.
    stalled_seconds: f64,
    /// The end and the length in seconds of the last stall.
    last_stall_end: Duration,
    last_stall_seconds: f64,
}

impl Clock {
    /// The time since the start of the process.
    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Advances to `now`, never backwards, and records a stall if the tick is far overdue. Returns
    /// the seconds since the last advance.
    pub(crate) fn advance(&mut self, now: Duration, schedule: &Schedule) -> f64 {
        let now = now.max(self.now);
        let passed_seconds = (now - self.now).as_secs_f64();
        self.now = now;
        if now > schedule.next_tick + schedule.tick_interval * STALL_TICKS {
            let overdue_seconds = (now - schedule.next_tick).as_secs_f64();
            self.last_stall_seconds = overdue_seconds.min(passed_seconds);
            self.last_stall_end = now;
            self.stalled_seconds += self.last_stall_seconds;
        }
        passed_seconds
    }

    /// Total seconds for which the process was stalled.
    pub(crate) fn stalled_seconds(&self) -> f64 {
        self.stalled_seconds
    }

    /// Total seconds for which the process was not stalled.
    pub(crate) fn awake_seconds(&self) -> f64 {
        self.now.as_secs_f64() - self.stalled_seconds
    }

    /// Seconds of the last stall that lie after `arrived_at`.
    pub(crate) fn stalled_seconds_since(&self, arrived_at: Duration) -> f64 {
        self.last_stall_end
            .saturating_sub(arrived_at)
            .as_secs_f64()
            .min(self.last_stall_seconds)
    }
}
