//! Changes of who votes. One voter replaces another by three entries, each committed before the
//! next is proposed: the new one learns, the new one votes, the old one is removed.
//!
//! One voter at a time, so that any two majorities share a member (Raft's dissertation, section
//! 4.1). The new voter learns first (section 4.2.1): one with an empty log would count for the
//! majority and confirm nothing, and a further failure would leave no quorum until it caught up.
//! The old one leaves last, so a new one that fails on the way costs no vote. A leader does not
//! remove itself: it hands leadership over, and the next leader removes it (section 4.2.2 has it
//! step down after its removal, when nobody leads until an election).

use raft::prelude::{ConfChange, ConfChangeType};
use tulipgap_leases::Name;

use crate::peer_message::VoterId;
use crate::replicated_state::{JoiningVoter, ReplicatedState, VoterChange};

/// A learner may vote once its log has an entry and is at most this many entries behind the
/// committed ones.
const MAX_LEARNER_LAG_ENTRIES: u64 = 50;

/// One step of a change, to be proposed.
#[derive(Debug, PartialEq)]
pub(super) struct ChangeStep {
    pub(super) kind: ConfChangeType,
    /// The voter that is added or removed.
    pub(super) id: VoterId,
    pub(super) change: VoterChange,
}

impl ChangeStep {
    /// Whether the step removes that voter.
    pub(super) fn removes(&self, id: VoterId) -> bool {
        self.kind == ConfChangeType::RemoveNode && self.id == id
    }

    pub(super) fn encode(&self) -> ConfChange {
        let mut conf_change = ConfChange::default();
        conf_change.set_change_type(self.kind);
        conf_change.node_id = self.id.0;
        let context = postcard::to_stdvec(&self.change).unwrap_or_default();
        conf_change.set_context(context.into());
        conf_change
    }
}

/// How far a learner's log has come, by the leader's knowledge.
#[derive(Clone, Copy)]
pub(super) struct LearnerProgress {
    /// The last entry that is known to be in its log.
    pub(super) matched_index: u64,
    /// The last committed entry.
    pub(super) committed_index: u64,
}

impl LearnerProgress {
    /// Whether the learner may vote.
    pub(super) fn has_caught_up(self) -> bool {
        self.matched_index > 0
            && self.matched_index + MAX_LEARNER_LAG_ENTRIES >= self.committed_index
    }
}

/// The first step by which `new`, whose directory has the id `new_id`, replaces the voter `old`.
/// `None` where `old` does not vote or `new` does already.
pub(super) fn first_step(
    state: &ReplicatedState,
    old: &Name,
    new: &Name,
    new_id: VoterId,
) -> Option<ChangeStep> {
    let replaced = state.voters.iter().find(|(_, name)| *name == old);
    let replaces = *replaced?.0;
    if new_id == replaces || state.voters.contains_key(&new_id) {
        return None;
    }
    let change = VoterChange {
        name: new.clone(),
        replaces,
    };
    Some(ChangeStep {
        kind: ConfChangeType::AddLearnerNode,
        id: new_id,
        change,
    })
}

/// The next step of a change that is under way. A replaced voter is removed before another learner
/// votes. `has_caught_up` says of a learner whether it may vote.
pub(super) fn next_step(
    state: &ReplicatedState,
    has_caught_up: impl Fn(VoterId) -> bool,
) -> Option<ChangeStep> {
    if let Some(&id) = state.leaving.first() {
        let name = state.voters.get(&id).cloned();
        let name = name.unwrap_or_else(|| "".into());
        let change = VoterChange { name, replaces: id };
        return Some(ChangeStep {
            kind: ConfChangeType::RemoveNode,
            id,
            change,
        });
    }
    let caught_up = state.joining.iter().find(|(id, _)| has_caught_up(**id));
    let (&id, JoiningVoter { name, replaces }) = caught_up?;
    let change = VoterChange {
        name: name.clone(),
        replaces: *replaces,
    };
    Some(ChangeStep {
        kind: ConfChangeType::AddNode,
        id,
        change,
    })
}

/// Applies a committed step that the consensus has accepted.
pub(super) fn apply_step(state: &mut ReplicatedState, conf_change: &ConfChange) {
    let id = VoterId(conf_change.node_id);
    let Ok(VoterChange { name, replaces }) = postcard::from_bytes(conf_change.get_context()) else {
        return;
    };
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
