//! The start of queued requests: which request is next, and whether a core and memory are free for
//! it.

use super::Controller;
use super::request_end::RetryAdvice;
use crate::action::{Action, Reason};
use crate::concurrency::CoreLimitInput;
use crate::early_answer::has_missed_objective;
use crate::event::RequestIndex;
use crate::metrics::{BUCKET_WIDTH, Metric};
use crate::queue::QueueHeads;
use crate::requests::Stage;

impl Controller {
    /// Starts queued requests while concurrency and memory allow.
    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        while self.has_core_for_next() {
            let Some(request) = self.next_queued() else {
                return;
            };
            let objective_at = self.requests[request].objective_at;
            if has_missed_objective(objective_at, self.clock.now()) {
                self.finish_early(
                    request,
                    RetryAdvice::NoOtherServer,
                    Reason::ObjectiveMissed,
                    out,
                );
                continue;
            }
            let queued_kb = self.requests[request].queued_kb;
            if !self.memory.has_room_to_run(queued_kb) {
                return;
            }
            self.queue.remove(request);
            self.memory.start_running(queued_kb);
            self.requests
                .enter_core(request, self.clock.awake_seconds());
            self.idle_probe.record_run(self.clock.awake_seconds());
            out.push(Action::Start { request });
        }
    }

    pub(super) fn has_core_for_next(&self) -> bool {
        let core_limit = CoreLimitInput {
            cores: self.cores.cores,
            reading_cores: self.cores.reading_cores,
            mean_unread_seconds: self.metrics.mean_unread_seconds(BUCKET_WIDTH),
            setpoint_seconds: self.brownout.setpoint_seconds(),
            completed: self.metrics.recent(Metric::Completed),
            running_limit: self.running_limit.value(),
        };
        (self.requests.running() as f64) < core_limit.limit()
            && self
                .survivable_concurrency
                .allows_start(self.requests.started(), self.clock.now())
    }

    fn next_queued(&self) -> Option<RequestIndex> {
        let Some((short, long)) = self.queue.heads() else {
            return self.queue.indices().next();
        };
        let heads = QueueHeads {
            short: &self.requests[short],
            long: &self.requests[long],
            long_running: self
                .requests
                .in_stage(Stage::Running)
                .filter(|request| request.is_long)
                .count(),
            running_limit: self.running_limit.value(),
        };
        Some(if heads.short_is_first() { short } else { long })
    }

    /// Rejects queued requests that are no longer likely to be in time, for example because
    /// requests that arrived later precede them in the queue.
    pub(super) fn reject_overtaken(&mut self, out: &mut Vec<Action>) {
        if self.queue.is_empty() {
            return;
        }
        let server = self.server_forecast();
        let mut work_seconds_ahead = 0.0;
        for index in self.queue.in_order(&self.requests) {
            let request = &self.requests[index];
            let forecast = self.request_forecast(request, work_seconds_ahead);
            if server.may_stay_queued(&forecast) {
                work_seconds_ahead += request.work_seconds;
            } else {
                let advice = self.retry_advice(index);
                self.finish_early(index, advice, Reason::Overtaken, out);
            }
        }
    }
}
