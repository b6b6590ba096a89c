//! A voter's status for operators.

use std::collections::BTreeMap;
use std::fmt;

use tulipgap_leases::Name;

use crate::peer_message::VoterId;

/// A voter's phase of participation in the consensus.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VoterPhase {
    /// The initial voters are finding each other.
    #[default]
    Bootstrapping,
    /// The voter was restarted and waits for the other voters to report the furthest position of
    /// its log that they have observed.
    Waiting,
    /// The voter votes.
    Voting,
    /// The cluster was bootstrapped without this voter.
    Outside,
    /// The voter's directory is an older copy, or its state was found invalid while it ran. It no
    /// longer votes. Its [`Notice`](crate::Notice) tells which of the two happened.
    Stopped,
    /// The host ended the voter after a failed write.
    Ended,
}

/// The names that the control socket shows to operators.
impl fmt::Display for VoterPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            VoterPhase::Bootstrapping => "founding",
            VoterPhase::Waiting => "waiting",
            VoterPhase::Voting => "voting",
            VoterPhase::Outside => "outside",
            VoterPhase::Stopped => "set back",
            VoterPhase::Ended => "ended",
        })
    }
}

/// A summary of a voter, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VoterStatus {
    /// The voter's id.
    pub id: VoterId,
    /// Raft's term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Name>,
    /// The index of the last applied entry.
    pub applied_index: u64,
    /// The phase of the voter.
    pub phase: VoterPhase,
    /// The voters as of that entry.
    pub voters: BTreeMap<VoterId, Name>,
}
