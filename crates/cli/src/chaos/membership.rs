//! Simulated runs of a plan without leases.

use std::ops::Range;
use std::time::Duration;

use serde::Serialize;
use tulipgap_fault_injection::{MembershipViolation, Plan, WorstDurations, simulate_membership};

use super::bounds::MembershipBounds;
use super::{Report, print_runs};

#[derive(Serialize)]
pub(super) struct MembershipReport {
    runs: u64,
    members: usize,
    /// The first violation, and the seed that shows it.
    #[serde(rename = "broken")]
    violation: Option<ViolationReport>,
    #[serde(flatten)]
    bounds: MembershipBounds,
    false_deaths: u64,
    messages_a_member_and_second: f64,
    /// Time from a crash to its first detection, over crashes whose process restarted.
    #[serde(rename = "first_noticed")]
    first_detection: Option<Distribution>,
    /// Time from a crash to its last detection, over the same crashes.
    #[serde(rename = "all_noticed")]
    last_detection: Option<Distribution>,
}

/// Times are in seconds.
#[derive(Serialize)]
struct ViolationReport {
    seed: u64,
    #[serde(rename = "promise")]
    invariant: &'static str,
    at: f64,
    observer: String,
    #[serde(rename = "of")]
    subject: String,
    #[serde(rename = "held_for")]
    duration: f64,
}

impl ViolationReport {
    fn new(seed: u64, violation: MembershipViolation) -> Self {
        let MembershipViolation {
            invariant,
            at,
            observer,
            subject,
            duration,
        } = violation;
        ViolationReport {
            seed,
            invariant: invariant.key(),
            at: at.as_secs_f64(),
            observer,
            subject,
            duration: duration.as_secs_f64(),
        }
    }
}

/// A distribution of durations, in seconds.
#[derive(Serialize)]
struct Distribution {
    median: f64,
    worst: f64,
}

impl Distribution {
    /// `None` if there are no durations.
    fn of(mut durations: Vec<Duration>) -> Option<Self> {
        durations.sort();
        let worst = durations.last()?.as_secs_f64();
        Some(Distribution {
            median: durations[durations.len() / 2].as_secs_f64(),
            worst,
        })
    }
}

impl MembershipReport {
    /// Runs the plan once for each seed, until an invariant is violated.
    pub(super) fn simulate(plan: &Plan, seeds: Range<u64>) -> Self {
        let (mut runs, mut messages, mut false_deaths) = (0, 0, 0);
        let (mut worst, mut violation) = (WorstDurations::default(), None);
        let mut detections = Vec::new();
        for seed in seeds {
            let outcome = simulate_membership(plan, seed, None);
            runs += 1;
            messages += outcome.messages;
            false_deaths += outcome.false_deaths;
            worst = worst.max(outcome.worst);
            detections.extend(outcome.detections);
            if let Some(found) = outcome.violation {
                violation = Some(ViolationReport::new(seed, found));
                break;
            }
        }
        let members = plan.members().len();
        MembershipReport {
            runs,
            members,
            violation,
            bounds: MembershipBounds::new(&worst, &plan.bounds),
            false_deaths,
            messages_a_member_and_second: messages as f64
                / (runs as f64 * plan.length * members as f64),
            first_detection: Distribution::of(detections.iter().map(|times| times.first).collect()),
            last_detection: Distribution::of(detections.iter().map(|times| times.last).collect()),
        }
    }
}

impl Report for MembershipReport {
    fn has_violation(&self) -> bool {
        self.violation.is_some()
    }

    fn print(&self, plan: &Plan) {
        print_runs(self.runs, self.members, plan);
        self.bounds.print();
        for (detection, observers) in [
            (&self.first_detection, "first"),
            (&self.last_detection, "all"),
        ] {
            if let Some(Distribution { median, worst }) = detection {
                println!(
                    "   crashes  detected by {observers}: median {median:.2} s, worst {worst:.2} s"
                );
            }
        }
        println!(
            "  messages  {:.1} per member and second",
            self.messages_a_member_and_second
        );
        println!("    deaths  {} false", self.false_deaths);
        if let Some(violation) = &self.violation {
            let ViolationReport {
                seed,
                invariant,
                at,
                observer,
                subject,
                duration,
            } = violation;
            println!(
                "VIOLATION of {invariant} with seed {seed} at {at:.2} s: {observer} of {subject}, for {duration:.2} s"
            );
        }
    }
}
