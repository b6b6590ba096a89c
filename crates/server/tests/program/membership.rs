//! Membership between nine real processes, each link led through a relay. What is promised is
//! looked at all the time, with long bounds; that all views are right again after the last fault is
//! waited for.

use std::cell::Cell;
use std::path::Path;

use tulipgap_fault_injection::{Plan, RunOutcome, run};

fn assert_views_converge(what: &str, faults: &str) {
    let zone = |zone: &str| format!("members {{\n zone = \"{zone}\"\n count = 3\n}}\n");
    let zones = ["north", "west", "south"].map(zone).concat();
    let checks = "check {\n held_dead = 60\n known = 90\n agree = 150\n}\n";
    let text = format!("length = 240\n{zones}{checks}{faults}");
    let plan = Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"));
    let (folder, met) = (tempfile::tempdir().unwrap(), Cell::new(false));
    let enough = |out: &RunOutcome| {
        met.set(out.is_converged);
        met.get()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_tulipgapd"));
    let outcome = run(&plan, program, folder.path(), |_| {}, enough)
        .unwrap_or_else(|error| panic!("{what}: {error}"));
    assert_eq!(outcome.violation, None, "{what}");
    assert!(met.get(), "{what}: views still differ");
    println!(
        "{what}: {:?} of {:?}, {} false deaths",
        outcome.worst, plan.bounds, outcome.false_deaths
    );
}

fn cut(a: &str, b: &str, from: u32, to: u32, more: &str) -> String {
    format!("cut {{\n from = {from}\n to = {to}\n between = [\"{a}\", \"{b}\"]\n{more}}}\n")
}

fn crash(of: &str, at: f64, back: u32) -> String {
    format!("crash {{\n at = {at}\n of = \"{of}\"\n back = {back}\n}}\n")
}

#[test]
fn a_zone_cut_off_while_members_of_both_halves_die_and_come_back() {
    let cuts = cut("north", "west", 5, 17, "") + &cut("north", "south", 5, 17, "");
    assert_views_converge(
        "halves",
        &(cuts
            + &crash("north-1", 8.0, 12)
            + &crash("west-1", 8.0, 12)
            + &crash("south-2", 9.0, 22)),
    );
}

#[test]
fn three_killed_within_a_second_come_back() {
    assert_views_converge(
        "killed",
        &(crash("north-1", 5.0, 18) + &crash("west-1", 5.4, 18) + &crash("south-3", 5.9, 19)),
    );
}

#[test]
fn one_stopped_a_cut_one_way_a_flapping_and_a_slow_link() {
    let stop = "stop {\n at = 5\n of = \"west-2\"\n back = 13\n}\n";
    let slow = "links {\n from = 5\n to = 20\n of = \"south-2\"\n delay_ms = 300\n}\n";
    let one_way = cut("north-1", "west-1", 5, 20, " one_way = true\n");
    let flapping = cut("north-2", "south-1", 5, 20, " flap = 1.5\n");
    assert_views_converge("links", &(one_way + &flapping + stop + slow));
}
