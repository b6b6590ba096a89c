//! When a request is given up before its run has completed, and how it is then answered.
//!
//! Every request gets exactly one final answer by its deadline. A request that can no longer be
//! served in time is answered in the last tick before its deadline, or before the termination of
//! the process, because its client would otherwise get no answer at all. A started request that has
//! missed its objective is given up earlier, because its core or its call no longer serves a client
//! in time. If such a request may not run again, it is given up only while it waits for its call:
//! otherwise it would still make this call, at the same time as all requests that waited as long.
//! The cost is that a late answer is not sent, although its client might still have waited for it.
//!
//! The answer is a rejection only if the request certainly had no effect or may run again.
//! Otherwise it is a failure, because a caller may repeat a rejected request, and its effect would
//! then happen twice.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::action::Reason;
use crate::requests::Stage;

/// A request that has no final answer yet.
pub(crate) struct OpenRequest {
    /// Its stage.
    pub(crate) stage: Stage,
    /// It may run any number of times.
    pub(crate) is_idempotent: bool,
    /// An answer by then meets its latency objective.
    pub(crate) objective_at: Duration,
    /// Its client waits until then.
    pub(crate) deadline: Duration,
}

/// The times at a tick.
pub(crate) struct TickTimes {
    /// The time since the start of the process.
    pub(crate) now: Duration,
    /// The time until the next tick.
    pub(crate) tick_interval: Duration,
    /// All requests must be answered by then, because the process is about to be terminated.
    pub(crate) answer_by: Duration,
}

impl OpenRequest {
    /// Why the request is given up at this tick, if it is.
    pub(crate) fn give_up_reason(&self, times: &TickTimes) -> Option<Reason> {
        let answer_by = self.deadline.min(times.answer_by);
        if answer_by <= times.now + times.tick_interval {
            let is_terminated_first = times.answer_by < self.deadline;
            return Some(if is_terminated_first {
                Reason::Terminating
            } else {
                Reason::DeadlineNear
            });
        }
        let is_late = has_missed_objective(self.objective_at, times.now);
        (is_late && self.may_give_up_when_late()).then_some(Reason::ObjectiveMissed)
    }

    /// A queued request is not given up here: `queue/prediction.rs` rejects it once it is no longer
    /// likely to be in time.
    fn may_give_up_when_late(&self) -> bool {
        match self.stage {
            Stage::Queued | Stage::Coalesced => false,
            Stage::OffCore => true,
            Stage::Running | Stage::Calling => self.is_idempotent,
        }
    }
}

/// Whether the latency objective of a request has passed, so that it is no longer started.
pub(crate) fn has_missed_objective(objective_at: Duration, now: Duration) -> bool {
    objective_at < now
}

/// Whether a request in this stage may be rejected; otherwise it fails.
pub(crate) fn may_reject(stage: Stage, is_idempotent: bool) -> bool {
    match stage {
        Stage::Queued => true,
        Stage::Coalesced => false,
        Stage::Running | Stage::OffCore | Stage::Calling => is_idempotent,
    }
}
