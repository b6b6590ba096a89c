//! Records of what happened, means of recent measurements, and the release of a request. No
//! decision is taken here.

use super::Controller;
use crate::action::Action;
use crate::event::{Arrival, Gauges, RequestIndex};
use crate::metrics::Metric;
use crate::request::{Request, Stage};

impl Controller {
    pub(super) fn read_gauges(&mut self, gauges: &Gauges) {
        self.cores.update(gauges, self.requests.running as f64);
        self.metrics
            .add(Metric::ReadingCores, self.cores.reading_cores);
        self.metrics
            .add(Metric::CoresBusy, self.cores.busy_fraction);
    }

    pub(super) fn record_arrival(&mut self, arrival: &Arrival, request: &Request) {
        // Stalls must not steer: the load did not cause the time that the process stood still.
        let unread =
            arrival.age.as_secs_f64() - self.clock.stalled_seconds_since(request.arrived_at);
        self.metrics.add(Metric::Arrived, 1.0);
        self.metrics.add(Metric::ArrivedWork, request.work);
        self.metrics.count_if(Metric::Retries, request.is_retry);
        self.metrics.add(Metric::ArrivedAtLevel(request.level), 1.0);
        self.metrics.add(Metric::UnreadTime, unread);
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
                self.call_budget.abandon_call(self.clock.now());
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
