//! Floods, hangs and stalls.

use crate::common::{SimulatedHost, Stage, config, ms};
use crate::helpers::{host_without_dependency, rejections};
use tulipgap::{Config, Event, Gauges, Outcome};

/// With a third of the servers gone, the others read and ran twelve requests at once on six cores.
/// Each slowed the other down, requests stood unread for seconds, and answers came after callers
/// had given up. Runs take only the cores that reading is_draining.
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

/// A flood that reading could not catch up with took every core for reading, and for ten seconds
/// nothing ran at all. Where nothing completes for a whole window, runs get a third of the cores
/// again.
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

/// Requests stood unread for seconds, and no rejection after reading can mend that. Callers are
/// asked to send less.
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

/// Ten servers hung, and went on rejecting all that they read when they were well again: their
/// slowdown had been measured during the hang, and nothing ran to measure it anew. Once nothing
/// completes, the usual slowdown counts alone.
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

/// Pauses of the process entered the mean response time and the time unread, as if the load had
/// caused them. The time that the process was stalled is left out of both.
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

/// A server that failed fast looked the least busy and drew more than its part of the traffic.
/// While most recent runs fail, it rejects that fraction of arrivals and asks for no traffic.
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
