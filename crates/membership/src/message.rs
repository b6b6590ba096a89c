//! The messages of the membership protocol. They are serialized by position: the order of variants
//! and fields is part of the wire format and must not change (`tests/wire_format.rs` checks the
//! bytes).

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::metadata::Metadata;
use crate::node::{Node, NodeName};

/// The incarnation number of a member (SWIM, section 4.2). Only the member itself raises it, to
/// refute an update by another member or to announce a change. Of two updates, the one with the
/// higher incarnation takes precedence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// The incarnation after this one.
    pub(crate) fn next(self) -> Self {
        Incarnation(self.0.saturating_add(1))
    }
}

/// Matches an answer to its probe. Assigned by the sender of the probe, and unique for the lifetime
/// of its process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SequenceNumber(pub u64);

impl SequenceNumber {
    /// Belongs to no probe: a message with this number only carries updates.
    pub(crate) const NO_PROBE: Self = SequenceNumber(0);
}

/// The state of a member. At the same incarnation, a later variant overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and can refute the suspicion until its deadline.
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

/// The result that a relay reports for a probe that it sent on behalf of another node. The negative
/// report is Lifeguard's nack: it shows that the prober can reach the relay, so the failed probe
/// indicates a fault of the target and not of the prober.
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
    /// The answer of a relay to an indirect ping. With the sequence number 0 it belongs to no probe
    /// and only carries updates.
    IndirectPingResult {
        /// The number from the indirect ping.
        sequence_number: SequenceNumber,
        /// Whether the target answered the relay.
        outcome: RelayedProbeOutcome,
    },
    /// A request for the complete state, sent to a seed at which the sender knows no member.
    Join,
    /// The complete state of the sender (anti-entropy).
    PushPull {
        /// Whether the recipient has to answer with its own state.
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
    /// The name of the intended recipient, if the sender knows it.
    pub to: Option<NodeName>,
    /// The kind of the message, with its own fields.
    pub body: MessageBody,
    /// Updates about members, to be applied by the recipient.
    pub updates: Vec<MemberUpdate>,
}
