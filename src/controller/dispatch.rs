//! Dispatch: how many requests run at once, and which queued request starts next.

use super::Controller;
use super::queueing::queue_order;
use crate::action::{Action, Reason};
use crate::concurrency::CoreLimitInput;
use crate::event::RequestIndex;
use crate::metrics::{BUCKET_WIDTH, Metric};
use crate::request::Stage;

impl Controller {
    /// Starts queued requests while concurrency and memory allow.
    pub(super) fn start_queued(&mut self, out: &mut Vec<Action>) {
        while self.has_core_for_next() {
            let Some(request) = self.next_queued() else {
                return;
            };
            if self.requests[request].objective_at < self.clock.now() {
                self.finish_early(request, false, Reason::ObjectiveMissed, out);
                continue;
            }
            let queued_kb = self.requests[request].queued_kb;
            if !self.memory.has_room_to_run(queued_kb) {
                return;
            }
            self.requests.remove_from_queue(request);
            self.memory.start_running(queued_kb);
            self.requests
                .enter_core(request, self.clock.awake_seconds());
            out.push(Action::Start { request });
        }
    }

    fn has_core_for_next(&self) -> bool {
        let requests = &self.requests;
        let core_limit = CoreLimitInput {
            cores: self.cores.cores,
            reading_cores: self.cores.reading_cores,
            mean_unread_seconds: self.metrics.mean_unread_seconds(BUCKET_WIDTH),
            setpoint_seconds: self.brownout.setpoint_seconds(),
            completed: self.metrics.recent(Metric::Completed),
            running_limit: self.running_limit.value(),
        };
        let started = requests.running + requests.calling + requests.awaiting_call.len();
        (requests.running as f64) < core_limit.limit()
            && self
                .survivable_concurrency
                .allows_start(started, self.clock.now())
    }

    /// The better head of the two queues; long requests leave a core to short ones that wait.
    fn next_queued(&self) -> Option<RequestIndex> {
        let requests = &self.requests;
        let (Some(&short), Some(&long)) =
            (requests.short_queue.first(), requests.long_queue.first())
        else {
            return requests.queued_indices().next();
        };
        let long_running = requests
            .in_stage(Stage::Running)
            .filter(|request| request.is_long)
            .count();
        let long_ones_fill_cores = long_running as f64 >= self.running_limit.value() - 1.0;
        let short_is_first = queue_order(&requests[short]) <= queue_order(&requests[long]);
        Some(if long_ones_fill_cores || short_is_first {
            short
        } else {
            long
        })
    }
}
