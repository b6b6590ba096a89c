//! Bootstrap: which voters are the initial ones. It is decided once, while a voter has no log:
//! [`Voter`](crate::Voter) asks this rule only in the phase `Bootstrapping`, which a directory with
//! a log never enters.
//!
//! Each is known by an id that was drawn when its directory was created, not by its name: a
//! directory that was emptied draws another id, and whoever has it is no voter. Once a voter knows
//! the ids of all, it promises them, once and for all; when all have promised the same ids, those
//! are the voters.
//!
//! The failure it guards against: a directory is emptied during the bootstrap, and two sets of
//! voters form that share a name, each with a majority of its own, so a lease is granted twice. It
//! would show as two leaders in one term. A promise is durable before it is sent and never changed,
//! and a set needs the promise of every member, so two sets can't both be complete. The price: a
//! directory that is emptied before the bootstrap is complete leaves it incomplete, and an operator
//! must empty all. Operators then see the phase `founding` in the answers of the control socket,
//! for as long as that lasts; no log line tells them. One that is emptied later, or has another id
//! than the voters agreed on, is outside: `voter is not a member reason=folder_not_bootstrapped`.

use std::collections::BTreeMap;

use tulipgap_leases::Name;

use crate::identity::Identity;
use crate::peer_message::{BootstrapStage, VoterId};

#[cfg(test)]
mod tests;

/// What another voter's handshake says of its bootstrap.
#[derive(Clone, Copy)]
pub(crate) struct PeerBootstrap<'a> {
    /// The name that the message came from.
    pub(crate) from: &'a Name,
    pub(crate) id: VoterId,
    /// The initial voters, as far as the sender knows them.
    pub(crate) initial_voters: &'a BTreeMap<Name, VoterId>,
    pub(crate) stage: BootstrapStage,
}

/// What another voter has sent of itself.
struct Candidate {
    id: VoterId,
    promised: Option<BTreeMap<Name, VoterId>>,
}

/// What this voter knows of the others before they are bootstrapped.
pub(crate) struct Bootstrap {
    /// The initial voters as they are configured, this one among them or not.
    names: Vec<Name>,
    /// What the others that are configured have sent, by name.
    others: BTreeMap<Name, Candidate>,
}

/// What follows from another voter's handshake.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum BootstrapStep {
    /// Not all have promised the same yet.
    Wait,
    /// Promise these; durable before it is sent.
    Promise(BTreeMap<Name, VoterId>),
    /// These are the voters.
    Complete(BTreeMap<Name, VoterId>),
    /// Others were bootstrapped, with another id under this name or without it. This voter does not
    /// vote until it replaces another.
    Outside,
}

impl Bootstrap {
    pub(crate) fn new(names: Vec<Name>) -> Self {
        Bootstrap {
            names,
            others: BTreeMap::new(),
        }
    }

    /// The ids this voter knows, its own included; what it has promised once it has.
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

    /// Decides what follows from another voter's handshake; `own` is this voter's identity.
    ///
    /// A complete set is taken over before the sender is looked at: the promises of its members
    /// made it complete, whoever reports it, and a sender that is not configured here may have been
    /// configured at the bootstrap. Sets that are not complete count only from configured names.
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

    /// A late message of the same directory takes no promise back.
    fn update(&mut self, from: &Name, id: VoterId, promised: Option<BTreeMap<Name, VoterId>>) {
        let earlier = self.others.remove(from).filter(|other| other.id == id);
        let promised = promised.or_else(|| earlier.and_then(|other| other.promised));
        self.others.insert(from.clone(), Candidate { id, promised });
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
