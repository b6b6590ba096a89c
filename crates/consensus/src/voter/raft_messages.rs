//! Messages of the consensus algorithm, to and from other voters.

use protobuf::Message as _;
use raft::prelude::{Message, MessageType};
use tulipgap_leases::Name;

use super::{MAX_REMEMBERED_VOTERS, Phase, Voter};
use crate::event::{Action, InvalidData, Notice};
use crate::peer_message::{LogPosition, PeerMessage, VoterId};

impl Voter {
    pub(super) fn handle_raft_message(&mut self, bytes: &[u8], actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Voting | Phase::Outside) {
            return;
        }
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return actions.push(Action::Notice(Notice::InvalidData(
                InvalidData::RaftMessage,
            )));
        };
        if message.to != self.identity.id.0 || raft::raw_node::is_local_msg(message.get_msg_type())
        {
            return;
        }
        let Some(node) = &self.node else { return };
        // Others know of entries that this voter had and has no more. The consensus would panic if
        // it stepped this.
        let confirmed = confirmed_index(&message);
        if confirmed > node.raft.raft_log.last_index() && message.term >= node.raft.term {
            return self.roll_back(
                LogPosition {
                    term: message.term,
                    index: confirmed,
                },
                actions,
            );
        }
        self.observe(&message);
        if let Some(node) = &mut self.node {
            // A message that is not accepted is out of date or from an unknown sender.
            let _ = node.step(message);
        }
        self.redraw_election_timeout();
    }

    /// Remembers how far the sender's log has come. A pre-vote's term is not one that anybody has
    /// reached.
    fn observe(&mut self, message: &Message) {
        let kind = message.get_msg_type();
        if matches!(
            kind,
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
        ) {
            return;
        }
        let observed = self.observed.entry(VoterId(message.from)).or_default();
        observed.term = observed.term.max(message.term);
        if kind == MessageType::MsgAppendResponse && !message.reject {
            observed.index = observed.index.max(message.index);
        }
        if self.observed.len() > MAX_REMEMBERED_VOTERS {
            let voters = &self.state.voters;
            self.observed.retain(|id, _| voters.contains_key(id));
        }
    }

    pub(super) fn send_raft_messages(&self, messages: Vec<Message>, actions: &mut Vec<Action>) {
        for message in messages {
            if let Some(to) = self.name_of(VoterId(message.to)) {
                let bytes = message.write_to_bytes().unwrap_or_default();
                actions.push(Action::Send {
                    to,
                    message: PeerMessage::Raft(bytes),
                });
            }
        }
    }

    fn name_of(&self, id: VoterId) -> Option<Name> {
        let voter = self.state.voters.get(&id);
        let joining = || self.state.joining.get(&id).map(|joining| &joining.name);
        let initial_voter = || {
            let promised = self.identity.promised.iter().flatten();
            promised
                .into_iter()
                .find(|(_, known)| **known == id)
                .map(|(name, _)| name)
        };
        let peer = || {
            self.peer_ids
                .iter()
                .find(|(_, known)| **known == id)
                .map(|(name, _)| name)
        };
        voter
            .or_else(joining)
            .or_else(initial_voter)
            .or_else(peer)
            .cloned()
    }
}

/// An entry that the sender takes this voter to have.
fn confirmed_index(message: &Message) -> u64 {
    match message.get_msg_type() {
        MessageType::MsgHeartbeat => message.commit,
        MessageType::MsgAppendResponse if !message.reject => message.index,
        _ => 0,
    }
}
