//! Detects that a voter's directory was rolled back to an older copy. Such a voter must not vote
//! again.
//!
//! Raft assumes that the state that a voter confirmed stays on its disk (section 5.2 and figure 2:
//! term, vote and log are persistent). A directory restored from a backup violates that: the voter
//! may vote twice in a term, or vote for a leader that lacks an entry that the voter itself
//! confirmed, and a committed grant of a lease is lost. The symptom would be two leaders in a term,
//! or a fencing token that is granted twice.
//!
//! Each voter remembers the furthest position of every other voter's log that it has observed, and
//! sends it to that voter with each handshake. If another voter has observed a higher term or a
//! later entry than a voter's own log has, that log is an older copy. A Raft message that refers to
//! an entry that the receiver confirmed but does not have reveals an older copy, too. Observed
//! positions are kept only in memory: an older copy stays undetected while no voter that has
//! observed a later position is running.

use std::collections::BTreeMap;

use raft::prelude::{Message, MessageType};
use tulipgap_leases::Name;

use super::peers::MAX_TRACKED_VOTERS;
use crate::peer_message::{LogPosition, VoterId};

/// The furthest positions of other voters' logs that their messages to this voter have confirmed.
#[derive(Default)]
pub(super) struct ObservedLogs {
    positions: BTreeMap<VoterId, LogPosition>,
}

impl ObservedLogs {
    /// The observed position of a voter's log; zero if none was observed.
    pub(super) fn position(&self, id: VoterId) -> LogPosition {
        self.positions.get(&id).copied().unwrap_or_default()
    }

    /// Records the position of the sender's log. Pre-vote messages are ignored, since the sender
    /// has not reached the term that they carry. Beyond [`MAX_TRACKED_VOTERS`], only positions
    /// of `voters` are kept.
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
        if self.positions.len() > MAX_TRACKED_VOTERS {
            self.positions.retain(|id, _| voters.contains_key(id));
        }
    }
}

/// Whether another voter has observed a later position of this voter's log than the durable one.
pub(super) fn is_rolled_back(durable: LogPosition, observed: LogPosition) -> bool {
    observed.term > durable.term || observed.index > durable.index
}

/// The position that a message assumes for this voter's log, if it contradicts the log: the index
/// is beyond the current position `own`, in the same or a later term. The consensus would panic on
/// such a message.
pub(super) fn contradicting_position(message: &Message, own: LogPosition) -> Option<LogPosition> {
    let index = confirmed_index(message);
    let contradicts = index > own.index && message.term >= own.term;
    contradicts.then_some(LogPosition {
        term: message.term,
        index,
    })
}

/// The index of an entry that the sender assumes in this voter's log; zero if it assumes none.
fn confirmed_index(message: &Message) -> u64 {
    match message.get_msg_type() {
        MessageType::MsgHeartbeat => message.commit,
        MessageType::MsgAppendResponse if !message.reject => message.index,
        _ => 0,
    }
}
