//! Input events and output actions of a voter.

use std::time::Duration;

use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

use crate::notice::Notice;
use crate::peer_message::PeerMessage;

/// Leases in the response to one read, at most; a read of all leases is cut there.
pub const MAX_LISTED_LEASES: usize = 500;

/// Input events of a voter.
#[derive(Clone, Debug)]
pub enum Event {
    /// A timer that was set has elapsed.
    TimerElapsed,
    /// Another voter's message.
    PeerMessage {
        /// Who sent it.
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
        /// One lease, or all.
        lease: Option<Name>,
    },
    /// Another voter is to lead, where this one does.
    TransferLeadership,
    /// An operator replaces a voter. Both names may be the same, where a directory was lost.
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
    /// Append a record to the log, durably before any later action. Where that fails, the voter
    /// must do nothing more.
    AppendRecord(Vec<u8>),
    /// Write a snapshot that replaces all records, under the same condition.
    WriteSnapshot(Vec<u8>),
    /// Write the voter's identity to a file of its own, under the same condition.
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
        /// Who proposed it.
        to: Name,
        /// The run of that process that did; zero where an operator did.
        incarnation: Incarnation,
        /// The id of the proposal.
        request: RequestId,
        /// What the command resulted in.
        response: Response,
    },
    /// Reject a proposal or a read, as this voter does not lead, or leads and can't take it now: a
    /// read while too many are pending, a proposal while too much is uncommitted.
    RejectNotLeader {
        /// Who sent it.
        to: Name,
        /// The id of the request.
        request: RequestId,
        /// Who leads, where that is known. This voter itself, where it leads and rejects a read.
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
        /// Who sent it.
        to: Name,
        /// The id of the read.
        request: RequestId,
        /// The leases that were read, at most [`MAX_LISTED_LEASES`].
        leases: Vec<(Name, Lease)>,
    },
    /// Send [`Event::TimerElapsed`] at that time.
    SetTimer {
        /// The time, by this process's clock.
        at: Duration,
    },
    /// Log a change of the voter's state.
    Notice(Notice),
}
