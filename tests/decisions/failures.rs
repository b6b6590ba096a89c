//! One small test for each failure found in rounds, against the module alone.

use std::time::Duration;

use crate::common::{Place, World, given, ms};
use tulipgap::*;

/// A day whose calls below are free, so that only the cores bind.
fn plain() -> World {
    let mut given = given();
    given.below = Below::Nothing;
    given.handlers[0].calls_below = false;
    World::new(given, 1)
}

fn shed_among(world: &World) -> Vec<bool> {
    let elsewhere = |action: &Action| match action {
        Action::Shed { elsewhere, .. } => Some(*elsewhere),
        _ => None,
    };
    world.last.iter().filter_map(elsewhere).collect()
}

#[test]
fn a_second_call_is_no_second_try() {
    let mut world = World::new(given(), 1);
    let req = world.arrive(0, 0, None, 100, 1);
    for _ in 0..2 {
        world.reach_call(req);
        assert!(matches!(world.last[..], [Action::Call { .. }]), "{:?}", world.last);
        world.end_call(req, Outcome::Done);
    }
    world.finish(req, Outcome::Done);
    assert_eq!(world.done, 1);
}

#[test]
fn a_long_hint_is_given_the_benefit_while_a_core_is_free() {
    let mut world = plain();
    let req = world.arrive(0, 0, None, 1200, 1);
    assert_eq!(world.reqs[&req].place, Place::OnCore);
}

#[test]
fn runs_leave_cores_to_reading() {
    let mut world = plain();
    let flood = Gauges { cores_busy: Some(1.0), on_cores: Some(6.0), links: None };
    world.tell(vec![Event::Alarm { gauges: flood }]);
    world.arrive(0, 0, None, 100, 1);
    world.arrive(0, 0, None, 100, 2);
    assert_eq!(world.reqs.values().filter(|seen| seen.place == Place::OnCore).count(), 1);
}

/// A flood that reading cannot catch up with took every core for reading: for ten seconds nothing ran at all.
#[test]
fn a_server_buried_in_unread_reqs_still_runs_some() {
    let mut world = plain();
    world.reading = 6.0;
    for turn in 0..40 {
        world.pass(ms(50));
        world.arrive(0, 700, None, 100, turn);
    }
    assert!(world.nth(Place::OnCore, 0).is_some(), "nothing runs");
}

#[test]
fn callers_are_asked_for_less_while_reqs_stand_unread() {
    let mut world = plain();
    for turn in 0..20 {
        world.arrive(0, 900, None, 50, turn);
        world.pass(ms(100));
    }
    assert!(world.advised.is_some_and(|weight| weight < 0.5), "{:?}", world.advised);
}

#[test]
fn a_server_comes_back_after_a_hang() {
    let mut world = plain();
    for turn in 0..6 {
        world.arrive(0, 0, None, 200, turn);
    }
    world.pass(ms(8000));
    while let Some(req) = world.nth(Place::OnCore, 0) {
        world.finish(req, Outcome::Stopped);
    }
    world.pass(ms(3000));
    let req = world.arrive(0, 0, None, 300, 9);
    assert_eq!(world.reqs.get(&req).map(|seen| seen.place), Some(Place::OnCore));
}

#[test]
fn a_tenant_within_its_part_is_not_shed_for_one_beyond() {
    let mut world = plain();
    let mut taken = [0, 0];
    // Tenants follow the index that the host gives: even ones flood, an odd one comes now and then.
    for turn in 0..60 {
        let req = world.arrive(0, 0, None, 150, turn);
        taken[req % 2] += u32::from(world.reqs.contains_key(&req));
        if turn.is_multiple_of(2) {
            world.pass(ms(30));
        }
        if turn.is_multiple_of(5)
            && let Some(req) = world.nth(Place::OnCore, 0)
        {
            world.finish(req, Outcome::Done);
        }
    }
    assert!(taken[1] > 0, "{taken:?}");
}

/// Purses walk at random: most reqs of a quiet fleet were taken for reqs beyond their tenant's share, ranked
/// below all others, shed first and not sent on.
#[test]
fn no_tenant_is_beyond_its_share_while_all_send_less_than_they_may() {
    let third_sent_on = |servers: u32, flood: u64| {
        let tenants = [0.1, 9.9].map(|allowance_per_s| Tenant { allowance_per_s }).to_vec();
        let mut world = World::new(Given { servers, tenants, ..given() }, 1);
        world.pass(ms(5000));
        for turn in 0..flood {
            let req = world.arrive(0, 2900, Some(2000), 900, turn * 5 + 1);
            assert!(!world.reqs.contains_key(&req), "too old to be taken");
        }
        world.arrive(0, 0, None, 900, 1);
        world.arrive(0, 0, None, 900, 2);
        world.arrive(0, 0, None, 900, 3);
        shed_among(&world)
    };
    assert_eq!(third_sent_on(1, 0), [true], "three reqs where ten a second are within");
    assert_eq!(third_sent_on(0, 0), [false], "what all may send is not told");
    assert_eq!(third_sent_on(1, 197), [false], "forty a second where ten are within");
}

#[test]
fn over_half_spent_reqs_are_not_sent_elsewhere() {
    let mut given = given();
    given.tenants.clear();
    let mut world = World::new(given, 1);
    let mut sent_on = Vec::new();
    for turn in 1..9 {
        world.arrive(0, 0, None, 400, turn);
        sent_on.extend(shed_among(&world));
    }
    assert!(sent_on.contains(&true), "fresh ones may try elsewhere: {sent_on:?}");
    world.arrive(0, 700, None, 400, 99);
    assert_eq!(shed_among(&world), [false]);
}

#[test]
fn figures_that_make_no_sense_are_turned_down() {
    let turned_down = |change: fn(&mut Given)| {
        let mut given = given();
        change(&mut given);
        Decider::new(&given, 1).err()
    };
    assert_eq!(turned_down(|_| ()), None);
    assert_eq!(turned_down(|g| g.cores = 0), Some(GivenError::NoCores));
    assert_eq!(turned_down(|g| g.handlers.clear()), Some(GivenError::NoHandlers));
    assert_eq!(turned_down(|g| g.memory_kb = f64::NAN), Some(GivenError::OutOfRange("memory_kb")));
    assert_eq!(turned_down(|g| g.idle_link = Duration::ZERO), Some(GivenError::OutOfRange("idle_link")));
    assert_eq!(turned_down(|g| g.cold_speed = 0.0), Some(GivenError::OutOfRange("cold_speed")));
    assert_eq!(
        turned_down(|g| g.handlers[1].skip_value = 2.0),
        Some(GivenError::Handler { handler: 1, figure: "skip_value" })
    );
    assert_eq!(turned_down(|g| g.tenants[0].allowance_per_s = -1.0), Some(GivenError::Tenant(0)));
    let shared = Below::Shared { share: 0.0, span: ms(5000), linger: ms(200) };
    assert_eq!(
        Decider::new(&Given { below: shared, ..given() }, 1).err(),
        Some(GivenError::OutOfRange("below"))
    );
}

#[test]
fn a_server_whose_runs_error_turns_most_away_and_asks_for_none() {
    let mut world = World::new(Given { tenants: Vec::new(), ..given() }, 1);
    for turn in 0..3 {
        let req = world.arrive(0, 0, None, 50, turn * 5 + 1);
        world.finish(req, Outcome::Errored);
    }
    world.arrive(0, 0, None, 50, 31);
    assert_eq!(shed_among(&world), [true]);
    world.pass(ms(50));
    assert_eq!(world.advised, Some(0.0));
}

#[test]
fn a_pause_of_the_process_does_not_steer() {
    let mut world = plain();
    for turn in 0..6 {
        world.pass(ms(600));
        world.now += ms(400);
        let req = world.arrive(0, 400, None, 50, turn * 5 + 1);
        world.finish(req, Outcome::Done);
    }
    world.pass(ms(600));
    assert_eq!(world.advised, Some(1.0));
}

#[test]
fn a_notice_shorter_than_a_beat_is_answered_at_once() {
    let mut world = plain();
    world.arrive(0, 0, None, 50, 1);
    world.leave(ms(10));
    assert!(world.reqs.values().all(|seen| seen.answered));
}

#[test]
fn what_higher_levels_overtake_is_shed_before_it_is_late() {
    let mut given = given();
    given.tenants.clear();
    given.handlers.push(Handler { value: 5.0, ..given.handlers[0].clone() });
    let mut world = World::new(given, 1);
    for turn in 1..3 {
        world.arrive(0, 0, None, 300, turn);
    }
    let low = world.arrive(0, 0, None, 450, 3);
    assert_eq!(world.reqs[&low].place, Place::Held);
    for turn in 6..10 {
        world.arrive(3, 0, None, 300, turn);
    }
    let mut sent_on = Vec::new();
    for _ in 0..16 {
        world.pass(ms(25));
        sent_on.extend(shed_among(&world));
    }
    assert!(!world.reqs.contains_key(&low), "overtaken, it cannot be in time");
    assert!(sent_on[0], "with half its time left another server may take it");
}

#[test]
fn a_table_full_of_rare_callers_is_emptied_and_in_a_storm_left_full() {
    let mut world = World::new(Given { callers: 400, ..given() }, 1);
    world.links = 60.0;
    world.pass(ms(6000));
    assert!(world.idle <= ms(300), "{:?}", world.idle);
    // Sheds alone, with cores to spare for connecting and reading, are no storm: who is worth most has to get in.
    let tries = |world: &mut World| {
        for turn in 0..60 {
            world.arrive(0, 0, None, 9000, turn);
            world.pass(ms(100));
        }
    };
    tries(&mut world);
    assert!(world.idle <= ms(300), "{:?}", world.idle);
    // Nor is a crowd that connects and is served.
    world.pass(ms(5000));
    world.reading = 8.0;
    world.pass(ms(6000));
    assert!(world.idle <= ms(300), "{:?}", world.idle);
    // Connecting and reading for tries in vain drown what runs.
    tries(&mut world);
    assert!(world.idle > ms(10_000), "{:?}", world.idle);
    // The full table has shut the storm out; the cores are busy, so it stays as it is.
    world.reading = 2.0;
    world.pass(ms(6000));
    assert!(world.idle > ms(10_000), "{:?}", world.idle);
    // It is over once the cores starve.
    world.reading = 0.0;
    world.pass(ms(6000));
    assert!(world.idle <= ms(300), "{:?}", world.idle);
}

#[test]
fn few_callers_keep_their_connections() {
    let mut world = plain();
    world.links = 3.0;
    world.pass(ms(6000));
    assert_eq!(world.idle, Duration::MAX, "never told");
}

#[test]
fn one_req_of_a_wrong_hint_does_not_make_a_server_seem_slow() {
    let mut world = plain();
    let misjudged = world.arrive(0, 0, None, 100, 1);
    world.pass(ms(900));
    world.finish(misjudged, Outcome::Done);
    world.pass(ms(50));
    for turn in 2..5 {
        let req = world.arrive(0, 0, None, 100, turn);
        assert!(world.reqs.contains_key(&req), "shed: {:?}", world.last);
    }
}

#[test]
fn a_server_that_sheds_most_sends_nothing_on_even_if_retries_bear_no_mark() {
    let mut given = given();
    given.tenants.clear();
    let mut world = World::new(given, 1);
    for _ in 0..12 {
        world.arrive(0, 0, None, 600, 1);
    }
    assert_eq!(shed_among(&world), [false], "{:?}", world.last);
}

/// A server that reads two reqs a second holds four in its window: one retry among them was a quarter, and one
/// shed of two a half, so that all it shed was told to stay though nobody else was full.
#[test]
fn one_retry_or_shed_among_few_reqs_does_not_stop_tries_elsewhere() {
    let mut given = given();
    given.tenants.clear();
    let mut world = World::new(given, 1);
    world.arrive(0, 0, None, 900, 5);
    world.arrive(0, 0, None, 900, 1);
    world.pass(ms(300));
    world.arrive(0, 0, None, 900, 2);
    assert_eq!(
        shed_among(&world),
        [true],
        "one marked retry of three reqs, and the first shed: {:?}",
        world.last
    );
}

#[test]
fn connections_that_never_close_by_themselves_are_no_overflow() {
    let mut world = World::new(Given { idle_link: Duration::MAX, ..given() }, 1);
    world.pass(ms(1000));
    assert_eq!(world.idle, Duration::MAX);
}

/// Whether the last that the module asked for is a call, or to go on without it.
fn calls(world: &World) -> bool {
    match world.last[..] {
        [Action::Call { .. }] => true,
        [Action::SkipCall { .. }] => false,
        _ => panic!("{:?}", world.last),
    }
}

#[test]
fn a_call_that_is_cut_off_is_made_again_in_time() {
    let mut world = World::new(given(), 1);
    let req = world.arrive(0, 0, None, 100, 1);
    world.reach_call(req);
    for outcome in [Outcome::Broken, Outcome::Unreachable] {
        world.end_call(req, outcome);
        assert!(calls(&world), "{outcome:?}");
    }
    world.end_call(req, Outcome::Broken);
    assert!(!calls(&world), "three are enough");
    // Who lies below and says no is full.
    let req = world.arrive(0, 0, None, 100, 2);
    world.reach_call(req);
    world.end_call(req, Outcome::Full);
    assert!(!calls(&world));
}

#[test]
fn a_call_without_a_reply_is_given_up_early_and_made_again() {
    let mut world = World::new(given(), 1);
    let patience = |world: &World| match world.last[..] {
        [Action::Call { patience, .. }] => patience,
        _ => panic!("{:?}", world.last),
    };
    let mut first = Duration::ZERO;
    for turn in 0..20 {
        let req = world.arrive(0, 0, None, 10, turn);
        world.reach_call(req);
        first = first.max(patience(&world));
        world.pass(ms(10));
        world.end_call(req, Outcome::Done);
        world.finish(req, Outcome::Done);
    }
    let req = world.arrive(0, 0, None, 10, 9);
    world.reach_call(req);
    assert!(patience(&world) * 2 < first, "{:?} after {first:?}", patience(&world));
    world.end_call(req, Outcome::TimedOut);
    assert!(calls(&world));
    // Where that is no exception, what lies below is slow: it is left alone.
    for outcome in [Outcome::TimedOut, Outcome::TimedOut] {
        world.end_call(req, outcome);
    }
    world.finish(req, Outcome::Done);
    let req = world.arrive(0, 0, None, 10, 10);
    world.reach_call(req);
    assert!(patience(&world) * 2 > first, "{:?}", patience(&world));
    world.end_call(req, Outcome::TimedOut);
    assert!(!calls(&world));
}

#[test]
fn a_busy_server_stays_welcome_early_in_the_grace() {
    let advised = |busy: f64| {
        let mut world = plain();
        let gauges = Gauges { cores_busy: Some(busy), on_cores: None, links: None };
        world.tell(vec![Event::Alarm { gauges }]);
        world.leave(ms(4000));
        world.pass(ms(100));
        let early = world.advised;
        world.pass(ms(800));
        (early, world.advised)
    };
    assert_eq!(advised(0.5), (Some(0.0), Some(0.0)));
    assert_eq!(advised(0.8), (Some(1.0), Some(0.0)), "the grace is nearly over");
}

fn reasons(world: &World) -> Vec<Reason> {
    let reason = |action: &Action| match action {
        Action::Shed { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    };
    world.last.iter().filter_map(reason).collect()
}

#[test]
fn each_answer_that_gives_a_req_up_tells_why() {
    let mut world = plain();
    // More work than its response target has room for, behind work that takes both cores.
    for turn in 0..2 {
        world.arrive(0, 0, None, 900, turn);
    }
    world.arrive(0, 0, None, 900, 2);
    assert_eq!(reasons(&world), [Reason::Late]);
    let mut given = given();
    given.memory_kb = 1.0;
    let mut small = World::new(given, 1);
    small.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(&small), [Reason::Memory]);
    let mut world = plain();
    world.tell(vec![Event::Leave { since: ms(0), left: ms(3000) }]);
    world.pass(ms(1500));
    world.arrive(0, 0, None, 10, 2);
    assert_eq!(reasons(&world), [Reason::Draining]);
}

/// regina-main and nairobi-calc: callers heed a wait of up to a second, and a req turned away for lack of
/// room was told nothing while the server was well, so that its retry came back at once.
#[test]
fn a_shed_says_when_to_come_back_though_the_server_is_well() {
    let mut world = plain();
    let waits: Vec<Option<Duration>> = (0..40)
        .flat_map(|turn| {
            world.arrive(0, 0, None, 400, turn);
            world
                .last
                .iter()
                .filter_map(|action| match action {
                    Action::Shed { wait, .. } => Some(*wait),
                    _ => None,
                })
                .collect::<Vec<_>>()
        })
        .collect();
    assert!(!waits.is_empty(), "nothing was shed");
    let heeded = |wait: &Option<Duration>| wait.is_some_and(|wait| wait > Duration::ZERO && wait <= ms(1000));
    assert!(waits.iter().all(heeded), "{waits:?}");
}

/// Two handlers that tell no work, one ten times the other: trained alike, a burst of the long one is kept
/// less than a burst of the short one. Where every req without a hint counted as 0.1 s, both were alike.
#[test]
fn reqs_without_hints_take_the_work_learnt_of_their_handler() {
    let trained = || {
        let mut given = given();
        given.below = Below::Nothing;
        let plain = Handler { calls_below: false, ..crate::common::handler(Effect::Replayable, 0.0) };
        given.handlers = vec![plain.clone(), plain];
        let mut world = World::new(given, 1);
        for turn in 0..30 {
            for (handler, work) in [(0, 500), (1, 50)] {
                let req = world.arrive(handler, 0, None, 0, turn * 2 + handler as u64);
                assert_eq!(world.reqs[&req].place, Place::OnCore);
                world.pass(ms(work));
                world.finish(req, Outcome::Done);
            }
            world.pass(ms(100));
        }
        world
    };
    let kept = |handler: usize| {
        let mut world = trained();
        let burst: Vec<Req> = (0..12).map(|turn| world.arrive(handler, 0, None, 0, 1000 + turn)).collect();
        burst.iter().filter(|req| world.reqs.get(req).is_some_and(|seen| !seen.answered)).count()
    };
    let (long, short) = (kept(0), kept(1));
    assert!(long < short, "kept of the long handler {long}, of the short {short}");
}

/// A repeat fails with the run that it waits for. Counted as runs that errored, the repeats of one stopped run
/// had a well server turn most away.
#[test]
fn repeats_that_fail_with_their_first_do_not_make_a_server_seem_failing() {
    let mut world = World::new(Given { tenants: Vec::new(), ..given() }, 1);
    world.arrive(1, 0, None, 50, 1);
    let repeats: Vec<Req> = (0..8).map(|_| world.arrive(1, 0, None, 50, 1)).collect();
    for req in repeats {
        assert_eq!(world.reqs[&req].place, Place::Joined);
        world.finish(req, Outcome::Errored);
    }
    for turn in 2..12 {
        let req = world.arrive(0, 0, None, 5, turn);
        assert!(!reasons(&world).contains(&Reason::Failing), "{:?}", world.last);
        if world.reqs.get(&req).is_some_and(|seen| seen.place == Place::OnCore) {
            world.finish(req, Outcome::Done);
        }
    }
}

/// What may not be left out takes its time however low the dimmer, and as often as the handler's runs make it.
#[test]
fn calls_that_may_not_be_skipped_count_in_full_when_a_req_is_taken() {
    let mut world = World::new(Given { below: Below::Tier, tenants: Vec::new(), ..given() }, 1);
    for turn in 0..40 {
        let req = world.arrive(2, 0, None, 50, turn);
        for _ in 0..2 {
            world.reach_call(req);
            world.pass(ms(400));
            world.end_call(req, Outcome::Done);
        }
        world.finish(req, Outcome::Done);
    }
    // Cores that are taken: what comes now waits a little.
    world.arrive(0, 0, None, 50, 50);
    world.arrive(0, 0, None, 50, 51);
    world.arrive(2, 0, None, 50, 52);
    assert_eq!(reasons(&world), [Reason::Late], "{:?}", world.last);
}

/// The ledger of regina-main collapsed at its knee: each server went on calling, as its own responses were fine.
#[test]
fn slow_calls_have_fewer_made_and_all_of_them_again_slowly() {
    let mut world = World::new(Given { tenants: Vec::new(), ..given() }, 1);
    let mut turn = 0;
    let mut made = |world: &mut World, reqs: u64, took: u64| {
        let mut made = 0;
        for _ in 0..reqs {
            turn += 1;
            let req = world.arrive(0, 0, None, 10, turn * 5 + 1);
            world.reach_call(req);
            made += u32::from(calls(world));
            if calls(world) {
                world.pass(ms(took));
                world.end_call(req, Outcome::Done);
            }
            world.finish(req, Outcome::Done);
        }
        made
    };
    assert_eq!(made(&mut world, 40, 10), 40);
    made(&mut world, 6, 100);
    let next = made(&mut world, 40, 10);
    assert!(next < 30, "{next} of 40");
    world.pass(ms(60_000));
    assert_eq!(made(&mut world, 20, 10), 20, "it has recovered");
}

/// Retries without marks are not seen, so no try is the last: sent on, they walk through the fleet.
#[test]
fn where_retries_bear_no_mark_only_a_server_that_leaves_sends_reqs_on() {
    let sheds = |marks_retries: bool, leaves: bool| {
        let mut world = World::new(Given { marks_retries, tenants: Vec::new(), ..given() }, 1);
        if leaves {
            world.leave(ms(4000));
            world.pass(ms(1500));
        }
        let mut sent_on = Vec::new();
        for turn in 1..9 {
            world.arrive(0, 0, None, 400, turn * 5 + 1);
            sent_on.extend(shed_among(&world));
        }
        sent_on
    };
    assert!(sheds(true, false).contains(&true));
    let unmarked = sheds(false, false);
    assert!(!unmarked.is_empty() && !unmarked.contains(&true), "{unmarked:?}");
    assert!(sheds(false, true).contains(&true));
}

fn called(world: &World) -> bool {
    world.last.iter().any(|action| matches!(action, Action::Call { .. }))
}

/// One slow second spent every server's part of the ledger on calls that may be left out; those that may not
/// stood until it came back five seconds later, all at once, and pushed the ledger over its knee again.
#[test]
fn calls_that_may_be_left_out_leave_room_for_one_that_may_not() {
    let below = Below::Shared { share: 0.6, span: ms(5000), linger: ms(200) };
    let mut world = World::new(Given { below, ..given() }, 1);
    let call = |world: &mut World, handler: usize| {
        let req = world.arrive(handler, 0, None, 20, 1);
        world.reach_call(req);
        let made = called(world);
        if world.reqs.get(&req).is_some_and(|seen| seen.place == Place::OnCore) {
            world.finish(req, Outcome::Done);
        }
        made
    };
    let made = (0..4).filter(|_| call(&mut world, 0)).count();
    assert_eq!(made, 2, "of what may be left out");
    assert!(call(&mut world, 2), "what may not be left out found no room: {:?}", world.last);
}

/// A req that stands at its call past its response target helps nobody by waiting on: its caller hears at once.
#[test]
fn what_stands_at_a_call_past_its_target_is_given_up_at_once() {
    let below = Below::Shared { share: 0.05, span: ms(5000), linger: ms(200) };
    let mut world = World::new(Given { below, ..given() }, 1);
    let req = world.arrive(2, 0, None, 20, 1);
    world.reach_call(req);
    assert!(!called(&world), "no call fits");
    world.pass(ms(990));
    assert!(world.reqs.contains_key(&req), "it may still be in time");
    world.pass(ms(110));
    assert!(!world.reqs.contains_key(&req), "held on until it is due");
}
