//! Unit tests of the dimmer, its ceiling and the admitted fraction.

use super::admitted_fraction::{AdmittedFraction, LevelArrivals};
use super::dimmer::Dimmer;
use super::dimmer_ceiling::DimmerCeiling;
use super::{Brownout, ResponseTimeSample};
use crate::handlers::handler_profiles;
use crate::tests::config;

fn sample(mean_seconds: Option<f64>) -> ResponseTimeSample {
    ResponseTimeSample {
        mean_seconds,
        setpoint_seconds: 0.5,
    }
}

#[test]
fn the_setpoint_is_a_fraction_of_the_mean_latency_objective() {
    let (handlers, _) = handler_profiles(&config());
    assert_eq!(Brownout::new(&handlers).setpoint_seconds(), 0.6);
}

#[test]
fn the_dimmer_falls_while_responses_are_late_and_stays_where_they_are_in_time() {
    let mut dimmer = Dimmer::new();
    dimmer.update(&sample(Some(0.4)), 1.0);
    assert_eq!(dimmer.value(), 1.0);
    // The slope is 1 s, the error -0.5 s and its change -0.6 s: 1 - 0.4 * 0.5 - 0.2 * 0.6.
    dimmer.update(&sample(Some(1.0)), 1.0);
    assert!((dimmer.value() - 0.68).abs() < 1e-9, "{}", dimmer.value());
}

#[test]
fn the_dimmer_reaches_zero_and_returns_after_an_empty_window() {
    let mut dimmer = Dimmer::new();
    for _ in 0..20 {
        dimmer.update(&sample(Some(2.0)), 1.0);
    }
    assert!(dimmer.is_near_zero());
    for _ in 0..300 {
        dimmer.update(&sample(None), 1.0);
    }
    assert_eq!(dimmer.value(), 1.0);
}

#[test]
fn the_minimum_slope_limits_the_gain_at_a_tiny_mean() {
    let mut dimmer = Dimmer::new();
    dimmer.lower_to(0.5);
    // The minimum of the slope is 0.05 s: 0.5 + 0.4 / 0.05 * 0.5 + 0.2 * 0.5.
    dimmer.update(&sample(Some(1e-9)), 10.0);
    assert!((dimmer.value() - 4.6).abs() < 1e-6, "{}", dimmer.value());
}

#[test]
fn each_slow_call_cuts_the_ceiling_down_to_its_floor() {
    let mut ceiling = DimmerCeiling::new();
    let mut values = Vec::new();
    for _ in 0..4 {
        ceiling.cut();
        values.push((ceiling.value() * 1_000.0).round());
    }
    assert_eq!(values, [700.0, 490.0, 343.0, 300.0]);
    ceiling.recover();
    assert!((ceiling.value() - 0.35).abs() < 1e-9);
    for _ in 0..14 {
        ceiling.recover();
    }
    assert_eq!(ceiling.value(), 1.0);
}

#[test]
fn the_admitted_fraction_falls_only_where_it_may_and_responses_are_late() {
    let mut fraction = AdmittedFraction::new();
    fraction.update(&sample(Some(1.0)), false);
    assert!(!fraction.is_cut());
    fraction.update(&sample(Some(0.4)), true);
    assert!(!fraction.is_cut());
    fraction.update(&sample(Some(1.0)), true);
    assert!(fraction.is_cut());
}

#[test]
fn the_admitted_fraction_stays_above_its_floor_and_recovers() {
    let mut fraction = AdmittedFraction::new();
    for _ in 0..50 {
        fraction.update(&sample(Some(9.0)), true);
    }
    let only_level = LevelArrivals {
        own: 100.0,
        higher: 0.0,
        all: 100.0,
    };
    assert!(fraction.admits(&only_level, 0.049));
    assert!(!fraction.admits(&only_level, 0.051));
    for _ in 0..20 {
        fraction.update(&sample(None), false);
    }
    assert!(!fraction.is_cut());
}

#[test]
fn the_admitted_fraction_is_spent_on_higher_levels_first() {
    let mut fraction = AdmittedFraction::new();
    // 1 - 0.15 - 0.3 = 0.55 of 100 arrivals are admitted.
    fraction.update(&sample(Some(9.0)), true);
    let level = |own, higher| LevelArrivals {
        own,
        higher,
        all: 100.0,
    };
    assert!(fraction.admits(&level(50.0, 0.0), 0.999));
    assert!(fraction.admits(&level(20.0, 50.0), 0.24));
    assert!(!fraction.admits(&level(20.0, 50.0), 0.26));
    assert!(!fraction.admits(&level(30.0, 70.0), 0.0));
}

#[test]
fn the_slope_is_frozen_near_zero() {
    let mut dimmer = Dimmer::new();
    dimmer.lower_to(0.021);
    assert!(!dimmer.is_near_zero());
    dimmer.lower_to(0.02);
    assert!(dimmer.is_near_zero());
    // The slope is still 0.1 s: 0.02 + 0.4 / 0.1 * 0.1 + 0.2 * 0.1.
    dimmer.update(&sample(Some(0.4)), 10.0);
    assert!((dimmer.value() - 0.44).abs() < 1e-9, "{}", dimmer.value());
}

#[test]
fn the_gain_stays_finite_at_a_tiny_setpoint() {
    let mut dimmer = Dimmer::new();
    dimmer.lower_to(0.5);
    let tiny = ResponseTimeSample {
        mean_seconds: Some(0.0),
        setpoint_seconds: 0.001,
    };
    // The slope counts as 0.001 s: 0.5 + 0.4 + 0.2 * 0.001.
    dimmer.update(&tiny, 10.0);
    assert!((dimmer.value() - 0.9002).abs() < 1e-9, "{}", dimmer.value());
}

#[test]
fn the_admitted_fraction_recovers_by_a_twentieth_a_step() {
    let mut fraction = AdmittedFraction::new();
    fraction.update(&sample(Some(9.0)), true);
    fraction.update(&sample(Some(0.1)), true);
    let only_level = LevelArrivals {
        own: 100.0,
        higher: 0.0,
        all: 100.0,
    };
    assert!(fraction.admits(&only_level, 0.599));
    assert!(!fraction.admits(&only_level, 0.601));
}
