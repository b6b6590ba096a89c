//! When rejections without any run are reported.

use std::time::{Duration, Instant};

use tulipgap::Reason;

use super::{IdleRejectionReport, IdleRejections};

#[test]
fn rejections_are_reported_once_after_five_seconds_without_a_run() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut rejections = IdleRejections::default();
    let mut record =
        |milliseconds| rejections.record_rejection(at(milliseconds), Reason::PredictedLate);
    assert_eq!(record(0), None);
    assert_eq!(record(4_999), None);
    let report = IdleRejectionReport {
        elapsed: Duration::from_secs(5),
        rejected: 3,
        reason: Reason::PredictedLate,
    };
    assert_eq!(record(5_000), Some(report));
    assert_eq!(record(60_000), None);
}

#[test]
fn a_run_begins_the_time_anew() {
    let start = Instant::now();
    let at = |milliseconds| start + Duration::from_millis(milliseconds);
    let mut rejections = IdleRejections::default();
    assert_eq!(
        rejections.record_rejection(at(0), Reason::MemoryLimit),
        None
    );
    rejections.record_run();
    let later = rejections.record_rejection(at(6_000), Reason::MemoryLimit);
    assert_eq!(later, None);
    let report = rejections.record_rejection(at(11_000), Reason::MemoryLimit);
    assert_eq!(report.map(|report| report.rejected), Some(2));
}
