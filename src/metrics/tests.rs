//! Tests of sums and means over the sliding window.

use std::time::Duration;

use super::{Metric, Metrics};
use crate::config::Dependency;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn metrics() -> Metrics {
    Metrics::new(Dependency::None, ms(25), 3)
}

#[test]
fn a_sum_covers_its_span_and_the_current_bucket() {
    let mut metrics = metrics();
    for second in 0..4 {
        metrics.advance(ms(second * 1_000));
        metrics.add(Metric::Arrived, 1.0);
    }
    assert_eq!(metrics.sum_over(Metric::Arrived, ms(250)), 1.0);
    assert_eq!(metrics.sum_over(Metric::Arrived, ms(1_000)), 2.0);
    assert_eq!(metrics.recent(Metric::Arrived), 3.0);
    assert_eq!(metrics.sum_over(Metric::Arrived, ms(5_000)), 4.0);
}

#[test]
fn measurements_leave_the_window_after_a_long_pause() {
    let mut metrics = metrics();
    metrics.add(Metric::Arrived, 1.0);
    metrics.advance(ms(1_000_000));
    assert_eq!(metrics.sum_over(Metric::Arrived, ms(5_000)), 0.0);
}

#[test]
fn an_earlier_time_is_ignored() {
    let mut metrics = metrics();
    metrics.advance(ms(10_000));
    metrics.add(Metric::Arrived, 1.0);
    metrics.advance(ms(9_000));
    assert_eq!(metrics.recent(Metric::Arrived), 1.0);
}

#[test]
fn means_have_default_values_without_measurements() {
    let metrics = metrics();
    assert_eq!(metrics.mean_work_seconds(), 0.1);
    assert_eq!(metrics.mean_response_seconds(), None);
    assert_eq!(metrics.mean_call_seconds(), 0.0);
    assert_eq!(metrics.mean_unread_seconds(ms(500)), 0.0);
    assert_eq!(metrics.rejected_fraction(), 0.0);
}

#[test]
fn means_divide_by_the_counted_events() {
    let mut metrics = metrics();
    metrics.count_if(Metric::Arrived, true);
    metrics.count_if(Metric::Arrived, false);
    metrics.add(Metric::Arrived, 3.0);
    metrics.add(Metric::ArrivedWork, 2.0);
    metrics.add(Metric::Rejected, 1.0);
    metrics.add(Metric::ArrivedAtLevel(1), 1.0);
    metrics.add(Metric::ArrivedAtLevel(2), 3.0);
    assert_eq!(metrics.mean_work_seconds(), 0.5);
    assert_eq!(metrics.rejected_fraction(), 0.25);
    assert_eq!(metrics.arrivals_at(0..2), 1.0);
    assert_eq!(metrics.arrivals_at(1..3), 4.0);
}

#[test]
fn a_metric_added_once_per_tick_is_averaged_over_the_window() {
    let mut metrics = metrics();
    for tick in 0..80 {
        metrics.advance(ms(tick * 25));
        metrics.add(Metric::CoresBusy, 0.5);
    }
    assert_eq!(metrics.mean_per_tick(Metric::CoresBusy), 0.5);
}

#[test]
fn arrivals_leave_the_mean_work_after_its_window() {
    let mut metrics = metrics();
    metrics.add(Metric::Arrived, 1.0);
    metrics.add(Metric::ArrivedWork, 0.7);
    metrics.advance(ms(5_249));
    assert_eq!(metrics.mean_work_seconds(), 0.7);
    metrics.advance(ms(5_250));
    assert_eq!(metrics.mean_work_seconds(), 0.1);
}
