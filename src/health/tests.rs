//! Slowdown and failure rate at their thresholds.

use std::time::Duration;

use super::failure_rate::high_failure_fraction;
use super::slowdown::{RunTimes, Slowdown, SlowdownSample};
use crate::tests::config;

fn sample(core_seconds: f64, work_seconds: f64) -> SlowdownSample {
    SlowdownSample {
        completed: RunTimes {
            core_seconds,
            work_seconds,
        },
        mean_work_seconds: 0.1,
        age: Duration::from_secs(60),
        started_warm: true,
    }
}

#[test]
fn failures_count_from_two_fifths_and_three_runs_on() {
    assert_eq!(high_failure_fraction(2.0, 0.0), 0.0);
    assert_eq!(high_failure_fraction(3.0, 0.0), 1.0);
    assert_eq!(high_failure_fraction(4.0, 6.0), 0.0);
    assert_eq!(high_failure_fraction(5.0, 5.0), 0.5);
    assert_eq!(high_failure_fraction(0.0, 0.0), 0.0);
}

#[test]
fn six_mean_requests_at_the_usual_slowdown_temper_what_was_measured() {
    let mut slowdown = Slowdown::new(&config());
    slowdown.update(&sample(1.8, 0.6), std::iter::empty());
    // (1.8 + 0.6) / (0.6 + 0.6).
    assert!((slowdown.measured() - 2.0).abs() < 1e-9);
    assert!(slowdown.is_degraded());
    slowdown.update(&sample(0.0, 0.0), std::iter::empty());
    assert!((slowdown.measured() - 1.0).abs() < 1e-2);
    assert!(!slowdown.is_degraded());
}

#[test]
fn a_server_is_degraded_above_1_7_times_its_usual_slowdown() {
    let after = |core_seconds| {
        let mut slowdown = Slowdown::new(&config());
        slowdown.update(&sample(core_seconds, 0.6), std::iter::empty());
        slowdown
    };
    let (almost, degraded) = (after(1.43), after(1.45));
    assert!(!almost.is_degraded() && almost.traffic_fraction() >= 1.0);
    assert!(degraded.is_degraded() && degraded.traffic_fraction() < 1.0);
}

#[test]
fn a_run_counts_before_its_end_once_it_takes_longer_than_expected() {
    let measured_with = |core_seconds| {
        let mut slowdown = Slowdown::new(&config());
        let run = RunTimes {
            core_seconds,
            work_seconds: 0.6,
        };
        slowdown.update(&sample(0.0, 0.0), std::iter::once(run));
        slowdown.measured()
    };
    assert_eq!(measured_with(0.6), 1.0);
    assert!((measured_with(1.8) - 2.0).abs() < 1e-9);
}

#[test]
fn the_usual_slowdown_follows_a_worse_one_slowly_but_not_on_a_new_machine() {
    let degraded_after = |age| {
        let mut slowdown = Slowdown::new(&config());
        for _ in 0..80 {
            let sample = SlowdownSample {
                age,
                ..sample(20.0, 10.0)
            };
            slowdown.update(&sample, std::iter::empty());
        }
        slowdown.is_degraded()
    };
    assert!(degraded_after(Duration::from_secs(4)));
    assert!(!degraded_after(Duration::from_millis(3_999)));
}

#[test]
fn a_cold_start_begins_at_its_configured_speed() {
    let mut config = config();
    (config.starts_cold, config.cold_speed) = (true, 0.25);
    assert_eq!(Slowdown::new(&config).measured(), 4.0);
    config.cold_speed = 0.01;
    assert_eq!(Slowdown::new(&config).measured(), 20.0);
}
