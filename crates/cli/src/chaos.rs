//! `tulipgap chaos`: runs fault injection plans, simulated or with real processes, and reports the
//! worst duration of each invariant and the first violation.

mod bounds;
mod leases;
mod membership;
mod processes;

use std::ops::Range;
use std::path::{Path, PathBuf};

use serde::Serialize;
use tulipgap_fault_injection::{Plan, with_random_faults};

use crate::error::{ArgumentError, CliError, CommandResult, Status};
use leases::LeaseReport;
use membership::MembershipReport;
use processes::RunReport;

/// File name of the default backend program, which is in the directory of this program.
const DEFAULT_PROGRAM: &str = "tulipgapd";

/// The result of one or many runs of a plan.
trait Report: Serialize {
    /// Whether an invariant was violated.
    fn has_violation(&self) -> bool;

    /// Prints the report as text.
    fn print(&self, plan: &Plan);
}

/// Runs a plan in simulated time once for each seed, until an invariant is violated. With
/// `random_faults`, adds faults to the plan that are sampled from each seed.
pub(crate) fn simulate(
    file: &Path,
    seeds: Range<u64>,
    random_faults: bool,
    json: bool,
) -> CommandResult {
    let plan = read_plan(file)?;
    if !plan.leases.is_empty() {
        return Ok(output(
            &LeaseReport::simulate(&plan, seeds, random_faults),
            &plan,
            json,
        ));
    }
    if random_faults {
        return Err(ArgumentError::RandomFaultsWithoutLeases(file.to_owned()).into());
    }
    Ok(output(
        &MembershipReport::simulate(&plan, seeds),
        &plan,
        json,
    ))
}

/// Runs a plan once with real processes. Keeps their directories if `folder` is given or if an
/// invariant was violated.
pub(crate) fn run(
    file: &Path,
    program: Option<PathBuf>,
    seed: u64,
    random_faults: bool,
    folder: Option<PathBuf>,
    json: bool,
) -> CommandResult {
    let plan = read_plan(file)?;
    let plan = if random_faults {
        with_random_faults(&plan, seed)
    } else {
        plan
    };
    let program = program.unwrap_or_else(default_program);
    let is_kept = folder.is_some();
    let run_directory = folder.unwrap_or_else(temporary_directory);
    let outcome = tulipgap_fault_injection::run(&plan, &program, &run_directory, |_| {}, |_| false)
        .map_err(|source| CliError::Run {
            path: file.to_owned(),
            source,
        })?;
    let report = RunReport::new(&plan, outcome, random_faults, &run_directory);
    if !is_kept && !report.has_violation() {
        let _ = std::fs::remove_dir_all(&run_directory);
    }
    Ok(output(&report, &plan, json))
}

fn read_plan(file: &Path) -> Result<Plan, CliError> {
    let text = std::fs::read_to_string(file).map_err(CliError::file(file))?;
    Plan::parse(&text).map_err(|source| CliError::Plan {
        path: file.to_owned(),
        source,
    })
}

fn default_program() -> PathBuf {
    match std::env::current_exe() {
        Ok(this_program) => this_program.with_file_name(DEFAULT_PROGRAM),
        Err(_) => DEFAULT_PROGRAM.into(),
    }
}

fn temporary_directory() -> PathBuf {
    std::env::temp_dir().join(format!("tulipgap-chaos-{}", std::process::id()))
}

/// The first line of a report of simulated runs.
fn print_runs(runs: u64, members: usize, plan: &Plan) {
    println!("{runs} runs of {members} members, {} s each", plan.length);
}

fn output(report: &impl Report, plan: &Plan, json: bool) -> Status {
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(report).unwrap_or_default()
        );
    } else {
        report.print(plan);
    }
    Status::of(!report.has_violation())
}
