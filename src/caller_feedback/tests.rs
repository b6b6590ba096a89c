//! Tests of feedback value, wanted traffic, retry-after and retry on another server at their
//! thresholds.

use std::time::Duration;

use super::feedback_value::{Feedback, FeedbackInput};
use super::retry_after::RetryAfterInput;
use super::retry_other_server::{FleetSample, RejectedRequest, ServerState};
use super::wanted_traffic::{WantedTraffic, WantedTrafficInput};
use crate::config::CallerFeedback;
use crate::tests::config;

fn feedback(kind: CallerFeedback) -> Feedback {
    let mut config = config();
    config.feedback = kind;
    Feedback::new(&config)
}

fn input(slowdown_traffic_fraction: f64, wanted_traffic_fraction: f64) -> FeedbackInput {
    FeedbackInput {
        is_draining: false,
        is_failing: false,
        slowdown_traffic_fraction,
        wanted_traffic_fraction,
        warm_concurrency: 8.0,
        cores: 2.0,
    }
}

#[test]
fn a_value_is_sent_at_first_and_when_its_rounded_form_changes() {
    let mut feedback = feedback(CallerFeedback::TrafficWeight);
    assert_eq!(feedback.update(&input(1.7, 1.0)), Some(1.0));
    assert_eq!(feedback.update(&input(1.7, 0.98)), None);
    assert_eq!(feedback.update(&input(1.7, 0.97)), Some(0.95));
    assert_eq!(feedback.update(&input(0.5, 0.97)), Some(0.5));
}

#[test]
fn the_feedback_value_has_the_unit_of_its_kind() {
    let value = |kind, fraction| feedback(kind).update(&input(1.7, fraction));
    assert_eq!(value(CallerFeedback::None, 0.5), None);
    assert_eq!(value(CallerFeedback::PriorityThreshold, 0.75), Some(0.25));
    assert_eq!(value(CallerFeedback::ConcurrencyCredit, 1.0), Some(8.0));
    // 2 cores * (0.5 + 3.5 * 0.5) / 4 callers = 1.125.
    assert_eq!(value(CallerFeedback::ConcurrencyCredit, 0.5), Some(1.15));
}

#[test]
fn no_traffic_is_wanted_while_draining_or_failing() {
    let draining = FeedbackInput {
        is_draining: true,
        ..input(1.7, 1.0)
    };
    let failing = FeedbackInput {
        is_failing: true,
        ..input(1.7, 1.0)
    };
    for input in [draining, failing] {
        let value = feedback(CallerFeedback::TrafficWeight).update(&input);
        assert_eq!(value, Some(0.0));
    }
}

fn traffic_input(mean_unread_seconds: f64, rejected_fraction: f64) -> WantedTrafficInput {
    WantedTrafficInput {
        mean_unread_seconds,
        setpoint_seconds: 1.0,
        rejected_fraction,
        mean_reading_cores: 0.2,
        cores: 2.0,
    }
}

#[test]
fn wanted_traffic_falls_in_proportion_to_the_unread_time() {
    let mut traffic = WantedTraffic::new(CallerFeedback::None);
    traffic.update(&traffic_input(0.15, 0.0));
    assert_eq!(traffic.fraction(), 1.0);
    traffic.update(&traffic_input(0.2, 0.0));
    assert!((traffic.fraction() - 0.75).abs() < 1e-9);
    traffic.update(&traffic_input(5.0, 0.0));
    assert!((traffic.fraction() - 0.375).abs() < 1e-9);
    for _ in 0..9 {
        traffic.update(&traffic_input(5.0, 0.0));
    }
    assert_eq!(traffic.fraction(), 0.1);
    traffic.update(&traffic_input(0.0, 0.0));
    assert!((traffic.fraction() - 0.15).abs() < 1e-9);
}

#[test]
fn wasted_reading_cuts_wanted_traffic_and_cuts_a_traffic_weight_later() {
    let fraction_after = |kind, rejected_fraction| {
        let mut traffic = WantedTraffic::new(kind);
        traffic.update(&traffic_input(0.0, rejected_fraction));
        traffic.fraction()
    };
    // A tenth of the cores reads requests: 4% of the cores are wasted if the rejected fraction is
    // 0.4, and 8% if it is 0.8.
    assert_eq!(fraction_after(CallerFeedback::None, 0.39), 1.0);
    assert_eq!(fraction_after(CallerFeedback::None, 0.41), 0.9);
    assert_eq!(fraction_after(CallerFeedback::TrafficWeight, 0.79), 1.0);
    assert_eq!(fraction_after(CallerFeedback::TrafficWeight, 0.81), 0.9);
}

fn retry_after(queued_work_seconds: f64, is_degraded: bool) -> Option<Duration> {
    RetryAfterInput {
        max_retry_after: Some(Duration::from_millis(900)),
        min_retry_after: Duration::from_millis(25),
        is_degraded,
        queued_work_seconds,
        slowdown: 2.0,
        running_limit: 4.0,
    }
    .retry_after()
}

#[test]
fn retry_after_covers_the_queued_work() {
    assert_eq!(retry_after(0.0, false), Some(Duration::from_millis(25)));
    assert_eq!(retry_after(0.5, false), Some(Duration::from_millis(250)));
    assert_eq!(retry_after(9.0, false), Some(Duration::from_millis(900)));
    assert_eq!(retry_after(0.5, true), Some(Duration::from_millis(900)));
}

/// Guards against a panic at the first rejection if the longest wait that callers honour is shorter
/// than a tick.
#[test]
fn retry_after_never_exceeds_its_maximum() {
    let retry_after = |honoured: Duration, queued_work_seconds: f64| {
        let input = RetryAfterInput {
            max_retry_after: Some(honoured),
            min_retry_after: Duration::from_millis(25),
            is_degraded: false,
            queued_work_seconds,
            slowdown: 2.0,
            running_limit: 4.0,
        };
        input.retry_after()
    };
    for milliseconds in [0, 1, 24, 25] {
        let honoured = Duration::from_millis(milliseconds);
        assert_eq!(retry_after(honoured, 0.0), Some(honoured));
        assert_eq!(retry_after(honoured, 9.0), Some(honoured));
    }
    let honoured = Duration::from_millis(26);
    assert_eq!(retry_after(honoured, 0.0), Some(Duration::from_millis(25)));
    assert_eq!(retry_after(honoured, 9.0), Some(honoured));
}

#[test]
fn there_is_no_retry_after_without_a_maximum() {
    let input = RetryAfterInput {
        max_retry_after: None,
        min_retry_after: Duration::from_millis(25),
        is_degraded: true,
        queued_work_seconds: 0.5,
        slowdown: 1.0,
        running_limit: 2.0,
    };
    assert_eq!(input.retry_after(), None);
}

fn rejected() -> RejectedRequest {
    RejectedRequest {
        is_over_quota: false,
        is_retry: false,
        objective: Duration::from_millis(1_000),
        time_left: Duration::from_millis(501),
    }
}

const HEALTHY: ServerState = ServerState {
    is_draining: false,
    is_failing: false,
    is_degraded: false,
};

const FLEET_WITH_CAPACITY: FleetSample = FleetSample {
    retries_are_marked: true,
    arrived: 100.0,
    retries: 11.0,
    rejected: 51.0,
};

#[test]
fn a_request_is_retried_on_another_server_while_the_fleet_has_capacity() {
    let retries = |fleet: FleetSample| rejected().should_retry_other_server(&HEALTHY, &fleet);
    assert!(retries(FLEET_WITH_CAPACITY));
    assert!(!retries(FleetSample {
        retries: 12.0,
        ..FLEET_WITH_CAPACITY
    }));
    assert!(!retries(FleetSample {
        rejected: 52.0,
        ..FLEET_WITH_CAPACITY
    }));
    assert!(!retries(FleetSample {
        retries_are_marked: false,
        ..FLEET_WITH_CAPACITY
    }));
}

#[test]
fn an_impaired_server_refers_requests_to_others() {
    let full_fleet = || FleetSample {
        rejected: 90.0,
        ..FLEET_WITH_CAPACITY
    };
    let unmarked = || FleetSample {
        retries_are_marked: false,
        ..full_fleet()
    };
    let retries =
        |server: &ServerState, fleet| rejected().should_retry_other_server(server, &fleet);
    let degraded = ServerState {
        is_degraded: true,
        ..HEALTHY
    };
    assert!(!retries(&HEALTHY, full_fleet()));
    assert!(retries(&degraded, full_fleet()));
    assert!(!retries(&degraded, unmarked()));
    for (is_draining, is_failing) in [(true, false), (false, true)] {
        let impaired = ServerState {
            is_draining,
            is_failing,
            is_degraded: true,
        };
        assert!(retries(&impaired, unmarked()));
    }
}

#[test]
fn retries_late_requests_and_requests_over_quota_are_not_referred() {
    let retries = |request: RejectedRequest| {
        let draining = ServerState {
            is_draining: true,
            ..HEALTHY
        };
        request.should_retry_other_server(&draining, &FLEET_WITH_CAPACITY)
    };
    assert!(retries(rejected()));
    assert!(!retries(RejectedRequest {
        is_over_quota: true,
        ..rejected()
    }));
    assert!(!retries(RejectedRequest {
        is_retry: true,
        ..rejected()
    }));
    assert!(!retries(RejectedRequest {
        time_left: Duration::from_millis(500),
        ..rejected()
    }));
}

#[test]
fn credit_is_granted_per_core_and_divided_among_callers() {
    let many_cores = FeedbackInput {
        cores: 40.0,
        ..input(1.7, 0.5)
    };
    let credit = feedback(CallerFeedback::ConcurrencyCredit).update(&many_cores);
    assert_eq!(credit, Some(22.5));
}

#[test]
fn one_retry_or_rejection_without_arrivals_is_tolerated() {
    let retries = |rejected_requests| {
        let fleet = FleetSample {
            arrived: 0.0,
            retries: 1.0,
            rejected: rejected_requests,
            ..FLEET_WITH_CAPACITY
        };
        rejected().should_retry_other_server(&HEALTHY, &fleet)
    };
    assert!(retries(1.0));
    assert!(!retries(1.05));
}
