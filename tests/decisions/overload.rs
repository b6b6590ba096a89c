//! Tests of floods, hangs and stalls.

use crate::common::{SimulatedHost, Stage, config, ms};
use crate::helpers::{host_without_dependency, rejections};
use tulipgap::{Config, Event, Gauges, Outcome};

/// With a third of the servers down, each remaining server read and ran twelve requests at once on
/// six cores. Reading and running slowed each other down, requests waited unread for seconds, and
/// answers came after callers had given up. Runs therefore take only the cores that reading leaves.
#[test]
fn runs_leave_cores_to_reading() {
    let mut host = host_without_dependency();
    let flood = Gauges {
        busy_fraction: Some(1.0),
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

/// In a flood that the server could not read fast enough, reading took every core, and for ten
/// seconds no request ran. If nothing completes for a whole window, runs get a third of the cores
/// again.
#[test]
fn a_server_with_a_read_backlog_still_runs_some_requests() {
    let mut host = host_without_dependency();
    host.reading_cores = 6.0;
    for turn in 0..40 {
        host.advance(ms(50));
        host.arrive(0, 700, None, 100, turn);
    }
    assert!(host.nth(Stage::Running, 0).is_some(), "nothing runs");
}

/// Requests waited unread for seconds, which a rejection after reading cannot prevent. The server
/// therefore asks callers to send less.
#[test]
fn callers_are_asked_for_less_traffic_while_requests_wait_unread() {
    let mut host = host_without_dependency();
    for turn in 0..20 {
        host.arrive(0, 900, None, 50, turn);
        host.advance(ms(100));
    }
    assert!(
        host.feedback.is_some_and(|weight| weight < 0.5),
        "{:?}",
        host.feedback
    );
}

/// Ten servers hung, and continued to reject all requests that they read after the hang was over:
/// their slowdown had been measured during the hang, and no run measured it again. Once no run
/// completes, only the usual slowdown counts.
#[test]
fn a_server_recovers_after_a_hang() {
    let mut host = host_without_dependency();
    for turn in 0..6 {
        host.arrive(0, 0, None, 200, turn);
    }
    host.advance(ms(8000));
    while let Some(request) = host.nth(Stage::Running, 0) {
        host.finish(request, Outcome::Cancelled);
    }
    host.advance(ms(3000));
    let request = host.arrive(0, 0, None, 300, 9);
    assert_eq!(
        host.requests.get(&request).map(|tracked| tracked.stage),
        Some(Stage::Running)
    );
}

/// Stalls of the process counted in the mean response time and in the unread time, as if the load
/// had caused them. The time for which the process was stalled is therefore left out of both.
#[test]
fn a_stall_of_the_process_does_not_affect_the_control_loops() {
    let mut host = host_without_dependency();
    for turn in 0..6 {
        host.advance(ms(600));
        host.now += ms(400);
        let request = host.arrive(0, 400, None, 50, turn * 5 + 1);
        host.finish(request, Outcome::Succeeded);
    }
    host.advance(ms(600));
    assert_eq!(host.feedback, Some(1.0));
}

/// A server whose runs failed fast looked the least busy and received more than its share of the
/// traffic. While many of its recent runs fail, a server rejects that fraction of arrivals and asks
/// for no traffic.
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
    host.advance(ms(50));
    assert_eq!(host.feedback, Some(0.0));
}
