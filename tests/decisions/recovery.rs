//! Tests of the state that outlives a request: whatever a server was sent or went through, it
//! serves again once it is idle.

use std::time::Duration;

use crate::common::{SimulatedHost, Stage, ms};
use crate::helpers::{host_without_dependency, reasons};
use tulipgap::{Action, Arrival, Event, Outcome, RequestIndex};

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
