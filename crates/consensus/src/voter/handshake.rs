//! Handshakes: the ids of the voters, their bootstrap, and the detection of a directory that was
//! rolled back.

use std::collections::BTreeMap;

use tulipgap_leases::Name;

use super::{MAX_REMEMBERED_VOTERS, Phase, Voter};
use crate::bootstrap::BootstrapStep;
use crate::event::{Action, InvalidData, Notice};
use crate::log_store::LogStore;
use crate::peer_message::{BootstrapStage, LogPosition, PeerMessage, VoterId};

impl Voter {
    pub(super) fn remember_peer(&mut self, name: &Name, id: VoterId) {
        self.peer_ids.insert(name.clone(), id);
        if self.peer_ids.len() > MAX_REMEMBERED_VOTERS {
            let names = &self.initial_voter_names;
            self.peer_ids
                .retain(|known, _| names.contains(known) || known == name);
        }
    }

    /// The voters and the initial voters, this one left out.
    fn other_voters(&self) -> Vec<Name> {
        let mut others: Vec<Name> = self
            .state
            .voters
            .values()
            .chain(&self.initial_voter_names)
            .cloned()
            .collect();
        others.sort();
        others.dedup();
        others.retain(|name| *name != self.identity.name);
        others
    }

    pub(super) fn send_handshakes(&self, wants_reply: bool, actions: &mut Vec<Action>) {
        for to in self.other_voters() {
            self.send_handshake(&to, wants_reply, actions);
        }
    }

    pub(super) fn send_handshake(&self, to: &Name, wants_reply: bool, actions: &mut Vec<Action>) {
        let id = self.peer_ids.get(to);
        let message = PeerMessage::Handshake {
            wants_reply,
            id: self.identity.id,
            initial_voters: self.bootstrap.known_voters(&self.identity),
            stage: self.identity.stage(),
            observed: id
                .and_then(|id| self.observed.get(id))
                .copied()
                .unwrap_or_default(),
        };
        actions.push(Action::Send {
            to: to.clone(),
            message,
        });
    }

    /// A restarted voter votes once all others have reported how far they have seen its log.
    pub(super) fn vote_once_all_replied(&mut self) {
        if let Phase::Waiting { .. } = self.phase
            && self
                .other_voters()
                .iter()
                .all(|other| self.replied.contains(other))
        {
            self.phase = Phase::Voting;
        }
    }

    /// Whether others have seen more of this voter's log than it has itself: its directory is an
    /// older copy.
    pub(super) fn is_behind(&self, observed: LogPosition) -> bool {
        self.node.as_ref().is_some_and(|node| {
            let log = &node.raft.raft_log;
            observed.term > node.raft.store().term() || observed.index > log.last_index()
        })
    }

    pub(super) fn roll_back(&mut self, observed: LogPosition, actions: &mut Vec<Action>) {
        let own = self
            .node
            .as_ref()
            .map_or_else(LogPosition::default, |node| LogPosition {
                term: node.raft.term,
                index: node.raft.raft_log.last_index(),
            });
        self.stop_node();
        self.expiry.stop_leading();
        actions.push(Action::Notice(Notice::RolledBack { own, observed }));
    }

    pub(super) fn advance_bootstrap(
        &mut self,
        from: &Name,
        id: VoterId,
        initial_voters: &BTreeMap<Name, VoterId>,
        stage: BootstrapStage,
        actions: &mut Vec<Action>,
    ) {
        match self
            .bootstrap
            .handle_handshake(&self.identity, from, id, initial_voters, stage)
        {
            BootstrapStep::Wait => {}
            BootstrapStep::Promise(voters) => {
                self.identity.promised = Some(voters);
                actions.push(Action::WriteIdentity(self.identity.encode()));
                self.send_handshakes(false, actions);
            }
            BootstrapStep::Complete(voters) => self.complete_bootstrap(voters, actions),
            BootstrapStep::Outside => {
                actions.push(Action::Notice(Notice::NotAMember));
                self.phase = Phase::Outside;
                let store = LogStore::default();
                actions.push(Action::WriteSnapshot(store.encode()));
                self.start_node_or_report(store, actions);
            }
        }
    }

    fn complete_bootstrap(
        &mut self,
        initial_voters: BTreeMap<Name, VoterId>,
        actions: &mut Vec<Action>,
    ) {
        let store = LogStore::bootstrapped(&initial_voters);
        let voters = initial_voters.keys().map(Name::to_string).collect();
        // The log first: an identity alone would name voters and start without the log that they
        // begin with.
        actions.push(Action::WriteSnapshot(store.encode()));
        (self.identity.promised, self.identity.is_bootstrapped) = (Some(initial_voters), true);
        actions.push(Action::WriteIdentity(self.identity.encode()));
        actions.push(Action::Notice(Notice::Bootstrapped { voters }));
        self.phase = Phase::Voting;
        self.send_handshakes(false, actions);
        self.start_node_or_report(store, actions);
    }

    fn start_node_or_report(&mut self, store: LogStore, actions: &mut Vec<Action>) {
        if let Err(error) = self.start_node(store) {
            actions.push(Action::Notice(Notice::InvalidData(InvalidData::State(
                error,
            ))));
        }
    }
}
