//! Tests of the state that outlives a request: whatever a server was sent or went through, it
//! serves again once it is idle.

use std::time::Duration;

use crate::common::{SimulatedHost, Stage, config, ms};
use crate::helpers::{host_without_dependency, reasons};
use tulipgap::{
    Action, Arrival, Cancellation, Config, Dependency, Event, Outcome, Reason, RequestIndex,
};

/// The window over which the mean work of arrivals is taken, and one bucket more.
const QUIET_TIME: Duration = ms(5_250);

/// The index of requests whose estimate the test sets itself.
const REQUEST_WITH_ESTIMATE: RequestIndex = 1_000;

/// Sends a request with this estimate to an idle server, which runs it for `run_time`. The request
/// then ends with `outcome`.
fn run_with_estimate(
    host: &mut SimulatedHost,
    estimated_work: Duration,
    run_time: Duration,
    outcome: Outcome,
) {
    let request = REQUEST_WITH_ESTIMATE;
    let arrival = Arrival {
        request,
        handler: 0,
        tenant: None,
        age: Duration::ZERO,
        client_wait: None,
        estimated_work: Some(estimated_work),
        queued_kb: 1.0,
        is_retry: false,
        is_duplicate: false,
    };
    let actions = host
        .controller
        .handle_events(host.now, &[Event::Arrived(arrival)]);
    assert!(
        actions.contains(&Action::Start { request }),
        "{actions:?}, the server is idle"
    );
    host.advance(run_time);
    let end = Event::Finished { request, outcome };
    host.controller.handle_events(host.now, &[end]);
}

/// Asserts that an idle server starts a request of 10 ms at once.
fn assert_serves(host: &mut SimulatedHost) {
    let request = host.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(host), []);
    assert_eq!(host.requests[&request].stage, Stage::Running);
    host.advance(ms(10));
    host.finish(request, Outcome::Succeeded);
}

/// After a quiet time, one request with an estimate that rounded to 0 made the mean work 0 and the
/// slowdown 0 / 0. The slowdown stayed NaN, and every later request was rejected as predicted late.
#[test]
fn an_estimate_of_zero_after_a_quiet_time_does_not_stop_admission() {
    let mut host = host_without_dependency();
    host.advance(QUIET_TIME);
    run_with_estimate(&mut host, Duration::ZERO, ms(0), Outcome::Failed);
    host.advance(ms(100));
    for _ in 0..10 {
        assert_serves(&mut host);
        host.advance(ms(100));
    }
}

/// A run whose estimate was 0 made the slowdown infinite, and NaN at the tick after that. An
/// estimate of a nanosecond raised the usual slowdown so far that every later request was rejected.
#[test]
fn a_run_far_longer_than_its_estimate_does_not_stop_admission() {
    for estimate in [Duration::ZERO, Duration::from_nanos(1), ms(1)] {
        let mut host = host_without_dependency();
        host.advance(QUIET_TIME);
        for _ in 0..5 {
            run_with_estimate(&mut host, estimate, ms(800), Outcome::Succeeded);
            host.advance(ms(100));
        }
        host.advance(ms(2_250));
        for _ in 0..10 {
            assert_serves(&mut host);
            host.advance(ms(100));
        }
    }
}

/// A host with eight cores that cannot cancel runs. Its one handler has this latency objective.
fn host_with_objective(objective: Duration) -> SimulatedHost {
    SimulatedHost::new(config_without_calls(objective), 1)
}

/// The configuration of that host.
fn config_without_calls(objective: Duration) -> Config {
    let mut config = config();
    config.cores = 8;
    config.cancellation = Cancellation::Unsupported;
    config.dependency = Dependency::None;
    config.handlers.truncate(1);
    config.handlers[0].calls_dependency = false;
    config.handlers[0].latency_objective = objective;
    config
}

/// Serves requests of this work without an estimate, one after the other, for `time`; returns how
/// many were served, and how many were sent.
fn serve_for(host: &mut SimulatedHost, work: Duration, time: Duration) -> (u32, u32) {
    let end = host.now + time;
    let (mut served, mut sent) = (0, 0);
    while host.now < end {
        let request = host.arrive(0, 0, None, 0, 1);
        host.advance(work);
        sent += 1;
        if host.requests.contains_key(&request) {
            host.finish(request, Outcome::Succeeded);
            served += 1;
        }
    }
    (served, sent)
}

/// The work of requests on a host whose runs have hung, and their latency objective.
const WORK: Duration = ms(60);
const OBJECTIVE: Duration = ms(330);

/// A host whose runs hung for 18 s after a time of ordinary service, and ended just now.
fn host_after_a_hang() -> SimulatedHost {
    let mut host = host_with_objective(OBJECTIVE);
    serve_for(&mut host, WORK, ms(10_000));
    for turn in 0..8 {
        host.arrive(0, 0, None, 0, turn);
    }
    host.advance(ms(18_000));
    while let Some(request) = host.nth(Stage::Running, 0) {
        host.finish(request, Outcome::Succeeded);
    }
    host
}

/// Runs that hung for 18 s raised the usual slowdown, which only completed runs lower. Afterwards
/// the idle server rejected every request as predicted late, and so completed none.
#[test]
fn a_server_serves_again_after_its_runs_hung() {
    let mut host = host_after_a_hang();
    serve_for(&mut host, WORK, ms(5_000));
    let (served, sent) = serve_for(&mut host, WORK, ms(5_000));
    assert_eq!(served, sent, "requests served of those sent");
}

/// Before its first run a handler is expected to need 0.1 s. Where its objective is too short for
/// that, no request was ever admitted, and so its work was never learnt.
#[test]
fn a_handler_with_a_short_objective_is_served_before_its_work_is_learnt() {
    let mut host = host_with_objective(ms(20));
    host.advance(ms(1_000));
    serve_for(&mut host, ms(2), ms(5_000));
    let (served, sent) = serve_for(&mut host, ms(2), ms(5_000));
    assert_eq!(served, sent, "requests served of those sent");
}

/// A probe is one request: while it runs, the next ones are judged by what was learnt, and while
/// others run there is no probe.
#[test]
fn an_idle_server_admits_one_request_in_each_probe_interval() {
    let mut host = host_after_a_hang();
    for _ in 0..2 {
        host.advance(ms(245));
        host.arrive(0, 0, None, 0, 1);
        assert_eq!(reasons(&host), [Reason::PredictedLate]);
        host.advance(ms(5));
        let probe = host.arrive(0, 0, None, 0, 1);
        assert_eq!(reasons(&host), []);
        host.arrive(0, 0, None, 0, 1);
        assert_eq!(reasons(&host), [Reason::PredictedLate]);
        host.advance(WORK);
        host.finish(probe, Outcome::Succeeded);
    }
}

/// Runs do not change the estimate of a caller, so a request that an average core cannot answer in
/// time by its own estimate is no probe, and neither is one whose caller waits too briefly for it.
#[test]
fn a_request_that_cannot_be_in_time_is_no_probe() {
    let reasons_for = |client_wait: Option<u64>, work: u64| {
        let mut host = host_after_a_hang();
        host.advance(ms(1_000));
        host.arrive(0, 0, client_wait, work, 1);
        reasons(&host)
    };
    // 0.65 of the objective are 214 ms.
    assert_eq!(reasons_for(None, 215), [Reason::PredictedLate]);
    assert_eq!(reasons_for(None, 214), []);
    assert_eq!(reasons_for(Some(60), 0), [Reason::PredictedLate]);
    assert_eq!(reasons_for(Some(200), 0), []);
}

/// After a time in which every run had failed, the failed fraction was 1 and every arrival was shed
/// until the window of 2 s was over: no run showed that the fault was over.
#[test]
fn an_idle_server_admits_a_probe_after_all_its_runs_failed() {
    let mut host = host_with_objective(OBJECTIVE);
    for turn in 0..3 {
        let request = host.arrive(0, 0, None, 10, turn);
        host.finish(request, Outcome::Failed);
        host.advance(ms(1));
    }
    host.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(&host), [Reason::HighFailureRate]);
    host.advance(ms(250));
    host.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(&host), []);
    host.arrive(0, 0, None, 10, 1);
    assert_eq!(reasons(&host), [Reason::HighFailureRate]);
}

/// Before its first run a handler is expected to need 0.1 s. Beside a handler that kept the server
/// from being idle, one with a short objective was never admitted, and so its work never learnt.
#[test]
fn a_handler_with_a_short_objective_is_served_beside_a_busy_one() {
    let mut config = config_without_calls(ms(400));
    let mut short = config.handlers[0].clone();
    short.latency_objective = ms(20);
    config.handlers.push(short);
    let mut host = SimulatedHost::new(config, 1);
    let (mut served, mut sent) = (0, 0);
    for _ in 0..100 {
        let busy = host.arrive(0, 0, None, 0, 1);
        for _ in 0..10 {
            let request = host.arrive(1, 0, None, 0, 1);
            host.advance(ms(5));
            sent += 1;
            if host.requests.contains_key(&request) {
                host.finish(request, Outcome::Succeeded);
                served += 1;
            }
        }
        host.finish(busy, Outcome::Succeeded);
    }
    assert_eq!(served, sent, "requests served of those sent");
}

/// A call whose time limit is not above a tick cannot be enforced, and is not made. With a client
/// timeout of about a tick no mandatory call was ever made, and every request failed.
#[test]
fn a_mandatory_call_is_made_within_a_client_timeout_of_one_tick() {
    let mut config = config();
    config.response_slack = ms(80);
    config.handlers.truncate(1);
    config.handlers[0].latency_objective = ms(15);
    config.handlers[0].client_timeout = ms(25);
    config.handlers[0].degraded_weight = 0.0;
    let mut host = SimulatedHost::new(config, 1);
    host.advance(ms(1_000));
    let request = host.arrive(0, 0, None, 2, 1);
    host.advance(ms(1));
    host.reach_call(request);
    assert_eq!(host.requests[&request].stage, Stage::Calling);
}
