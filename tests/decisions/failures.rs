//! One small test for each failure that was found, against the controller alone.

use std::time::Duration;

use crate::common::{SimulatedHost, Stage, config, ms};
use tulipgap::{
    Action, Config, ConfigError, Controller, Dependency, Event, Gauges, HandlerConfig, Idempotency,
    Outcome, Reason, RequestIndex, TenantConfig,
};

/// A day whose calls below are free, so that only the cores bind.
fn host_without_dependency() -> SimulatedHost {
    let mut config = config();
    config.dependency = Dependency::None;
    config.handlers[0].calls_dependency = false;
    SimulatedHost::new(config, 1)
}

fn rejections(host: &SimulatedHost) -> Vec<bool> {
    let elsewhere = |action: &Action| match action {
        Action::Reject {
            retry_other_server, ..
        } => Some(*retry_other_server),
        _ => None,
    };
    host.last.iter().filter_map(elsewhere).collect()
}

#[test]
fn a_second_call_does_not_count_as_a_retry() {
    let mut host = SimulatedHost::new(config(), 1);
    let request = host.arrive(0, 0, None, 100, 1);
    for _ in 0..2 {
        host.reach_call(request);
        assert!(
            matches!(host.last[..], [Action::StartCall { .. }]),
            "{:?}",
            host.last
        );
        host.finish_call(request, Outcome::Succeeded);
    }
    host.finish(request, Outcome::Succeeded);
    assert_eq!(host.completed, 1);
}

#[test]
fn a_long_estimate_is_tolerated_while_a_core_is_free() {
    let mut host = host_without_dependency();
    let request = host.arrive(0, 0, None, 1200, 1);
    assert_eq!(host.requests[&request].stage, Stage::Running);
}

#[test]
fn runs_leave_cores_to_reading() {
    let mut host = host_without_dependency();
    let flood = Gauges {
        cores_busy: Some(1.0),
        runnable: Some(6.0),
        open_connections: None,
    };
    host.send(vec![Event::TimerFired { gauges: flood }]);
    host.arrive(0, 0, None, 100, 1);
    host.arrive(0, 0, None, 100, 2);
    assert_eq!(
        host.requests
            .values()
            .filter(|tracked| tracked.stage == Stage::Running)
            .count(),
        1
    );
}

/// A flood that reading cannot catch up with took every core for reading: for ten seconds nothing
/// has_run at all.
#[test]
fn a_server_with_a_read_backlog_still_runs_some_requests() {
    let mut host = host_without_dependency();
    host.reading = 6.0;
    for turn in 0..40 {
        host.pass(ms(50));
        host.arrive(0, 700, None, 100, turn);
    }
    assert!(host.nth(Stage::Running, 0).is_some(), "nothing runs");
}

#[test]
fn callers_are_asked_for_less_while_requests_stand_unread() {
    let mut host = host_without_dependency();
    for turn in 0..20 {
        host.arrive(0, 900, None, 50, turn);
        host.pass(ms(100));
    }
    assert!(
        host.feedback.is_some_and(|weight| weight < 0.5),
        "{:?}",
        host.feedback
    );
}

#[test]
fn a_server_recovers_after_a_hang() {
    let mut host = host_without_dependency();
    for turn in 0..6 {
        host.arrive(0, 0, None, 200, turn);
    }
    host.pass(ms(8000));
    while let Some(request) = host.nth(Stage::Running, 0) {
        host.finish(request, Outcome::Cancelled);
    }
    host.pass(ms(3000));
    let request = host.arrive(0, 0, None, 300, 9);
    assert_eq!(
        host.requests.get(&request).map(|tracked| tracked.stage),
        Some(Stage::Running)
    );
}

#[test]
fn a_tenant_within_its_quota_is_not_rejected_for_one_beyond() {
    let mut host = host_without_dependency();
    let mut taken = [0, 0];
    // Tenants follow the index that the host gives: even ones flood, an odd one comes now and then.
    for turn in 0..60 {
        let request = host.arrive(0, 0, None, 150, turn);
        taken[request % 2] += u32::from(host.requests.contains_key(&request));
        if turn.is_multiple_of(2) {
            host.pass(ms(30));
        }
        if turn.is_multiple_of(5)
            && let Some(request) = host.nth(Stage::Running, 0)
        {
            host.finish(request, Outcome::Succeeded);
        }
    }
    assert!(taken[1] > 0, "{taken:?}");
}

/// Purses walk at random: most requests of a quiet fleet were taken for requests beyond their
/// tenant's share, ranked below all others, shed first and not sent on.
#[test]
fn no_tenant_is_over_quota_while_all_send_less_than_their_quotas() {
    let third_sent_on = |servers: u32, flood: u64| {
        let tenants = [0.1, 9.9]
            .map(|rate_quota_per_s| TenantConfig { rate_quota_per_s })
            .to_vec();
        let mut host = SimulatedHost::new(
            Config {
                servers,
                tenants,
                ..config()
            },
            1,
        );
        host.pass(ms(5000));
        for turn in 0..flood {
            let request = host.arrive(0, 2900, Some(2000), 900, turn * 5 + 1);
            assert!(!host.requests.contains_key(&request), "too old to be taken");
        }
        host.arrive(0, 0, None, 900, 1);
        host.arrive(0, 0, None, 900, 2);
        host.arrive(0, 0, None, 900, 3);
        rejections(&host)
    };
    assert_eq!(
        third_sent_on(1, 0),
        [true],
        "three requests where ten a second are within"
    );
    assert_eq!(
        third_sent_on(0, 0),
        [false],
        "what all may send is not told"
    );
    assert_eq!(
        third_sent_on(1, 197),
        [false],
        "forty a second where ten are within"
    );
}

#[test]
fn requests_with_over_half_their_objective_spent_are_not_retried_elsewhere() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    let mut sent_on = Vec::new();
    for turn in 1..9 {
        host.arrive(0, 0, None, 400, turn);
        sent_on.extend(rejections(&host));
    }
    assert!(
        sent_on.contains(&true),
        "fresh ones may try elsewhere: {sent_on:?}"
    );
    host.arrive(0, 700, None, 400, 99);
    assert_eq!(rejections(&host), [false]);
}

#[test]
fn out_of_range_configurations_are_rejected() {
    let validation_error = |change: fn(&mut Config)| {
        let mut config = config();
        change(&mut config);
        Controller::new(&config, 1).err()
    };
    assert_eq!(validation_error(|_| ()), None);
    assert_eq!(
        validation_error(|g| g.cores = 0),
        Some(ConfigError::NoCores)
    );
    assert_eq!(
        validation_error(|g| g.handlers.clear()),
        Some(ConfigError::NoHandlers)
    );
    assert_eq!(
        validation_error(|g| g.memory_kb = f64::NAN),
        Some(ConfigError::OutOfRange("memory_kb"))
    );
    assert_eq!(
        validation_error(|g| g.idle_timeout = Duration::ZERO),
        Some(ConfigError::OutOfRange("idle_timeout"))
    );
    assert_eq!(
        validation_error(|g| g.cold_speed = 0.0),
        Some(ConfigError::OutOfRange("cold_speed"))
    );
    assert_eq!(
        validation_error(|g| g.handlers[1].degraded_weight = 2.0),
        Some(ConfigError::Handler {
            handler: 1,
            field: "degraded_weight"
        })
    );
    assert_eq!(
        validation_error(|g| g.tenants[0].rate_quota_per_s = -1.0),
        Some(ConfigError::Tenant(0))
    );
    let shared = Dependency::Shared {
        share: 0.0,
        window: ms(5000),
        linger: ms(200),
    };
    assert_eq!(
        Controller::new(
            &Config {
                dependency: shared,
                ..config()
            },
            1
        )
        .err(),
        Some(ConfigError::OutOfRange("dependency"))
    );
}

#[test]
fn a_server_whose_runs_fail_rejects_most_and_asks_for_no_traffic() {
    let mut host = SimulatedHost::new(
        Config {
            tenants: Vec::new(),
            ..config()
        },
        1,
    );
    for turn in 0..3 {
        let request = host.arrive(0, 0, None, 50, turn * 5 + 1);
        host.finish(request, Outcome::Failed);
    }
    host.arrive(0, 0, None, 50, 31);
    assert_eq!(rejections(&host), [true]);
    host.pass(ms(50));
    assert_eq!(host.feedback, Some(0.0));
}

#[test]
fn a_stall_of_the_process_does_not_steer() {
    let mut host = host_without_dependency();
    for turn in 0..6 {
        host.pass(ms(600));
        host.now += ms(400);
        let request = host.arrive(0, 400, None, 50, turn * 5 + 1);
        host.finish(request, Outcome::Succeeded);
    }
    host.pass(ms(600));
    assert_eq!(host.feedback, Some(1.0));
}

#[test]
fn a_shutdown_notice_shorter_than_a_tick_answers_everything_at_once() {
    let mut host = host_without_dependency();
    host.arrive(0, 0, None, 50, 1);
    host.shutdown_notice(ms(10));
    assert!(host.requests.values().all(|tracked| tracked.answered));
}

#[test]
fn a_request_overtaken_by_higher_priorities_is_rejected_before_it_is_late() {
    let mut config = config();
    config.tenants.clear();
    config.handlers.push(HandlerConfig {
        priority_weight: 5.0,
        ..config.handlers[0].clone()
    });
    let mut host = SimulatedHost::new(config, 1);
    for turn in 1..3 {
        host.arrive(0, 0, None, 300, turn);
    }
    let low = host.arrive(0, 0, None, 450, 3);
    assert_eq!(host.requests[&low].stage, Stage::Queued);
    for turn in 6..10 {
        host.arrive(3, 0, None, 300, turn);
    }
    let mut sent_on = Vec::new();
    for _ in 0..16 {
        host.pass(ms(25));
        sent_on.extend(rejections(&host));
    }
    assert!(
        !host.requests.contains_key(&low),
        "overtaken, it cannot be in time"
    );
    assert!(
        sent_on[0],
        "with half its time left another server may take it"
    );
}

#[test]
fn a_saturated_connection_table_is_emptied_and_left_full_in_a_retry_storm() {
    let mut host = SimulatedHost::new(
        Config {
            callers: 400,
            ..config()
        },
        1,
    );
    host.open_connections = 60.0;
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Sheds alone, with cores to spare for connecting and reading, are no storm: who is worth most
    // has to get in.
    let tries = |host: &mut SimulatedHost| {
        for turn in 0..60 {
            host.arrive(0, 0, None, 9000, turn);
            host.pass(ms(100));
        }
    };
    tries(&mut host);
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Nor is a crowd that connects and is served.
    host.pass(ms(5000));
    host.reading = 8.0;
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Connecting and reading for tries in vain drown what runs.
    tries(&mut host);
    assert!(host.idle > ms(10_000), "{:?}", host.idle);
    // The full table has shut the storm out; the cores are busy, so it stays as it is.
    host.reading = 2.0;
    host.pass(ms(6000));
    assert!(host.idle > ms(10_000), "{:?}", host.idle);
    // It is over once the cores starve.
    host.reading = 0.0;
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
}

#[test]
fn few_callers_keep_their_connections() {
    let mut host = host_without_dependency();
    host.open_connections = 3.0;
    host.pass(ms(6000));
    assert_eq!(host.idle, Duration::MAX, "never told");
}

#[test]
fn one_wrong_estimate_does_not_degrade_a_server() {
    let mut host = host_without_dependency();
    let misjudged = host.arrive(0, 0, None, 100, 1);
    host.pass(ms(900));
    host.finish(misjudged, Outcome::Succeeded);
    host.pass(ms(50));
    for turn in 2..5 {
        let request = host.arrive(0, 0, None, 100, turn);
        assert!(
            host.requests.contains_key(&request),
            "shed: {:?}",
            host.last
        );
    }
}

#[test]
fn a_server_that_rejects_most_forwards_nothing_even_if_retries_are_unmarked() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    for _ in 0..12 {
        host.arrive(0, 0, None, 600, 1);
    }
    assert_eq!(rejections(&host), [false], "{:?}", host.last);
}

/// A server that reads two requests a second holds four in its window: one retry among them was a
/// quarter, and one shed of two a half, so that all it shed was told to stay though nobody else was
/// full.
#[test]
fn one_retry_or_rejection_among_few_requests_does_not_stop_retries_elsewhere() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    host.arrive(0, 0, None, 900, 5);
    host.arrive(0, 0, None, 900, 1);
    host.pass(ms(300));
    host.arrive(0, 0, None, 900, 2);
    assert_eq!(
        rejections(&host),
        [true],
        "one marked retry of three requests, and the first shed: {:?}",
        host.last
    );
}

#[test]
fn an_unbounded_idle_timeout_does_not_overflow() {
    let mut host = SimulatedHost::new(
        Config {
            idle_timeout: Duration::MAX,
            ..config()
        },
        1,
    );
    host.pass(ms(1000));
    assert_eq!(host.idle, Duration::MAX);
}

/// Whether the last that the module asked for is a call, or to go on without it.
fn starts_call(host: &SimulatedHost) -> bool {
    match host.last[..] {
        [Action::StartCall { .. }] => true,
        [Action::SkipCall { .. }] => false,
        _ => panic!("{:?}", host.last),
    }
}

#[test]
fn a_call_whose_connection_is_lost_is_retried_in_time() {
    let mut host = SimulatedHost::new(config(), 1);
    let request = host.arrive(0, 0, None, 100, 1);
    host.reach_call(request);
    for outcome in [Outcome::ConnectionLost, Outcome::Unreachable] {
        host.finish_call(request, outcome);
        assert!(starts_call(&host), "{outcome:?}");
    }
    host.finish_call(request, Outcome::ConnectionLost);
    assert!(!starts_call(&host), "three are enough");
    // Who lies below and says no is full.
    let request = host.arrive(0, 0, None, 100, 2);
    host.reach_call(request);
    host.finish_call(request, Outcome::Rejected);
    assert!(!starts_call(&host));
}

#[test]
fn a_call_without_a_reply_times_out_early_and_is_retried() {
    let mut host = SimulatedHost::new(config(), 1);
    let call_timeout = |host: &SimulatedHost| match host.last[..] {
        [Action::StartCall { timeout, .. }] => timeout,
        _ => panic!("{:?}", host.last),
    };
    let mut first = Duration::ZERO;
    for turn in 0..20 {
        let request = host.arrive(0, 0, None, 10, turn);
        host.reach_call(request);
        first = first.max(call_timeout(&host));
        host.pass(ms(10));
        host.finish_call(request, Outcome::Succeeded);
        host.finish(request, Outcome::Succeeded);
    }
    let request = host.arrive(0, 0, None, 10, 9);
    host.reach_call(request);
    assert!(
        call_timeout(&host) * 2 < first,
        "{:?} after {first:?}",
        call_timeout(&host)
    );
    host.finish_call(request, Outcome::TimedOut);
    assert!(starts_call(&host));
    // Where that is no exception, what lies below is slow: it is left alone.
    for outcome in [Outcome::TimedOut, Outcome::TimedOut] {
        host.finish_call(request, outcome);
    }
    host.finish(request, Outcome::Succeeded);
    let request = host.arrive(0, 0, None, 10, 10);
    host.reach_call(request);
    assert!(call_timeout(&host) * 2 > first, "{:?}", call_timeout(&host));
    host.finish_call(request, Outcome::TimedOut);
    assert!(!starts_call(&host));
}

#[test]
fn a_busy_server_keeps_its_traffic_early_in_the_drain() {
    let feedback = |busy: f64| {
        let mut host = host_without_dependency();
        let gauges = Gauges {
            cores_busy: Some(busy),
            runnable: None,
            open_connections: None,
        };
        host.send(vec![Event::TimerFired { gauges }]);
        host.shutdown_notice(ms(4000));
        host.pass(ms(100));
        let early = host.feedback;
        host.pass(ms(800));
        (early, host.feedback)
    };
    assert_eq!(feedback(0.5), (Some(0.0), Some(0.0)));
    assert_eq!(
        feedback(0.8),
        (Some(1.0), Some(0.0)),
        "the grace is nearly over"
    );
}

fn reasons(host: &SimulatedHost) -> Vec<Reason> {
    let reason = |action: &Action| match action {
        Action::Reject { reason, .. } | Action::Fail { reason, .. } => Some(*reason),
        _ => None,
    };
    host.last.iter().filter_map(reason).collect()
}

#[test]
fn each_early_answer_has_a_reason() {
    let mut host = host_without_dependency();
    // More work than its response target has room for, behind work that takes both cores.
    for turn in 0..2 {
        host.arrive(0, 0, None, 900, turn);
    }
    host.arrive(0, 0, None, 900, 2);
    assert_eq!(reasons(&host), [Reason::PredictedLate]);
    let mut config = config();
    config.memory_kb = 1.0;
    let mut small = SimulatedHost::new(config, 1);
    small.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(&small), [Reason::MemoryLimit]);
    let mut host = host_without_dependency();
    host.send(vec![Event::ShutdownNotice {
        since: ms(0),
        left: ms(3000),
    }]);
    host.pass(ms(1500));
    host.arrive(0, 0, None, 10, 2);
    assert_eq!(reasons(&host), [Reason::Draining]);
}

/// regina-main and nairobi-calc: callers heed a wait of up to a second, and a request turned away
/// for lack of room was told nothing while the server was well, so that its retry came back at
/// once.
#[test]
fn a_rejection_carries_a_retry_after_on_a_healthy_server() {
    let mut host = host_without_dependency();
    let waits: Vec<Option<Duration>> = (0..40)
        .flat_map(|turn| {
            host.arrive(0, 0, None, 400, turn);
            host.last
                .iter()
                .filter_map(|action| match action {
                    Action::Reject { retry_after, .. } => Some(*retry_after),
                    _ => None,
                })
                .collect::<Vec<_>>()
        })
        .collect();
    assert!(!waits.is_empty(), "nothing was shed");
    let heeded = |wait: &Option<Duration>| {
        wait.is_some_and(|wait| wait > Duration::ZERO && wait <= ms(1000))
    };
    assert!(waits.iter().all(heeded), "{waits:?}");
}

/// Two handlers that tell no work, one ten times the other: trained alike, a burst of the long one
/// is kept less than a burst of the short one. Where every request without a hint counted as 0.1 s,
/// both were alike.
#[test]
fn requests_without_an_estimate_use_the_work_learnt_for_their_handler() {
    let trained = || {
        let mut config = config();
        config.dependency = Dependency::None;
        let plain = HandlerConfig {
            calls_dependency: false,
            ..crate::common::handler(Idempotency::Idempotent, 0.0)
        };
        config.handlers = vec![plain.clone(), plain];
        let mut host = SimulatedHost::new(config, 1);
        for turn in 0..30 {
            for (handler, work) in [(0, 500), (1, 50)] {
                let request = host.arrive(handler, 0, None, 0, turn * 2 + handler as u64);
                assert_eq!(host.requests[&request].stage, Stage::Running);
                host.pass(ms(work));
                host.finish(request, Outcome::Succeeded);
            }
            host.pass(ms(100));
        }
        host
    };
    let kept = |handler: usize| {
        let mut host = trained();
        let burst: Vec<RequestIndex> = (0..12)
            .map(|turn| host.arrive(handler, 0, None, 0, 1000 + turn))
            .collect();
        burst
            .iter()
            .filter(|request| {
                host.requests
                    .get(request)
                    .is_some_and(|tracked| !tracked.answered)
            })
            .count()
    };
    let (long, short) = (kept(0), kept(1));
    assert!(
        long < short,
        "kept of the long handler {long}, of the short {short}"
    );
}

/// A repeat fails with the run that it waits for. Counted as runs that errored, the repeats of one
/// stopped run had a well server turn most away.
#[test]
fn coalesced_requests_that_fail_do_not_count_as_failed_runs() {
    let mut host = SimulatedHost::new(
        Config {
            tenants: Vec::new(),
            ..config()
        },
        1,
    );
    host.arrive(1, 0, None, 50, 1);
    let duplicates: Vec<RequestIndex> = (0..8).map(|_| host.arrive(1, 0, None, 50, 1)).collect();
    for request in duplicates {
        assert_eq!(host.requests[&request].stage, Stage::Coalesced);
        host.finish(request, Outcome::Failed);
    }
    for turn in 2..12 {
        let request = host.arrive(0, 0, None, 5, turn);
        assert!(
            !reasons(&host).contains(&Reason::HighFailureRate),
            "{:?}",
            host.last
        );
        if host
            .requests
            .get(&request)
            .is_some_and(|tracked| tracked.stage == Stage::Running)
        {
            host.finish(request, Outcome::Succeeded);
        }
    }
}

/// What may not be left out takes its time however low the dimmer, and as often as the handler's
/// runs make it.
#[test]
fn mandatory_calls_count_in_full_at_admission() {
    let mut host = SimulatedHost::new(
        Config {
            dependency: Dependency::Tier,
            tenants: Vec::new(),
            ..config()
        },
        1,
    );
    for turn in 0..40 {
        let request = host.arrive(2, 0, None, 50, turn);
        for _ in 0..2 {
            host.reach_call(request);
            host.pass(ms(400));
            host.finish_call(request, Outcome::Succeeded);
        }
        host.finish(request, Outcome::Succeeded);
    }
    // Cores that are taken: what comes now waits a little.
    host.arrive(0, 0, None, 50, 50);
    host.arrive(0, 0, None, 50, 51);
    host.arrive(2, 0, None, 50, 52);
    assert_eq!(reasons(&host), [Reason::PredictedLate], "{:?}", host.last);
}

/// The ledger of regina-main collapsed at its knee: each server went on calling, as its own
/// responses were fine.
#[test]
fn slow_calls_lower_the_dimmer_ceiling_which_recovers_slowly() {
    let mut host = SimulatedHost::new(
        Config {
            tenants: Vec::new(),
            ..config()
        },
        1,
    );
    let mut turn = 0;
    let mut made = |host: &mut SimulatedHost, requests: u64, took: u64| {
        let mut made = 0;
        for _ in 0..requests {
            turn += 1;
            let request = host.arrive(0, 0, None, 10, turn * 5 + 1);
            host.reach_call(request);
            made += u32::from(starts_call(host));
            if starts_call(host) {
                host.pass(ms(took));
                host.finish_call(request, Outcome::Succeeded);
            }
            host.finish(request, Outcome::Succeeded);
        }
        made
    };
    assert_eq!(made(&mut host, 40, 10), 40);
    made(&mut host, 6, 100);
    let next = made(&mut host, 40, 10);
    assert!(next < 30, "{next} of 40");
    host.pass(ms(60_000));
    assert_eq!(made(&mut host, 20, 10), 20, "it has recovered");
}

/// Retries without marks are not tracked, so no try is the last: sent on, they walk through the
/// fleet.
#[test]
fn with_unmarked_retries_only_a_draining_server_forwards_requests() {
    let sheds = |marks_retries: bool, leaves: bool| {
        let mut host = SimulatedHost::new(
            Config {
                marks_retries,
                tenants: Vec::new(),
                ..config()
            },
            1,
        );
        if leaves {
            host.shutdown_notice(ms(4000));
            host.pass(ms(1500));
        }
        let mut sent_on = Vec::new();
        for turn in 1..9 {
            host.arrive(0, 0, None, 400, turn * 5 + 1);
            sent_on.extend(rejections(&host));
        }
        sent_on
    };
    assert!(sheds(true, false).contains(&true));
    let unmarked = sheds(false, false);
    assert!(
        !unmarked.is_empty() && !unmarked.contains(&true),
        "{unmarked:?}"
    );
    assert!(sheds(false, true).contains(&true));
}

fn called(host: &SimulatedHost) -> bool {
    host.last
        .iter()
        .any(|action| matches!(action, Action::StartCall { .. }))
}

/// One slow second spent every server's part of the ledger on calls that may be left out; those
/// that may not stood until it came back five seconds later, all at once, and pushed the ledger
/// over its knee again.
#[test]
fn optional_calls_leave_budget_for_a_mandatory_one() {
    let dependency = Dependency::Shared {
        share: 0.6,
        window: ms(5000),
        linger: ms(200),
    };
    let mut host = SimulatedHost::new(
        Config {
            dependency,
            ..config()
        },
        1,
    );
    let call = |host: &mut SimulatedHost, handler: usize| {
        let request = host.arrive(handler, 0, None, 20, 1);
        host.reach_call(request);
        let made = called(host);
        if host
            .requests
            .get(&request)
            .is_some_and(|tracked| tracked.stage == Stage::Running)
        {
            host.finish(request, Outcome::Succeeded);
        }
        made
    };
    let made = (0..4).filter(|_| call(&mut host, 0)).count();
    assert_eq!(made, 2, "of what may be left out");
    assert!(
        call(&mut host, 2),
        "what may not be left out found no room: {:?}",
        host.last
    );
}

/// A request that stands at its call past its response target helps nobody by waiting on: its
/// caller hears at once.
#[test]
fn a_request_awaiting_its_call_past_its_objective_is_answered_at_once() {
    let dependency = Dependency::Shared {
        share: 0.05,
        window: ms(5000),
        linger: ms(200),
    };
    let mut host = SimulatedHost::new(
        Config {
            dependency,
            ..config()
        },
        1,
    );
    let request = host.arrive(2, 0, None, 20, 1);
    host.reach_call(request);
    assert!(!called(&host), "no call fits");
    host.pass(ms(990));
    assert!(
        host.requests.contains_key(&request),
        "it may still be in time"
    );
    host.pass(ms(110));
    assert!(
        !host.requests.contains_key(&request),
        "held on until it is due"
    );
}
