//! What voters send each other. It is serialized by position: variants and fields keep their order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

/// Identifies a voter's directory: drawn at random when the directory is created, never zero. A
/// directory that was emptied gets another id, so the process that uses it is no voter any more.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct VoterId(pub u64);

/// How far a log has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The highest term.
    pub term: u64,
    /// The index of the last entry.
    pub index: u64,
}

/// How far a voter has come in agreeing on the initial voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BootstrapStage {
    /// The voter knows some of their ids.
    Discovering,
    /// The voter has promised a complete set of ids and will never promise another.
    Promised,
    /// All have promised the same set.
    Complete,
}

/// A message from one voter to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Who the sender is and what it knows of the others.
    Handshake {
        /// Whether the receiver is to send one back.
        wants_reply: bool,
        /// The sender's id.
        id: VoterId,
        /// The initial voters, as far as the sender knows them.
        initial_voters: BTreeMap<Name, VoterId>,
        /// How far the sender has come in agreeing on them.
        stage: BootstrapStage,
        /// The furthest the sender has seen the receiver. Where the receiver's own log is behind,
        /// it was rolled back.
        observed: LogPosition,
    },
    /// A message of the consensus algorithm, encoded by the crate `raft`.
    Raft(Vec<u8>),
}
