//! Tests of the idle timeout at its thresholds.

use std::time::Duration;

use super::{ConnectionLoad, IdleTimeout};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// The load of a server with two cores, on which up to twelve connections never saturate the table.
fn load(open_connections: f64) -> ConnectionLoad {
    ConnectionLoad {
        open_connections,
        callers: 100.0,
        cores: 2.0,
        arrived: 60.0,
        completed: 10.0,
        mean_reading_cores: 3.6,
        mean_busy_fraction: 0.9,
    }
}

fn storm() -> ConnectionLoad {
    ConnectionLoad {
        arrived: 61.0,
        ..load(13.0)
    }
}

#[test]
fn the_timeout_falls_while_connections_saturate_the_table() {
    let mut timeout = IdleTimeout::new(ms(10_000));
    assert_eq!(timeout.update(&load(12.0)), None);
    assert_eq!(timeout.update(&load(13.0)), Some(ms(3_000)));
    assert_eq!(timeout.update(&load(13.0)), Some(ms(900)));
    assert_eq!(timeout.update(&load(13.0)), Some(ms(300)));
    assert_eq!(timeout.update(&load(13.0)), None);
    assert_eq!(timeout.update(&load(12.0)), Some(ms(306)));
}

#[test]
fn a_table_with_connections_of_half_the_callers_is_not_saturated() {
    let mut timeout = IdleTimeout::new(ms(10_000));
    assert_eq!(timeout.update(&load(50.0)), None);
    assert_eq!(timeout.update(&load(49.0)), Some(ms(3_000)));
}

#[test]
fn the_timeout_rises_in_a_retry_storm_until_the_cores_starve() {
    let mut timeout = IdleTimeout::new(ms(10_000));
    timeout.update(&load(13.0));
    assert_eq!(timeout.update(&storm()), Some(ms(9_000)));
    assert_eq!(timeout.update(&storm()), Some(ms(10_000)));
    let with_busy_fraction = |mean_busy_fraction| ConnectionLoad {
        mean_busy_fraction,
        ..load(13.0)
    };
    assert_eq!(timeout.update(&with_busy_fraction(0.4)), None);
    assert_eq!(timeout.update(&with_busy_fraction(0.39)), Some(ms(3_000)));
}

#[test]
fn a_retry_storm_requires_a_high_demand_for_reading() {
    let mut timeout = IdleTimeout::new(ms(10_000));
    let idle = ConnectionLoad {
        mean_reading_cores: 3.5,
        ..storm()
    };
    assert_eq!(timeout.update(&idle), Some(ms(3_000)));
}

#[test]
fn the_timeout_never_exceeds_that_of_callers() {
    let mut timeout = IdleTimeout::new(ms(200));
    assert_eq!(timeout.update(&load(13.0)), None);
}
