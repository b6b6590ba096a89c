//! Simulates leases over many seeds: each scenario with faults, random faults, and injected bugs.
//! Guards against violations of the leases' invariants under faults, and against checks that miss
//! an injected bug.

use tulipgap_fault_injection::{
    InjectedBugs, LeaseOutcome, Plan, simulate_leases, with_random_faults,
};
use tulipgap_leases::InjectedBug;
use tulipgap_write_ahead_log::InjectedBug as DiskBug;

/// The number of seeds for each scenario; `tulipgap chaos simulate` runs many more.
const SEEDS: u64 = 6;

fn plan(faults: &str) -> Plan {
    let text = format!(
        r#"length = 45
        voters = ["north-1", "west-1", "south-1"]
        members {{
          zone = "north"
          count = 2
        }}
        members {{
          zone = "west"
          count = 2
        }}
        members {{
          zone = "south"
          count = 1
        }}
        lease {{
          name = "one"
          term = 2
        }}
        lease {{
          name = "two"
          term = 1
          places = 2
          step = 0.2
        }}
        check {{
          held_dead = 15
          known = 30
          agree = 45
          free = 12
        }}
        {faults}"#
    );
    Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

fn assert_invariants_hold(scenario: &str, faults: &str) -> Vec<LeaseOutcome> {
    let plan = plan(faults);
    let outcomes: Vec<LeaseOutcome> = (0..SEEDS)
        .map(|seed| simulate_leases(&plan, seed, InjectedBugs::default()))
        .collect();
    for (seed, outcome) in outcomes.iter().enumerate() {
        assert_eq!(outcome.violation, None, "{scenario}, seed {seed}");
        assert!(
            outcome.operations > 100,
            "{scenario}, seed {seed}: {outcome:?}"
        );
    }
    let vacancy = outcomes.iter().map(|outcome| outcome.longest_vacancy).max();
    println!("{scenario}: no holder for at most {vacancy:?} in {SEEDS} runs");
    outcomes
}

#[test]
fn without_faults_nothing_is_rejected_and_one_leader_is_elected() {
    let outcomes = assert_invariants_hold("quiet", "");
    assert!(
        outcomes
            .iter()
            .all(|outcome| outcome.rejected_operations == 0 && outcome.elections == 1),
        "{outcomes:?}"
    );
}

#[test]
fn holder_paused_in_an_operation_beyond_its_ttl() {
    let stop = |of: &str, at: f64| {
        format!(
            "stop {{\n at = {at}\n of = \"{of}\"\n back = {}\n}}\n",
            at + 6.0
        )
    };
    let all = ["north-1", "north-2", "west-1", "west-2", "south-1"];
    let stops: String = all
        .iter()
        .zip([5.0, 9.0, 13.0, 17.0, 21.0])
        .map(|(of, at)| stop(of, at))
        .collect();
    assert_invariants_hold("paused", &stops);
}

#[test]
fn holder_partitioned_from_the_voters_and_leader_partitioned_one_way() {
    let cut = |a: &str, one_way: bool, at: f64| {
        format!(
            "cut {{\n from = {at}\n to = {}\n between = [\"{a}\", \"\"]\n one_way = {one_way}\n}}\n",
            at + 5.0
        )
    };
    let all = ["north-1", "north-2", "west-1", "west-2", "south-1"];
    let cuts: String = all
        .iter()
        .zip([3.0, 8.0, 13.0, 18.0, 23.0])
        .map(|(a, at)| cut(a, false, at))
        .collect();
    assert_invariants_hold("partitioned", &cuts);
    let cuts: String = all
        .iter()
        .zip([3.0, 8.0, 13.0, 18.0, 23.0])
        .map(|(a, at)| cut(a, true, at))
        .collect();
    assert_invariants_hold("partitioned one way", &cuts);
}

#[test]
fn quorum_lost_for_20_s_and_regained() {
    assert_invariants_hold(
        "no quorum",
        "cut {\n from = 5\n to = 25\n between = [\"north\", \"\"]\n}\ncrash {\n at = 5\n of = \"south-1\"\n back = 25\n}",
    );
}

#[test]
fn all_voters_killed_at_once_under_load() {
    let kill = |of: &str| format!("crash {{\n at = 8\n of = \"{of}\"\n back = 10\n}}\n");
    assert_invariants_hold(
        "all killed",
        &["north-1", "west-1", "south-1"].map(kill).concat(),
    );
}

#[test]
fn clocks_at_their_bounds() {
    let clock = |of: &str, rate: f64| format!("clock {{\n of = \"{of}\"\n rate = {rate}\n}}\n");
    let leader_slow = ["north-1", "west-1", "south-1"]
        .map(|of| clock(of, 0.95))
        .concat()
        + &clock("north-2", 1.05);
    let leader_fast = ["north-1", "west-1", "south-1"]
        .map(|of| clock(of, 1.05))
        .concat()
        + &clock("north-2", 0.95);
    let cut = "cut {\n from = 6\n to = 20\n between = [\"north-2\", \"\"]\n flap = 3.1\n}\n";
    assert_invariants_hold("voters slow", &(leader_slow + cut));
    assert_invariants_hold("voters fast", &(leader_fast + cut));
}

#[test]
fn voters_replaced_one_by_one_while_leases_are_held() {
    let replace = |at: u32, old: &str, new: &str| {
        format!("replace {{\n at = {at}\n old = \"{old}\"\n new = \"{new}\"\n}}\n")
    };
    // north-1 leaves the voters permanently. west-1 loses its directory and is then replaced by
    // itself.
    let lost = "crash {\n at = 12\n of = \"west-1\"\n back = 13\n folder = \"emptied\"\n}\n";
    let outcomes = assert_invariants_hold(
        "replaced",
        &(replace(5, "south-1", "north-2")
            + lost
            + &replace(16, "west-1", "west-1")
            + &replace(22, "north-1", "south-1")),
    );
    assert!(outcomes.iter().all(|outcome| outcome.stopped_voters == 0));
}

#[test]
fn disk_full_and_sync_failed() {
    let disk = |of: &str, at: u32, what: &str| {
        format!(
            "disk {{\n at = {at}\n of = \"{of}\"\n back = {}\n what = \"{what}\"\n}}\ncrash {{\n at = {}\n of = \"{of}\"\n back = {}\n}}\n",
            at + 3,
            at + 4,
            at + 5
        )
    };
    let outcomes = assert_invariants_hold(
        "disk",
        &(disk("north-1", 5, "full") + &disk("west-1", 12, "fails") + &disk("south-1", 19, "full")),
    );
    assert!(
        outcomes.iter().all(|outcome| outcome.stopped_voters == 3),
        "{outcomes:?}"
    );
}

/// A voter whose directory is rolled back learns this from the other voters and stops voting.
#[test]
fn rolled_back_directory_stops_the_voter() {
    let outcomes = assert_invariants_hold(
        "rolled back",
        "crash {\n at = 10\n of = \"north-1\"\n back = 11\n folder = \"older\"\n}",
    );
    assert!(
        outcomes.iter().all(|outcome| outcome.stopped_voters == 1),
        "{outcomes:?}"
    );
}

#[test]
fn invariants_hold_under_random_faults() {
    let plan = plan("");
    let mut vacancy = std::time::Duration::ZERO;
    for seed in 0..100 {
        let plan_with_faults = with_random_faults(&plan, seed);
        let outcome = simulate_leases(&plan_with_faults, seed, InjectedBugs::default());
        assert_eq!(
            outcome.violation, None,
            "seed {seed}: {:#?}",
            plan_with_faults.faults
        );
        vacancy = vacancy.max(outcome.longest_vacancy_after_faults);
    }
    println!(
        "random: no holder for {vacancy:?} after the last fault, bound {} s",
        plan.bounds.vacancy
    );
}

#[test]
fn run_is_the_same_for_the_same_seed() {
    let plan = with_random_faults(&plan(""), 5);
    let run = |seed| simulate_leases(&plan, seed, InjectedBugs::default());
    assert_eq!(run(7), run(7));
    assert_ne!(run(7).fingerprint, run(8).fingerprint);
}

/// Runs each injected bug that whole runs can detect, over a range of seeds. The tests of the
/// write-ahead log and the exhaustive checks at small sizes detect the other bugs
/// (docs/design-leases.md).
#[test]
fn injected_bugs_are_found() {
    let stops: String = ["north-1", "north-2", "west-1", "west-2", "south-1"]
        .iter()
        .zip([5, 12, 19, 26, 33])
        .map(|(of, at)| {
            format!(
                "stop {{\n at = {at}\n of = \"{of}\"\n back = {}\n}}\n",
                at + 6
            )
        })
        .collect();
    // Each voter in turn is paused, and is cut off from the other voters until 1 s after it
    // resumes, while the other members can reach it. If it was the leader, it receives reads before
    // it learns that another leader was elected.
    let (mut paused_leader, voters) = (String::new(), ["north-1", "west-1", "south-1"]);
    for (of, at) in voters.iter().zip([5, 15, 25]) {
        paused_leader += &format!(
            "stop {{\n at = {at}\n of = \"{of}\"\n back = {}\n}}\n",
            at + 7
        );
        for other in voters.iter().filter(|other| *other != of) {
            let to = at + 8;
            paused_leader += &format!(
                "cut {{\n from = {at}\n to = {to}\n between = [\"{of}\", \"{other}\"]\n}}\n"
            );
        }
    }
    let clocks = "clock {\n of = \"north-2\"\n rate = 0.95\n}\nclock {\n of = \"\"\n rate = 1.05\n}\n\
                  cut {\n from = 6\n to = 40\n between = [\"north-2\", \"\"]\n flap = 3.1\n}\n";
    let lease = |bug| InjectedBugs {
        lease: Some(bug),
        ..InjectedBugs::default()
    };
    let skipped_sync = InjectedBugs {
        log: Some(DiskBug::SkipSync),
        ..InjectedBugs::default()
    };
    let stale_read = InjectedBugs {
        stale_read: true,
        ..InjectedBugs::default()
    };
    for (bugs, faults, seeds, has_random_faults) in [
        (lease(InjectedBug::NoClockMargin), clocks, 0..20, false),
        (lease(InjectedBug::UncheckedGuard), &*stops, 0..20, false),
        (stale_read, &*paused_leader, 0..20, false),
        (skipped_sync, "", 110..120, true),
    ] {
        let plan = plan(faults);
        let plan_of = |seed| {
            if has_random_faults {
                with_random_faults(&plan, seed)
            } else {
                plan.clone()
            }
        };
        let found = seeds
            .clone()
            .find_map(|seed| Some((seed, simulate_leases(&plan_of(seed), seed, bugs).violation?)));
        println!("{bugs:?}: {found:?}");
        assert!(found.is_some(), "{bugs:?} is not detected");
        // Without the bug, the invariants hold in the same run.
        let seed = found.map_or(0, |(seed, _)| seed);
        assert_eq!(
            simulate_leases(&plan_of(seed), seed, InjectedBugs::default()).violation,
            None
        );
    }
}

/// Guards against printed faults of a failure that do not reproduce the run.
#[test]
fn faults_written_to_hcl_reproduce_the_run() {
    let plan_with_faults = with_random_faults(&plan(""), 11);
    let parsed = plan(&plan_with_faults.faults_to_hcl());
    assert_eq!(parsed.faults, plan_with_faults.faults);
    let run = |plan: &Plan| simulate_leases(plan, 11, InjectedBugs::default());
    assert_eq!(run(&parsed), run(&plan_with_faults));
}
