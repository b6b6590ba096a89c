//! The messages of the membership protocol. They are serialized by position: the order of variants
//! and fields is part of the wire format and stays as it is (`tests/wire_format.rs` pins the
//! bytes).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::metadata::Metadata;
use crate::node::{Node, NodeName};

/// The incarnation number of a member (SWIM, section 4.2). Only the member itself raises it, to
/// refute an update of others about it or to announce a change; of two updates the one with the
/// higher incarnation holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation after this one.
    pub(crate) fn next(self) -> Self {
        Incarnation(self.0.saturating_add(1))
    }
}

/// Matches the answer to a probe with the probe; drawn by the sender of the probe, unique for the
/// life of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// The number of no probe: a message that bears it only carries updates.
    pub(crate) const NO_PROBE: Self = SequenceNumber(0);
}

/// The state of a member. The variants stand in the order in which one overrides another at the
/// same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member failed a probe and has until the end of the suspicion to refute that.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member announced that it leaves the cluster.
    Left,
}

impl MemberState {
    /// Whether the member still takes part in the protocol, as far as is known: it is alive or
    /// suspect.
    pub(crate) fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A statement about one member, by the member itself or by another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member that the update is about.
    pub node: Node,
    /// The incarnation of the member that the update is about.
    pub incarnation: Incarnation,
    /// The state of the member in that incarnation.
    pub state: MemberState,
    /// The node that declared the member suspect or dead.
    pub reported_by: Option<NodeName>,
    /// The metadata that the member published.
    pub metadata: Arc<Metadata>,
    /// Members that this member cannot reach directly although others can; up to
    /// [`MAX_UNREACHABLE_PEERS`](crate::MAX_UNREACHABLE_PEERS).
    pub unreachable_peers: Arc<BTreeSet<NodeName>>,
}

/// What a relay reports of a probe that it sent on behalf of another node. The negative answer is
/// Lifeguard's: a relay that reports it is reachable itself, so the failed probe speaks against the
/// target and not against the prober.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayedProbeOutcome {
    /// The target did not answer the relay in time.
    Nack,
    /// The target answered the relay.
    Ack,
}

/// The kind of a message, with its own fields.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// A direct probe, to be answered with an [`Ack`](MessageBody::Ack).
    Ping {
        /// The number of the probe.
        sequence_number: SequenceNumber,
    },
    /// The answer to a ping.
    Ack {
        /// The number of the probe that is answered.
        sequence_number: SequenceNumber,
    },
    /// A request to ping a target on behalf of the sender (SWIM's ping-req).
    IndirectPing {
        /// The number of the sender's probe.
        sequence_number: SequenceNumber,
        /// The member to be probed.
        target: NodeName,
        /// The address of the target.
        address: SocketAddr,
    },
    /// The answer of a relay to an indirect ping. With the number 0 it answers nothing and only
    /// carries updates.
    IndirectPingResult {
        /// The number that the indirect ping had.
        sequence_number: SequenceNumber,
        /// Whether the target answered the relay.
        outcome: RelayedProbeOutcome,
    },
    /// A node that knows nobody asks for the complete state.
    Join,
    /// The complete state of the sender (anti-entropy).
    PushPull {
        /// Whether the recipient is to answer with its own state.
        reply_requested: bool,
    },
    /// The answer to a join: another live process has the name of the node that wants to join.
    NameConflict,
}

/// A message between two nodes, with the updates that it carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The name of the sender.
    pub from: NodeName,
    /// The node for which the message is meant, where the sender knows its name.
    pub to: Option<NodeName>,
    /// What is asked or answered.
    pub body: MessageBody,
    /// Updates about members, to be applied by the recipient.
    pub updates: Vec<MemberUpdate>,
}
