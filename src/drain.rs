//! Graceful shutdown: which requests may still run after the shutdown notice, and when all requests
//! must be answered.
//!
//! The process is terminated some time after the notice, and requests that are unanswered then are
//! lost. A request that arrives later than the grace after the notice is therefore not run, and all
//! requests are answered some time before the termination, so that a stall does not delay an answer
//! past the termination. Callers are asked to leave at the notice. If the server is busy, the whole
//! fleet is likely to be busy and the other servers could not take over its traffic, so callers are
//! asked to leave only shortly before the grace is over. The cost is that in a large fleet some
//! callers then find the listener closed.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// Busy fraction of the cores at which the fleet counts as short of capacity.
const FLEET_SHORT_BUSY_FRACTION: f64 = 0.7;

/// Time between the last answers and the termination of the process.
const TERMINATION_MARGIN: Duration = Duration::from_millis(500);

/// The shutdown notice, and the state of the server when it arrives.
pub(crate) struct ShutdownNotice {
    /// The time since the start of the process.
    pub(crate) now: Duration,
    /// The time since the notice came.
    pub(crate) since: Duration,
    /// The time from now until the process is terminated.
    pub(crate) left: Duration,
    /// Requests that arrive later than this after the notice are not run.
    pub(crate) grace: Duration,
    /// The fraction of the cores that is busy.
    pub(crate) busy_fraction: f64,
    /// The mean response time to reach.
    pub(crate) setpoint_seconds: f64,
}

/// The drain, from the shutdown notice on. Times are since the start of the process.
#[derive(Default)]
pub(crate) struct Drain(Option<DrainTimes>);

struct DrainTimes {
    /// Requests that arrive later are not run.
    run_until: Duration,
    /// All requests must be answered by then.
    answer_by: Duration,
    /// Callers are asked to leave from then on.
    callers_leave_at: Duration,
}

impl Drain {
    /// Starts the drain and returns `true`, unless it has started already: later notices change
    /// nothing.
    pub(crate) fn start(&mut self, notice: &ShutdownNotice) -> bool {
        if self.0.is_some() {
            return false;
        }
        let now = notice.now;
        let run_until = now
            .saturating_add(notice.grace)
            .saturating_sub(notice.since);
        let fleet_is_short = notice.busy_fraction >= FLEET_SHORT_BUSY_FRACTION;
        let callers_leave_late_at =
            run_until.saturating_sub(duration_from_seconds(notice.setpoint_seconds));
        self.0 = Some(DrainTimes {
            run_until,
            answer_by: now
                .saturating_add(notice.left)
                .saturating_sub(TERMINATION_MARGIN),
            callers_leave_at: if fleet_is_short {
                callers_leave_late_at
            } else {
                now
            },
        });
        true
    }

    /// Whether the shutdown notice has come.
    pub(crate) fn has_started(&self) -> bool {
        self.0.is_some()
    }

    /// Whether callers are asked to leave.
    pub(crate) fn callers_should_leave(&self, now: Duration) -> bool {
        self.0
            .as_ref()
            .is_some_and(|times| now >= times.callers_leave_at)
    }

    /// Whether a request that arrived at `arrived_at` may run now.
    pub(crate) fn allows_run(&self, arrived_at: Duration, now: Duration) -> bool {
        let is_in_grace = self
            .0
            .as_ref()
            .is_none_or(|times| arrived_at <= times.run_until);
        is_in_grace && !self.is_terminating(now)
    }

    /// Whether the time by which all requests must be answered has passed.
    pub(crate) fn is_terminating(&self, now: Duration) -> bool {
        now >= self.answer_by()
    }

    /// The time by which all requests must be answered, because the process is terminated soon
    /// after it; [`Duration::MAX`] while the server is not draining.
    pub(crate) fn answer_by(&self) -> Duration {
        self.0
            .as_ref()
            .map_or(Duration::MAX, |times| times.answer_by)
    }
}
