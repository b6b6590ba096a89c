//! A voter's state as operators see it.

use std::collections::BTreeMap;
use std::fmt;

use tulipgap_leases::Name;

use crate::peer_message::VoterId;

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
    /// The voter's directory is an older copy, or its state was found invalid while it ran: it
    /// votes no more. Its [`Notice`](crate::Notice) tells which.
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
