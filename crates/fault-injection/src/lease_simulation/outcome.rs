//! The outcome of a run, and the invariants that a run checks.

use std::fmt::{self, Display};
use std::time::Duration;

/// An invariant of the leases or of the voters that grant them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseInvariant {
    /// All voters have the same leases after the same log entry.
    ReplicasAgree,
    /// A term has at most one leader.
    OneLeaderPerTerm,
    /// Each new leader knows every token that an owner was notified of.
    GrantsSurvive,
    /// The tokens of a lease with capacity 1 only increase, and each token belongs to one owner.
    TokensIncrease,
    /// By true time, no more owners may act than the lease has capacity for.
    CapacityRespected,
    /// No more operations are in progress at the same time than the lease has capacity for.
    OperationsDoNotOverlap,
    /// A read of a lease with capacity 1 returns no holder whose token is older than the newest
    /// token that an owner was notified of before the read began.
    ReadsAreLinearizable,
    /// After the last fault, a wanted lease has a holder within a bound while a majority of voters
    /// votes.
    VacancyBounded,
}

impl LeaseInvariant {
    /// The name of the invariant in reports. If a plan file has a bound for the invariant, this is
    /// the bound's key.
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

/// A violation without its time, which the simulation adds.
#[derive(Debug)]
pub(super) struct Finding {
    pub(super) invariant: LeaseInvariant,
    pub(super) details: String,
}

/// A violation of an invariant of the leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseViolation {
    /// The invariant that was violated.
    pub invariant: LeaseInvariant,
    /// The time of the violation since the start of the run.
    pub at: Duration,
    /// A description for people.
    pub details: String,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<LeaseViolation>,
    /// The longest time after the last fault for which a wanted lease had no holder.
    pub longest_vacancy_after_faults: Duration,
    /// The longest time in the whole run for which a wanted lease had no holder.
    pub longest_vacancy: Duration,
    /// The number of grants that owners were notified of.
    pub grants: u64,
    /// The number of operations that began under a lease.
    pub operations: u64,
    /// The number of beginnings and ends of operations that were rejected because of a stale token.
    pub rejected_operations: u64,
    /// The number of messages sent.
    pub messages: u64,
    /// The number of syncs of all disks.
    pub syncs: u64,
    /// The number of bytes written to all disks.
    pub written_bytes: u64,
    /// The number of times that a voter became the leader.
    pub elections: u64,
    /// The number of times that a voter stopped voting or did not start, because its disk failed,
    /// its data was invalid or its directory was rolled back.
    pub stopped_voters: u64,
    /// A hash of the run. Equal runs have equal fingerprints.
    pub fingerprint: u64,
}

impl LeaseOutcome {
    /// Records the finding of a check if it is the first violation.
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
