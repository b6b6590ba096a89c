//! Tests of dependency calls: attempts, timeouts, budget and the dimmer ceiling.

use std::time::Duration;

use crate::common::{SimulatedHost, Stage, config, ms};
use tulipgap::{Action, Config, Dependency, Outcome};

/// Whether the last action starts a call; otherwise it skips one.
fn starts_call(host: &SimulatedHost) -> bool {
    match host.last_actions[..] {
        [Action::StartCall { .. }] => true,
        [Action::SkipCall { .. }] => false,
        _ => panic!("{:?}", host.last_actions),
    }
}

fn has_started_call(host: &SimulatedHost) -> bool {
    host.last_actions
        .iter()
        .any(|action| matches!(action, Action::StartCall { .. }))
}

/// The first call of a request counted as an attempt of its second call, which was then skipped:
/// requests with two calls got degraded answers without a fault. Attempts are therefore counted
/// separately for each call.
#[test]
fn a_second_call_does_not_count_as_a_retry() {
    let mut host = SimulatedHost::new(config(), 1);
    let request = host.arrive(0, 0, None, 100, 1);
    for _ in 0..2 {
        host.reach_call(request);
        assert!(
            matches!(host.last_actions[..], [Action::StartCall { .. }]),
            "{:?}",
            host.last_actions
        );
        host.finish_call(request, Outcome::Succeeded);
    }
    host.finish(request, Outcome::Succeeded);
    assert_eq!(host.completed, 1);
}

/// An optional call whose connection was lost was skipped at once, and its duration counted as a
/// response time of the dependency. Such a call is therefore attempted up to three times.
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
    assert!(!starts_call(&host), "a fourth attempt was made");
    // A dependency that rejects calls is full, so the call is not retried.
    let request = host.arrive(0, 0, None, 100, 2);
    host.reach_call(request);
    host.finish_call(request, Outcome::Rejected);
    assert!(!starts_call(&host));
}

/// A request waited for a call without a reply until half of its remaining time had passed, and
/// then skipped the call. An optional call that may be repeated therefore times out after a
/// multiple of the mean call time, and is retried.
#[test]
fn a_call_without_a_reply_times_out_early_and_is_retried() {
    let mut host = SimulatedHost::new(config(), 1);
    let call_timeout = |host: &SimulatedHost| match host.last_actions[..] {
        [Action::StartCall { timeout, .. }] => timeout,
        _ => panic!("{:?}", host.last_actions),
    };
    let mut first = Duration::ZERO;
    for turn in 0..20 {
        let request = host.arrive(0, 0, None, 10, turn);
        host.reach_call(request);
        first = first.max(call_timeout(&host));
        host.advance(ms(10));
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
    // If many calls get no reply, the dependency is slow, and its calls are not retried.
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

/// A shared dependency collapsed at its knee while each server continued to call it, because the
/// server's own responses were in time. Slow calls therefore lower the ceiling of the dimmer.
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
                host.advance(ms(took));
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
    host.advance(ms(60_000));
    assert_eq!(made(&mut host, 20, 10), 20, "the ceiling has not recovered");
}

/// One slow second spent every server's share of the dependency on optional calls. Mandatory calls
/// waited until the share was free again five seconds later, were made all at once, and pushed the
/// dependency over its knee again. Optional calls therefore leave budget for a mandatory call.
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
        let made = has_started_call(host);
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
    assert_eq!(made, 2, "number of optional calls that were made");
    assert!(
        call(&mut host, 2),
        "the mandatory call found no budget: {:?}",
        host.last_actions
    );
}

/// Requests that waited for budget past their objectives were kept until their deadlines, and made
/// their calls at the same time as all requests that had waited as long. Such a request is
/// therefore answered once its objective has passed.
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
    assert!(
        !has_started_call(&host),
        "a call was made beyond the budget"
    );
    host.advance(ms(990));
    assert!(
        host.requests.contains_key(&request),
        "answered before its objective has passed"
    );
    host.advance(ms(110));
    assert!(
        !host.requests.contains_key(&request),
        "not answered after its objective"
    );
}
