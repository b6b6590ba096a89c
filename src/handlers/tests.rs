//! Tests of priority levels and of the figures learnt from runs.

use std::time::Duration;

use super::{CompletedRun, HandlerProfile, handler_profiles, is_long};
use crate::config::{Dependency, Idempotency};
use crate::tests::{config, handler};

fn profile() -> HandlerProfile {
    let (mut handlers, _) = handler_profiles(&config());
    handlers.remove(0)
}

fn run(core_seconds: f64, work_is_learnt: bool) -> CompletedRun {
    CompletedRun {
        core_seconds,
        calls_made: 3,
        work_is_learnt,
        slowdown: 2.0,
    }
}

#[test]
fn levels_are_the_ranks_of_priority_weights_within_and_beyond_a_quota() {
    let mut config = config();
    config.over_quota_weight = 0.5;
    config.handlers = [1.0, 2.0, 8.0]
        .map(|priority_weight| {
            let mut handler = handler(Idempotency::Idempotent);
            handler.priority_weight = priority_weight;
            handler
        })
        .into();
    let (handlers, levels) = handler_profiles(&config);
    let ranks = |profile: &HandlerProfile| (profile.level, profile.over_quota_level);
    // The weights are 0.5, 1, 2, 4 and 8.
    assert_eq!(levels, 5);
    assert_eq!(
        handlers.iter().map(ranks).collect::<Vec<_>>(),
        [(1, 0), (2, 1), (4, 3)]
    );
}

#[test]
fn learnt_work_excludes_the_slowdown_and_runs_with_an_estimate() {
    let mut profile = profile();
    profile.learn(&run(0.6, false));
    assert_eq!(profile.learnt_work_seconds, 0.1);
    assert!((profile.calls_per_run - 1.1).abs() < 1e-9);
    profile.learn(&run(0.6, true));
    assert!((profile.learnt_work_seconds - 0.11).abs() < 1e-9);
}

#[test]
fn an_estimate_below_any_run_counts_as_ten_microseconds() {
    let expected =
        |nanoseconds| profile().expected_work_seconds(Some(Duration::from_nanos(nanoseconds)));
    assert_eq!(expected(0), 1e-5);
    assert_eq!(expected(9_999), 1e-5);
    assert_eq!(expected(10_001), 1.0001e-5);
    assert_eq!(profile().expected_work_seconds(None), 0.1);
}

#[test]
fn learnt_work_has_a_floor() {
    let mut profile = profile();
    for _ in 0..200 {
        profile.learn(&run(0.0, true));
    }
    assert_eq!(profile.learnt_work_seconds, 0.001);
}

#[test]
fn learnt_work_is_at_most_the_latency_objective() {
    let mut config = config();
    config.handlers[0].latency_objective = Duration::from_millis(20);
    let mut profile = handler_profiles(&config).0.remove(0);
    assert_eq!(profile.learnt_work_seconds, 0.02);
    profile.learn(&run(18.0, true));
    assert_eq!(profile.learnt_work_seconds, 0.02);
    profile.learn(&run(0.0, true));
    assert_eq!(profile.learnt_work_seconds, 0.019);
}

#[test]
fn learnt_work_counts_as_long_only_far_above_the_mean() {
    assert!(is_long(0.11, false, 0.1));
    assert!(!is_long(0.1, false, 0.1));
    assert!(!is_long(0.125, true, 0.1));
    assert!(is_long(0.126, true, 0.1));
}

#[test]
fn the_dimmer_lowers_only_the_number_of_optional_calls() {
    let mut config = config();
    config.dependency = Dependency::Tier;
    config.handlers[0].calls_dependency = true;
    let calls = |degraded_weight| {
        let mut config = config.clone();
        config.handlers[0].degraded_weight = degraded_weight;
        handler_profiles(&config).0[0].expected_calls(0.25)
    };
    assert_eq!(calls(0.5), 0.25);
    assert_eq!(calls(0.0), 1.0);
    assert_eq!(profile().expected_calls(0.25), 0.0);
}
