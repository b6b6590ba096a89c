//! Records of what happened, means of recent measurements, and the release of a request. No
//! decision is taken here.

use std::ops::Range;

use super::Controller;
use super::tuning::{MEASUREMENT_WINDOW, WORK_WINDOW};
use crate::action::Action;
use crate::event::{Arrival, Gauges, RequestIndex};
use crate::handlers::DEFAULT_WORK_SECONDS;
use crate::request::{Request, Stage};
use crate::sliding_window::Metric;

impl Controller {
    pub(super) fn read_gauges(&mut self, gauges: &Gauges) {
        let running = self.requests.running as f64;
        let runs_fill_cores = running >= self.capacity.cores;
        self.capacity.busy = gauges
            .cores_busy
            .unwrap_or(if runs_fill_cores { 1.0 } else { 0.0 });
        self.capacity.reading = gauges.runnable.map_or(0.0, |all| (all - running).max(0.0));
        self.window.add(Metric::ReadingCores, self.capacity.reading);
        self.window.add(Metric::CoresBusy, self.capacity.busy);
    }

    pub(super) fn record_arrival(&mut self, arrival: &Arrival, request: &Request) {
        // Stalls must not steer: the load did not cause the time that the process stood still.
        let unread =
            arrival.age.as_secs_f64() - self.clock.stalled_seconds_since(request.arrived_at);
        self.window.add(Metric::Arrived, 1.0);
        self.window.add(Metric::ArrivedWork, request.work);
        self.window
            .add(Metric::Retries, f64::from(u8::from(request.is_retry)));
        self.window.add(Metric::ArrivedAtLevel(request.level), 1.0);
        self.window.add(Metric::UnreadTime, unread);
    }

    /// Recent arrivals at these priority levels.
    pub(super) fn arrivals_at(&self, levels: Range<usize>) -> f64 {
        levels
            .map(|level| {
                self.window
                    .sum(Metric::ArrivedAtLevel(level), MEASUREMENT_WINDOW)
            })
            .sum()
    }

    /// Mean seconds of work of recent arrivals.
    pub(super) fn mean_work(&self) -> f64 {
        let mean = self
            .window
            .ratio(Metric::ArrivedWork, Metric::Arrived, WORK_WINDOW);
        mean.unwrap_or(DEFAULT_WORK_SECONDS)
    }

    /// Mean seconds of recent dependency calls; 0 where there was none.
    pub(super) fn mean_call_time(&self) -> f64 {
        self.window
            .ratio(Metric::CallTime, Metric::Calls, MEASUREMENT_WINDOW)
            .unwrap_or(0.0)
    }

    /// The mean over the window of a metric that is added once a tick.
    pub(super) fn mean_per_tick(&self, metric: Metric) -> f64 {
        let sum = self.window.sum(metric, MEASUREMENT_WINDOW);
        sum * self.schedule.tick_interval.as_secs_f64() / MEASUREMENT_WINDOW.as_secs_f64()
    }

    /// Frees what a request took; the host may reuse its index.
    pub(super) fn release(&mut self, request: RequestIndex, out: &mut Vec<Action>) {
        let Some(entry) = self.requests.remove(request) else {
            return;
        };
        match entry.stage {
            Stage::Queued | Stage::Coalesced => self.requests.remove_from_queue(request),
            Stage::Running => self.requests.running -= 1,
            Stage::Calling => {
                self.requests.calling -= 1;
                self.calls
                    .lingering
                    .push(self.clock.now().saturating_add(self.calls.linger));
            }
            Stage::AwaitingCall => self.requests.stop_awaiting_call(request),
        }
        if matches!(entry.stage, Stage::Queued | Stage::Coalesced) {
            self.memory.remove_queued(entry.queued_kb);
        } else {
            self.memory.remove_running(entry.queued_kb);
        }
        out.push(Action::Release { request });
    }
}
