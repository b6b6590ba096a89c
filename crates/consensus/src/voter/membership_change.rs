//! Membership changes. One voter replaces another in three entries, each of which is committed
//! before the next is proposed: the new voter becomes a learner, the learner becomes a voter, and
//! the old voter is removed.
//!
//! Voters are added and removed one at a time, so that any two majorities share a member (Raft's
//! dissertation, section 4.1). The new voter is a learner first (section 4.2.1): a voter with an
//! empty log would count for the majority and confirm nothing, and one more failure would leave no
//! quorum until it has caught up. The old voter is removed last, so that a failure of the new voter
//! during the change costs no vote. A leader does not remove itself: it transfers leadership, and
//! the next leader removes it. In section 4.2.2 a leader steps down after its removal, which would
//! leave the group without a leader until an election.

use raft::prelude::{ConfChange, ConfChangeType};
use tulipgap_leases::Name;

use crate::peer_message::VoterId;
use crate::replicated_state::{JoiningVoter, ReplicatedState, VoterChange};

/// The maximum number of committed entries that a learner's log may lack when it becomes a voter.
const MAX_LEARNER_LAG_ENTRIES: u64 = 50;

/// One step of a membership change, to be proposed.
#[derive(Debug, PartialEq)]
pub(super) struct ChangeStep {
    pub(super) kind: ConfChangeType,
    /// The voter that is added or removed.
    pub(super) id: VoterId,
    pub(super) change: VoterChange,
}

impl ChangeStep {
    /// Whether the step removes the voter `id`.
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

/// The replication progress of a learner, as known to the leader.
#[derive(Clone, Copy)]
pub(super) struct LearnerProgress {
    /// The index of the last entry that is known to match the leader's log.
    pub(super) matched_index: u64,
    /// The index of the last committed entry.
    pub(super) committed_index: u64,
}

impl LearnerProgress {
    /// Whether the learner may vote. A learner with an empty log may not, however few entries are
    /// committed.
    pub(super) fn has_caught_up(self) -> bool {
        self.matched_index > 0
            && self.matched_index + MAX_LEARNER_LAG_ENTRIES >= self.committed_index
    }
}

/// The first step of replacing the voter `old` with `new`, whose directory has the id `new_id`.
/// `None` if `old` is not a voter or `new_id` already is one.
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

/// The next step of a membership change in progress. A replaced voter is removed before another
/// learner becomes a voter. `has_caught_up` tells whether a learner may vote.
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

/// Applies a committed step that the consensus has accepted to the replicated state.
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
