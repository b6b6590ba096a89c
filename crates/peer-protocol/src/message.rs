//! Messages and their envelope. They are serialized by position: variants and fields keep their order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Of the membership protocol.
    Member(tulipgap_membership::Message),
    /// From voter to voter.
    Voter(PeerMessage),
    /// A command for the leader of the voters.
    LeaseRequest {
        /// To be repeated in the response.
        request: RequestId,
        /// The command.
        command: Command,
    },
    /// The result of a command.
    LeaseResponse {
        /// Of the process that sent the request.
        incarnation: Incarnation,
        /// As in the request.
        request: RequestId,
        /// The result.
        response: Response,
    },
    /// A request or a read was rejected, as the voter does not lead.
    NotLeader {
        /// As in the request.
        request: RequestId,
        /// Who leads, where the voter knows.
        leader: Option<Name>,
    },
    /// A queued owner would be granted a slot if it requested it now.
    SlotAvailable {
        /// The lease.
        lease: Name,
    },
    /// Reads leases.
    ReadLeases {
        /// To be repeated in the response.
        request: RequestId,
        /// One lease, or all.
        lease: Option<Name>,
    },
    /// The leases that were read.
    LeaseList {
        /// As in the read.
        request: RequestId,
        /// By name.
        leases: Vec<(Name, Lease)>,
    },
    /// An operator replaces a voter.
    ReplaceVoter {
        /// The voter that is removed.
        old: Name,
        /// The voter that is added.
        new: Name,
    },
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Name,
    /// Where the sender is reached.
    pub address: SocketAddr,
    /// Of the sender, drawn when it was started.
    pub incarnation: Incarnation,
    /// What it sends.
    pub message: Message,
}
