//! Tests of the drain at its thresholds.

use std::time::Duration;

use super::{Drain, ShutdownNotice};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn notice(busy_fraction: f64) -> ShutdownNotice {
    ShutdownNotice {
        now: ms(10_000),
        since: ms(100),
        left: ms(5_000),
        grace: ms(1_000),
        busy_fraction,
        setpoint_seconds: 0.3,
    }
}

#[test]
fn requests_that_arrive_after_the_grace_are_not_run() {
    let mut drain = Drain::default();
    assert!(drain.allows_run(ms(99_000), ms(99_000)));
    assert!(drain.start(&notice(0.0)));
    assert!(drain.has_started());
    assert!(drain.allows_run(ms(10_900), ms(11_500)));
    assert!(!drain.allows_run(ms(10_901), ms(11_500)));
}

#[test]
fn all_requests_are_answered_half_a_second_before_the_termination() {
    let mut drain = Drain::default();
    assert_eq!(drain.answer_by(), Duration::MAX);
    drain.start(&notice(0.0));
    assert_eq!(drain.answer_by(), ms(14_500));
    assert!(!drain.is_terminating(ms(14_499)));
    assert!(drain.is_terminating(ms(14_500)));
    assert!(!drain.allows_run(ms(10_000), ms(14_500)));
}

#[test]
fn callers_leave_at_once_unless_the_server_is_busy() {
    let leave = |busy_fraction, now| {
        let mut drain = Drain::default();
        drain.start(&notice(busy_fraction));
        drain.callers_should_leave(ms(now))
    };
    assert!(leave(0.69, 10_000));
    // The response time setpoint is 0.3 s, and the grace is over at 10.9 s.
    assert!(!leave(0.7, 10_599));
    assert!(leave(0.7, 10_600));
}

#[test]
fn a_second_notice_changes_nothing() {
    let mut drain = Drain::default();
    drain.start(&notice(0.0));
    let later = ShutdownNotice {
        left: ms(60_000),
        ..notice(0.0)
    };
    assert!(!drain.start(&later));
    assert_eq!(drain.answer_by(), ms(14_500));
}
