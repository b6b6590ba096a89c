//! The invariant that a wanted lease is vacant only for a limited time after the last fault.

use std::time::Duration;

use super::outcome::{Finding, LeaseInvariant};
use crate::plan::{Plan, PlannedLease};

/// Tracks how long the leases of a plan have been vacant.
pub(super) struct VacancyTracker {
    /// For each lease of the plan, the time since which the lease has been wanted and has had no
    /// holder.
    vacant_since: Vec<Option<Duration>>,
    /// The end of the last fault.
    faults_end: Duration,
    /// The bound on a vacancy after the last fault, in seconds.
    bound_seconds: f64,
    longest: Duration,
    longest_after_faults: Duration,
}

impl VacancyTracker {
    pub(super) fn new(plan: &Plan) -> Self {
        VacancyTracker {
            vacant_since: vec![Some(Duration::ZERO); plan.leases.len()],
            faults_end: plan.faults_end(),
            bound_seconds: plan.bounds.vacancy,
            longest: Duration::ZERO,
            longest_after_faults: Duration::ZERO,
        }
    }

    /// The longest vacancy of the run.
    pub(super) fn longest(&self) -> Duration {
        self.longest
    }

    /// The longest vacancy after the last fault.
    pub(super) fn longest_after_faults(&self) -> Duration {
        self.longest_after_faults
    }

    /// Records whether the lease with this index in the plan is vacant.
    pub(super) fn observe(
        &mut self,
        now: Duration,
        index: usize,
        lease: &PlannedLease,
        is_vacant: bool,
    ) -> Result<(), Finding> {
        let vacant_since = &mut self.vacant_since[index];
        if !is_vacant {
            *vacant_since = None;
            return Ok(());
        }
        let since = *vacant_since.get_or_insert(now);
        self.longest = self.longest.max(now - since);
        if now <= self.faults_end {
            return Ok(());
        }
        let vacancy = now - since.max(self.faults_end);
        self.longest_after_faults = vacancy.max(self.longest_after_faults);
        if vacancy.as_secs_f64() <= self.bound_seconds {
            return Ok(());
        }
        Err(Finding {
            invariant: LeaseInvariant::VacancyBounded,
            details: format!("{} has had no holder for {vacancy:?}", lease.name),
        })
    }
}
