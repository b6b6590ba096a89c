//! Whether a voter's directory was rolled back to an older copy. Such a voter must not vote again.
//!
//! Raft assumes that what a voter confirmed stays on its disk (section 5.2 and figure 2: term,
//! vote and log are persistent). A directory restored from a backup breaks that: the voter may vote
//! twice in a term, or vote for a leader that lacks an entry which it confirmed itself, and a
//! committed grant of a lease is gone. It would show as two leaders in a term, or as a fencing
//! token that is handed out twice.
//!
//! Each voter remembers how far it has seen the others' logs and sends that with each handshake.
//! Where others saw a higher term or a later entry than a voter's own log has, that log is an older
//! copy. The same is found where a message of the consensus names an entry that the receiver
//! confirmed and does not have. What was seen is in memory alone: a copy is not detected where
//! nobody who saw more is up.

use std::collections::BTreeMap;

use raft::prelude::{Message, MessageType};
use tulipgap_leases::Name;

use super::peers::MAX_REMEMBERED_VOTERS;
use crate::peer_message::{LogPosition, VoterId};

/// How far other voters have confirmed their logs, in messages to this one.
#[derive(Default)]
pub(super) struct ObservedLogs {
    positions: BTreeMap<VoterId, LogPosition>,
}

impl ObservedLogs {
    /// How far a voter's log was seen; the start where nothing was.
    pub(super) fn position(&self, id: VoterId) -> LogPosition {
        self.positions.get(&id).copied().unwrap_or_default()
    }

    /// Remembers how far the sender's log has come. A pre-vote's term is not one that anybody has
    /// reached. Beyond [`MAX_REMEMBERED_VOTERS`] only `voters` are kept.
    pub(super) fn observe(&mut self, message: &Message, voters: &BTreeMap<VoterId, Name>) {
        let kind = message.get_msg_type();
        let is_pre_vote = matches!(
            kind,
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
        );
        if is_pre_vote {
            return;
        }
        let observed = self.positions.entry(VoterId(message.from)).or_default();
        observed.term = observed.term.max(message.term);
        if kind == MessageType::MsgAppendResponse && !message.reject {
            observed.index = observed.index.max(message.index);
        }
        if self.positions.len() > MAX_REMEMBERED_VOTERS {
            self.positions.retain(|id, _| voters.contains_key(id));
        }
    }
}

/// Whether another voter has seen more of this voter's log than is durable here.
pub(super) fn is_rolled_back(durable: LogPosition, observed: LogPosition) -> bool {
    observed.term > durable.term || observed.index > durable.index
}

/// The position that a message takes this voter's log to have reached, where the log, of which
/// `own` is the present position, has not. The consensus would panic if it stepped such a message.
pub(super) fn contradicting_position(message: &Message, own: LogPosition) -> Option<LogPosition> {
    let index = confirmed_index(message);
    let contradicts = index > own.index && message.term >= own.term;
    contradicts.then_some(LogPosition {
        term: message.term,
        index,
    })
}

/// An entry that the sender takes this voter to have; zero where the message names none.
fn confirmed_index(message: &Message) -> u64 {
    match message.get_msg_type() {
        MessageType::MsgHeartbeat => message.commit,
        MessageType::MsgAppendResponse if !message.reject => message.index,
        _ => 0,
    }
}
