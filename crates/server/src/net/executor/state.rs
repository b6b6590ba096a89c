//! The state of the link and of the runs, behind one lock.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use super::arrivals::Arrivals;
use super::gauges::LastGauges;
use super::notices::NoticeSequence;
use super::queries::{Queries, Reply};
use super::resync::{Delivery, ResyncDecision, ResyncInputs, Run};
use crate::net::stream::Output;
use crate::requests::RequestId;

/// The state of the link and of the runs. Commands are sent under its lock, in the order of their
/// positions.
#[derive(Default)]
pub(super) struct LinkState {
    /// The link over which commands are sent, once all missed notices were read from it.
    pub(super) output: Option<Arc<Output>>,
    /// The open link, from its opening on; commands are sent only over `output`.
    pub(super) link: Option<Arc<Output>>,
    pub(super) notices: NoticeSequence,
    /// Runs that were started and for which no end was read.
    pub(super) runs: HashMap<RequestId, Run>,
    pub(super) queries: Queries,
    /// The number of commands that were sent, over all links. The position of a command is its
    /// number among them.
    pub(super) commands_sent: u64,
    pub(super) arrivals: Arrivals,
    pub(super) last_gauges: LastGauges,
}

/// The runs that a new link affects; each list is sorted by id.
pub(super) struct Resync {
    /// Runs that may have ended while their notices were lost.
    pub(super) outcome_unknown: Vec<RequestId>,
    /// Runs whose last command is sent again.
    pub(super) resend: Vec<RequestId>,
}

impl LinkState {
    /// Closes the link. Returns whether commands could be sent over it.
    pub(super) fn close_link(&mut self) -> bool {
        self.link = None;
        self.queries.abandon_all();
        self.arrivals.end_link();
        self.output.take().is_some()
    }

    /// Counts a sent command, and returns its delivery state.
    pub(super) fn count_command(&mut self) -> Delivery {
        self.commands_sent += 1;
        Delivery::Sent(self.commands_sent)
    }

    /// Stores the reply to a query.
    pub(super) fn answer(&mut self, tag: u64, reply: Reply) {
        let Some(read) = self.queries.answer(tag, reply) else {
            return;
        };
        if read.is_final {
            self.arrivals.record_final_reply(read.position);
        } else {
            self.arrivals
                .record_reply(read.position, read.sent_at, Instant::now());
        }
    }

    /// Allows commands over this link, and decides on each run. Returns `None` if the link has
    /// ended in the meantime; the next link then decides.
    pub(super) fn activate(&mut self, output: &Arc<Output>) -> Option<Resync> {
        let link = self.link.as_ref();
        if !link.is_some_and(|link| Arc::ptr_eq(link, output)) {
            return None;
        }
        self.output = Some(output.clone());
        let inputs = ResyncInputs {
            commands_arrived: self.arrivals.certain(),
            has_missing_notices: self.notices.take_gap(),
        };
        let (mut outcome_unknown, mut resend) = (Vec::new(), Vec::new());
        self.runs.retain(|id, run| match run.decide(inputs) {
            ResyncDecision::Unchanged => true,
            ResyncDecision::Resend => {
                // The command was not sent over this link, so no reply on this link may confirm it.
                run.delivery = Delivery::NotSent;
                resend.push(id.clone());
                true
            }
            ResyncDecision::OutcomeUnknown => {
                outcome_unknown.push(id.clone());
                false
            }
        });
        outcome_unknown.sort_unstable();
        resend.sort_unstable();
        Some(Resync {
            outcome_unknown,
            resend,
        })
    }
}
