//! What is known of the link and of the runs on it, behind one lock.

use std::collections::HashMap;
use std::sync::Arc;

use super::gauges::LastGauges;
use super::notices::NoticeSequence;
use super::queries::{Queries, Reply};
use super::resync::{Delivery, Fate, ResyncFacts, Run};
use crate::net::stream::Output;
use crate::requests::RequestId;

/// The state of the link. Whoever holds its lock sends commands in the order of their positions.
#[derive(Default)]
pub(super) struct LinkState {
    /// The link that takes commands, once all missed notices were read from it.
    pub(super) output: Option<Arc<Output>>,
    /// The open link.
    pub(super) link: Option<Arc<Output>>,
    pub(super) notices: NoticeSequence,
    /// Runs that were started and whose end was not read.
    pub(super) runs: HashMap<RequestId, Run>,
    pub(super) queries: Queries,
    /// The number of commands that were sent, over all links. The position of a command is its
    /// number among them.
    pub(super) commands_sent: u64,
    /// Commands up to this position are known to have arrived.
    pub(super) commands_arrived: u64,
    pub(super) last_gauges: LastGauges,
}

/// The runs that a new link affects, each list in the order of the ids.
pub(super) struct Resync {
    /// They may have ended without their notices.
    pub(super) outcome_unknown: Vec<RequestId>,
    /// Their last commands are sent again.
    pub(super) resend: Vec<RequestId>,
}

impl LinkState {
    /// The open link has ended. Returns whether it took commands.
    pub(super) fn close_link(&mut self) -> bool {
        self.link = None;
        self.queries.abandon_all();
        self.output.take().is_some()
    }

    /// Counts a command that was sent, and returns how far it has come.
    pub(super) fn count_command(&mut self) -> Delivery {
        self.commands_sent += 1;
        Delivery::Sent(self.commands_sent)
    }

    /// Stores the reply to a query; it shows that the commands before the query have arrived.
    pub(super) fn answer(&mut self, tag: u64, reply: Reply) {
        if let Some(commands) = self.queries.answer(tag, reply) {
            self.commands_arrived = self.commands_arrived.max(commands);
        }
    }

    /// Lets commands be sent over this link, and decides on each run. `None` where the link has
    /// ended in the meantime: the next one decides.
    pub(super) fn activate(&mut self, output: &Arc<Output>) -> Option<Resync> {
        let link = self.link.as_ref();
        if !link.is_some_and(|link| Arc::ptr_eq(link, output)) {
            return None;
        }
        self.output = Some(output.clone());
        let facts = ResyncFacts {
            commands_arrived: self.commands_arrived,
            notices_are_missing: self.notices.take_gap(),
        };
        let (mut outcome_unknown, mut resend) = (Vec::new(), Vec::new());
        self.runs.retain(|id, run| match run.fate(facts) {
            Fate::Unchanged => true,
            Fate::Resend => {
                // The command was not sent over this link, so no reply on this link shows that it
                // has arrived.
                run.delivery = Delivery::NotSent;
                resend.push(id.clone());
                true
            }
            Fate::OutcomeUnknown => {
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
