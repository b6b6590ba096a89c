//! `tulipgap rig`: plans played in simulated time or between real processes, and reports of them. The fields
//! of the reports are the keys of their JSON form.

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use serde::Serialize;
use tulipgap_rig::{LeaseOutcome, Outcome, Plan, Planted, Worst, drawn, shrunk, simulate_leases};

use crate::error::{ArgumentError, CliError, CommandResult, Status};

#[derive(Serialize)]
struct MembershipReport {
    runs: u64,
    members: usize,
    /// The first seed that violated a bound, and how.
    #[serde(rename = "broken")]
    violation: Option<MembershipViolation>,
    #[serde(flatten)]
    bounds: MembershipBounds,
    false_deaths: u64,
    messages_a_member_and_second: f64,
    /// Of members that crashed and restarted: until the first and the last of the others noticed.
    first_noticed: Option<Distribution>,
    all_noticed: Option<Distribution>,
}

#[derive(Serialize)]
struct MembershipViolation {
    seed: u64,
    promise: &'static str,
    at: f64,
    observer: String,
    #[serde(rename = "of")]
    member: String,
    #[serde(rename = "held_for")]
    duration: f64,
}

/// The worst of all runs beside its bound, in seconds.
#[derive(Serialize)]
struct Bounded {
    worst: f64,
    bound: f64,
}

#[derive(Serialize)]
struct Distribution {
    median: f64,
    worst: f64,
}

fn bounded(worst: Duration, bound: f64) -> Bounded {
    Bounded { worst: worst.as_secs_f64(), bound }
}

fn distribution(mut spans: Vec<Duration>) -> Option<Distribution> {
    spans.sort();
    let worst = spans.last()?.as_secs_f64();
    Some(Distribution { median: spans[spans.len() / 2].as_secs_f64(), worst })
}

/// The report on a plan with leases. Times are in seconds.
#[derive(Default, Serialize)]
struct LeaseReport {
    runs: u64,
    members: usize,
    /// The first seed that violated an invariant.
    #[serde(rename = "broken")]
    violation: Option<LeaseViolation>,
    /// How long a wanted lease had no holder: the worst after the last fault, its bound, the worst of all.
    free_after: f64,
    free_bound: f64,
    free: f64,
    grants: u64,
    #[serde(rename = "acts")]
    writes: u64,
    #[serde(rename = "refused")]
    rejected_writes: u64,
    messages: u64,
    syncs: u64,
    written: u64,
    leaders: u64,
    voters_ended: u64,
}

#[derive(Serialize)]
struct LeaseViolation {
    seed: u64,
    promise: &'static str,
    at: f64,
    #[serde(rename = "what")]
    description: String,
    /// The faults that are left when those are taken out that the violation does not need.
    faults: String,
}

/// Seeds are distributed over the cores. The report is the same whatever their number, but for how many seeds
/// were played until one failed.
fn simulate_all_leases(plan: &Plan, seeds: Range<u64>, chaos: bool, json: bool) -> Status {
    let next = AtomicU64::new(seeds.start);
    let failed = AtomicU64::new(u64::MAX);
    let plan_of = |seed: u64| if chaos { drawn(plan, seed) } else { plan.clone() };
    let work = || {
        let mut outcomes: Vec<(u64, LeaseOutcome)> = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= seeds.end || seed > failed.load(Ordering::Relaxed) {
                return outcomes;
            }
            let outcome = simulate_leases(&plan_of(seed), seed, Planted::default());
            if outcome.broken.is_some() {
                failed.fetch_min(seed, Ordering::Relaxed);
            }
            outcomes.push((seed, outcome));
        }
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let mut all: Vec<(u64, LeaseOutcome)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        workers.into_iter().flat_map(|worker| worker.join().unwrap_or_default()).collect()
    });
    all.sort_by_key(|(seed, _)| *seed);
    let members = plan.names().len();
    let mut report = LeaseReport { members, free_bound: plan.checks.free, ..LeaseReport::default() };
    for (seed, outcome) in all {
        report.runs += 1;
        report.free_after = report.free_after.max(outcome.free_after.as_secs_f64());
        report.free = report.free.max(outcome.free.as_secs_f64());
        report.grants += outcome.grants;
        report.writes += outcome.acts;
        report.rejected_writes += outcome.refused;
        report.messages += outcome.messages;
        report.syncs += outcome.syncs;
        report.written += outcome.written;
        report.leaders += outcome.leaders;
        report.voters_ended += outcome.ended;
        if let Some(broken) = outcome.broken {
            let fails = |plan: &Plan| simulate_leases(plan, seed, Planted::default()).broken.is_some();
            let faults = shrunk(&plan_of(seed), fails).faults_written();
            let at = broken.at.as_secs_f64();
            report.violation =
                Some(LeaseViolation { seed, promise: broken.promise, at, description: broken.what, faults });
            break;
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print_lease_report(&report, plan);
    }
    Status::of(report.violation.is_none())
}

fn print_lease_report(report: &LeaseReport, plan: &Plan) {
    println!("{} runs of {} members, {} s each", report.runs, report.members, plan.length);
    println!(
        "      free  at the longest {:.2} s after the last fault, of {:.2} s; {:.2} s at all",
        report.free_after, report.free_bound, report.free
    );
    println!(
        "    grants  {}, {} acts, {} of them refused for their token",
        report.grants, report.writes, report.rejected_writes
    );
    println!("   leaders  {}; {} voters ended themselves", report.leaders, report.voters_ended);
    println!(
        "      cost  {} messages, {} syncs, {} bytes written",
        report.messages, report.syncs, report.written
    );
    if let Some(violation) = &report.violation {
        let LeaseViolation { seed, promise, at, description, faults } = violation;
        println!("BROKEN {promise} with seed {seed} at {at:.2} s: {description}");
        println!("with these faults alone:\n{faults}");
    }
}

/// What membership promises, and how it was kept. Times are in seconds.
#[derive(Serialize)]
struct MembershipBounds {
    /// How long a live, reachable member was held dead.
    #[serde(rename = "held_dead")]
    false_death: Bounded,
    /// How long a dead member was not known to be dead.
    #[serde(rename = "known")]
    detection: Bounded,
    /// How long views differed after the last fault.
    #[serde(rename = "agree")]
    convergence: Bounded,
}

impl MembershipBounds {
    fn new(plan: &Plan, worst: &Worst) -> Self {
        MembershipBounds {
            false_death: bounded(worst.held_dead, plan.checks.held_dead),
            detection: bounded(worst.known, plan.checks.known),
            convergence: bounded(worst.agree, plan.checks.agree),
        }
    }

    fn print(&self) {
        for (promise, description, bounded) in [
            ("held_dead", "a live member that could be reached was held dead", &self.false_death),
            ("known", "a dead member was not known to be dead", &self.detection),
            ("agree", "views differed after the last fault", &self.convergence),
        ] {
            let Bounded { worst, bound } = bounded;
            println!("{promise:>10}  at the longest {worst:.2} s, of {bound:.2} s: {description}");
        }
    }
}

fn read_plan(file: &Path) -> Result<Plan, CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::file(file))?;
    Plan::read(&text).map_err(|source| CliError::Plan { path: file.to_owned(), source })
}

/// Plays a plan once for each seed, until one breaks a promise.
pub(crate) fn simulate(file: &Path, seeds: Range<u64>, chaos: bool, json: bool) -> CommandResult {
    let plan = read_plan(file)?;
    if !plan.leases.is_empty() {
        return Ok(simulate_all_leases(&plan, seeds, chaos, json));
    }
    if chaos {
        return Err(ArgumentError::ChaosWithoutLeases(file.to_owned()).into());
    }
    let (mut runs, mut messages, mut false_deaths) = (0, 0, 0);
    let (mut worst, mut violation) = (Worst::default(), None);
    let (mut first, mut all) = (Vec::new(), Vec::new());
    for seed in seeds {
        let outcome: Outcome = tulipgap_rig::simulate(&plan, seed, None);
        runs += 1;
        messages += outcome.messages;
        false_deaths += outcome.false_deaths;
        worst = worst.max(outcome.worst);
        first.extend(outcome.detected.iter().map(|noticed| noticed.0));
        all.extend(outcome.detected.iter().map(|noticed| noticed.1));
        if let Some(found) = outcome.broken {
            violation = Some(MembershipViolation {
                seed,
                promise: found.promise,
                at: found.at.as_secs_f64(),
                observer: found.observer,
                member: found.of,
                duration: found.span.as_secs_f64(),
            });
            break;
        }
    }
    let members = plan.names().len();
    let report = MembershipReport {
        runs,
        members,
        bounds: MembershipBounds::new(&plan, &worst),
        false_deaths,
        messages_a_member_and_second: messages as f64 / (runs as f64 * plan.length * members as f64),
        first_noticed: distribution(first),
        all_noticed: distribution(all),
        violation,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print_membership_report(&report, &plan);
    }
    Ok(Status::of(report.violation.is_none()))
}

fn print_membership_report(report: &MembershipReport, plan: &Plan) {
    println!("{} runs of {} members, {} s each", report.runs, report.members, plan.length);
    report.bounds.print();
    for (noticed, by) in [(&report.first_noticed, "first"), (&report.all_noticed, "all")] {
        if let Some(Distribution { median, worst }) = noticed {
            println!("   crashes  noticed by {by}: median {median:.2} s, worst {worst:.2} s");
        }
    }
    println!("  messages  {:.1} a member and second", report.messages_a_member_and_second);
    println!("    deaths  {} that were none", report.false_deaths);
    if let Some(violation) = &report.violation {
        let MembershipViolation { seed, promise, at, observer, member, duration } = violation;
        println!(
            "BROKEN {promise} with seed {seed} at {at:.2} s: {observer} of {member}, for {duration:.2} s"
        );
    }
}

#[derive(Serialize)]
struct RunReport {
    members: usize,
    /// When an invariant was violated, and how.
    #[serde(rename = "broken")]
    violation: Option<(f64, String)>,
    #[serde(rename = "acts")]
    writes: u64,
    #[serde(rename = "refused")]
    rejected_writes: u64,
    /// Rejected writes of processes that were not paused: their fencing tokens alone prevented harm.
    #[serde(rename = "refused_awake")]
    rejected_while_running: u64,
    leases: Vec<LeaseUse>,
    #[serde(flatten)]
    bounds: MembershipBounds,
    false_deaths: u64,
    faults: String,
}

/// How one lease was used.
#[derive(Serialize)]
struct LeaseUse {
    lease: String,
    tokens: usize,
    /// The longest time without a write under it, in seconds.
    free: f64,
}

/// Plays a plan once with real processes.
pub(crate) fn run(
    file: &Path,
    program: Option<PathBuf>,
    seed: u64,
    chaos: bool,
    folder: Option<PathBuf>,
    json: bool,
) -> CommandResult {
    let plan = read_plan(file)?;
    let plan = if chaos { drawn(&plan, seed) } else { plan };
    let neighbour = || Some(std::env::current_exe().ok()?.with_file_name("tulipgapd"));
    let program = program.or_else(neighbour).unwrap_or_else(|| "tulipgapd".into());
    let (directory, should_keep_folder) = match folder {
        Some(folder) => (folder, true),
        None => (std::env::temp_dir().join(format!("tulipgap-rig-{}", std::process::id())), false),
    };
    let outcome = tulipgap_rig::run(&plan, &program, &directory, |_| {}, |_| false);
    let outcome = outcome.map_err(|source| CliError::Run { path: file.to_owned(), source })?;
    let report = RunReport {
        members: plan.names().len(),
        writes: outcome.acts,
        rejected_writes: outcome.refused,
        rejected_while_running: outcome.refused_awake,
        leases: (plan.leases.iter())
            .map(|lease| LeaseUse {
                lease: lease.name.clone(),
                tokens: outcome.tokens.get(&lease.name).copied().unwrap_or_default(),
                free: outcome.free.get(&lease.name).map_or(0.0, Duration::as_secs_f64),
            })
            .collect(),
        bounds: MembershipBounds::new(&plan, &outcome.worst),
        false_deaths: outcome.false_deaths,
        faults: if chaos { plan.faults_written() } else { String::new() },
        violation: outcome.broken.map(|(at, description)| (at.as_secs_f64(), description)),
    };
    let is_passed = report.violation.is_none();
    if !should_keep_folder && is_passed {
        let _ = std::fs::remove_dir_all(&directory);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print_run_report(&report, &plan, &directory);
    }
    Ok(Status::of(is_passed))
}

fn print_run_report(report: &RunReport, plan: &Plan, directory: &Path) {
    println!("{} processes, {} s", report.members, plan.length);
    report.bounds.print();
    println!("    deaths  {} that were none", report.false_deaths);
    println!(
        "      acts  {}; {} refused for their token, {} of them of processes that were not stopped",
        report.writes, report.rejected_writes, report.rejected_while_running
    );
    for LeaseUse { lease, tokens, free } in &report.leases {
        println!("     lease  {lease}: {tokens} tokens, no act for {free:.2} s at the longest");
    }
    if let Some((at, description)) = &report.violation {
        println!(
            "BROKEN at {at:.2} s: {description}\nlogs and journals are in {}\n{}",
            directory.display(),
            report.faults
        );
    }
}
