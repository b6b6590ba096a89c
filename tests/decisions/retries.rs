//! Tests of whether and when a rejected request is retried.

use std::time::Duration;

use crate::common::{SimulatedHost, config, ms};
use crate::helpers::{host_without_dependency, rejections};
use tulipgap::{Action, Config};

/// A request that has spent most of its time would also be late on the next server, and would cost
/// that server a read.
#[test]
fn requests_past_half_of_their_objective_are_not_retried_on_another_server() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    let mut retried_elsewhere = Vec::new();
    for turn in 1..9 {
        host.arrive(0, 0, None, 400, turn);
        retried_elsewhere.extend(rejections(&host));
    }
    assert!(
        retried_elsewhere.contains(&true),
        "no new request was referred to another server: {retried_elsewhere:?}"
    );
    host.arrive(0, 700, None, 400, 99);
    assert_eq!(rejections(&host), [false]);
}

/// Where retries were unmarked, their number never prevented another attempt: a request made three
/// attempts, each with a new connection and a read. A server that rejects most arrivals refers no
/// requests to other servers.
#[test]
fn a_server_that_rejects_most_requests_refers_none_to_others_even_if_retries_are_unmarked() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    for _ in 0..12 {
        host.arrive(0, 0, None, 600, 1);
    }
    assert_eq!(rejections(&host), [false], "{:?}", host.last_actions);
}

/// A server that reads two requests per second has four in its window: one retry among four was a
/// quarter, and one rejection among two was a half. Callers of all rejected requests were therefore
/// not referred to other servers, although these had capacity. One request more than the fraction
/// is tolerated.
#[test]
fn one_retry_or_rejection_among_few_requests_does_not_stop_retries_on_other_servers() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    host.arrive(0, 0, None, 900, 5);
    host.arrive(0, 0, None, 900, 1);
    host.advance(ms(300));
    host.arrive(0, 0, None, 900, 2);
    assert_eq!(
        rejections(&host),
        [true],
        "one marked retry of three requests, and the first rejection: {:?}",
        host.last_actions
    );
}

/// Where retries were unmarked, a server could not tell which attempt was the last, and rejected
/// requests tried every server of a full fleet. In this case only a server that is draining or
/// failing refers requests to others.
#[test]
fn with_unmarked_retries_only_a_draining_server_refers_requests_to_others() {
    let rejections_of = |marks_retries: bool, is_draining: bool| {
        let mut host = SimulatedHost::new(
            Config {
                marks_retries,
                tenants: Vec::new(),
                ..config()
            },
            1,
        );
        if is_draining {
            host.shutdown_notice(ms(4000));
            host.advance(ms(1500));
        }
        let mut retried_elsewhere = Vec::new();
        for turn in 1..9 {
            host.arrive(0, 0, None, 400, turn * 5 + 1);
            retried_elsewhere.extend(rejections(&host));
        }
        retried_elsewhere
    };
    assert!(rejections_of(true, false).contains(&true));
    let unmarked = rejections_of(false, false);
    assert!(
        !unmarked.is_empty() && !unmarked.contains(&true),
        "{unmarked:?}"
    );
    assert!(rejections_of(false, true).contains(&true));
}

/// Callers honour a retry-after of up to a second, but a healthy server that rejected a request for
/// lack of capacity sent none, so that the caller retried at once.
#[test]
fn a_rejection_carries_a_retry_after_on_a_healthy_server() {
    let mut host = host_without_dependency();
    let waits: Vec<Option<Duration>> = (0..40)
        .flat_map(|turn| {
            host.arrive(0, 0, None, 400, turn);
            host.last_actions
                .iter()
                .filter_map(|action| match action {
                    Action::Reject { retry_after, .. } => Some(*retry_after),
                    _ => None,
                })
                .collect::<Vec<_>>()
        })
        .collect();
    assert!(!waits.is_empty(), "nothing was rejected");
    let is_honoured = |wait: &Option<Duration>| {
        wait.is_some_and(|wait| wait > Duration::ZERO && wait <= ms(1000))
    };
    assert!(waits.iter().all(is_honoured), "{waits:?}");
}

/// The longest retry-after that callers honour may be shorter than a tick (5 to 25 ms). Clamping
/// the wait between a tick and this shorter maximum panicked: the first rejection on a server that
/// was not degraded ended the process, and all its open requests with it.
#[test]
fn a_retry_after_shorter_than_a_tick_does_not_panic() {
    let mut config = config();
    config.max_retry_after = Some(ms(10));
    let mut host = SimulatedHost::new(config, 1);
    for turn in 1..9 {
        host.arrive(0, 0, None, 900, turn);
    }
    assert!(!rejections(&host).is_empty(), "no request was rejected");
}
