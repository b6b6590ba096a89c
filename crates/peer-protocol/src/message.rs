//! Messages and their envelope. They are serialized by position, so the order of variants and
//! fields must not change.

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
        /// The incarnation of the process that sent the request.
        incarnation: Incarnation,
        /// The id of the request.
        request: RequestId,
        /// The result.
        response: Response,
    },
    /// The rejection of a request or a read by a process that does not lead the voters or cannot
    /// accept it now.
    NotLeader {
        /// The id of the request.
        request: RequestId,
        /// The leader, if the rejecting process knows it.
        leader: Option<Name>,
    },
    /// Notifies a queued owner that it would be granted a slot if it requested one now.
    SlotAvailable {
        /// The lease.
        lease: Name,
    },
    /// A read of leases.
    ReadLeases {
        /// The id that the response repeats.
        request: RequestId,
        /// The lease to read; `None` for all leases.
        lease: Option<Name>,
    },
    /// The result of a read of leases.
    LeaseList {
        /// The id of the read.
        request: RequestId,
        /// The names of the leases, and the leases.
        leases: Vec<(Name, Lease)>,
    },
    /// An operator's command to replace a voter.
    ReplaceVoter {
        /// The voter to remove.
        old: Name,
        /// The voter to add.
        new: Name,
    },
}

/// A message and its sender.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The name of the sender.
    pub from: Name,
    /// The address of the sender.
    pub address: SocketAddr,
    /// The sender's incarnation, sampled at the start of the process.
    pub incarnation: Incarnation,
    /// The message.
    pub message: Message,
}
