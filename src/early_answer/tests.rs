//! Tests of when requests are given up, stage by stage.

use std::time::Duration;

use super::{OpenRequest, TickTimes, may_reject};
use crate::action::Reason;
use crate::requests::Stage;

const STAGES: [Stage; 5] = [
    Stage::Queued,
    Stage::Coalesced,
    Stage::Running,
    Stage::OffCore,
    Stage::Calling,
];

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn reason(stage: Stage, is_idempotent: bool, now: u64, answer_by: Duration) -> Option<Reason> {
    let times = TickTimes {
        now: ms(now),
        tick_interval: ms(25),
        answer_by,
    };
    OpenRequest {
        stage,
        is_idempotent,
        objective_at: ms(1_000),
        deadline: ms(3_000),
    }
    .give_up_reason(&times)
}

#[test]
fn every_request_is_answered_in_the_last_tick_before_its_deadline() {
    for stage in STAGES {
        let due = reason(stage, false, 2_975, Duration::MAX);
        assert_eq!(due, Some(Reason::DeadlineNear), "{stage:?}");
        let terminated = reason(stage, false, 475, ms(500));
        assert_eq!(terminated, Some(Reason::Terminating), "{stage:?}");
    }
}

#[test]
fn a_started_request_is_given_up_once_its_objective_has_passed() {
    let given_up = |is_idempotent, now| {
        let is_given_up =
            |&stage: &Stage| reason(stage, is_idempotent, now, Duration::MAX).is_some();
        STAGES.iter().map(is_given_up).collect::<Vec<bool>>()
    };
    assert_eq!(given_up(true, 1_000), [false; 5]);
    assert_eq!(given_up(true, 1_001), [false, false, true, true, true]);
    assert_eq!(given_up(false, 1_001), [false, false, false, true, false]);
}

#[test]
fn only_requests_without_effect_and_idempotent_ones_are_rejected() {
    let rejected = |is_idempotent| STAGES.map(|stage| may_reject(stage, is_idempotent));
    assert_eq!(rejected(true), [true, false, true, true, true]);
    assert_eq!(rejected(false), [true, false, false, false, false]);
}
