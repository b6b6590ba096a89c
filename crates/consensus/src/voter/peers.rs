//! The other voters as their handshakes describe them: which id belongs to which name, and who has
//! replied since this voter was started.

use std::collections::BTreeMap;

use tulipgap_leases::Name;

use crate::config::MAX_VOTERS;
use crate::identity::Identity;
use crate::peer_message::VoterId;
use crate::replicated_state::ReplicatedState;

/// Voters of which something is remembered, former and future ones included. Bounds the memory that
/// handshakes of unknown senders can take.
pub(super) const MAX_REMEMBERED_VOTERS: usize = 4 * MAX_VOTERS;

/// What is known of the other voters.
#[derive(Default)]
pub(super) struct Peers {
    /// The id that each name last sent.
    ids: BTreeMap<Name, VoterId>,
    /// Who has replied to a handshake since the start.
    replied: Vec<Name>,
}

impl Peers {
    /// Remembers the id that a name sent. Beyond [`MAX_REMEMBERED_VOTERS`] only the initial voters
    /// and the sender are kept.
    pub(super) fn remember(&mut self, name: &Name, id: VoterId, initial_voters: &[Name]) {
        self.ids.insert(name.clone(), id);
        if self.ids.len() > MAX_REMEMBERED_VOTERS {
            self.ids
                .retain(|known, _| initial_voters.contains(known) || known == name);
        }
    }

    /// A voter has replied to a handshake.
    pub(super) fn record_reply(&mut self, from: &Name) {
        if !self.replied.contains(from) {
            self.replied.push(from.clone());
        }
    }

    /// Who has replied to a handshake since the start.
    pub(super) fn replied(&self) -> &[Name] {
        &self.replied
    }

    /// The id that a name last sent.
    pub(super) fn id_of(&self, name: &Name) -> Option<VoterId> {
        self.ids.get(name).copied()
    }

    /// The name of a voter: as agreed on, where it was; else as promised at the bootstrap; else as
    /// its handshake said.
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

/// The voters and the initial voters by name, this one left out.
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
