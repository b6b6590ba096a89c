//! Input events and output actions of a voter.

use std::time::Duration;

use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

use crate::notice::Notice;
use crate::peer_message::PeerMessage;

/// The maximum number of leases in the response to one read; a read of all leases is truncated.
pub const MAX_LISTED_LEASES: usize = 500;

/// Input events of a voter.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer that the voter requested has elapsed.
    TimerElapsed,
    /// Another voter's message.
    PeerMessage {
        /// The sender.
        from: Name,
        /// The message.
        message: PeerMessage,
    },
    /// A client's command, to be replicated.
    Propose {
        /// The process that gets the response.
        from: Name,
        /// The id that the response repeats.
        request: RequestId,
        /// The command.
        command: Command,
    },
    /// A linearizable read of the leases.
    Read {
        /// The process that gets the response.
        from: Name,
        /// The id that the response repeats.
        request: RequestId,
        /// One lease; all leases if `None`.
        lease: Option<Name>,
    },
    /// Transfer leadership to another voter. Ignored unless this voter leads.
    TransferLeadership,
    /// An operator replaces a voter. Both names are the same if the voter lost its directory and
    /// has a new one. Ignored if this voter has received no handshake from the new voter.
    ReplaceVoter {
        /// The voter that is removed.
        old: Name,
        /// The voter that is added.
        new: Name,
    },
}

/// Output actions of a voter. Its host performs them in this order.
#[derive(Debug)]
pub enum Action {
    /// Append a record to the log. It must be durable before any later action; if the write fails,
    /// the host must stop the voter.
    AppendRecord(Vec<u8>),
    /// Write a snapshot that replaces all records, under the same conditions.
    WriteSnapshot(Vec<u8>),
    /// Write the voter's identity to a separate file, under the same conditions.
    WriteIdentity(Vec<u8>),
    /// Send a message to another voter.
    Send {
        /// The voter.
        to: Name,
        /// The message.
        message: PeerMessage,
    },
    /// Respond to a proposal whose command was applied.
    Respond {
        /// The process that proposed it.
        to: Name,
        /// The incarnation of that process; zero if an operator proposed it.
        incarnation: Incarnation,
        /// The id of the proposal.
        request: RequestId,
        /// The result of the command.
        response: Response,
    },
    /// Reject a proposal or a read. Either this voter does not lead, or it leads and can't accept
    /// the request now: too many reads are pending, too many bytes of entries are uncommitted, or
    /// the voter transfers leadership, during which it rejects proposals.
    RejectNotLeader {
        /// The process that sent it.
        to: Name,
        /// The id of the request.
        request: RequestId,
        /// The leader, if known. A leader that rejects a read names itself here.
        leader: Option<Name>,
    },
    /// Tell a queued owner that a slot is free for it.
    NotifySlotAvailable {
        /// The owner's process.
        to: Name,
        /// The lease.
        lease: Name,
    },
    /// Respond to a read.
    RespondRead {
        /// The process that sent it.
        to: Name,
        /// The id of the read.
        request: RequestId,
        /// The leases that were read, at most [`MAX_LISTED_LEASES`].
        leases: Vec<(Name, Lease)>,
    },
    /// Deliver [`Event::TimerElapsed`] to the voter at this time.
    SetTimer {
        /// The time, on the host's clock.
        at: Duration,
    },
    /// Log a change of the voter's state.
    Notice(Notice),
}
