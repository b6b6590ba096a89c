//! What a voter's directory says of the voter itself: its name, the id drawn when the directory was
//! created, and what it promised at the bootstrap. It is serialized by position, in a file of its
//! own: fields keep their order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

use crate::error::LoadError;
use crate::peer_message::{BootstrapStage, VoterId};

/// What a voter's directory stores of the voter itself. It is durable before anything is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Identity {
    pub(crate) name: Name,
    pub(crate) id: VoterId,
    /// The initial voters that it promised.
    pub(crate) promised: Option<BTreeMap<Name, VoterId>>,
    /// Whether all have promised the same.
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

    /// Promises the initial voters. No other set is promised later.
    pub(crate) fn promise(&mut self, initial_voters: BTreeMap<Name, VoterId>) {
        self.promised = Some(initial_voters);
    }

    /// All have promised these initial voters.
    pub(crate) fn complete_bootstrap(&mut self, initial_voters: BTreeMap<Name, VoterId>) {
        self.promised = Some(initial_voters);
        self.is_bootstrapped = true;
    }
}
