//! The outcome of a run, and which invariants are checked in it.

use std::fmt::{self, Display};
use std::time::Duration;

/// An invariant of the leases and of the voters that grant them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseInvariant {
    /// All voters have the same leases after the same log entry.
    ReplicasAgree,
    /// No two voters lead in one term.
    OneLeaderPerTerm,
    /// A new leader knows every token that an owner was notified of.
    GrantsSurvive,
    /// The tokens of a lease only increase.
    TokensIncrease,
    /// By true time no more owners may act than the lease has capacity for.
    CapacityRespected,
    /// Operations of more owners than the lease has capacity for are never under way at a time.
    OperationsDoNotOverlap,
    /// A read shows every grant that an owner was notified of before the read began.
    ReadsAreLinearizable,
    /// After the last fault, a lease that is wanted has a holder within a bound, while a majority
    /// of voters votes.
    VacancyBounded,
}

impl LeaseInvariant {
    /// Its name in reports; where a plan file has a bound for it, that key.
    fn name(self) -> &'static str {
        match self {
            LeaseInvariant::ReplicasAgree => "replicas agree",
            LeaseInvariant::OneLeaderPerTerm => "one leader per term",
            LeaseInvariant::GrantsSurvive => "grants survive a change of the leader",
            LeaseInvariant::TokensIncrease => "tokens increase",
            LeaseInvariant::CapacityRespected => "no more holders than capacity",
            LeaseInvariant::OperationsDoNotOverlap => "operations do not overlap",
            LeaseInvariant::ReadsAreLinearizable => "reads are linearizable",
            LeaseInvariant::VacancyBounded => "free",
        }
    }
}

impl Display for LeaseInvariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A violation as it is found; the simulation adds the time.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) invariant: LeaseInvariant,
    pub(super) details: String,
}

/// How an invariant of the leases was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseViolation {
    /// Which invariant.
    pub invariant: LeaseInvariant,
    /// When, since the start of the run.
    pub at: Duration,
    /// What was seen, for people.
    pub details: String,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<LeaseViolation>,
    /// The longest after the last fault that a wanted lease had no holder.
    pub longest_vacancy_after_faults: Duration,
    /// The longest in the whole run that a wanted lease had no holder.
    pub longest_vacancy: Duration,
    /// Grants that owners were notified of.
    pub grants: u64,
    /// Operations that began under a lease.
    pub operations: u64,
    /// Beginnings and ends of operations that were rejected for a stale token.
    pub rejected_operations: u64,
    /// Messages sent.
    pub messages: u64,
    /// Syncs of all disks.
    pub syncs: u64,
    /// Bytes written to all disks.
    pub written_bytes: u64,
    /// How often a voter became the leader.
    pub elections: u64,
    /// How often a voter stopped voting: its disk failed, or its directory was rolled back.
    pub stopped_voters: u64,
    /// Identifies the run: equal where all was equal.
    pub fingerprint: u64,
}

impl LeaseOutcome {
    /// Records what a check found, if it is the first violation.
    pub(super) fn record(&mut self, at: Duration, checked: Result<(), Finding>) {
        if let Err(Finding { invariant, details }) = checked {
            self.violation.get_or_insert(LeaseViolation {
                invariant,
                at,
                details,
            });
        }
    }
}
