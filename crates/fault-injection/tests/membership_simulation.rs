//! Simulates the membership over many seeds: each scenario with faults, and an injected bug for
//! each invariant. Guards against violations of the membership's invariants under faults, and
//! against checks that miss an injected bug.

use tulipgap_fault_injection::{
    MembershipBug, MembershipInvariant, Plan, WorstDurations, simulate_membership,
};

/// The number of seeds for each scenario; `tulipgap chaos simulate` runs many more.
const SEEDS: u64 = 8;

fn plan(faults: &str) -> Plan {
    let text = format!(
        r#"length = 120
        members {{
          zone = "north"
          count = 3
        }}
        members {{
          zone = "west"
          count = 3
        }}
        members {{
          zone = "south"
          count = 3
        }}
        check {{
          held_dead = 15
          known = 30
          agree = 45
        }}
        {faults}"#
    );
    Plan::parse(&text).unwrap_or_else(|error| panic!("{error}"))
}

/// Runs a plan over seeds, and prints the worst durations with their bounds.
fn assert_invariants_hold(scenario: &str, faults: &str, seeds: u64) {
    let plan = plan(faults);
    let (mut worst, mut false_deaths) = (WorstDurations::default(), 0);
    for seed in 0..seeds {
        let outcome = simulate_membership(&plan, seed, None);
        assert_eq!(outcome.violation, None, "{scenario}, seed {seed}");
        worst = worst.max(outcome.worst);
        false_deaths += outcome.false_deaths;
    }
    println!(
        "{scenario}: {worst:?}, bounds {:?}, {false_deaths} false deaths in {seeds} runs",
        plan.bounds
    );
}

#[test]
fn partitioned_zone_rejoins() {
    assert_invariants_hold(
        "zone cut",
        "cut {\n from = 20\n to = 30\n between = [\"north\", \"west\"]\n}\ncut {\n from = 20\n to = 30\n between = [\"north\", \"south\"]\n}",
        SEEDS,
    );
}

#[test]
fn one_way_partition_causes_no_lasting_false_death() {
    assert_invariants_hold(
        "one way",
        "cut {\n from = 20\n to = 50\n between = [\"north-1\", \"west-1\"]\n one_way = true\n}",
        SEEDS,
    );
}

#[test]
fn member_paused_for_8_s_converges_after_it_resumes() {
    assert_invariants_hold(
        "paused",
        "stop {\n at = 20\n of = \"west-2\"\n back = 28\n}",
        SEEDS,
    );
}

#[test]
fn three_crashes_within_a_second_are_detected_and_the_members_rejoin() {
    let kill =
        |at: f64, of: &str| format!("crash {{\n at = {at}\n of = \"{of}\"\n back = 60\n}}\n");
    assert_invariants_hold(
        "killed",
        &(kill(20.0, "north-1") + &kill(20.4, "west-1") + &kill(20.9, "south-3")),
        SEEDS,
    );
}

#[test]
fn flapping_link_causes_no_lasting_false_death() {
    assert_invariants_hold(
        "flapping",
        "cut {\n from = 20\n to = 60\n between = [\"north-1\", \"south-1\"]\n flap = 1.5\n}",
        SEEDS,
    );
}

#[test]
fn member_with_slow_links_causes_no_lasting_false_death() {
    assert_invariants_hold(
        "slow links",
        "links {\n from = 20\n to = 70\n of = \"south-2\"\n delay_ms = 300\n}",
        SEEDS,
    );
}

#[test]
fn halves_that_each_restarted_members_converge_after_a_partition() {
    let cut = |a: &str, b: &str| {
        format!("cut {{\n from = 20\n to = 60\n between = [\"{a}\", \"{b}\"]\n}}\n")
    };
    let restart = |of: &str| format!("crash {{\n at = 30\n of = \"{of}\"\n back = 40\n}}\n");
    assert_invariants_hold(
        "halves",
        &(cut("north", "west") + &cut("north", "south") + &restart("north-1") + &restart("west-1")),
        SEEDS,
    );
}

#[test]
fn lost_and_duplicated_messages_are_tolerated() {
    assert_invariants_hold(
        "loss",
        "links {\n from = 10\n to = 70\n loss = 0.15\n twice = 0.3\n}",
        SEEDS,
    );
}

#[test]
fn run_is_the_same_for_the_same_seed() {
    let plan = plan("crash {\n at = 20\n of = \"north-1\"\n}");
    assert_eq!(
        simulate_membership(&plan, 7, None),
        simulate_membership(&plan, 7, None)
    );
    assert_ne!(
        simulate_membership(&plan, 7, None).fingerprint,
        simulate_membership(&plan, 8, None).fingerprint
    );
}

#[test]
fn each_invariant_is_violated_by_an_injected_bug() {
    let violated = |bug: MembershipBug| {
        let plan = plan("crash {\n at = 20\n of = \"west-1\"\n}");
        simulate_membership(&plan, 1, Some(bug))
            .violation
            .map(|violation| violation.invariant)
    };
    assert_eq!(
        violated(MembershipBug::MuteMember),
        Some(MembershipInvariant::FalseDeath)
    );
    assert_eq!(
        violated(MembershipBug::DeadMemberAnswers),
        Some(MembershipInvariant::DeathDetection)
    );
    assert_eq!(
        violated(MembershipBug::NoDissemination),
        Some(MembershipInvariant::Convergence)
    );
}

/// Guards against a live member that is considered dead for 15 s after a partition has ended: other
/// members contacted its address as a seed, and it did not learn that it had been declared dead.
/// The plan is that of the lease test with real processes, and its bound of 10 s holds on each of
/// these seeds.
#[test]
fn partitioned_members_rejoin_over_lossy_links() {
    let text = r#"length = 60
        members {
          zone = "a"
          count = 2
        }
        members {
          zone = "b"
          count = 2
        }
        members {
          zone = "c"
          count = 1
        }
        cut {
          from = 3
          to = 8
          between = ["a-1", ""]
        }
        cut {
          from = 9
          to = 14
          between = ["b-1", ""]
          one_way = true
        }
        cut {
          from = 15
          to = 20
          between = ["c-1", ""]
        }
        crash {
          at = 12
          of = "a-2"
          back = 13
        }
        links {
          from = 3
          to = 20
          loss = 0.1
          delay_ms = 20
          twice = 0.1
        }
        check {
          held_dead = 10
          known = 30
          agree = 30
        }"#;
    let plan = Plan::parse(text).unwrap_or_else(|error| panic!("{error}"));
    let mut worst = WorstDurations::default();
    for seed in 0..500 {
        let outcome = simulate_membership(&plan, seed, None);
        assert_eq!(outcome.violation, None, "seed {seed}");
        worst = worst.max(outcome.worst);
    }
    println!("partitioned, lossy links: {worst:?}");
}
