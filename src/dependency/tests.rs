//! Tests of budget, timeout, retry and usual time of dependency calls at their thresholds.

use std::time::Duration;

use super::call_budget::{CallBudget, DependencyLoad, PlannedCall};
use super::call_decision::{CallDecision, PendingCall};
use super::call_retry::{FailedCall, lost_calls_are_rare, may_attempt_again};
use super::call_timeout::CallTimeoutInput;
use super::usual_call_time::UsualCallTime;
use crate::config::{Config, Dependency, Idempotency};
use crate::event::Outcome;
use crate::handlers::handler_profiles;
use crate::tests::{config, handler};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

/// A share of two calls over five seconds, of which nine call-seconds are usable.
fn shared_config(degraded_weights: &[f64]) -> Config {
    let mut config = config();
    config.dependency = Dependency::Shared {
        share: 2.0,
        window: ms(5_000),
        linger: ms(200),
    };
    config.handlers = degraded_weights
        .iter()
        .map(|&degraded_weight| {
            let mut handler = handler(Idempotency::Idempotent);
            (handler.calls_dependency, handler.degraded_weight) = (true, degraded_weight);
            handler
        })
        .collect();
    config
}

fn budget(config: &Config) -> CallBudget {
    let (handlers, _) = handler_profiles(config);
    CallBudget::new(config, &handlers, ms(25))
}

fn load(past_call_seconds: f64) -> DependencyLoad {
    DependencyLoad {
        now: ms(10_000),
        calls_in_flight: 2,
        past_call_seconds,
    }
}

fn call(timeout: u64, is_optional: bool) -> PlannedCall {
    PlannedCall {
        timeout: ms(timeout),
        is_optional,
    }
}

#[test]
fn a_call_is_booked_with_its_timeout_and_linger_time() {
    let budget = budget(&shared_config(&[0.0]));
    let allows = |past| budget.allows_call(&call(800, false), &load(past), std::iter::empty());
    assert!(allows(7.99));
    assert!(!allows(8.01));
}

#[test]
fn calls_in_flight_and_abandoned_calls_stay_booked() {
    let mut budget = budget(&shared_config(&[0.0]));
    // The call in flight has 1.2 s left with its linger time, and the abandoned call has 0.2 s
    // left.
    let in_flight = [ms(11_000)];
    budget.abandon_call(ms(10_000));
    assert_eq!(budget.abandoned_calls(), 1);
    let allows = |budget: &CallBudget, past| {
        budget.allows_call(&call(800, false), &load(past), in_flight.into_iter())
    };
    assert!(allows(&budget, 6.59));
    assert!(!allows(&budget, 6.61));
    budget.forget_ended_calls(ms(10_200));
    assert!(allows(&budget, 6.61));
}

#[test]
fn an_optional_call_leaves_budget_for_a_mandatory_one() {
    let allows = |config: &Config, past, is_optional| {
        let call = call(800, is_optional);
        budget(config).allows_call(&call, &load(past), std::iter::empty())
    };
    let (only_optional, mixed) = (shared_config(&[0.5]), shared_config(&[0.5, 0.0]));
    assert!(allows(&only_optional, 7.9, true));
    // The longest call takes a quarter of the budget: 2.25 s and its linger time are reserved.
    assert!(allows(&mixed, 5.5, true));
    assert!(!allows(&mixed, 5.6, true));
    assert!(allows(&mixed, 7.9, false));
}

#[test]
fn calls_are_bounded_by_the_cores_where_no_share_is_stated() {
    let mut config = shared_config(&[0.5]);
    config.dependency = Dependency::Tier;
    let budget = budget(&config);
    let allows = |calls_in_flight| {
        let load = DependencyLoad {
            calls_in_flight,
            ..load(1e9)
        };
        budget.allows_call(&call(800, true), &load, std::iter::empty())
    };
    assert!(allows(7));
    assert!(!allows(8));
    assert_eq!(budget.max_call_seconds(), None);
}

#[test]
fn a_call_that_would_time_out_within_a_tick_is_not_made() {
    let budget = budget(&shared_config(&[0.0]));
    let allows =
        |timeout| budget.allows_call(&call(timeout, false), &load(0.0), std::iter::empty());
    assert!(!allows(25));
    assert!(allows(26));
}

fn timeout_input() -> CallTimeoutInput {
    CallTimeoutInput {
        seconds_to_objective: 1.0,
        time_to_deadline: ms(3_000),
        is_optional: true,
        may_retry: false,
        mean_call_seconds: 0.03,
        lost_calls_are_rare: true,
        max_call_seconds: None,
    }
}

#[test]
fn an_optional_call_may_take_half_of_the_time_left_and_a_mandatory_one_all_of_it() {
    assert_eq!(timeout_input().timeout(), ms(500));
    let mandatory = CallTimeoutInput {
        is_optional: false,
        may_retry: true,
        ..timeout_input()
    };
    assert_eq!(mandatory.timeout(), ms(3_000));
    let within_budget = CallTimeoutInput {
        max_call_seconds: Some(0.25),
        ..timeout_input()
    };
    assert_eq!(within_budget.timeout(), ms(250));
}

#[test]
fn an_optional_call_that_may_be_retried_is_given_up_early() {
    let timeout = |mean_call_seconds, lost_calls_are_rare| {
        CallTimeoutInput {
            may_retry: true,
            mean_call_seconds,
            lost_calls_are_rare,
            ..timeout_input()
        }
        .timeout()
    };
    assert_eq!(timeout(0.03, true), ms(240));
    assert_eq!(timeout(0.01, true), ms(150));
    assert_eq!(timeout(0.1, true), ms(500));
    assert_eq!(timeout(0.0, true), ms(500));
    assert_eq!(timeout(0.03, false), ms(500));
}

fn failed(outcome: Outcome, attempts: u32, is_idempotent: bool) -> FailedCall {
    FailedCall {
        outcome,
        attempts,
        is_idempotent,
        is_optional: false,
        lost_calls_are_rare: true,
    }
}

#[test]
fn a_call_that_may_have_run_is_retried_only_where_it_may_run_again() {
    for outcome in [Outcome::Failed, Outcome::TimedOut, Outcome::ConnectionLost] {
        assert!(failed(outcome, 1, true).may_request_continue());
        assert!(!failed(outcome, 1, false).may_request_continue());
    }
    for outcome in [Outcome::Rejected, Outcome::Unreachable] {
        assert!(failed(outcome, 1, false).may_request_continue());
    }
}

#[test]
fn a_request_continues_without_an_optional_call() {
    let optional = FailedCall {
        is_optional: true,
        ..failed(Outcome::Failed, 3, false)
    };
    assert!(optional.may_request_continue());
    assert!(!optional.may_retry_optional());
}

#[test]
fn a_call_is_attempted_at_most_three_times() {
    assert!(may_attempt_again(2) && !may_attempt_again(3));
    assert!(failed(Outcome::Unreachable, 2, true).may_retry_optional());
    assert!(!failed(Outcome::Unreachable, 3, true).may_request_continue());
}

#[test]
fn an_optional_call_is_retried_only_where_its_connection_or_reply_was_lost() {
    let retries = |outcome| failed(outcome, 1, true).may_retry_optional();
    assert!(retries(Outcome::ConnectionLost) && retries(Outcome::Unreachable));
    assert!(retries(Outcome::TimedOut));
    assert!(!retries(Outcome::Rejected) && !retries(Outcome::Failed));
    let slow = FailedCall {
        lost_calls_are_rare: false,
        ..failed(Outcome::TimedOut, 1, true)
    };
    assert!(!slow.may_retry_optional());
    assert!(lost_calls_are_rare(100.0, 10.0) && !lost_calls_are_rare(100.0, 10.5));
}

fn decision(change: fn(&mut PendingCall)) -> CallDecision {
    let mut call = PendingCall {
        is_optional: true,
        is_sampled: true,
        has_budget: true,
        may_attempt: true,
        seconds_to_objective: 0.2,
        mean_call_seconds: 0.1,
    };
    change(&mut call);
    call.decide()
}

#[test]
fn an_optional_call_is_made_only_if_every_condition_holds() {
    assert_eq!(decision(|_| {}), CallDecision::Make);
    assert_eq!(decision(|call| call.is_sampled = false), CallDecision::Skip);
    assert_eq!(decision(|call| call.has_budget = false), CallDecision::Skip);
    assert_eq!(
        decision(|call| call.may_attempt = false),
        CallDecision::Skip
    );
    assert_eq!(
        decision(|call| call.mean_call_seconds = 0.101),
        CallDecision::Skip
    );
}

#[test]
fn a_mandatory_call_is_made_or_waits_for_budget() {
    let late = |call: &mut PendingCall| {
        (call.is_optional, call.is_sampled, call.may_attempt) = (false, false, false);
        call.mean_call_seconds = 9.0;
    };
    assert_eq!(decision(late), CallDecision::Make);
    let without_budget = |call: &mut PendingCall| {
        (call.is_optional, call.has_budget) = (false, false);
    };
    assert_eq!(decision(without_budget), CallDecision::Wait);
}

#[test]
fn a_call_is_slow_above_six_usual_times_after_twenty_calls() {
    let mut usual = UsualCallTime::default();
    for _ in 0..19 {
        assert!(!usual.observe(0.01, Outcome::Succeeded));
    }
    assert!(!usual.observe(0.01, Outcome::Succeeded));
    assert!(!usual.observe(0.06, Outcome::TimedOut));
    assert!(usual.observe(0.061, Outcome::TimedOut));
    assert!(!usual.observe(9.0, Outcome::ConnectionLost));
}

#[test]
fn the_usual_time_follows_slow_calls_far_more_slowly() {
    let usual_after = |call_seconds: f64| {
        let mut usual = UsualCallTime::default();
        for _ in 0..50 {
            usual.observe(0.01, Outcome::Succeeded);
        }
        for _ in 0..20 {
            usual.observe(call_seconds, Outcome::Succeeded);
        }
        usual
    };
    // Twenty calls of 50 ms, which are not slow, raise the usual time to 23 ms; twenty calls of 100
    // ms, which are slow, raise it to 14 ms.
    assert!(!usual_after(0.05).observe(0.1397, Outcome::TimedOut));
    assert!(usual_after(0.05).observe(0.1399, Outcome::TimedOut));
    assert!(!usual_after(0.1).observe(0.0811, Outcome::TimedOut));
    assert!(usual_after(0.1).observe(0.0813, Outcome::TimedOut));
}

#[test]
fn the_reserve_of_a_small_share_leaves_room_for_two_optional_calls() {
    let mut config = shared_config(&[0.5, 0.0]);
    config.dependency = Dependency::Shared {
        share: 0.2,
        window: ms(5_000),
        linger: ms(200),
    };
    // Two calls of 0.2 s with their linger time leave 0.1 s of the 0.9 s budget as the reserve.
    let allows =
        |past| budget(&config).allows_call(&call(200, true), &load(past), std::iter::empty());
    assert!(allows(0.399));
    assert!(!allows(0.401));
}

#[test]
fn the_window_of_a_shared_dependency_has_a_maximum() {
    let is_valid = |window| {
        let mut config = shared_config(&[0.0]);
        config.dependency = Dependency::Shared {
            share: 2.0,
            window,
            linger: ms(200),
        };
        config.validate().is_ok()
    };
    assert!(is_valid(ms(600_000)));
    assert!(!is_valid(ms(600_001)));
}
