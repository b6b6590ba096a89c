//! The outcome of a run.

use std::time::Duration;

use crate::invariants::{MembershipViolation, WorstDurations};

/// How long it took until a crash was detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionTimes {
    /// Until the first member considered the crashed one dead.
    pub first: Duration,
    /// Until the last member that ever did.
    pub last: Duration,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<MembershipViolation>,
    /// The worst durations seen.
    pub worst: WorstDurations,
    /// Messages sent.
    pub messages: u64,
    /// How often a member considered a live, reachable one dead.
    pub false_deaths: u64,
    /// Of each crash whose process restarted after somebody had detected it.
    pub detections: Vec<DetectionTimes>,
    /// Identifies the run: equal where all was equal.
    pub fingerprint: u64,
}
