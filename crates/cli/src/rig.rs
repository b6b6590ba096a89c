//! `tulipgap rig`: plans played, and what came of them.

use std::ops::Range;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Serialize;
use tulipgap_rig::{LeaseOutcome, Outcome, Plan, Planted, Worst, drawn, shrunk, simulate_leases};

use crate::files::{Failure, Verdict};

#[derive(Serialize)]
struct Report {
    runs: u64,
    members: usize,
    /// The first seed that broke a promise, and how.
    broken: Option<Broken>,
    /// In seconds; the worst of all runs beside its bound.
    held_dead: Beside,
    known: Beside,
    agree: Beside,
    false_deaths: u64,
    messages_a_member_and_second: f64,
    /// Of crashes that came back: until the first and the last of those who noticed.
    first_noticed: Option<Spread>,
    all_noticed: Option<Spread>,
}

#[derive(Serialize)]
struct Broken {
    seed: u64,
    promise: &'static str,
    at: f64,
    observer: String,
    of: String,
    held_for: f64,
}

#[derive(Serialize)]
struct Beside {
    worst: f64,
    bound: f64,
}

#[derive(Serialize)]
struct Spread {
    median: f64,
    worst: f64,
}

fn beside(worst: Duration, bound: f64) -> Beside {
    Beside { worst: worst.as_secs_f64(), bound }
}

fn spread(mut spans: Vec<Duration>) -> Option<Spread> {
    spans.sort();
    let worst = spans.last()?.as_secs_f64();
    Some(Spread { median: spans[spans.len() / 2].as_secs_f64(), worst })
}

/// Of plans with leases.
#[derive(Default, Serialize)]
struct LeaseReport {
    runs: u64,
    members: usize,
    /// The seed that broke a promise, which, and the faults that are left when those are taken out that it goes without.
    broken: Option<LeaseBroken>,
    /// Seconds that a wanted lease had no holder: the worst after the last fault, its bound, the worst of all.
    free_after: f64,
    free_bound: f64,
    free: f64,
    grants: u64,
    acts: u64,
    refused: u64,
    messages: u64,
    syncs: u64,
    written: u64,
    leaders: u64,
    voters_ended: u64,
}

#[derive(Serialize)]
struct LeaseBroken {
    seed: u64,
    promise: &'static str,
    at: f64,
    what: String,
    faults: String,
}

/// Seeds are spread over the cores; what is told is the same whatever their number, but for how many were played until
/// one failed.
fn simulate_all_leases(plan: &Plan, seeds: Range<u64>, chaos: bool, json: bool) -> Verdict {
    let next = std::sync::atomic::AtomicU64::new(seeds.start);
    let failed = std::sync::atomic::AtomicU64::new(u64::MAX);
    let of = |seed: u64| if chaos { drawn(plan, seed) } else { plan.clone() };
    let work = || {
        let mut outcomes: Vec<(u64, LeaseOutcome)> = Vec::new();
        loop {
            let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            if seed >= seeds.end || seed > failed.load(std::sync::atomic::Ordering::Relaxed) {
                return outcomes;
            }
            let outcome = simulate_leases(&of(seed), seed, Planted::default());
            if outcome.broken.is_some() {
                failed.fetch_min(seed, std::sync::atomic::Ordering::Relaxed);
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
        report.acts += outcome.acts;
        report.refused += outcome.refused;
        report.messages += outcome.messages;
        report.syncs += outcome.syncs;
        report.written += outcome.written;
        report.leaders += outcome.leaders;
        report.voters_ended += outcome.ended;
        if let Some(broken) = outcome.broken {
            let fails = |plan: &Plan| simulate_leases(plan, seed, Planted::default()).broken.is_some();
            let faults = shrunk(&of(seed), fails).faults_written();
            let at = broken.at.as_secs_f64();
            report.broken =
                Some(LeaseBroken { seed, promise: broken.promise, at, what: broken.what, faults });
            break;
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        println!("{} runs of {members} members, {} s each", report.runs, plan.length);
        println!(
            "      free  at the longest {:.2} s after the last fault, of {:.2} s; {:.2} s at all",
            report.free_after, report.free_bound, report.free
        );
        println!(
            "    grants  {}, {} acts, {} of them refused for their token",
            report.grants, report.acts, report.refused
        );
        println!("   leaders  {}; {} voters ended themselves", report.leaders, report.voters_ended);
        println!(
            "      cost  {} messages, {} syncs, {} bytes written",
            report.messages, report.syncs, report.written
        );
        if let Some(broken) = &report.broken {
            println!(
                "BROKEN {} with seed {} at {:.2} s: {}",
                broken.promise, broken.seed, broken.at, broken.what
            );
            println!("with these faults alone:\n{}", broken.faults);
        }
    }
    if report.broken.is_some() { Verdict::Lacking } else { Verdict::Whole }
}

fn promises(held_dead: &Beside, known: &Beside, agree: &Beside) {
    for (promise, what, beside) in [
        ("held_dead", "a live member that could be reached was held dead", held_dead),
        ("known", "a dead member was not known to be dead", known),
        ("agree", "views differed after the last fault", agree),
    ] {
        println!("{promise:>10}  at the longest {:.2} s, of {:.2} s: {what}", beside.worst, beside.bound);
    }
}

/// Plays a plan once for each seed, until one breaks a promise.
pub fn simulate(file: &Path, seeds: Range<u64>, chaos: bool, json: bool) -> Result<Verdict, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
    let plan = Plan::read(&text).map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
    if !plan.leases.is_empty() {
        return Ok(simulate_all_leases(&plan, seeds, chaos, json));
    }
    if chaos {
        let problem = "faults are drawn for plans with leases alone, so far";
        return Err(Failure::Usage(format!("{}: {problem}", file.display())));
    }
    let (mut runs, mut messages, mut false_deaths) = (0, 0, 0);
    let (mut worst, mut broken) = (Worst::default(), None);
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
            broken = Some(Broken {
                seed,
                promise: found.promise,
                at: found.at.as_secs_f64(),
                observer: found.observer,
                of: found.of,
                held_for: found.span.as_secs_f64(),
            });
            break;
        }
    }
    let members = plan.names().len();
    let report = Report {
        runs,
        members,
        held_dead: beside(worst.held_dead, plan.checks.held_dead),
        known: beside(worst.known, plan.checks.known),
        agree: beside(worst.agree, plan.checks.agree),
        false_deaths,
        messages_a_member_and_second: messages as f64 / (runs as f64 * plan.length * members as f64),
        first_noticed: spread(first),
        all_noticed: spread(all),
        broken,
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        println!("{} runs of {} members, {} s each", report.runs, members, plan.length);
        promises(&report.held_dead, &report.known, &report.agree);
        for (noticed, what) in [(&report.first_noticed, "first"), (&report.all_noticed, "all")] {
            if let Some(Spread { median, worst }) = noticed {
                println!("   crashes  noticed by {what}: median {median:.2} s, worst {worst:.2} s");
            }
        }
        println!("  messages  {:.1} a member and second", report.messages_a_member_and_second);
        println!("    deaths  {} that were none", report.false_deaths);
        if let Some(b) = &report.broken {
            println!(
                "BROKEN {} with seed {} at {:.2} s: {} of {}, for {:.2} s",
                b.promise, b.seed, b.at, b.observer, b.of, b.held_for
            );
        }
    }
    Ok(if report.broken.is_some() { Verdict::Lacking } else { Verdict::Whole })
}

#[derive(Serialize)]
struct RunReport {
    members: usize,
    broken: Option<(f64, String)>,
    acts: u64,
    refused: u64,
    /// Of processes that were not stopped: their tokens alone kept them from harm.
    refused_awake: u64,
    leases: Vec<RunLease>,
    held_dead: Beside,
    known: Beside,
    agree: Beside,
    false_deaths: u64,
    faults: String,
}

#[derive(Serialize)]
struct RunLease {
    lease: String,
    tokens: usize,
    free: f64,
}

/// Plays a plan once with real processes.
pub fn run(
    file: &Path,
    program: Option<PathBuf>,
    seed: u64,
    chaos: bool,
    folder: Option<PathBuf>,
    json: bool,
) -> Result<Verdict, Failure> {
    let usage = |what: String| Failure::Usage(format!("{}: {what}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| usage(error.to_string()))?;
    let plan = Plan::read(&text).map_err(|error| usage(error.to_string()))?;
    let plan = if chaos { drawn(&plan, seed) } else { plan };
    let neighbour = || Some(std::env::current_exe().ok()?.with_file_name("tulipgapd"));
    let program = program.or_else(neighbour).unwrap_or_else(|| "tulipgapd".into());
    let (place, kept) = match folder {
        Some(folder) => (folder, true),
        None => (std::env::temp_dir().join(format!("tulipgap-rig-{}", std::process::id())), false),
    };
    let outcome = tulipgap_rig::run(&plan, &program, &place, |_| {}, |_| false);
    let outcome = outcome.map_err(|error| usage(error.to_string()))?;
    let report = RunReport {
        members: plan.names().len(),
        acts: outcome.acts,
        refused: outcome.refused,
        refused_awake: outcome.refused_awake,
        leases: (plan.leases.iter())
            .map(|lease| RunLease {
                lease: lease.name.clone(),
                tokens: outcome.tokens.get(&lease.name).copied().unwrap_or_default(),
                free: outcome.free.get(&lease.name).map_or(0.0, Duration::as_secs_f64),
            })
            .collect(),
        held_dead: beside(outcome.worst.held_dead, plan.checks.held_dead),
        known: beside(outcome.worst.known, plan.checks.known),
        agree: beside(outcome.worst.agree, plan.checks.agree),
        false_deaths: outcome.false_deaths,
        faults: if chaos { plan.faults_written() } else { String::new() },
        broken: outcome.broken.map(|(at, what)| (at.as_secs_f64(), what)),
    };
    let fine = report.broken.is_none();
    if !kept && fine {
        let _ = std::fs::remove_dir_all(&place);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        println!("{} processes, {} s", report.members, plan.length);
        promises(&report.held_dead, &report.known, &report.agree);
        println!("    deaths  {} that were none", report.false_deaths);
        println!(
            "      acts  {}; {} refused for their token, {} of them of processes that were not stopped",
            report.acts, report.refused, report.refused_awake
        );
        for lease in &report.leases {
            let RunLease { lease, tokens, free } = lease;
            println!("     lease  {lease}: {tokens} tokens, no act for {free:.2} s at the longest");
        }
        if let Some((at, what)) = &report.broken {
            println!(
                "BROKEN at {at:.2} s: {what}\nlogs and journals are in {}\n{}",
                place.display(),
                report.faults
            );
        }
    }
    Ok(if fine { Verdict::Whole } else { Verdict::Lacking })
}
