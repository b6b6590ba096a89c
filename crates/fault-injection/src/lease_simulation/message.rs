//! The messages between the processes of a run.

use tulipgap_consensus::PeerMessage;
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

/// A message from one process to another.
#[derive(Clone, Debug)]
pub(super) enum Message {
    Peer(PeerMessage),
    Propose {
        request: RequestId,
        command: Command,
    },
    Response {
        incarnation: Incarnation,
        request: RequestId,
        response: Response,
    },
    NotLeader {
        request: RequestId,
        leader: Option<Name>,
    },
    SlotAvailable {
        lease: Name,
    },
    Read {
        request: RequestId,
        lease: Name,
    },
    ReadResponse {
        request: RequestId,
        leases: Vec<(Name, Lease)>,
    },
}
