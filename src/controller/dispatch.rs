//! Dispatch: how many requests run at once, and which queued request starts next.

use super::Controller;
use super::queueing::queue_order;
use super::tuning::{BUSY_FRACTION, MIN_RUNNING_CORE_FRACTION, READ_BACKLOG_FRACTION};
use crate::action::{Action, Reason};
use crate::event::RequestIndex;
use crate::limits::USABLE_LIMIT_FRACTION;
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
        let started = requests.running + requests.calling + requests.awaiting_call.len();
        let survivable = (self.capacity.survivable_concurrency(self.clock.now())
            * USABLE_LIMIT_FRACTION)
            .max(1.0);
        (requests.running as f64) < self.concurrency_limit() && (started + 1) as f64 <= survivable
    }

    /// Runs that the cores bear beside the reading that goes on: saturated cores do less in all,
    /// and starving the reading leaves requests unread until they are late. Guards against floods;
    /// it never binds at rest.
    fn concurrency_limit(&self) -> f64 {
        let spare = self.capacity.cores - self.capacity.reading;
        // With a read backlog, what is read is late already, and answers reach nobody until reading
        // has caught up. It does not catch up where nothing completes for a whole window.
        let unread = self.metrics.mean_unread_seconds(BUCKET_WIDTH);
        let has_read_backlog = unread > READ_BACKLOG_FRACTION * self.brownout.setpoint_seconds()
            && self.metrics.recent(Metric::Completed) > 0.0;
        let floor = self.capacity.cores * MIN_RUNNING_CORE_FRACTION;
        let limit = if has_read_backlog {
            spare
        } else {
            spare.max(floor)
        };
        limit.min(self.capacity.running_limit)
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
        let long_ones_fill_cores = long_running as f64 >= self.capacity.running_limit - 1.0;
        let short_is_first = queue_order(&requests[short]) <= queue_order(&requests[long]);
        Some(if long_ones_fill_cores || short_is_first {
            short
        } else {
            long
        })
    }

    /// The running limit grows only while cores idle with work queued.
    pub(super) fn adjust_running_limit(&mut self) {
        let has_queue = !self.requests.queue_is_empty();
        let step = if has_queue && self.capacity.busy < BUSY_FRACTION {
            1.0
        } else {
            -1.0
        };
        let highest_limit = (self.capacity.survivable_concurrency(self.clock.now())
            * USABLE_LIMIT_FRACTION)
            .max(self.capacity.cores);
        self.capacity.running_limit =
            (self.capacity.running_limit + step).clamp(self.capacity.cores, highest_limit);
    }
}
