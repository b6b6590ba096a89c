//! Simulated runs of a plan with leases, on all cores.

use std::num::NonZero;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

use serde::Serialize;
use tulipgap_fault_injection::{
    InjectedBugs, LeaseOutcome, LeaseViolation, Plan, minimize_faults, simulate_leases,
    with_random_faults,
};

use super::{Report, print_runs};

/// The totals of simulated runs. Times are in seconds.
#[derive(Default, Serialize)]
pub(super) struct LeaseReport {
    runs: u64,
    members: usize,
    /// The first violation, and the seed that shows it.
    #[serde(rename = "broken")]
    violation: Option<ViolationReport>,
    /// The longest time for which a wanted lease had no holder: after the last fault, the bound of
    /// that time, and in whole runs.
    #[serde(rename = "free_after")]
    longest_vacancy_after_faults: f64,
    #[serde(rename = "free_bound")]
    vacancy_bound: f64,
    #[serde(rename = "free")]
    longest_vacancy: f64,
    grants: u64,
    #[serde(rename = "acts")]
    operations: u64,
    #[serde(rename = "refused")]
    rejected_operations: u64,
    messages: u64,
    syncs: u64,
    #[serde(rename = "written")]
    written_bytes: u64,
    #[serde(rename = "leaders")]
    elections: u64,
    #[serde(rename = "voters_ended")]
    stopped_voters: u64,
}

#[derive(Serialize)]
struct ViolationReport {
    seed: u64,
    #[serde(rename = "promise")]
    invariant: String,
    at: f64,
    #[serde(rename = "what")]
    details: String,
    /// The minimized faults that cause the violation, as blocks of a plan file.
    faults: String,
}

impl ViolationReport {
    fn new(seed: u64, violation: LeaseViolation, plan: &Plan) -> Self {
        let is_violated = |plan: &Plan| {
            simulate_leases(plan, seed, InjectedBugs::default())
                .violation
                .is_some()
        };
        ViolationReport {
            seed,
            invariant: violation.invariant.to_string(),
            at: violation.at.as_secs_f64(),
            details: violation.details,
            faults: minimize_faults(plan, is_violated).faults_to_hcl(),
        }
    }
}

/// The outcome of one run.
struct SeedOutcome {
    seed: u64,
    outcome: LeaseOutcome,
}

/// Distributes seeds to threads in order until the run of a seed has failed. Later seeds may be in
/// progress by then; all seeds before the failed one are run.
struct SeedQueue {
    next: AtomicU64,
    end: u64,
    first_failed: AtomicU64,
}

impl SeedQueue {
    fn new(seeds: Range<u64>) -> Self {
        SeedQueue {
            next: AtomicU64::new(seeds.start),
            end: seeds.end,
            first_failed: AtomicU64::new(u64::MAX),
        }
    }

    fn next(&self) -> Option<u64> {
        let seed = self.next.fetch_add(1, Ordering::Relaxed);
        (seed < self.end && seed <= self.first_failed.load(Ordering::Relaxed)).then_some(seed)
    }

    fn record_failure(&self, seed: u64) {
        self.first_failed.fetch_min(seed, Ordering::Relaxed);
    }
}

/// The plan that is run with a seed.
fn plan_of_seed(plan: &Plan, seed: u64, has_random_faults: bool) -> Plan {
    if has_random_faults {
        with_random_faults(plan, seed)
    } else {
        plan.clone()
    }
}

/// Runs seeds on all cores, and returns the outcomes in the order of the seeds. Up to the first
/// failed seed, the outcomes are the same for any number of cores.
fn simulate_seeds(plan: &Plan, seeds: Range<u64>, has_random_faults: bool) -> Vec<SeedOutcome> {
    let queue = SeedQueue::new(seeds);
    let simulate = |seed: u64| {
        let plan = plan_of_seed(plan, seed, has_random_faults);
        let outcome = simulate_leases(&plan, seed, InjectedBugs::default());
        if outcome.violation.is_some() {
            queue.record_failure(seed);
        }
        SeedOutcome { seed, outcome }
    };
    let work = || {
        std::iter::from_fn(|| queue.next())
            .map(simulate)
            .collect::<Vec<_>>()
    };
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    let mut outcomes: Vec<SeedOutcome> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_default())
            .collect()
    });
    outcomes.sort_by_key(|run| run.seed);
    outcomes
}

impl LeaseReport {
    /// Runs the plan once for each seed, until an invariant is violated.
    pub(super) fn simulate(plan: &Plan, seeds: Range<u64>, has_random_faults: bool) -> Self {
        let mut report = LeaseReport {
            members: plan.members().len(),
            vacancy_bound: plan.bounds.vacancy,
            ..LeaseReport::default()
        };
        for SeedOutcome { seed, outcome } in simulate_seeds(plan, seeds, has_random_faults) {
            report.add(&outcome);
            if let Some(violation) = outcome.violation {
                let plan = plan_of_seed(plan, seed, has_random_faults);
                report.violation = Some(ViolationReport::new(seed, violation, &plan));
                break;
            }
        }
        report
    }

    fn add(&mut self, outcome: &LeaseOutcome) {
        let vacancy_after_faults = outcome.longest_vacancy_after_faults.as_secs_f64();
        self.runs += 1;
        self.longest_vacancy_after_faults =
            self.longest_vacancy_after_faults.max(vacancy_after_faults);
        self.longest_vacancy = self
            .longest_vacancy
            .max(outcome.longest_vacancy.as_secs_f64());
        self.grants += outcome.grants;
        self.operations += outcome.operations;
        self.rejected_operations += outcome.rejected_operations;
        self.messages += outcome.messages;
        self.syncs += outcome.syncs;
        self.written_bytes += outcome.written_bytes;
        self.elections += outcome.elections;
        self.stopped_voters += outcome.stopped_voters;
    }
}

impl Report for LeaseReport {
    fn has_violation(&self) -> bool {
        self.violation.is_some()
    }

    fn print(&self, plan: &Plan) {
        print_runs(self.runs, self.members, plan);
        println!(
            "   vacancy  longest {:.2} s after the last fault, bound {:.2} s; {:.2} s in the whole run",
            self.longest_vacancy_after_faults, self.vacancy_bound, self.longest_vacancy
        );
        println!(
            "    grants  {}, {} operations, {} of them rejected by fencing token",
            self.grants, self.operations, self.rejected_operations
        );
        println!(
            " elections  {}; {} voters stopped themselves",
            self.elections, self.stopped_voters
        );
        println!(
            "      cost  {} messages, {} syncs, {} bytes written",
            self.messages, self.syncs, self.written_bytes
        );
        if let Some(violation) = &self.violation {
            let ViolationReport {
                seed,
                invariant,
                at,
                details,
                faults,
            } = violation;
            println!("VIOLATION of {invariant} with seed {seed} at {at:.2} s: {details}");
            println!("minimized faults:\n{faults}");
        }
    }
}
