//! Messages between voters. They are serialized by position: variants and fields keep their order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

/// Identifies a voter's directory. The id is sampled when the directory is created and is never
/// zero. An emptied directory gets another id, so the process that uses it is no longer a voter.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VoterId(pub u64);

/// The last position of a log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The latest term.
    pub term: u64,
    /// The index of the last entry.
    pub index: u64,
}

/// The stage of a voter's bootstrap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapStage {
    /// The voter does not know the ids of all initial voters yet.
    Discovering,
    /// The voter has promised the set of all initial voters and will never promise another.
    Promised,
    /// All initial voters have promised the same set.
    Complete,
}

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The sender's identity and bootstrap state, and how far it has observed the receiver's log.
    Handshake {
        /// Whether the receiver replies with a handshake.
        wants_reply: bool,
        /// The sender's id.
        id: VoterId,
        /// The initial voters, as far as the sender knows them.
        initial_voters: BTreeMap<Name, VoterId>,
        /// The stage of the sender's bootstrap.
        stage: BootstrapStage,
        /// The furthest position of the receiver's log that the sender has observed. If the
        /// receiver's log ends before it, the receiver's directory was rolled back.
        observed: LogPosition,
    },
    /// A Raft message, encoded by the crate `raft`.
    Raft(Vec<u8>),
}
