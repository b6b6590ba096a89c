//! Runs of five real processes that use two leases while faults are injected.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::path::Path;

use tulipgap_fault_injection::{OperationPhase, OperationRecord, Plan, RunOutcome, run};

/// A plan with five members, three of them voters, that use two leases, and with these faults.
pub(crate) fn plan(faults: &str) -> Plan {
    let text = format!(
        r#"length = 150
        voters = ["a-1", "b-1", "c-1"]
        members {{
          zone = "a"
          count = 2
        }}
        members {{
          zone = "b"
          count = 2
        }}
        members {{
          zone = "c"
          count = 1
        }}
        lease {{
          name = "one"
          term = 2
          step = 0.3
        }}
        lease {{
          name = "two"
          term = 2
          places = 2
          step = 0.3
        }}
        {faults}"#
    );
    Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

/// The path of the program that the runs start.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_tulipgapd"))
}

/// Runs the plan with these faults until 10 operations have begun under each lease after the last
/// fault. Panics if an invariant is violated.
pub(crate) fn run_until_operations_resume(name: &str, faults: &str) -> RunOutcome {
    let (plan, folder) = (plan(faults), tempfile::tempdir().unwrap());
    // The run calls `is_finished` for the first time after its last fault.
    let (operations_at_last_fault, has_resumed) = (Cell::new(None), Cell::new(false));
    let is_finished = |out: &RunOutcome| {
        let since = operations_at_last_fault.get().unwrap_or(out.history.len());
        operations_at_last_fault.set(Some(since));
        let count_operations = |lease: &str| {
            let is_accepted_begin = |record: &&OperationRecord| {
                record.phase == OperationPhase::Begin
                    && record.rejection.is_none()
                    && record.lease == lease
            };
            out.history[since..]
                .iter()
                .filter(is_accepted_begin)
                .count()
        };
        has_resumed.set(count_operations("one") >= 10 && count_operations("two") >= 10);
        has_resumed.get()
    };
    let outcome = run(&plan, program(), folder.path(), |_| {}, is_finished)
        .unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(outcome.violation, None, "{name}");
    assert!(
        has_resumed.get(),
        "{name}: no operations after the last fault: {:?}",
        outcome.tokens
    );
    println!(
        "{name}: {} operations, {} rejected, no operation for {:?}",
        outcome.operations, outcome.rejected, outcome.longest_idle
    );
    print_owners_and_pauses(&outcome);
    outcome
}

/// Prints the first and the last operation of each owner under each token, the worst durations and
/// the pauses. They show why a lease was granted to another owner late.
fn print_owners_and_pauses(outcome: &RunOutcome) {
    let mut spans = BTreeMap::new();
    for record in outcome.history.iter().filter(|at| at.rejection.is_none()) {
        let key = (&record.lease, record.token, &record.member);
        let (_, until) = spans.entry(key).or_insert((record.at, record.at));
        *until = record.at;
    }
    for ((lease, token, member), (from, until)) in spans {
        println!("  {lease} token {token} {member}: {from:.2?} to {until:.2?}");
    }
    println!("  worst durations: {:?}", outcome.worst);
    for pause in &outcome.pauses {
        println!("  {pause:.2?}");
    }
}
