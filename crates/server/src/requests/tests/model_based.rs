//! Random and exhaustive orders of events, checked against the model.

use std::sync::Arc;
use std::time::Instant;

use quickcheck::{Arbitrary, Gen, quickcheck};

use super::common::ms;
use super::model::{Model, ModelRequest};
use super::{TIMEOUT, WINDOW, bytes, registry, registry_at_capacity};
use crate::requests::{Outcome, RequestEvent, RequestRegistry, Response};

#[derive(Clone, Debug)]
enum Step {
    Register {
        handler: usize,
        key: usize,
    },
    /// An event is reported for one of the requests, whether or not it fits.
    Report {
        request_index: usize,
        event_index: usize,
    },
    PassTime {
        span: u64,
    },
    TakeCommand {
        request_index: usize,
    },
    ShutdownNotice,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = |g: &mut Gen| usize::arbitrary(g) % 1000;
        match u8::arbitrary(g) % 32 {
            0..12 => Step::Register {
                handler: index(g) % 3,
                key: index(g) % 4,
            },
            12..22 => Step::Report {
                request_index: index(g),
                event_index: index(g),
            },
            22..26 => Step::PassTime {
                span: u64::arbitrary(g) % 400,
            },
            26..31 => Step::TakeCommand {
                request_index: index(g),
            },
            _ => Step::ShutdownNotice,
        }
    }
}

/// A case that a random run of CI found. The executor has not started the first request, so its key
/// is free and a second one runs; only then does the first one's coroutine take its start command.
/// The model took that for a second run within the window.
#[test]
fn a_command_taken_late_counts_as_no_second_run() {
    let (registry, mut model) = (registry(), Model::default());
    model.register(&registry, 1, 0);
    model.report(&registry, 0, 615);
    model.register(&registry, 1, 0);
    model.take_command(1);
    model.take_all_commands();
    assert_eq!(
        model
            .ran
            .values()
            .map(|(_, id)| &id[..])
            .collect::<Vec<_>>(),
        ["r1"]
    );
}

quickcheck! {
    fn each_request_gets_one_response_whatever_is_reported(steps: Vec<Step>) -> bool {
        let registry = registry();
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Register { handler, key } => model.register(&registry, handler, key),
                Step::Report { request_index, event_index } => model.report(&registry, request_index, event_index),
                Step::PassTime { span } => {
                    registry.pass_time(ms(span));
                    model.now += ms(span);
                }
                Step::TakeCommand { request_index } => drop(model.take_command(request_index)),
                Step::ShutdownNotice => registry.shutdown_notice(Instant::now(), ms(2000)),
            }
        }
        // By its timeout each has its response, whatever has not ended.
        for _ in 0..TIMEOUT / 20 + 5 {
            registry.pass_time(ms(20));
        }
        model.take_all_commands();
        assert!(model.requests.iter().all(|request| request.answer.is_some()), "lost");
        // Once all runs have ended no request is open.
        for request in &model.requests {
            registry.report(&request.id, RequestEvent::RunFinished { outcome: Outcome::Cancelled, result: bytes(""), work: None });
        }
        model.take_all_commands();
        assert!(model.requests.iter().all(|request| request.is_finished), "open for ever");
        model.requests.clear();
        registry.open() == 0
    }
}

/// Plays one of the events around a key: an attempt, an end or a cancellation of the oldest run, a
/// caller gone, time.
fn play_event(
    registry: &Arc<RequestRegistry>,
    model: &mut Model,
    gone: &mut Vec<String>,
    event: usize,
) {
    let count = model.requests.len();
    let newest = count.checked_sub(1).map(|at| model.requests[at].id.clone());
    let oldest = model
        .requests
        .iter()
        .find(|request| request.runs > 0 && !request.is_finished)
        .map(|s| s.id.clone());
    let end = |outcome| RequestEvent::RunFinished {
        outcome,
        result: bytes("page"),
        work: None,
    };
    match (event, oldest, newest) {
        (0 | 1, ..) => model.register(registry, 1, 0),
        (2, Some(id), _) => registry.report(&id, end(Outcome::Succeeded)),
        (3, Some(id), _) => registry.report(&id, end(Outcome::Cancelled)),
        (4, _, Some(id)) => {
            gone.push(id.clone());
            registry.report(&id, RequestEvent::CallerGone);
        }
        (5, ..) if count > 0 => {
            let id = model.requests[0].id.clone();
            gone.push(id.clone());
            registry.report(&id, RequestEvent::CallerGone);
        }
        (6, ..) => {
            registry.pass_time(ms(WINDOW / 2 + 200));
            model.now += ms(WINDOW / 2 + 200);
        }
        _ => {}
    }
}

/// Plays every order of a few events around one key: attempts, the end of a run, its cancellation,
/// callers that are gone, and the end of the window. Each attempt gets one response, one runs
/// within the window, and none is rejected after that.
#[test]
fn every_order_of_attempts_ends_and_losses_around_a_key() {
    const EVENTS: usize = 7;
    const LENGTH: u32 = 5;
    let mut coalesced = 0;
    for order in 0..EVENTS.pow(LENGTH) {
        for queued in [false, true] {
            let (registry, running) = if queued {
                registry_at_capacity()
            } else {
                (registry(), Vec::new())
            };
            let mut model = Model::default();
            let (mut left, mut gone) = (order, Vec::new());
            for _ in 0..LENGTH {
                play_event(&registry, &mut model, &mut gone, left % EVENTS);
                left /= EVENTS;
                model.take_all_commands();
            }
            for at in 0..running.len() {
                let id = format!("full{at}");
                registry.report(
                    &id,
                    RequestEvent::RunFinished {
                        outcome: Outcome::Succeeded,
                        result: bytes(""),
                        work: None,
                    },
                );
            }
            model.take_all_commands();
            for _ in 0..TIMEOUT / 100 + 2 {
                registry.pass_time(ms(100));
                model.now += ms(100);
                model.take_all_commands();
            }
            let answered =
                |request: &ModelRequest| request.answer.is_some() || gone.contains(&request.id);
            assert!(
                model.requests.iter().all(answered),
                "lost in order {order}, queued {queued}"
            );
            coalesced += model
                .requests
                .iter()
                .filter(|s| s.runs == 0 && matches!(s.answer, Some(Response::Completed(_))))
                .count();
        }
    }
    assert!(
        coalesced > 1000,
        "only {coalesced} duplicates were answered with a first one's result"
    );
}
