//! Tests of the conversion at the ends of its range.

use std::time::Duration;

use super::duration_from_seconds;

#[test]
fn out_of_range_seconds_become_the_longest_duration() {
    assert_eq!(duration_from_seconds(0.25), Duration::from_millis(250));
    assert_eq!(duration_from_seconds(f64::INFINITY), Duration::MAX);
    assert_eq!(duration_from_seconds(f64::NAN), Duration::MAX);
    assert_eq!(duration_from_seconds(-0.25), Duration::MAX);
}
