//! What is admitted and what is rejected on arrival or from the queue.

use crate::common::{SimulatedHost, Stage, config, ms};
use crate::helpers::{host_without_dependency, reasons, rejections};
use tulipgap::{
    Config, Dependency, Event, HandlerConfig, Idempotency, Outcome, Reason, RequestIndex,
    TenantConfig,
};

/// Requests with long estimates were rejected on idle servers as unable to be in time, although
/// nobody waited. Where a core is free an attempt delays nobody, so an estimate may be wrong by a
/// factor.
#[test]
fn a_long_estimate_is_tolerated_while_a_core_is_free() {
    let mut host = host_without_dependency();
    let request = host.arrive(0, 0, None, 1200, 1);
    assert_eq!(host.requests[&request].stage, Stage::Running);
}

/// Two seconds on two cores hold four runs. A wrong estimate or two made healthy servers look
/// degraded, and they rejected a fifth to a half of their requests with idle cores. Six requests at
/// the usual slowdown temper what is measured.
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
            "rejected: {:?}",
            host.last
        );
    }
}

/// Every request without an estimate counted as 0.1 s, so a handler of long requests was admitted
/// like one of short ones. Here two handlers state no work, one takes ten times as long as the
/// other, and of a burst of the long one fewer are kept.
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

/// Mandatory calls were counted once and multiplied by the dimmer, although they cannot be skipped
/// and some runs make two: requests were admitted that could not be in time. They count as often as
/// the handler's runs make them.
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
    // The cores are taken: what arrives now waits a little.
    host.arrive(0, 0, None, 50, 50);
    host.arrive(0, 0, None, 50, 51);
    host.arrive(2, 0, None, 50, 52);
    assert_eq!(reasons(&host), [Reason::PredictedLate], "{:?}", host.last);
}

/// Requests that were admitted in time were overtaken by those of higher levels, and rejected only
/// when their own work no longer fitted. Their callers had given up by then. What goes before a
/// queued request is counted on each tick.
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
    let mut retried_elsewhere = Vec::new();
    for _ in 0..16 {
        host.pass(ms(25));
        retried_elsewhere.extend(rejections(&host));
    }
    assert!(
        !host.requests.contains_key(&low),
        "overtaken, it cannot be in time"
    );
    assert!(
        retried_elsewhere[0],
        "with half its time left it is retried on another server"
    );
}

/// A duplicate fails with the run that it waits for. Counted as failed runs, the duplicates of one
/// cancelled run made a healthy server reject most of its traffic.
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

/// A server that saw more of the traffic than others emptied the token buckets of tenants well
/// within their quotas, so that their requests ranked with the flood of another. Quotas are
/// fractions of what the server admits.
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

/// Token buckets walk at random: most requests of a quiet fleet were taken for requests beyond
/// their tenant's quota, ranked below all others, rejected first and not retried on other servers.
/// While arrivals stay within all quotas, nobody is over quota.
#[test]
fn no_tenant_is_over_quota_while_all_send_less_than_their_quotas() {
    let third_retried_elsewhere = |servers: u32, flood: u64| {
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
            assert!(
                !host.requests.contains_key(&request),
                "too old to be admitted"
            );
        }
        host.arrive(0, 0, None, 900, 1);
        host.arrive(0, 0, None, 900, 2);
        host.arrive(0, 0, None, 900, 3);
        rejections(&host)
    };
    assert_eq!(
        third_retried_elsewhere(1, 0),
        [true],
        "three requests where ten a second are within"
    );
    assert_eq!(
        third_retried_elsewhere(0, 0),
        [false],
        "the number of servers is unknown"
    );
    assert_eq!(
        third_retried_elsewhere(1, 197),
        [false],
        "forty a second where ten are within"
    );
}

#[test]
fn each_early_answer_has_a_reason() {
    let mut host = host_without_dependency();
    // More work than fits into its latency objective, behind work that takes both cores.
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
