//! Configuration, input events and output actions of a voter.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

use crate::error::LoadError;
use crate::peer_message::{LogPosition, PeerMessage, VoterId};

/// The largest number of voters. More would only be slower.
pub const MAX_VOTERS: usize = 7;
/// Leases in the response to one read.
pub const MAX_LISTED_LEASES: usize = 500;

/// A voter's parameters. All voters should have the same.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// The time between two ticks of the consensus; a leader sends heartbeats at each tick.
    pub tick_interval: Duration,
    /// Ticks without a heartbeat before a follower campaigns; up to twice as many at random.
    pub election_ticks: u32,
    /// How far a clock may be off in its rate, in thousandths.
    pub max_clock_drift_permille: u32,
    /// Entries applied between two snapshots.
    pub snapshot_interval_entries: u64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            tick_interval: Duration::from_millis(100),
            election_ticks: 10,
            max_clock_drift_permille: 50,
            snapshot_interval_entries: 4000,
        }
    }
}

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
    /// Reject a proposal or a read, as this voter does not lead.
    RejectNotLeader {
        /// Who sent it.
        to: Name,
        /// The id of the request.
        request: RequestId,
        /// Who leads, where that is known.
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

/// A change that operators should know of. Its text continues a sentence whose subject is the
/// voter.
#[derive(Debug, thiserror::Error)]
pub enum Notice {
    /// The initial voters are agreed on.
    #[error("bootstrapped voters={}", voters.join(","))]
    Bootstrapped {
        /// Their names.
        voters: Vec<String>,
    },
    /// The voter leads.
    #[error("became leader term={term}")]
    BecameLeader {
        /// Raft's term.
        term: u64,
    },
    /// The voter leads no more.
    #[error("lost leadership")]
    LostLeadership,
    /// Others were bootstrapped without the voter's directory.
    #[error(
        "is not a member: the cluster was bootstrapped without this folder; it may replace another voter"
    )]
    NotAMember,
    /// The voter's directory is an older copy. The voter must not vote again.
    #[error(
        "was rolled back to an older state term={} index={} observed_term={} observed_index={}: it must not vote again; \
         replace it",
        own.term, own.index, observed.term, observed.index
    )]
    RolledBack {
        /// How far its own log has come.
        own: LogPosition,
        /// How far others have seen it.
        observed: LogPosition,
    },
    /// The voter received or read something that it can't use.
    #[error("received or read invalid data: {0}")]
    InvalidData(#[source] InvalidData),
}

/// What a voter could not use.
#[derive(Debug, thiserror::Error)]
pub enum InvalidData {
    /// A message of the consensus that can't be decoded. It is ignored.
    #[error("a message of the consensus can't be decoded")]
    RaftMessage,
    /// A committed entry that can't be decoded. It is skipped.
    #[error("entry {index} can't be decoded")]
    Entry {
        /// Its index.
        index: u64,
    },
    /// A state that can't be loaded.
    #[error(transparent)]
    State(#[from] LoadError),
}

/// How far a voter takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoterPhase {
    /// The initial voters are finding each other.
    #[default]
    Bootstrapping,
    /// The voter was restarted, and waits for the others to report how far they have seen its log.
    Waiting,
    /// The voter votes.
    Voting,
    /// Others were bootstrapped without this voter.
    Outside,
    /// The voter's directory is an older copy: the voter votes no more.
    RolledBack,
    /// The host ended the voter after a failed write.
    Ended,
}

/// The names that operators see, in the answers of the control socket.
impl fmt::Display for VoterPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VoterPhase::Bootstrapping => "founding",
            VoterPhase::Waiting => "waiting",
            VoterPhase::Voting => "voting",
            VoterPhase::Outside => "outside",
            VoterPhase::RolledBack => "set back",
            VoterPhase::Ended => "ended",
        })
    }
}

/// A summary of a voter, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoterStatus {
    /// Its id.
    pub id: VoterId,
    /// Raft's term.
    pub term: u64,
    /// Who leads, where that is known.
    pub leader: Option<Name>,
    /// The last entry that it applied.
    pub applied_index: u64,
    /// How far it takes part.
    pub phase: VoterPhase,
    /// Who votes, as of that entry.
    pub voters: BTreeMap<VoterId, Name>,
}
