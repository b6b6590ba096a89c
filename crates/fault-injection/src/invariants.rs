//! The invariants of the membership: limits on how long a member's view may differ from the truth.
//! A run checks each bound and records the worst duration that was seen.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::time::Duration;

use tulipgap_membership::MemberState;

use crate::plan::{Bounds, Member, MemberIndex};

/// An invariant of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipInvariant {
    /// No member considers a live, reachable member dead for longer than a bound.
    FalseDeath,
    /// Every live member detects a dead member within a bound.
    DeathDetection,
    /// All views are correct within a bound after the last fault.
    Convergence,
}

impl MembershipInvariant {
    /// The key of the invariant's bound in a plan file.
    pub fn key(self) -> &'static str {
        match self {
            MembershipInvariant::FalseDeath => "held_dead",
            MembershipInvariant::DeathDetection => "known",
            MembershipInvariant::Convergence => "agree",
        }
    }

    fn bound(self, bounds: &Bounds) -> f64 {
        match self {
            MembershipInvariant::FalseDeath => bounds.false_death,
            MembershipInvariant::DeathDetection => bounds.death_detection,
            MembershipInvariant::Convergence => bounds.convergence,
        }
    }
}

impl Display for MembershipInvariant {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.key())
    }
}

/// How an invariant of the membership was violated.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipViolation {
    /// The invariant that was violated.
    pub invariant: MembershipInvariant,
    /// The time of the violation since the start of the run.
    pub at: Duration,
    /// The member whose view was wrong.
    pub observer: String,
    /// The member of which the view was wrong.
    pub subject: String,
    /// How long the view had been wrong at that time. For [`MembershipInvariant::Convergence`] it
    /// is the time since the last fault.
    pub duration: Duration,
}

impl Display for MembershipViolation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let MembershipViolation {
            invariant,
            observer,
            subject,
            duration,
            ..
        } = self;
        write!(
            formatter,
            "{invariant}: {observer} had a wrong view of {subject} for {duration:?}"
        )
    }
}

/// The longest time for which each invariant of the membership did not hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstDurations {
    /// How long a member considered a live, reachable member dead.
    pub false_death: Duration,
    /// How long a live member did not detect a dead member.
    pub death_detection: Duration,
    /// The time from the last fault to the last check at which a view was wrong.
    pub convergence: Duration,
}

impl WorstDurations {
    /// Returns the maximum of each duration.
    pub fn max(self, other: WorstDurations) -> WorstDurations {
        WorstDurations {
            false_death: self.false_death.max(other.false_death),
            death_detection: self.death_detection.max(other.death_detection),
            convergence: self.convergence.max(other.convergence),
        }
    }

    fn of(&mut self, invariant: MembershipInvariant) -> &mut Duration {
        match invariant {
            MembershipInvariant::FalseDeath => &mut self.false_death,
            MembershipInvariant::DeathDetection => &mut self.death_detection,
            MembershipInvariant::Convergence => &mut self.convergence,
        }
    }
}

/// One member's view of another, and the actual state of that other member.
pub(crate) struct Observation<'a> {
    /// The observer is alive and not paused.
    pub(crate) observer: MemberIndex,
    pub(crate) subject: MemberIndex,
    pub(crate) members: &'a [Member],
    /// The subject's state in the observer's view; `None` if the observer does not know the
    /// subject.
    pub(crate) state: Option<MemberState>,
    /// Whether both members are alive, neither is paused, and messages pass between them in both
    /// directions.
    pub(crate) is_reachable: bool,
    /// Whether the subject is dead.
    pub(crate) is_dead: bool,
}

/// Checks observations against the bounds. It owns the time since which each view has been wrong,
/// the worst durations and the first violation.
pub(crate) struct MembershipChecker {
    bounds: Bounds,
    faults_end: Duration,
    false_death_since: BTreeMap<(MemberIndex, MemberIndex), Duration>,
    undetected_since: BTreeMap<(MemberIndex, MemberIndex), Duration>,
    worst: WorstDurations,
    violation: Option<MembershipViolation>,
}

impl MembershipChecker {
    pub(crate) fn new(bounds: Bounds, faults_end: Duration) -> Self {
        MembershipChecker {
            bounds,
            faults_end,
            false_death_since: BTreeMap::new(),
            undetected_since: BTreeMap::new(),
            worst: WorstDurations::default(),
            violation: None,
        }
    }

    /// The worst durations up to now.
    pub(crate) fn worst(&self) -> WorstDurations {
        self.worst
    }

    /// The first violation.
    pub(crate) fn violation(&self) -> Option<&MembershipViolation> {
        self.violation.as_ref()
    }

    /// Checks one observation against each invariant.
    pub(crate) fn check(&mut self, now: Duration, observation: &Observation) {
        let Observation {
            state,
            is_reachable,
            is_dead,
            ..
        } = *observation;

        let is_false_death = is_reachable && state == Some(MemberState::Dead);
        let duration = duration_of(
            &mut self.false_death_since,
            now,
            observation,
            is_false_death,
        );
        self.check_bound(MembershipInvariant::FalseDeath, now, duration, observation);

        let is_undetected =
            is_dead && matches!(state, Some(MemberState::Alive | MemberState::Suspect));
        let duration = duration_of(&mut self.undetected_since, now, observation, is_undetected);
        self.check_bound(
            MembershipInvariant::DeathDetection,
            now,
            duration,
            observation,
        );

        let is_wrong = if is_dead {
            is_undetected
        } else {
            is_reachable && state != Some(MemberState::Alive)
        };
        if is_wrong && now > self.faults_end {
            let duration = now - self.faults_end;
            self.check_bound(MembershipInvariant::Convergence, now, duration, observation);
        }
    }

    /// Resets the durations of an observer that is paused, dead, resumed or restarted, because its
    /// view is out of date or empty.
    pub(crate) fn reset_observer(&mut self, observer: MemberIndex) {
        self.false_death_since.retain(|pair, _| pair.0 != observer);
        self.undetected_since.retain(|pair, _| pair.0 != observer);
    }

    fn check_bound(
        &mut self,
        invariant: MembershipInvariant,
        now: Duration,
        duration: Duration,
        observation: &Observation,
    ) {
        let worst = self.worst.of(invariant);
        *worst = duration.max(*worst);
        if duration.as_secs_f64() > invariant.bound(&self.bounds) && self.violation.is_none() {
            let name = |member: MemberIndex| observation.members[member].name.clone();
            self.violation = Some(MembershipViolation {
                invariant,
                at: now,
                observer: name(observation.observer),
                subject: name(observation.subject),
                duration,
            });
        }
    }
}

/// Returns how long a condition has held for a pair of members.
fn duration_of(
    since: &mut BTreeMap<(MemberIndex, MemberIndex), Duration>,
    now: Duration,
    observation: &Observation,
    holds: bool,
) -> Duration {
    let pair = (observation.observer, observation.subject);
    if !holds {
        since.remove(&pair);
        return Duration::ZERO;
    }
    now - *since.entry(pair).or_insert(now)
}
