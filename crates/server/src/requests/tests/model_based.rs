//! Random and exhaustive sequences of events, checked against the model.

use std::sync::Arc;
use std::time::Instant;

use quickcheck::{Arbitrary, Gen, quickcheck};

use super::common::ms;
use super::model::{Model, ModelRequest};
use super::{CLIENT_TIMEOUT, RETENTION, bytes, registry, registry_at_capacity};
use crate::requests::{Outcome, RequestEvent, RequestRegistry, Response};

#[derive(Clone, Debug)]
enum Step {
    Register {
        handler: usize,
        key: usize,
    },
    /// An event is reported for one of the requests, even if it is not valid in its state.
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

/// Guards against a false alarm of the model, found by a random run: the executor has not started
/// the first request, so its key is free and a second request runs. The first request's coroutine
/// takes its start command only after that, and the model counted it as a second run within the
/// retention.
#[test]
fn a_start_command_that_is_taken_late_is_not_a_second_run() {
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
    fn each_request_gets_one_response_for_random_events(steps: Vec<Step>) -> bool {
        let registry = registry();
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Register { handler, key } => model.register(&registry, handler, key),
                Step::Report { request_index, event_index } => model.report(&registry, request_index, event_index),
                Step::PassTime { span } => {
                    registry.advance_time(ms(span));
                    model.now += ms(span);
                }
                Step::TakeCommand { request_index } => drop(model.take_command(request_index)),
                Step::ShutdownNotice => registry.shutdown_notice(Instant::now(), ms(2000)),
            }
        }
        // Each request has its response by its timeout, even if its run has not ended.
        for _ in 0..CLIENT_TIMEOUT / 20 + 5 {
            registry.advance_time(ms(20));
        }
        model.take_all_commands();
        assert!(model.requests.iter().all(|request| request.answer.is_some()), "a request has no response");
        // No request is open once all runs have ended.
        for request in &model.requests {
            registry.report(&request.id, RequestEvent::RunFinished { outcome: Outcome::Cancelled, result: bytes(""), work: None });
        }
        model.take_all_commands();
        assert!(model.requests.iter().all(|request| request.is_finished), "a request stays open");
        model.requests.clear();
        registry.open_count() == 0
    }
}

/// Applies one of the events of a key: an attempt, the end or the cancellation of the oldest run, a
/// caller that is gone, or the passing of time.
fn apply_event(
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
        .map(|request| request.id.clone());
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
            registry.advance_time(ms(RETENTION / 2 + 200));
            model.now += ms(RETENTION / 2 + 200);
        }
        _ => {}
    }
}

/// Runs every sequence of five events of one key: attempts, the end or the cancellation of a run,
/// callers that are gone, and the end of the retention. Each attempt gets one response, at most one
/// attempt runs within the retention, and no attempt is rejected after that run.
#[test]
fn each_key_runs_at_most_once_in_all_event_sequences() {
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
                apply_event(&registry, &mut model, &mut gone, left % EVENTS);
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
            for _ in 0..CLIENT_TIMEOUT / 100 + 2 {
                registry.advance_time(ms(100));
                model.now += ms(100);
                model.take_all_commands();
            }
            let answered =
                |request: &ModelRequest| request.answer.is_some() || gone.contains(&request.id);
            assert!(
                model.requests.iter().all(answered),
                "a request has no response: order {order}, queued {queued}"
            );
            coalesced += model
                .requests
                .iter()
                .filter(|request| {
                    request.runs == 0 && matches!(request.answer, Some(Response::Completed(_)))
                })
                .count();
        }
    }
    assert!(
        coalesced > 1000,
        "only {coalesced} duplicates got the result of a first attempt"
    );
}
