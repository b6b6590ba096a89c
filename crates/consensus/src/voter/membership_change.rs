//! Changes of who votes. One voter replaces another by three entries, each committed before the
//! next: the new one learns, the new one votes, the old one is removed.

use raft::prelude::{ConfChange, ConfChangeType};
use tulipgap_leases::Name;

use super::Voter;
use crate::peer_message::VoterId;
use crate::replicated_state::{JoiningVoter, VoterChange};

/// A learner may vote once its log is at most this many entries behind the committed ones.
const MAX_LEARNER_LAG: u64 = 50;

impl Voter {
    pub(super) fn replace_voter(&mut self, old: &Name, new: &Name) {
        let replaced = self
            .state
            .voters
            .iter()
            .find(|(_, name)| *name == old)
            .map(|(id, _)| *id);
        let (Some(replaces), Some(&id)) = (replaced, self.peer_ids.get(new)) else {
            return;
        };
        if id != replaces && !self.state.voters.contains_key(&id) {
            let change = VoterChange {
                name: new.clone(),
                replaces,
            };
            self.propose_change(ConfChangeType::AddLearnerNode, id, &change);
        }
    }

    fn propose_change(&mut self, kind: ConfChangeType, id: VoterId, change: &VoterChange) {
        let Some(node) = &mut self.node else { return };
        let mut conf_change = ConfChange::default();
        conf_change.set_change_type(kind);
        conf_change.node_id = id.0;
        conf_change.set_context(postcard::to_stdvec(change).unwrap_or_default().into());
        // One change at a time; what is not accepted is proposed again at a later tick.
        let _ = node.propose_conf_change(Vec::new(), conf_change);
    }

    /// Proposes the next step of a change that is under way.
    pub(super) fn advance_membership_changes(&mut self) {
        if !self.is_leader() {
            return;
        }
        if let Some(&id) = self.state.leaving.first() {
            let name = self
                .state
                .voters
                .get(&id)
                .cloned()
                .unwrap_or_else(|| "".into());
            let change = VoterChange { name, replaces: id };
            return self.propose_change(ConfChangeType::RemoveNode, id, &change);
        }
        let caught_up = self
            .state
            .joining
            .iter()
            .find(|(id, _)| self.has_caught_up(**id));
        if let Some((&id, JoiningVoter { name, replaces })) = caught_up {
            let change = VoterChange {
                name: name.clone(),
                replaces: *replaces,
            };
            self.propose_change(ConfChangeType::AddNode, id, &change);
        }
    }

    fn has_caught_up(&self, learner: VoterId) -> bool {
        self.node.as_ref().is_some_and(|node| {
            let matched = node
                .raft
                .prs()
                .get(learner.0)
                .map_or(0, |progress| progress.matched);
            matched + MAX_LEARNER_LAG >= node.raft.raft_log.committed
        })
    }

    /// Applies a committed step of a change.
    pub(super) fn apply_change(&mut self, conf_change: &ConfChange) {
        let Some(node) = &mut self.node else { return };
        // The consensus refuses what would leave no voter; then nothing of it is applied here
        // either.
        if node.apply_conf_change(conf_change).is_err() {
            return;
        }
        let id = VoterId(conf_change.node_id);
        let Ok(VoterChange { name, replaces }) = postcard::from_bytes(conf_change.get_context())
        else {
            return;
        };
        let state = &mut self.state;
        match conf_change.get_change_type() {
            ConfChangeType::AddLearnerNode => {
                state.joining.insert(id, JoiningVoter { name, replaces });
            }
            ConfChangeType::AddNode => {
                state.joining.remove(&id);
                state.voters.insert(id, name);
                if state.voters.contains_key(&replaces) && !state.leaving.contains(&replaces) {
                    state.leaving.push(replaces);
                }
            }
            ConfChangeType::RemoveNode => {
                state.voters.remove(&id);
                state.joining.remove(&id);
                state.leaving.retain(|leaving| *leaving != id);
            }
        }
    }
}
