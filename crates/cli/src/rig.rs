//! `tulipgap rig`: plays plans with injected faults and reports what came of them.

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

/// The program that is run where no other is named; it lies beside this one.
const DEFAULT_PROGRAM: &str = "tulipgapd";

/// What came of one or many runs of a plan.
trait Report: Serialize {
    /// Whether an invariant was violated.
    fn has_violation(&self) -> bool;

    /// Prints the report for people.
    fn print(&self, plan: &Plan);
}

/// Plays a plan in simulated time once for each seed, until an invariant is violated.
pub(crate) fn simulate(file: &Path, seeds: Range<u64>, chaos: bool, json: bool) -> CommandResult {
    let plan = read_plan(file)?;
    if !plan.leases.is_empty() {
        return Ok(output(
            &LeaseReport::simulate(&plan, seeds, chaos),
            &plan,
            json,
        ));
    }
    if chaos {
        return Err(ArgumentError::ChaosWithoutLeases(file.to_owned()).into());
    }
    Ok(output(
        &MembershipReport::simulate(&plan, seeds),
        &plan,
        json,
    ))
}

/// Plays a plan once with real processes. Their directories are kept in `folder`, or where
/// something failed.
pub(crate) fn run(
    file: &Path,
    program: Option<PathBuf>,
    seed: u64,
    chaos: bool,
    folder: Option<PathBuf>,
    json: bool,
) -> CommandResult {
    let plan = read_plan(file)?;
    let plan = if chaos {
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
    let report = RunReport::new(&plan, outcome, chaos, &run_directory);
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
    std::env::temp_dir().join(format!("tulipgap-rig-{}", std::process::id()))
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
