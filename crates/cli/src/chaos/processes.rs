//! A run of a plan with real processes.

use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;
use tulipgap_fault_injection::{Plan, PlannedLease, RunOutcome, RunViolation};

use super::Report;
use super::bounds::MembershipBounds;

#[derive(Serialize)]
pub(super) struct RunReport {
    members: usize,
    /// The time in seconds and the description of the violation.
    #[serde(rename = "broken")]
    violation: Option<(f64, String)>,
    #[serde(rename = "acts")]
    operations: u64,
    #[serde(rename = "refused")]
    rejected: u64,
    /// Rejected reports of processes that were not paused: only the fencing token prevented their
    /// operations.
    #[serde(rename = "refused_awake")]
    rejected_while_running: u64,
    leases: Vec<LeaseReport>,
    #[serde(flatten)]
    bounds: MembershipBounds,
    false_deaths: u64,
    /// All faults of the run, as blocks of a plan file; empty without random faults.
    faults: String,
    #[serde(skip)]
    run_directory: PathBuf,
}

#[derive(Serialize)]
struct LeaseReport {
    #[serde(rename = "lease")]
    name: String,
    tokens: usize,
    /// The longest time without an operation, in seconds.
    #[serde(rename = "free")]
    longest_idle: f64,
}

impl LeaseReport {
    fn new(lease: &PlannedLease, outcome: &RunOutcome) -> Self {
        LeaseReport {
            name: lease.name.clone(),
            tokens: outcome.tokens.get(&lease.name).copied().unwrap_or_default(),
            longest_idle: outcome
                .longest_idle
                .get(&lease.name)
                .map_or(0.0, Duration::as_secs_f64),
        }
    }
}

impl RunReport {
    pub(super) fn new(
        plan: &Plan,
        outcome: RunOutcome,
        has_random_faults: bool,
        run_directory: &Path,
    ) -> Self {
        RunReport {
            members: plan.members().len(),
            operations: outcome.operations,
            rejected: outcome.rejected,
            rejected_while_running: outcome.rejected_while_running,
            leases: plan
                .leases
                .iter()
                .map(|lease| LeaseReport::new(lease, &outcome))
                .collect(),
            bounds: MembershipBounds::new(&outcome.worst, &plan.bounds),
            false_deaths: outcome.false_deaths,
            faults: if has_random_faults {
                plan.faults_to_hcl()
            } else {
                String::new()
            },
            run_directory: run_directory.to_owned(),
            violation: outcome
                .violation
                .map(|RunViolation { at, description }| (at.as_secs_f64(), description)),
        }
    }
}

impl Report for RunReport {
    fn has_violation(&self) -> bool {
        self.violation.is_some()
    }

    fn print(&self, plan: &Plan) {
        println!("{} processes, {} s", self.members, plan.length);
        self.bounds.print();
        println!("    deaths  {} false", self.false_deaths);
        println!(
            "operations  {}; {} rejected by fencing token, {} of them from processes that were not paused",
            self.operations, self.rejected, self.rejected_while_running
        );
        for LeaseReport {
            name,
            tokens,
            longest_idle,
        } in &self.leases
        {
            println!(
                "     lease  {name}: {tokens} tokens, no operation for at most {longest_idle:.2} s"
            );
        }
        if let Some((at, description)) = &self.violation {
            let directory = self.run_directory.display();
            println!(
                "VIOLATION at {at:.2} s: {description}\nlogs and journals are in {directory}\n{}",
                self.faults
            );
        }
    }
}
