//! The phase of a voter's participation in the consensus.
//!
//! A restarted voter must not vote immediately. Its directory may be an older copy, in which a vote
//! or an entry that the voter confirmed is missing; voting again could elect a leader that lacks a
//! committed entry, and a lease would be granted twice. So the voter first asks the other voters
//! how far they have observed its log ([`super::rollback`]). It votes after all have replied, or
//! after `election_ticks` ticks, so that a voter that is down can't prevent a quorum indefinitely.
//! The cost: an older copy stays undetected if no voter that has observed a later position replies
//! within that time.

use std::time::Duration;

use tulipgap_leases::Name;

use crate::status::VoterPhase;

/// The phase of a voter; see [`VoterPhase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Bootstrapping,
    /// Restarted. The voter votes after all others have replied, or after the first tick at or
    /// after `until`.
    Waiting {
        /// A time on the host's clock, which must be near zero when the voter is opened. If the
        /// clock is already past `until`, there is no wait.
        until: Duration,
    },
    Voting,
    Outside,
    /// A rollback or an invalid state was detected.
    Stopped,
}

impl Phase {
    /// The phase after a handshake; `replied` are the voters that have replied since the start.
    pub(super) fn after_reply(self, others: &[Name], replied: &[Name]) -> Phase {
        let all_replied = || others.iter().all(|other| replied.contains(other));
        match self {
            Phase::Waiting { .. } if all_replied() => Phase::Voting,
            phase => phase,
        }
    }

    /// The phase after a tick.
    pub(super) fn after_tick(self, now: Duration) -> Phase {
        match self {
            Phase::Waiting { until } if now >= until => Phase::Voting,
            phase => phase,
        }
    }

    /// Whether the voter handles Raft messages.
    pub(super) fn accepts_raft_messages(self) -> bool {
        matches!(self, Phase::Voting | Phase::Outside)
    }
}

impl From<Phase> for VoterPhase {
    fn from(phase: Phase) -> Self {
        match phase {
            Phase::Bootstrapping => VoterPhase::Bootstrapping,
            Phase::Waiting { .. } => VoterPhase::Waiting,
            Phase::Voting => VoterPhase::Voting,
            Phase::Outside => VoterPhase::Outside,
            Phase::Stopped => VoterPhase::Stopped,
        }
    }
}
