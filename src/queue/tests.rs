//! Tests of the order of the queue and of the prediction at their thresholds.

use std::time::Duration;

use super::idle_probe::{IdleProbe, ProbeRequest};
use super::order::{Queue, QueueHeads};
use super::prediction::{RequestForecast, ServerForecast};
use crate::requests::{Request, RequestTable};

fn request(level: usize, objective_ms: u64, is_long: bool) -> Request {
    Request {
        level,
        objective_at: Duration::from_millis(objective_ms),
        is_long,
        work_seconds: 0.1,
        ..Request::default()
    }
}

#[test]
fn higher_levels_come_first_and_then_earlier_objectives() {
    let mut requests = RequestTable::default();
    let mut queue = Queue::default();
    let arrivals = [
        request(1, 500, false),
        request(1, 400, false),
        request(2, 900, true),
        request(0, 100, false),
        request(1, 400, false),
    ];
    for (index, arrival) in arrivals.into_iter().enumerate() {
        requests.insert(index, arrival);
        queue.insert(index, &requests);
    }
    assert_eq!(queue.in_order(&requests), [2, 1, 4, 0, 3]);
    assert_eq!(queue.indices().collect::<Vec<_>>(), [1, 4, 0, 3, 2]);
    assert_eq!(queue.heads(), Some((1, 2)));
    let ahead = queue.work_seconds_ahead_of(&request(1, 450, false), &requests);
    assert!((ahead - 0.3).abs() < 1e-9);
    queue.remove(2);
    assert_eq!(queue.heads(), None);
    assert!((queue.work_seconds(&requests) - 0.4).abs() < 1e-9);
}

#[test]
fn long_requests_leave_one_core_to_short_ones() {
    let (short, long) = (request(1, 500, false), request(2, 400, true));
    let short_is_first = |long_running, running_limit| {
        QueueHeads {
            short: &short,
            long: &long,
            long_running,
            running_limit,
        }
        .short_is_first()
    };
    assert!(!short_is_first(2, 4.0));
    assert!(short_is_first(3, 4.0));
    assert!(!short_is_first(3, 4.05));
}

fn server() -> ServerForecast {
    ServerForecast {
        running: 4.0,
        running_limit: 4.0,
        slowdown: 1.0,
        mean_work_seconds: 0.1,
        mean_call_seconds: 0.05,
        is_degraded: false,
    }
}

fn forecast(work_seconds: f64, work_seconds_ahead: f64) -> RequestForecast {
    RequestForecast {
        age_seconds: 0.1,
        work_seconds,
        work_seconds_ahead,
        higher_arrivals: 0.0,
        expected_calls: 2.0,
        objective: Duration::from_secs(1),
    }
}

#[test]
fn the_prediction_adds_age_wait_work_and_calls() {
    // 0.1 s of age, (0.7 + 0.1) / 4 s of wait and two calls of 0.05 s: 0.4 s in addition to its own
    // work.
    let admits = |work_seconds| server().may_admit(&forecast(work_seconds, 0.7));
    assert!(admits(0.249));
    assert!(!admits(0.251));
    let stays = |work_seconds| server().may_stay_queued(&forecast(work_seconds, 0.7));
    assert!(stays(0.599));
    assert!(!stays(0.601));
}

#[test]
fn arrivals_of_higher_priority_lengthen_the_wait() {
    let meets = |higher_arrivals| {
        let request = RequestForecast {
            higher_arrivals,
            ..forecast(0.2, 0.7)
        };
        server().meets_objective(&request, 0.65)
    };
    // 0.25 s are left for the wait. 40 arrivals of 0.1 s in two seconds take two cores. Two fifths
    // of that are a fifth of the four cores, so 0.2 s of wait become 0.25 s.
    assert!(meets(39.9));
    assert!(!meets(40.1));
}

#[test]
fn overtaking_work_uses_at_most_three_fifths_of_the_cores() {
    let request = RequestForecast {
        higher_arrivals: 1e9,
        ..forecast(0.0, 0.7)
    };
    // 0.2 s of wait become 0.5 s, in addition to 0.2 s of age and calls.
    assert!(server().meets_objective(&request, 0.701));
    assert!(!server().meets_objective(&request, 0.699));
}

#[test]
fn a_wrong_estimate_is_tolerated_where_a_core_is_free() {
    let free = |is_degraded| ServerForecast {
        running: 3.0,
        is_degraded,
        ..server()
    };
    let meets = |server: ServerForecast, work_seconds| {
        server.meets_objective(&forecast(work_seconds, 0.0), 0.5)
    };
    assert!(meets(free(false), 1.79));
    assert!(!meets(free(false), 1.81));
    assert!(meets(free(true), 0.79));
    assert!(!meets(free(true), 0.81));
    assert!(!meets(server(), 1.79));
}

fn probe(work_seconds: f64, work_is_learnt: bool) -> ProbeRequest {
    ProbeRequest {
        age_seconds: 0.1,
        work_seconds,
        work_is_learnt,
        objective: Duration::from_secs(1),
        handler_objective: Duration::from_secs(1),
    }
}

#[test]
fn a_probe_has_to_be_in_time_on_an_average_core() {
    // 0.65 s less 0.1 s of age.
    assert!(probe(0.549, false).meets_objective());
    assert!(!probe(0.551, false).meets_objective());
}

#[test]
fn the_learnt_work_of_a_probe_counts_for_three_tenths_of_the_objective_at_most() {
    let waiting = |objective_ms| ProbeRequest {
        objective: Duration::from_millis(objective_ms),
        ..probe(9.0, true)
    };
    assert!(waiting(1_000).meets_objective());
    // 0.3 s of work and 0.1 s of age are 0.65 of 0.615 s.
    assert!(waiting(616).meets_objective());
    assert!(!waiting(615).meets_objective());
}

#[test]
fn a_probe_is_due_once_nothing_has_run_for_a_quarter_of_a_second() {
    let mut probe = IdleProbe::default();
    assert!(!probe.is_due(0.249));
    assert!(probe.is_due(0.25));
    probe.record_run(0.25);
    assert!(!probe.is_due(0.499));
    assert!(probe.is_due(0.5));
}
