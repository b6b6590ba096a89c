//! The outcome of a run.

use std::time::Duration;

use crate::invariants::{MembershipViolation, WorstDurations};

/// The times from a crash to its detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionTimes {
    /// The time until the first member considered the crashed member dead.
    pub first: Duration,
    /// The time until the last of the members that detected the crash considered the crashed member
    /// dead.
    pub last: Duration,
}

/// The outcome of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<MembershipViolation>,
    /// The worst durations of the invariants.
    pub worst: WorstDurations,
    /// The number of messages sent.
    pub messages: u64,
    /// The number of times that a member started to consider a live, reachable member dead.
    pub false_deaths: u64,
    /// The detection times of each crash that was detected and whose process restarted.
    pub detections: Vec<DetectionTimes>,
    /// A hash of the run. Equal runs have equal fingerprints.
    pub fingerprint: u64,
}
