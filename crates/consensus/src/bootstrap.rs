//! Bootstrap: the initial voters agree on their set. They decide it once, while a voter has no log:
//! [`Voter`](crate::Voter) runs this protocol only in the phase `Bootstrapping`, which a voter
//! whose directory has a log never enters.
//!
//! A voter is identified by an id that is sampled when its directory is created, not by its name:
//! if the directory is emptied, the process gets another id and is not a voter. Once a voter knows
//! the ids of all initial voters, it promises this set and never promises another. When all have
//! promised the same set, these are the voters.
//!
//! This guards against the following failure: a directory is emptied during bootstrap, and two sets
//! of voters form that share a name, each with its own majority, so that a lease is granted twice.
//! The symptom would be two leaders in one term. A promise is durable before it is sent and never
//! changes, and a set is complete only with the promise of every member, so two sets can't both be
//! complete. The cost: if a directory is emptied before bootstrap is complete, bootstrap can't
//! complete until an operator empties the directories of all initial voters. Until then the control
//! socket shows the phase `founding`, and no log line reports it. A voter whose directory is
//! emptied later, or whose id differs from the agreed one, is in the phase `Outside`, and its host
//! logs `voter is not a member reason=folder_not_bootstrapped`.

use std::collections::BTreeMap;

use tulipgap_leases::Name;

use crate::identity::Identity;
use crate::peer_message::{BootstrapStage, VoterId};

#[cfg(test)]
mod tests;

/// The bootstrap state in another voter's handshake.
#[derive(Clone, Copy)]
pub(crate) struct PeerBootstrap<'a> {
    /// The name of the sender.
    pub(crate) from: &'a Name,
    pub(crate) id: VoterId,
    /// The initial voters, as far as the sender knows them.
    pub(crate) initial_voters: &'a BTreeMap<Name, VoterId>,
    pub(crate) stage: BootstrapStage,
}

/// The latest bootstrap state of another initial voter.
struct PeerState {
    id: VoterId,
    promised: Option<BTreeMap<Name, VoterId>>,
}

/// The state of this voter's bootstrap.
pub(crate) struct Bootstrap {
    /// The configured initial voters, which may or may not include this one.
    names: Vec<Name>,
    /// The latest state of the other configured voters, by name.
    others: BTreeMap<Name, PeerState>,
}

/// The step that this voter takes after another voter's handshake.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BootstrapStep {
    /// Wait: not all initial voters have promised the same set yet.
    Wait,
    /// Promise this set. The promise must be durable before it is sent.
    Promise(BTreeMap<Name, VoterId>),
    /// Complete bootstrap: this set was promised by all of its members.
    Complete(BTreeMap<Name, VoterId>),
    /// The cluster was bootstrapped without this voter's name, or with another id for it. This
    /// voter does not vote until it replaces another one.
    Outside,
}

impl Bootstrap {
    pub(crate) fn new(names: Vec<Name>) -> Self {
        Bootstrap {
            names,
            others: BTreeMap::new(),
        }
    }

    /// The set that this voter has promised; before it promises one, the ids it knows, including
    /// its own.
    pub(crate) fn known_voters(&self, own: &Identity) -> BTreeMap<Name, VoterId> {
        if let Some(promised) = &own.promised {
            return promised.clone();
        }
        let others = self
            .others
            .iter()
            .map(|(name, other)| (name.clone(), other.id));
        others.chain([(own.name.clone(), own.id)]).collect()
    }

    /// Decides the step after another voter's handshake; `own` is this voter's identity.
    ///
    /// A complete set is accepted from any sender: the promises of its members made it complete,
    /// and a sender that is not configured here may have been configured during bootstrap. An
    /// incomplete set counts only from a configured name.
    pub(crate) fn handle_handshake(
        &mut self,
        own: &Identity,
        peer: PeerBootstrap<'_>,
    ) -> BootstrapStep {
        let PeerBootstrap {
            from,
            id,
            initial_voters,
            stage,
        } = peer;
        if stage == BootstrapStage::Complete {
            return match initial_voters.get(&own.name) == Some(&own.id) {
                true => BootstrapStep::Complete(initial_voters.clone()),
                false => BootstrapStep::Outside,
            };
        }
        if from == &own.name || !self.names.contains(from) {
            return BootstrapStep::Wait;
        }
        let promised = (stage == BootstrapStage::Promised).then(|| initial_voters.clone());
        self.update(from, id, promised);
        let known = self.known_voters(own);
        if !self.names.iter().all(|name| known.contains_key(name)) {
            return BootstrapStep::Wait;
        }
        if own.promised.is_none() {
            return BootstrapStep::Promise(known);
        }
        match self.all_promised(own, &known) {
            true => BootstrapStep::Complete(known),
            false => BootstrapStep::Wait,
        }
    }

    /// Stores the sender's state. A delayed message with the same id does not withdraw a promise.
    fn update(&mut self, from: &Name, id: VoterId, promised: Option<BTreeMap<Name, VoterId>>) {
        let earlier = self.others.remove(from).filter(|other| other.id == id);
        let promised = promised.or_else(|| earlier.and_then(|other| other.promised));
        self.others.insert(from.clone(), PeerState { id, promised });
    }

    fn all_promised(&self, own: &Identity, voters: &BTreeMap<Name, VoterId>) -> bool {
        self.names
            .iter()
            .filter(|name| **name != own.name)
            .all(|name| {
                self.others.get(name).is_some_and(|other| {
                    other.promised.as_ref() == Some(voters) && voters.get(name) == Some(&other.id)
                })
            })
    }
}
