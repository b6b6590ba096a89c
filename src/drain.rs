//! Graceful shutdown: what may still run after the shutdown notice, and until when everything is
//! answered.
//!
//! The process is terminated some time after the notice, and whatever is unanswered then is lost.
//! A request that arrives later than the grace after the notice is therefore not run, and
//! everything is answered some time before the termination, so that a stall carries nothing past
//! it. Callers are asked to leave at the notice. Where the server is busy the whole fleet is likely
//! to be: others could not take its part too, so callers are asked to leave only shortly before
//! the grace is over. The price: in a large fleet some callers then meet a closed listener.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::duration::duration_from_seconds;

/// Busy fraction of the cores from which the fleet counts as short of servers.
const FLEET_SHORT_BUSY_FRACTION: f64 = 0.7;

/// Time before the termination by which everything must be answered.
const TERMINATION_MARGIN: Duration = Duration::from_millis(500);

/// The shutdown notice, and what is known at that moment.
pub(crate) struct ShutdownNotice {
    /// The time since the start of the process.
    pub(crate) now: Duration,
    /// The time since the notice came.
    pub(crate) since: Duration,
    /// The time from now until the process is terminated.
    pub(crate) left: Duration,
    /// Nothing that arrives later than this after the notice may run.
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
    /// What arrives later is not run.
    run_until: Duration,
    /// Everything must be answered by then.
    answer_by: Duration,
    /// Callers are asked to leave from then on.
    callers_leave_at: Duration,
}

impl Drain {
    /// Starts the drain, and returns whether it started: later notices change nothing.
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

    /// Whether a request that arrived then may run now.
    pub(crate) fn allows_run(&self, arrived_at: Duration, now: Duration) -> bool {
        let is_in_grace = self
            .0
            .as_ref()
            .is_none_or(|times| arrived_at <= times.run_until);
        is_in_grace && !self.is_terminating(now)
    }

    /// Whether the time to answer everything has come.
    pub(crate) fn is_terminating(&self, now: Duration) -> bool {
        now >= self.answer_by()
    }

    /// When everything must be answered because the process is terminated.
    pub(crate) fn answer_by(&self) -> Duration {
        self.0
            .as_ref()
            .map_or(Duration::MAX, |times| times.answer_by)
    }
}
