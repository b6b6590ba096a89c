//! The state that the voters agree on. It is serialized by position, in snapshots and in log
//! entries: fields keep their order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::{LeaseStateMachine, Name};

use crate::error::LoadError;
use crate::peer_message::VoterId;

/// A voter that is being added.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JoiningVoter {
    pub(crate) name: Name,
    pub(crate) replaces: VoterId,
}

/// The state after a given log entry: the leases and the voters.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct ReplicatedState {
    pub(crate) leases: LeaseStateMachine,
    pub(crate) voters: BTreeMap<VoterId, Name>,
    /// Learners that will vote once their logs have caught up with the leader's.
    pub(crate) joining: BTreeMap<VoterId, JoiningVoter>,
    /// Voters that have been replaced but not removed yet.
    pub(crate) leaving: Vec<VoterId>,
}

impl ReplicatedState {
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, LoadError> {
        postcard::from_bytes(bytes).map_err(|source| LoadError::Decode {
            item: "a snapshot",
            source,
        })
    }

    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// The context of a membership change in the log.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct VoterChange {
    pub(crate) name: Name,
    pub(crate) replaces: VoterId,
}
