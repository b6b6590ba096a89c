//! Tests of the limits on concurrent requests at their thresholds.

use std::time::Duration;

use super::core_limit::CoreLimitInput;
use super::cores::CoreUsage;
use super::running_limit::RunningLimit;
use super::survivable::SurvivableConcurrency;
use crate::event::Gauges;
use crate::tests::config;

#[test]
fn the_survivable_concurrency_grows_until_the_server_is_warm() {
    let mut config = config();
    config.starts_cold = true;
    let survivable = SurvivableConcurrency::new(&config);
    let usable = |seconds| survivable.usable(Duration::from_secs(seconds));
    // Two cores survive 8 requests when warm and 3.5 at a quarter of the speed; 0.9 is used.
    assert!((usable(0) - 3.15).abs() < 1e-9);
    assert!((usable(5) - 5.175).abs() < 1e-9);
    assert!((usable(10) - 7.2).abs() < 1e-9);
    assert!((usable(60) - 7.2).abs() < 1e-9);
    assert!(!survivable.started_warm());
}

#[test]
fn a_request_starts_only_within_the_survivable_concurrency() {
    let survivable = SurvivableConcurrency::new(&config());
    assert!(survivable.started_warm());
    assert!(survivable.allows_start(6, Duration::ZERO));
    assert!(!survivable.allows_start(7, Duration::ZERO));
}

#[test]
fn one_request_may_always_start() {
    let mut config = config();
    (config.cores, config.max_concurrency_per_core) = (1, 1.0);
    let survivable = SurvivableConcurrency::new(&config);
    assert!(survivable.allows_start(0, Duration::ZERO));
    assert!(!survivable.allows_start(1, Duration::ZERO));
}

#[test]
fn the_running_limit_grows_only_while_cores_idle_with_a_queue() {
    let mut limit = RunningLimit::new(2);
    limit.update(false, false, 3.5);
    limit.update(true, true, 3.5);
    assert_eq!(limit.value(), 2.0);
    limit.update(true, false, 3.5);
    assert_eq!(limit.value(), 3.0);
    limit.update(true, false, 3.5);
    assert_eq!(limit.value(), 3.5);
    limit.update(true, true, 3.5);
    assert_eq!(limit.value(), 2.5);
}

fn core_limit(reading_cores: f64, mean_unread_seconds: f64, completed: f64) -> f64 {
    CoreLimitInput {
        cores: 4.0,
        reading_cores,
        mean_unread_seconds,
        setpoint_seconds: 1.0,
        completed,
        running_limit: 5.0,
    }
    .limit()
}

#[test]
fn reading_limits_runs_to_no_less_than_a_third_of_the_cores() {
    assert_eq!(core_limit(0.0, 0.0, 1.0), 4.0);
    assert_eq!(core_limit(1.0, 0.0, 1.0), 3.0);
    assert_eq!(core_limit(9.0, 0.0, 1.0), 1.36);
}

#[test]
fn a_read_backlog_may_take_all_cores_while_requests_complete() {
    assert_eq!(core_limit(9.0, 0.5, 1.0), 1.36);
    assert_eq!(core_limit(9.0, 0.51, 1.0), -5.0);
    assert_eq!(core_limit(9.0, 0.51, 0.0), 1.36);
}

#[test]
fn the_core_limit_stays_within_the_running_limit() {
    assert_eq!(core_limit(-3.0, 0.0, 1.0), 5.0);
}

#[test]
fn cores_count_as_busy_by_their_gauge_or_once_runs_fill_them() {
    let mut cores = CoreUsage::new(2);
    let gauges = |busy_fraction, runnable| Gauges {
        busy_fraction,
        runnable,
        open_connections: None,
    };
    cores.update(&gauges(Some(0.89), Some(3.5)), 2.0);
    assert!(!cores.are_busy());
    assert_eq!(cores.reading_cores, 1.5);
    cores.update(&gauges(Some(0.9), Some(1.0)), 2.0);
    assert!(cores.are_busy());
    assert_eq!(cores.reading_cores, 0.0);
    cores.update(&gauges(None, None), 1.0);
    assert!(!cores.are_busy());
    cores.update(&gauges(None, None), 2.0);
    assert!(cores.are_busy());
}
