//! The longest violation of each membership invariant in a run, with its bound.

use std::time::Duration;

use serde::Serialize;
use tulipgap_fault_injection::{Bounds, MembershipInvariant, WorstDurations};

/// A longest duration and its bound, in seconds.
#[derive(Serialize)]
pub(super) struct WorstAndBound {
    worst: f64,
    bound: f64,
}

impl WorstAndBound {
    fn new(worst: Duration, bound: f64) -> Self {
        WorstAndBound {
            worst: worst.as_secs_f64(),
            bound,
        }
    }
}

/// The durations and bounds of the membership's invariants.
#[derive(Serialize)]
pub(super) struct MembershipBounds {
    #[serde(rename = "held_dead")]
    false_death: WorstAndBound,
    #[serde(rename = "known")]
    death_detection: WorstAndBound,
    #[serde(rename = "agree")]
    convergence: WorstAndBound,
}

impl MembershipBounds {
    pub(super) fn new(worst: &WorstDurations, bounds: &Bounds) -> Self {
        MembershipBounds {
            false_death: WorstAndBound::new(worst.false_death, bounds.false_death),
            death_detection: WorstAndBound::new(worst.death_detection, bounds.death_detection),
            convergence: WorstAndBound::new(worst.convergence, bounds.convergence),
        }
    }

    pub(super) fn print(&self) {
        for (invariant, description, WorstAndBound { worst, bound }) in [
            (
                MembershipInvariant::FalseDeath,
                "a live, reachable member was considered dead",
                &self.false_death,
            ),
            (
                MembershipInvariant::DeathDetection,
                "a dead member was not known to be dead",
                &self.death_detection,
            ),
            (
                MembershipInvariant::Convergence,
                "views differed after the last fault",
                &self.convergence,
            ),
        ] {
            let key = invariant.key();
            println!("{key:>10}  longest {worst:.2} s, bound {bound:.2} s: {description}");
        }
    }
}
