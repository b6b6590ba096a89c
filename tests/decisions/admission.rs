//! Tests of admission and rejection, on arrival and in the queue.

use crate::common::{SimulatedHost, Stage, config, ms};
use crate::helpers::{host_without_dependency, reasons, rejections};
use tulipgap::{
    Config, Dependency, Event, HandlerConfig, Idempotency, Outcome, Reason, RequestIndex,
    TenantConfig,
};

/// Idle servers rejected requests with long estimates as unable to be in time, although no other
/// request waited. If a core is free, an attempt delays no other request, so an estimate may be
/// wrong by a factor.
#[test]
fn a_long_estimate_is_tolerated_while_a_core_is_free() {
    let mut host = host_without_dependency();
    let request = host.arrive(0, 0, None, 1200, 1);
    assert_eq!(host.requests[&request].stage, Stage::Running);
}

/// A window of two seconds on two cores has room for four runs. One or two wrong estimates made
/// healthy servers look degraded, and they rejected a fifth to a half of their requests while their
/// cores were idle. Six requests at the usual slowdown are therefore added to the measurement.
#[test]
fn one_wrong_estimate_does_not_degrade_a_server() {
    let mut host = host_without_dependency();
    let underestimated = host.arrive(0, 0, None, 100, 1);
    host.advance(ms(900));
    host.finish(underestimated, Outcome::Succeeded);
    host.advance(ms(50));
    for turn in 2..5 {
        let request = host.arrive(0, 0, None, 100, turn);
        assert!(
            host.requests.contains_key(&request),
            "rejected: {:?}",
            host.last_actions
        );
    }
}

/// Every request without an estimate counted as 0.1 s of work, so a handler of long requests was
/// admitted like one of short requests. Here the requests of two handlers have no estimate, one
/// handler takes ten times as long as the other, and fewer requests of a burst of the slow handler
/// are kept.
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
                host.advance(ms(work));
                host.finish(request, Outcome::Succeeded);
            }
            host.advance(ms(100));
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
                    .is_some_and(|tracked| !tracked.is_answered)
            })
            .count()
    };
    let (long, short) = (kept(0), kept(1));
    assert!(
        long < short,
        "kept of the long handler {long}, of the short {short}"
    );
}

/// Admission counted one mandatory call per request and multiplied it by the dimmer, although
/// mandatory calls cannot be skipped and some runs make two. It admitted requests that could not be
/// in time. Mandatory calls therefore count as often as the handler's runs make them.
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
            host.advance(ms(400));
            host.finish_call(request, Outcome::Succeeded);
        }
        host.finish(request, Outcome::Succeeded);
    }
    // Both cores are busy, so the next request waits a little.
    host.arrive(0, 0, None, 50, 50);
    host.arrive(0, 0, None, 50, 51);
    host.arrive(2, 0, None, 50, 52);
    assert_eq!(
        reasons(&host),
        [Reason::PredictedLate],
        "{:?}",
        host.last_actions
    );
}

/// Requests of higher priority overtook queued requests, which were rejected only when their own
/// work no longer fitted into their objective. Their callers had given up by then. The work that
/// precedes a queued request is therefore predicted anew on each tick.
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
        host.advance(ms(25));
        retried_elsewhere.extend(rejections(&host));
    }
    assert!(
        !host.requests.contains_key(&low),
        "the overtaken request is still queued"
    );
    assert!(
        retried_elsewhere[0],
        "a request with half of its time left is not referred to another server"
    );
}

/// A duplicate fails together with the run for which it waits. When duplicates counted as failed
/// runs, the duplicates of one cancelled run made a healthy server reject most of its traffic.
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
            host.last_actions
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

/// A server that received more of the traffic than other servers emptied the token buckets of
/// tenants that were well within their quotas, so that their requests got the same low priority as
/// the requests of a tenant that flooded the server. Quotas are therefore fractions of the requests
/// that the server admits.
#[test]
fn a_tenant_within_its_quota_is_admitted_while_another_floods() {
    let mut host = host_without_dependency();
    let mut taken = [0, 0];
    // The tenant is the request index modulo 2: even indices flood, and an odd index is used now
    // and then.
    for turn in 0..60 {
        let request = host.arrive(0, 0, None, 150, turn);
        taken[request % 2] += u32::from(host.requests.contains_key(&request));
        if turn.is_multiple_of(2) {
            host.advance(ms(30));
        }
        if turn.is_multiple_of(5)
            && let Some(request) = host.nth(Stage::Running, 0)
        {
            host.finish(request, Outcome::Succeeded);
        }
    }
    assert!(taken[1] > 0, "{taken:?}");
}

/// The level of a token bucket follows a random walk: most requests of a lightly loaded fleet
/// counted as beyond their tenant's quota, ranked below all others, were rejected first and were
/// not retried on other servers. While arrivals stay within all quotas, no tenant is over quota.
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
        host.advance(ms(5000));
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
        "three requests are within ten per second"
    );
    assert_eq!(
        third_retried_elsewhere(0, 0),
        [false],
        "the number of servers is unknown"
    );
    assert_eq!(
        third_retried_elsewhere(1, 197),
        [false],
        "forty requests per second are beyond ten per second"
    );
}

#[test]
fn each_early_answer_has_a_reason() {
    let mut host = host_without_dependency();
    // The third request does not fit into its latency objective, because work that takes both cores
    // precedes it.
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
    host.advance(ms(1500));
    host.arrive(0, 0, None, 10, 2);
    assert_eq!(reasons(&host), [Reason::Draining]);
}
