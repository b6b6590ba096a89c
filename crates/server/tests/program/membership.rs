//! Membership between nine real processes, with every link through a proxy. The runs check the
//! invariants at every step with long bounds, and the tests wait until all views agree after the
//! last fault.

use std::cell::Cell;
use std::path::Path;

use tulipgap_fault_injection::{Plan, RunOutcome, run};

fn assert_views_converge(name: &str, faults: &str) {
    let zone = |zone: &str| format!("members {{\n zone = \"{zone}\"\n count = 3\n}}\n");
    let zones = ["north", "west", "south"].map(zone).concat();
    let checks = "check {\n held_dead = 60\n known = 90\n agree = 150\n}\n";
    let text = format!("length = 240\n{zones}{checks}{faults}");
    let plan = Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"));
    let (folder, has_converged) = (tempfile::tempdir().unwrap(), Cell::new(false));
    let is_finished = |out: &RunOutcome| {
        has_converged.set(out.is_converged);
        has_converged.get()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_tulipgapd"));
    let outcome = run(&plan, program, folder.path(), |_| {}, is_finished)
        .unwrap_or_else(|error| panic!("{name}: {error}"));
    assert_eq!(outcome.violation, None, "{name}");
    assert!(has_converged.get(), "{name}: views still differ");
    println!(
        "{name}: {:?} of {:?}, {} false deaths",
        outcome.worst, plan.bounds, outcome.false_deaths
    );
}

fn cut(a: &str, b: &str, from: u32, to: u32, more: &str) -> String {
    format!("cut {{\n from = {from}\n to = {to}\n between = [\"{a}\", \"{b}\"]\n{more}}}\n")
}

fn crash(of: &str, at: f64, back: u32) -> String {
    format!("crash {{\n at = {at}\n of = \"{of}\"\n back = {back}\n}}\n")
}

/// Guards against views that stay wrong after a partition: a zone is partitioned from the others
/// while members on both sides crash and restart. Each side must consider the other dead within the
/// bounds, and all views must agree after the last fault.
#[test]
fn views_converge_after_a_zone_partition_with_crashes_on_both_sides() {
    let cuts = cut("north", "west", 5, 17, "") + &cut("north", "south", 5, 17, "");
    assert_views_converge(
        "halves",
        &(cuts
            + &crash("north-1", 8.0, 12)
            + &crash("west-1", 8.0, 12)
            + &crash("south-2", 9.0, 22)),
    );
}

/// Guards against deaths that other members do not learn of: three members, one in each zone, crash
/// within a second and restart. The others must learn of each death within the bound, and all views
/// must agree after the restarts.
#[test]
fn views_converge_after_three_crashes_within_a_second() {
    assert_views_converge(
        "killed",
        &(crash("north-1", 5.0, 18) + &crash("west-1", 5.4, 18) + &crash("south-3", 5.9, 19)),
    );
}

/// Guards against live members that stay dead in a view because a fault is partial: one member is
/// paused, one link works in one direction only, one flaps, and the links of one member are slow.
/// No live member that can be reached may stay dead in a view.
#[test]
fn views_converge_after_a_pause_a_one_way_cut_and_degraded_links() {
    let pause = "stop {\n at = 5\n of = \"west-2\"\n back = 13\n}\n";
    let slow = "links {\n from = 5\n to = 20\n of = \"south-2\"\n delay_ms = 300\n}\n";
    let one_way = cut("north-1", "west-1", 5, 20, " one_way = true\n");
    let flapping = cut("north-2", "south-1", 5, 20, " flap = 1.5\n");
    assert_views_converge("links", &(one_way + &flapping + pause + slow));
}
