//! Messages and their envelope. They are serialized by position: variants and fields keep their
//! order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

/// A message from one process to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A message of the membership protocol.
    Member(tulipgap_membership::Message),
    /// A message from one voter to another.
    Voter(PeerMessage),
    /// A command for the leader of the voters.
    LeaseRequest {
        /// The id that the response repeats.
        request: RequestId,
        /// The command.
        command: Command,
    },
    /// The result of a command.
    LeaseResponse {
        /// The run of the process that sent the request.
        incarnation: Incarnation,
        /// The id of the request.
        request: RequestId,
        /// The result.
        response: Response,
    },
    /// A request or a read was rejected, as the voter does not lead.
    NotLeader {
        /// The id of the request.
        request: RequestId,
        /// Who leads, where the voter knows.
        leader: Option<Name>,
    },
    /// A queued owner would be granted a slot if it requested it now.
    SlotAvailable {
        /// The lease.
        lease: Name,
    },
    /// A read of leases.
    ReadLeases {
        /// The id that the response repeats.
        request: RequestId,
        /// One lease, or all.
        lease: Option<Name>,
    },
    /// The leases that were read.
    LeaseList {
        /// The id of the read.
        request: RequestId,
        /// The leases and their names.
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
    /// The sender's run, drawn when the process was started.
    pub incarnation: Incarnation,
    /// What it sends.
    pub message: Message,
}
