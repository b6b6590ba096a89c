//! Tests of slowdown and failure rate at their thresholds.

use std::time::Duration;

use super::degraded::is_degraded;
use super::failure_rate::{high_failure_fraction, is_shed_for_failures};
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
fn the_failure_fraction_is_high_above_two_fifths_and_from_three_failures() {
    assert_eq!(high_failure_fraction(2.0, 0.0), 0.0);
    assert_eq!(high_failure_fraction(3.0, 0.0), 1.0);
    assert_eq!(high_failure_fraction(4.0, 6.0), 0.0);
    assert_eq!(high_failure_fraction(41.0, 59.0), 0.41);
    assert_eq!(high_failure_fraction(0.0, 0.0), 0.0);
}

#[test]
fn the_measured_slowdown_includes_six_mean_requests_at_the_usual_slowdown() {
    let mut slowdown = Slowdown::new(&config());
    slowdown.update(&sample(1.8, 0.6), std::iter::empty());
    // (1.8 + 0.6) / (0.6 + 0.6).
    assert!((slowdown.measured() - 2.0).abs() < 1e-9);
    assert!(slowdown.is_far_above_usual());
    slowdown.update(&sample(0.0, 0.0), std::iter::empty());
    assert!((slowdown.measured() - 1.0).abs() < 1e-2);
    assert!(!slowdown.is_far_above_usual());
}

#[test]
fn a_server_is_degraded_above_1_7_times_its_usual_slowdown() {
    let after = |core_seconds| {
        let mut slowdown = Slowdown::new(&config());
        slowdown.update(&sample(core_seconds, 0.6), std::iter::empty());
        slowdown
    };
    let (almost, degraded) = (after(1.43), after(1.45));
    assert!(!almost.is_far_above_usual() && almost.traffic_fraction() >= 1.0);
    assert!(degraded.is_far_above_usual() && degraded.traffic_fraction() < 1.0);
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
fn the_usual_slowdown_follows_a_worse_one_slowly_except_after_a_warm_start() {
    let degraded_after = |age| {
        let mut slowdown = Slowdown::new(&config());
        for _ in 0..80 {
            let sample = SlowdownSample {
                age,
                ..sample(20.0, 10.0)
            };
            slowdown.update(&sample, std::iter::empty());
        }
        slowdown.is_far_above_usual()
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

#[test]
fn the_usual_slowdown_moves_by_its_gain_each_tick() {
    let traffic_fraction_at = |age| {
        let mut slowdown = Slowdown::new(&config());
        let sample = SlowdownSample {
            age,
            ..sample(1.8, 0.6)
        };
        slowdown.update(&sample, std::iter::empty());
        slowdown.traffic_fraction()
    };
    // The measured slowdown is 2, and the usual one moves from 1 to 1.0005, or to 1.02 while the
    // server learns.
    let (settled, new) = (Duration::from_secs(60), Duration::from_secs(1));
    assert!((traffic_fraction_at(settled) - 1.7 * 1.0005 / 2.0).abs() < 1e-9);
    assert!((traffic_fraction_at(new) - 1.7 * 1.02 / 2.0).abs() < 1e-9);
}

#[test]
fn the_usual_slowdown_stays_between_a_twentieth_and_twenty() {
    let usual_after = |core_seconds, work_seconds| {
        let mut slowdown = Slowdown::new(&config());
        for _ in 0..10_000 {
            slowdown.update(&sample(core_seconds, work_seconds), std::iter::empty());
        }
        // Without a recent run the measured slowdown is the usual one.
        slowdown.update(&sample(0.0, 0.0), std::iter::empty());
        slowdown.measured()
    };
    assert!((usual_after(1e9, 0.6) - 20.0).abs() < 1e-9);
    assert!((usual_after(0.6, 1e9) - 0.05).abs() < 1e-9);
}

#[test]
fn arrivals_are_shed_with_the_fraction_of_failed_runs() {
    let mut rng = fastrand::Rng::with_seed(7);
    let shed = |fraction: f64, rng: &mut fastrand::Rng| {
        (0..10_000)
            .filter(|_| is_shed_for_failures(fraction, rng))
            .count()
    };
    assert_eq!(shed(0.0, &mut rng), 0);
    assert_eq!(
        rng,
        fastrand::Rng::with_seed(7),
        "no random number was taken"
    );
    let at_half = shed(0.5, &mut rng);
    assert!((4_800..5_200).contains(&at_half), "{at_half}");
    assert_eq!(shed(1.0, &mut rng), 10_000);
}

#[test]
fn a_server_is_degraded_for_any_of_three_reasons() {
    assert!(!is_degraded(false, false, false));
    assert!(is_degraded(true, false, false));
    assert!(is_degraded(false, true, false));
    assert!(is_degraded(false, false, true));
}
