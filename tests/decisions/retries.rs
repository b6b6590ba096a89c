//! Whether and when a rejected request is retried.

use std::time::Duration;

use crate::common::{SimulatedHost, config, ms};
use crate::helpers::{host_without_dependency, rejections};
use tulipgap::{Action, Config};

/// A request with most of its time spent is late on the next server too, and costs it a reading.
#[test]
fn requests_with_over_half_their_objective_spent_are_not_retried_on_another_server() {
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
        "fresh ones are retried: {retried_elsewhere:?}"
    );
    host.arrive(0, 700, None, 400, 99);
    assert_eq!(rejections(&host), [false]);
}

/// Where retries bear no mark, their number never forbade another attempt: a request took three
/// attempts, each with a new connection and a reading. A server that rejects most of what arrives
/// sends nothing to others.
#[test]
fn a_server_that_rejects_most_sends_nothing_to_others_even_if_retries_are_unmarked() {
    let mut config = config();
    config.tenants.clear();
    let mut host = SimulatedHost::new(config, 1);
    for _ in 0..12 {
        host.arrive(0, 0, None, 600, 1);
    }
    assert_eq!(rejections(&host), [false], "{:?}", host.last);
}

/// A server that reads two requests a second has four in its window: one retry among them was a
/// quarter, and one rejection of two a half, so that callers of all rejected requests were told to
/// stay although other servers had capacity. One more than the fraction is allowed.
#[test]
fn one_retry_or_rejection_among_few_requests_does_not_stop_retries_on_other_servers() {
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
        "one marked retry of three requests, and the first rejection: {:?}",
        host.last
    );
}

/// Where retries bear no mark, no attempt is known to be the last, and rejected requests walked
/// through a full fleet. Only a server that is draining or failing sends requests to others there.
#[test]
fn with_unmarked_retries_only_a_draining_server_sends_requests_to_others() {
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
            host.pass(ms(1500));
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

/// Callers honour a retry-after of up to a second, but a request that was rejected for lack of
/// capacity carried none while the server was healthy, so that its retry came back at once.
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
    assert!(!waits.is_empty(), "nothing was rejected");
    let is_honoured = |wait: &Option<Duration>| {
        wait.is_some_and(|wait| wait > Duration::ZERO && wait <= ms(1000))
    };
    assert!(waits.iter().all(is_honoured), "{waits:?}");
}

/// A retry-after that callers honour may be shorter than a tick (5 to 25 ms). The time until the
/// queue has run is then clamped between a tick and less than a tick, which panics: the first
/// rejection on a server that is not degraded ends the process, and all its open requests with it.
#[test]
fn a_retry_after_shorter_than_a_tick_does_not_panic() {
    let mut config = config();
    config.max_retry_after = Some(ms(10));
    let mut host = SimulatedHost::new(config, 1);
    for turn in 1..9 {
        host.arrive(0, 0, None, 900, turn);
    }
    assert!(!rejections(&host).is_empty(), "one is rejected");
}
