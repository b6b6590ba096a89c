//! How far a voter takes part in the consensus.
//!
//! A restarted voter may not vote at once. Its directory may be an older copy, in which a vote or
//! an entry that it confirmed is missing; voting again could elect a leader that lacks a committed
//! entry, and a lease would be granted twice. So it first asks the others how far they have seen
//! its log ([`super::rollback`]). It votes once all have replied, or after `election_ticks` ticks:
//! a voter that is down must not keep the others from a quorum for ever. The price: a copy is not
//! detected where none of those that saw more replies within that time.

use std::time::Duration;

use tulipgap_leases::Name;

use crate::status::VoterPhase;

/// How far a voter takes part; see [`VoterPhase`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Bootstrapping,
    /// Restarted; votes with the first tick from that time on at the latest.
    Waiting {
        /// On the host's clock, which must stand near zero when the voter is opened. With an older
        /// clock there is no wait.
        until: Duration,
    },
    Voting,
    Outside,
    /// Rolled back, or stopped since its state was invalid.
    RolledBack,
}

impl Phase {
    /// The phase after a handshake, where `replied` have replied to one since the start.
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

    /// Whether messages of the consensus are handled.
    pub(super) fn takes_part(self) -> bool {
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
            Phase::RolledBack => VoterPhase::RolledBack,
        }
    }
}
