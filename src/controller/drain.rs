//! Graceful shutdown: what may still run after the shutdown notice, and until when everything is
//! answered.

use std::time::Duration;

use super::Controller;
use super::tuning::{DRAIN_BUSY_FRACTION, TERMINATION_MARGIN};
use crate::action::Action;
use crate::clock::seconds;
use crate::event::RequestIndex;
use crate::state::Drain;

impl Controller {
    /// Starts the drain at the first notice, which came `since` ago; later notices change nothing.
    pub(super) fn start_drain(&mut self, since: Duration, left: Duration, out: &mut Vec<Action>) {
        if self.drain.is_some() {
            return;
        }
        let now = self.clock.now();
        let run_until = now.saturating_add(self.drain_grace).saturating_sub(since);
        // Guards a fleet that is short of servers: what may still run here stays welcome until
        // callers must leave. It costs as much as one full server does.
        let fleet_is_short = self.cores.busy_fraction >= DRAIN_BUSY_FRACTION;
        let last_welcome = run_until.saturating_sub(seconds(self.brownout.setpoint_seconds()));
        self.drain = Some(Drain {
            run_until,
            answer_by: now.saturating_add(left).saturating_sub(TERMINATION_MARGIN),
            welcome_until: if fleet_is_short { last_welcome } else { now },
        });
        out.push(Action::SetHealth { healthy: false });
        self.expire_requests(out);
    }

    /// Safe drain: whether a request came too late after the notice to be run.
    pub(super) fn arrived_too_late_to_run(&self, request: RequestIndex) -> bool {
        let arrived_at = self.requests[request].arrived_at;
        self.is_terminating()
            || self
                .drain
                .as_ref()
                .is_some_and(|drain| arrived_at > drain.run_until)
    }

    /// Whether the time to answer everything has come.
    pub(super) fn is_terminating(&self) -> bool {
        self.clock.now() >= self.answer_by()
    }

    /// When everything must be answered because the process is terminated.
    pub(super) fn answer_by(&self) -> Duration {
        self.drain
            .as_ref()
            .map_or(Duration::MAX, |drain| drain.answer_by)
    }
}
