//! The registry and the controller behind it, against a plain model of the rules: whatever peers
//! report, and in whatever order, each request gets one response, and no effect happens twice.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap::Idempotency;

use super::{
    Bytes, Command, Gauges, IdempotencyKey, IncomingRequest, Outcome, RegisterError, RequestEvent,
    RequestRegistry, Response, Ticket,
};

#[path = "../../../../tests/decisions/common.rs"]
#[allow(dead_code)]
mod common;
use common::{config, ms};

const IDEMPOTENCIES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::Keyed,
    Idempotency::NonIdempotent,
];
const WINDOW: u64 = 2000;
const TIMEOUT: u64 = 3000;

fn registry() -> Arc<RequestRegistry> {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    assert!(registry.start(false, Duration::ZERO));
    registry
}

impl RequestRegistry {
    /// Moves the clock on without waiting, and fires the timers.
    fn pass_time(&self, span: Duration) {
        self.state.lock().skip_time(span);
        self.fire_timers(Gauges::default());
    }
}

fn incoming(id: &str, handler: usize, key: Option<&str>) -> IncomingRequest {
    IncomingRequest {
        id: id.into(),
        handler,
        tenant: Some(0),
        age: ms(1),
        client_wait: None,
        estimated_work: Some(ms(50)),
        queued_kb: 10.0,
        is_retry: false,
        idempotency_key: key.map(IdempotencyKey::from),
        body_hash: 0,
        trace: None,
    }
}

fn bytes(text: &str) -> Bytes {
    text.as_bytes().into()
}

/// The next command, if there is one now.
fn next_command(ticket: &Ticket) -> Option<Command> {
    ticket.next_command(Some(Instant::now()))
}

#[derive(Clone, Debug)]
enum Step {
    Register {
        handler: usize,
        key: usize,
    },
    /// An event is reported for one of the requests, whether or not it fits.
    Report {
        of: usize,
        what: usize,
    },
    PassTime {
        span: u64,
    },
    TakeCommand {
        of: usize,
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
                of: index(g),
                what: index(g),
            },
            22..26 => Step::PassTime {
                span: u64::arbitrary(g) % 400,
            },
            26..31 => Step::TakeCommand { of: index(g) },
            _ => Step::ShutdownNotice,
        }
    }
}

/// A request as the model sees it.
struct ModelRequest {
    ticket: Ticket,
    id: String,
    idempotency: Idempotency,
    key: Option<String>,
    arrived_at: Duration,
    answer: Option<Response>,
    runs: u32,
    call: Option<u64>,
    calls: u64,
    is_finished: bool,
}

#[derive(Default)]
struct Model {
    requests: Vec<ModelRequest>,
    now: Duration,
    /// By key: when the request that ran last with it arrived, and its id.
    ran: HashMap<String, (Duration, String)>,
    /// Keys and ids of requests that are proven never to have run.
    never_ran: Vec<(String, String)>,
}

impl Model {
    fn register(&mut self, registry: &Arc<RequestRegistry>, handler: usize, key: usize) {
        let id = format!("r{}", self.requests.len());
        let key = (IDEMPOTENCIES[handler] == Idempotency::Keyed).then(|| format!("k{key}"));
        let ticket = registry
            .register(incoming(&id, handler, key.as_deref()))
            .expect("its id is new");
        self.requests.push(ModelRequest {
            ticket,
            id,
            idempotency: IDEMPOTENCIES[handler],
            key,
            arrived_at: self.now,
            answer: None,
            runs: 0,
            call: None,
            calls: 0,
            is_finished: false,
        });
    }

    fn report(&mut self, registry: &RequestRegistry, of: usize, what: usize) {
        const OUTCOMES: [Outcome; 8] = [
            Outcome::Succeeded,
            Outcome::Failed,
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::Unreachable,
            Outcome::ConnectionLost,
            Outcome::Cancelled,
            Outcome::NotStarted,
        ];
        let count = self.requests.len();
        let Some(request) = self.requests.get_mut(of % count.max(1)) else {
            return;
        };
        let outcome = OUTCOMES[what % 8];
        let report = match what % 3 {
            0 => RequestEvent::RunFinished {
                outcome,
                result: bytes(&request.id),
                work: None,
            },
            1 => RequestEvent::CallFinished {
                outcome,
                reply: bytes("reply"),
            },
            _ => {
                request.calls += 1;
                RequestEvent::CallReached {
                    call: request.calls,
                    body: bytes("body"),
                }
            }
        };
        // The executor has not started it: where the registry still listens, that takes the run
        // back.
        let state = registry.state.lock();
        let open = state.request(&request.id);
        let never_ran = matches!(
            report,
            RequestEvent::RunFinished {
                outcome: Outcome::NotStarted,
                ..
            }
        ) && open.is_some_and(|request| request.is_started && !request.is_released);
        drop(state);
        if let Some(key) = request.key.as_ref().filter(|_| never_ran) {
            self.never_ran.push((key.clone(), request.id.clone()));
        }
        registry.report(&request.id, report);
    }

    /// Takes one command of a request and checks it against the rules.
    fn take_command(&mut self, of: usize) -> bool {
        let count = self.requests.len();
        let Some(request) = self.requests.get_mut(of % count.max(1)) else {
            return false;
        };
        let Some(command) = next_command(&request.ticket) else {
            return false;
        };
        assert!(!request.is_finished, "a command after the last one");
        match command {
            Command::Start => {
                request.runs += 1;
                assert_eq!(request.runs, 1, "run once");
                // Its start was commanded, but by now it is proven never to have run: that is no
                // run.
                let proven =
                    |key: &String| self.never_ran.contains(&(key.clone(), request.id.clone()));
                if let Some(key) = request.key.as_ref().filter(|key| !proven(key)) {
                    let last = self
                        .ran
                        .insert(key.clone(), (request.arrived_at, request.id.clone()));
                    let again =
                        last.filter(|(_, id)| !self.never_ran.contains(&(key.clone(), id.clone())));
                    assert!(
                        again.is_none_or(|last| request.arrived_at.abs_diff(last.0) >= ms(WINDOW)),
                        "once in its window"
                    );
                }
            }
            Command::Respond(answer) => {
                assert_eq!(request.answer, None, "answered once");
                let is_rejected = matches!(answer, Response::Rejected { .. });
                assert!(
                    !is_rejected
                        || request.runs == 0
                        || request.idempotency == Idempotency::Idempotent,
                    "rejected after a run"
                );
                // No other attempt of what ran within the window is rejected either.
                if let Some(key) = request.key.as_ref().filter(|_| is_rejected) {
                    let proven = |id: &String| self.never_ran.contains(&(key.clone(), id.clone()));
                    // One that arrived before the one that ran was rejected before it, or the other
                    // would have been coalesced with it: its command is only taken late, and it is
                    // no duplicate.
                    let came = |id: &str| id[1..].parse::<usize>().unwrap();
                    let ran = self
                        .ran
                        .get(key)
                        .filter(|(_, id)| !proven(id) && came(id) < came(&request.id));
                    assert!(
                        ran.is_none_or(|ran| request.arrived_at >= ran.0 + ms(WINDOW)),
                        "a duplicate is rejected after a run"
                    );
                }
                request.answer = Some(answer);
            }
            Command::StartCall { body, .. } => assert_eq!(body, bytes("body")),
            Command::SkipCall { call } => {
                assert!(request.idempotency == Idempotency::Idempotent && call <= request.calls);
                request.call = None;
            }
            Command::Resume { reply } => assert_eq!(reply, bytes("reply")),
            Command::Cancel => assert!(request.runs > 0, "nothing to cancel"),
            Command::Finish => request.is_finished = true,
        }
        true
    }

    /// Takes all commands that there are now.
    fn take_all_commands(&mut self) {
        for of in 0..self.requests.len() {
            while self.take_command(of) {}
        }
    }
}

/// A case that CI once drew: the executor has not started the first request, so its key is free, a
/// second one runs, and only then does the first one's coroutine take its command to start. The
/// model took that for a run within the window.
#[test]
fn a_command_that_is_taken_late_is_no_second_run() {
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
                Step::Report { of, what } => model.report(&registry, of, what),
                Step::PassTime { span } => {
                    registry.pass_time(ms(span));
                    model.now += ms(span);
                }
                Step::TakeCommand { of } => drop(model.take_command(of)),
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

#[test]
fn a_request_runs_makes_calls_and_completes() {
    let registry = registry();
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&ticket), Some(Command::Start));
    assert_eq!(next_command(&ticket), None);
    assert_eq!(
        registry.register(incoming("a", 0, None)).err(),
        Some(RegisterError::DuplicateId)
    );
    registry.report(
        "a",
        RequestEvent::CallReached {
            call: 4,
            body: bytes("body"),
        },
    );
    assert!(
        matches!(next_command(&ticket), Some(Command::StartCall { body, .. }) if body == bytes("body"))
    );
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Succeeded,
            reply: bytes("reply"),
        },
    );
    assert_eq!(
        next_command(&ticket),
        Some(Command::Resume {
            reply: bytes("reply")
        })
    );
    // A second reply to the same call is ignored.
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Failed,
            reply: bytes(""),
        },
    );
    registry.report(
        "a",
        RequestEvent::CallReached {
            call: 5,
            body: bytes("body"),
        },
    );
    assert!(matches!(
        next_command(&ticket),
        Some(Command::StartCall { .. })
    ));
    registry.report(
        "a",
        RequestEvent::CallFinished {
            outcome: Outcome::Rejected,
            reply: bytes(""),
        },
    );
    assert_eq!(next_command(&ticket), Some(Command::SkipCall { call: 5 }));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        next_command(&ticket),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    assert_eq!(next_command(&ticket), Some(Command::Finish));
    drop(ticket);
    assert_eq!(registry.open(), 0);
}

#[test]
fn duplicates_are_coalesced_and_answered_alike() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&second), None);
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        next_command(&second),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    // A duplicate that arrives after the first has finished gets its result too, until the window
    // has passed.
    registry.pass_time(ms(WINDOW - 100));
    let third = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&third),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    registry.pass_time(ms(500));
    let fourth = registry.register(incoming("d", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&fourth), Some(Command::Start));
}

#[test]
fn a_warm_start_begins_the_clock_and_a_cold_one_takes_its_age() {
    for (cold, age) in [(false, Duration::ZERO), (true, ms(4000))] {
        let registry = RequestRegistry::new(config(), 7, None);
        assert!(!registry.is_started() && !registry.is_healthy());
        assert!(registry.start(cold, ms(4000)));
        assert!(!registry.start(cold, ms(9000)), "only once");
        assert!(registry.is_healthy());
        let now = registry.state.lock().now();
        assert!(now >= age && now < age + ms(3000));
    }
}

#[test]
fn a_coroutine_that_ends_abandons_its_request() {
    let registry = registry();
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&ticket), Some(Command::Start));
    drop(ticket);
    assert_eq!(registry.open(), 1, "its run goes on");
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Cancelled,
            result: bytes(""),
            work: None,
        },
    );
    assert_eq!(registry.open(), 0);
}

/// A coroutine whose deadline had passed by less than a millisecond once waited for ever: calls
/// were never given up, and timers stopped for good when the executor's link broke during a query.
#[test]
fn a_ticket_waits_no_longer_than_its_deadline() {
    let (commands, received) = std::sync::mpsc::channel();
    crate::net::spawn(move || {
        let ticket = registry().register(incoming("a", 0, None)).unwrap();
        assert_eq!(ticket.next_command(None), Some(Command::Start));
        for span in (0..20).map(|step| Duration::from_micros(300 * step)) {
            commands
                .send(ticket.next_command(Some(Instant::now() + span)))
                .unwrap();
        }
    });
    for _ in 0..20 {
        assert_eq!(received.recv_timeout(Duration::from_secs(30)), Ok(None));
    }
}

#[test]
fn a_reused_index_is_not_taken_for_a_coalesced_request() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    registry.report("b", RequestEvent::CallerGone);
    drop(second);
    let third = registry.register(incoming("c", 0, None)).unwrap();
    assert_eq!(next_command(&third), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("another's page"),
            work: None,
        },
    );
    assert_eq!(next_command(&third), None, "it is coalesced with nothing");
}

#[test]
fn keys_are_forgotten_when_they_expire() {
    let registry = registry();
    for at in 0..5 {
        let ticket = registry
            .register(incoming(&format!("r{at}"), 1, Some(&format!("k{at}"))))
            .unwrap();
        registry.report(
            &format!("r{at}"),
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes("page"),
                work: None,
            },
        );
        drop(ticket);
    }
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    // What arrived within the window can still be read and run until its client has timed out.
    registry.pass_time(ms(WINDOW + 500));
    drop(registry.register(incoming("between", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    registry.pass_time(ms(TIMEOUT));
    drop(registry.register(incoming("last", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes(), (0, 0, 0));
}

/// Callers choose their keys. The map went by the key alone: another tenant's request, or one for
/// another handler, got a result that was not its own, and never ran.
#[test]
fn a_key_is_scoped_to_its_tenant_and_handler() {
    let mut config = config();
    config.handlers[0].idempotency = Idempotency::Keyed;
    config.handlers[0].key_retention = ms(WINDOW);
    let registry = Arc::new(RequestRegistry::new(config, 7, None));
    assert!(registry.start(false, Duration::ZERO));
    let of = |id: &str, handler, tenant| IncomingRequest {
        tenant,
        ..incoming(id, handler, Some("k"))
    };
    for (id, handler, tenant) in [
        ("a", 1, Some(0)),
        ("b", 1, Some(1)),
        ("c", 0, Some(0)),
        ("d", 1, None),
    ] {
        let ticket = registry.register(of(id, handler, tenant)).unwrap();
        assert_eq!(
            next_command(&ticket),
            Some(Command::Start),
            "{id} is its own"
        );
        registry.report(
            id,
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes(id),
                work: None,
            },
        );
        assert_eq!(
            next_command(&ticket),
            Some(Command::Respond(Response::Completed(bytes(id))))
        );
        let repeat = format!("{id}2");
        let ticket = registry.register(of(&repeat, handler, tenant)).unwrap();
        assert_eq!(
            next_command(&ticket),
            Some(Command::Respond(Response::Completed(bytes(id)))),
            "and known again"
        );
    }
}

/// The window counts by the arrival of an attempt at the machine. One that arrived within it and
/// was read after its end, as after a pause of the process, was taken for a new request and ran a
/// second time.
#[test]
fn a_duplicate_that_arrived_in_its_window_and_is_read_later_is_not_run() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    registry.pass_time(ms(WINDOW + 1000));
    let late = registry
        .register(IncomingRequest {
            age: ms(1500),
            ..incoming("b", 1, Some("k"))
        })
        .unwrap();
    assert_eq!(
        next_command(&late),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
    assert!(registry.is_duplicate(&IncomingRequest {
        age: ms(1500),
        ..incoming("c", 1, Some("k"))
    }));
    assert!(!registry.is_duplicate(&incoming("c", 1, Some("k"))));
    let next = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&next), Some(Command::Start));
}

/// A registry with every core taken, so that the next request is queued.
fn registry_at_capacity() -> (Arc<RequestRegistry>, Vec<Ticket>) {
    let registry = registry();
    let running = (0..config().cores)
        .map(|at| {
            let ticket = registry
                .register(incoming(&format!("full{at}"), 0, None))
                .unwrap();
            assert_eq!(next_command(&ticket), Some(Command::Start));
            ticket
        })
        .collect();
    (registry, running)
}

/// A queued request was dropped with its broken connection, but its key stayed: all further
/// attempts failed for the whole window, though nothing had run.
#[test]
fn a_key_is_forgotten_with_its_request_that_never_ran() {
    let (registry, running) = registry_at_capacity();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&first), None, "queued");
    registry.report("a", RequestEvent::CallerGone);
    let again = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&again), None, "queued in its place");
    for at in 0..running.len() {
        let id = format!("full{at}");
        registry.report(
            &id,
            RequestEvent::RunFinished {
                outcome: Outcome::Succeeded,
                result: bytes("page"),
                work: None,
            },
        );
    }
    assert_eq!(next_command(&again), Some(Command::Start));
}

/// A shutdown notice that came before the executor was up was dropped: once it was up, requests
/// were admitted and run until the termination.
#[test]
fn a_shutdown_notice_before_the_start_takes_effect_after_it() {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    registry.shutdown_notice(Instant::now(), ms(9000));
    assert!(registry.start(false, Duration::ZERO));
    assert!(!registry.is_healthy());
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(
        next_command(&ticket),
        Some(Command::Start),
        "within the grace"
    );
    registry.pass_time(config().drain_grace + ms(50));
    let ticket = registry.register(incoming("b", 0, None)).unwrap();
    assert!(
        matches!(
            next_command(&ticket),
            Some(Command::Respond(Response::Rejected { .. }))
        ),
        "behind it"
    );
}

/// The grace counted from when the controller learned of the notice: where it learned late,
/// requests ran that had arrived after the grace.
#[test]
fn the_drain_grace_counts_from_the_notice_however_late_it_is_passed_on() {
    let registry = registry();
    let grace = config().drain_grace;
    registry.pass_time(grace * 4);
    let Some(notice) = Instant::now().checked_sub(grace) else {
        return;
    };
    let early = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(next_command(&early), Some(Command::Start));
    registry.shutdown_notice(notice, grace + ms(3000));
    let ticket = registry
        .register(IncomingRequest {
            age: Duration::ZERO,
            ..incoming("b", 0, None)
        })
        .unwrap();
    assert!(matches!(
        next_command(&ticket),
        Some(Command::Respond(Response::Rejected { .. }))
    ));
    let ticket = registry
        .register(IncomingRequest {
            age: ms(700),
            ..incoming("c", 0, None)
        })
        .unwrap();
    assert_eq!(
        next_command(&ticket),
        Some(Command::Start),
        "it came within the grace"
    );
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

/// Every order of a few events around one key: attempts, the end of a run, its cancellation,
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

/// Malicious clients sent a known key with a body of their own, under an id that the executor did
/// not know: they got the first request's result.
#[test]
fn a_known_key_with_another_body_gets_no_result() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    let other = |id: &str| IncomingRequest {
        body_hash: 1,
        ..incoming(id, 1, Some("k"))
    };
    assert_eq!(
        registry.register(other("b")).err(),
        Some(RegisterError::KeyReused),
        "while it runs"
    );
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("page"),
            work: None,
        },
    );
    assert_eq!(
        registry.register(other("b")).err(),
        Some(RegisterError::KeyReused),
        "and when it is over"
    );
    drop(first);
    let repeat = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(
        next_command(&repeat),
        Some(Command::Respond(Response::Completed(bytes("page"))))
    );
}

/// A made-up request that comes first with somebody else's key runs nothing, as the executor does
/// not know it: the owner of that key is served all the same.
#[test]
fn a_key_of_a_run_that_never_started_is_free() {
    let registry = registry();
    let made_up = registry
        .register(IncomingRequest {
            body_hash: 1,
            ..incoming("a", 1, Some("k"))
        })
        .unwrap();
    assert_eq!(next_command(&made_up), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::NotStarted,
            result: bytes(""),
            work: None,
        },
    );
    assert_eq!(
        next_command(&made_up),
        Some(Command::Respond(Response::Failed))
    );
    let own = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(next_command(&own), Some(Command::Start));
}
