//! `tulipgap rig`: plans played, and what came of them.

use std::ops::Range;
use std::path::Path;
use std::time::Duration;

use serde::Serialize;
use tulipgap_rig::{Outcome, Plan, Worst};

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

fn spread(mut spans: Vec<Duration>) -> Option<Spread> {
    spans.sort();
    let worst = spans.last()?.as_secs_f64();
    Some(Spread { median: spans[spans.len() / 2].as_secs_f64(), worst })
}

/// Plays a plan once for each seed, until one breaks a promise.
pub fn simulate(file: &Path, seeds: Range<u64>, json: bool) -> Result<Verdict, Failure> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
    let plan = Plan::read(&text).map_err(|error| Failure::Usage(format!("{}: {error}", file.display())))?;
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
    let beside = |worst: Duration, bound: f64| Beside { worst: worst.as_secs_f64(), bound };
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
        for (promise, what, beside) in [
            ("held_dead", "a live member that could be reached was held dead", &report.held_dead),
            ("known", "a dead member was not known to be dead", &report.known),
            ("agree", "views differed after the last fault", &report.agree),
        ] {
            println!("{promise:>10}  at the longest {:.2} s, of {:.2} s: {what}", beside.worst, beside.bound);
        }
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
