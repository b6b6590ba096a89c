//! The identity that a voter stores in its directory: its name, the id that was sampled when the
//! directory was created, and the initial voters that it promised during bootstrap. It is
//! serialized by position, in a separate file: fields keep their order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

use crate::error::LoadError;
use crate::peer_message::{BootstrapStage, VoterId};

/// The stored identity of a voter. It is durable before the voter sends any message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    pub(crate) id: VoterId,
    /// The set of initial voters that this voter has promised.
    pub(crate) promised: Option<BTreeMap<Name, VoterId>>,
    /// Whether all initial voters have promised the same set.
    pub(crate) is_bootstrapped: bool,
}

impl Identity {
    pub(crate) fn new(name: Name, id: VoterId) -> Self {
        Identity {
            name,
            id: id.max(VoterId(1)),
            promised: None,
            is_bootstrapped: false,
        }
    }

    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, LoadError> {
        postcard::from_bytes(bytes).map_err(|source| LoadError::Decode {
            item: "the identity",
            source,
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub(crate) fn stage(&self) -> BootstrapStage {
        match (&self.promised, self.is_bootstrapped) {
            (_, true) => BootstrapStage::Complete,
            (Some(_), false) => BootstrapStage::Promised,
            (None, false) => BootstrapStage::Discovering,
        }
    }

    /// Records the promised set of initial voters. A voter promises only one set.
    pub(crate) fn promise(&mut self, initial_voters: BTreeMap<Name, VoterId>) {
        self.promised = Some(initial_voters);
    }

    /// Records that all of these initial voters have promised this set.
    pub(crate) fn complete_bootstrap(&mut self, initial_voters: BTreeMap<Name, VoterId>) {
        self.promised = Some(initial_voters);
        self.is_bootstrapped = true;
    }
}
