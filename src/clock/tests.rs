//! Tests of the schedule and of stall detection at their thresholds.

use std::time::Duration;

use super::{Clock, Schedule};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// A client timeout that does not affect the tick interval.
const LONG_CLIENT_TIMEOUT: Duration = Duration::from_secs(1);

#[test]
fn the_tick_interval_is_half_of_the_response_slack_within_its_bounds() {
    let interval = |slack| Schedule::new(ms(slack), LONG_CLIENT_TIMEOUT).tick_interval;
    assert_eq!(interval(1), ms(5));
    assert_eq!(interval(20), ms(10));
    assert_eq!(interval(1_000), ms(25));
}

#[test]
fn the_tick_interval_is_at_most_an_eighth_of_the_shortest_client_timeout() {
    let interval = |timeout| Schedule::new(ms(1_000), ms(timeout)).tick_interval;
    assert_eq!(interval(200), ms(25));
    assert_eq!(interval(80), ms(10));
    assert_eq!(interval(1), ms(5));
}

#[test]
fn a_control_step_is_due_every_half_second() {
    let mut schedule = Schedule::new(ms(50), LONG_CLIENT_TIMEOUT);
    assert!(!schedule.take_control_step(ms(499)));
    assert!(schedule.take_control_step(ms(510)));
    assert!(!schedule.take_control_step(ms(1_009)));
    assert!(schedule.take_control_step(ms(1_010)));
}

#[test]
fn a_tick_that_is_overdue_by_more_than_two_intervals_shows_a_stall() {
    // The first tick is due at 25 ms.
    let schedule = Schedule::new(ms(50), LONG_CLIENT_TIMEOUT);
    let mut clock = Clock::default();
    clock.advance(ms(75), &schedule);
    assert_eq!(clock.stalled_seconds(), 0.0);
    clock.advance(ms(100), &schedule);
    assert_eq!(clock.stalled_seconds(), 0.025);
    assert_eq!(clock.stalled_seconds_since(ms(90)), 0.01);
    assert_eq!(clock.stalled_seconds_since(ms(10)), 0.025);
    assert_eq!(clock.awake_seconds(), 0.1 - 0.025);
}

#[test]
fn time_never_moves_backwards() {
    let schedule = Schedule::new(ms(50), LONG_CLIENT_TIMEOUT);
    let mut clock = Clock::default();
    clock.advance(ms(20), &schedule);
    assert_eq!(clock.advance(ms(10), &schedule), 0.0);
    assert_eq!(clock.now(), ms(20));
}
