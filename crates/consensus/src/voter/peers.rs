//! What handshakes tell this voter about the others: the id that each name has sent, and the voters
//! that have replied since this voter was started.

use std::collections::BTreeMap;

use tulipgap_leases::Name;

use crate::config::MAX_VOTERS;
use crate::identity::Identity;
use crate::peer_message::VoterId;
use crate::replicated_state::ReplicatedState;

/// The maximum number of voters, including former and future ones, whose ids or log positions are
/// kept. It bounds the memory that messages from unknown senders can take.
pub(super) const MAX_TRACKED_VOTERS: usize = 4 * MAX_VOTERS;

/// The other voters' ids and replies.
#[derive(Default)]
pub(super) struct Peers {
    /// The latest id that each name has sent.
    ids: BTreeMap<Name, VoterId>,
    /// The voters that have replied to a handshake since the start.
    replied: Vec<Name>,
}

impl Peers {
    /// Stores the id that a name has sent. Beyond [`MAX_TRACKED_VOTERS`], only the initial
    /// voters and the sender are kept.
    pub(super) fn record_id(&mut self, name: &Name, id: VoterId, initial_voters: &[Name]) {
        self.ids.insert(name.clone(), id);
        if self.ids.len() > MAX_TRACKED_VOTERS {
            self.ids
                .retain(|known, _| initial_voters.contains(known) || known == name);
        }
    }

    /// Records that a voter has replied to a handshake.
    pub(super) fn record_reply(&mut self, from: &Name) {
        if !self.replied.contains(from) {
            self.replied.push(from.clone());
        }
    }

    /// The voters that have replied to a handshake since the start.
    pub(super) fn replied(&self) -> &[Name] {
        &self.replied
    }

    /// The latest id that a name has sent.
    pub(super) fn id_of(&self, name: &Name) -> Option<VoterId> {
        self.ids.get(name).copied()
    }

    /// The name of a voter, from the first source that has it: the replicated state, the set that
    /// this voter promised during bootstrap, the handshakes.
    pub(super) fn name_of(
        &self,
        id: VoterId,
        state: &ReplicatedState,
        own: &Identity,
    ) -> Option<Name> {
        let voter = state.voters.get(&id);
        let joining = || state.joining.get(&id).map(|joining| &joining.name);
        let initial_voter = || own.promised.as_ref().and_then(|all| name_with_id(all, id));
        voter
            .or_else(joining)
            .or_else(initial_voter)
            .or_else(|| name_with_id(&self.ids, id))
            .cloned()
    }
}

fn name_with_id(ids: &BTreeMap<Name, VoterId>, id: VoterId) -> Option<&Name> {
    ids.iter()
        .find(|(_, known)| **known == id)
        .map(|(name, _)| name)
}

/// The names of the voters and of the configured initial voters, except this voter.
pub(super) fn other_voters(
    state: &ReplicatedState,
    initial_voters: &[Name],
    own_name: &Name,
) -> Vec<Name> {
    let mut others: Vec<Name> = state
        .voters
        .values()
        .chain(initial_voters)
        .cloned()
        .collect();
    others.sort();
    others.dedup();
    others.retain(|name| name != own_name);
    others
}
