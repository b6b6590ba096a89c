//! The registry and the module behind it, against a plain model of the rules: whatever peers report, and in
//! whatever order, each req gets one answer, and no effect happens twice.

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

const EFFECTS: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
const WINDOW: u64 = 2000;
const TIMEOUT: u64 = 3000;

fn registry() -> Arc<RequestRegistry> {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    assert!(registry.start(false, Duration::ZERO));
    registry
}

impl RequestRegistry {
    /// Lets time pass, without waiting for it.
    fn pass(&self, span: Duration) {
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

/// The next order, if there is one now.
fn now(ticket: &Ticket) -> Option<Command> {
    ticket.next_command(Some(Instant::now()))
}

#[derive(Clone, Debug)]
enum Step {
    Enter {
        handler: usize,
        key: usize,
    },
    /// Something is reported of one of the reqs, fitting or not.
    Report {
        of: usize,
        what: usize,
    },
    Pass {
        span: u64,
    },
    Pick {
        of: usize,
    },
    Leave,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = |g: &mut Gen| usize::arbitrary(g) % 1000;
        match u8::arbitrary(g) % 32 {
            0..12 => Step::Enter { handler: index(g) % 3, key: index(g) % 4 },
            12..22 => Step::Report { of: index(g), what: index(g) },
            22..26 => Step::Pass { span: u64::arbitrary(g) % 400 },
            26..31 => Step::Pick { of: index(g) },
            _ => Step::Leave,
        }
    }
}

/// A req as the model sees it.
struct Seen {
    ticket: Ticket,
    id: String,
    effect: Idempotency,
    key: Option<String>,
    entered: Duration,
    answer: Option<Response>,
    runs: u32,
    call: Option<u64>,
    calls: u64,
    over: bool,
}

#[derive(Default)]
struct Model {
    seen: Vec<Seen>,
    now: Duration,
    /// By key, when the req that ran last with it came, and which that was.
    ran: HashMap<String, (Duration, String)>,
    /// Keys, and reqs of which it was proven that they never ran.
    unrun: Vec<(String, String)>,
}

impl Model {
    fn enter(&mut self, registry: &Arc<RequestRegistry>, handler: usize, key: usize) {
        let id = format!("r{}", self.seen.len());
        let key = (EFFECTS[handler] == Idempotency::Keyed).then(|| format!("k{key}"));
        let ticket = registry.register(incoming(&id, handler, key.as_deref())).expect("its id is new");
        self.seen.push(Seen {
            ticket,
            id,
            effect: EFFECTS[handler],
            key,
            entered: self.now,
            answer: None,
            runs: 0,
            call: None,
            calls: 0,
            over: false,
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
        let count = self.seen.len();
        let Some(seen) = self.seen.get_mut(of % count.max(1)) else {
            return;
        };
        let outcome = OUTCOMES[what % 8];
        let report = match what % 3 {
            0 => RequestEvent::RunFinished { outcome, result: bytes(&seen.id), work: None },
            1 => RequestEvent::CallFinished { outcome, reply: bytes("reply") },
            _ => {
                seen.calls += 1;
                RequestEvent::CallReached { call: seen.calls, body: bytes("body") }
            }
        };
        // What proves that nothing was started takes its run back, if it is still heard.
        let state = registry.state.lock();
        let open = state.request(&seen.id);
        let unrun = matches!(report, RequestEvent::RunFinished { outcome: Outcome::NotStarted, .. })
            && open.is_some_and(|request| request.is_started && !request.is_released);
        drop(state);
        if let Some(key) = seen.key.as_ref().filter(|_| unrun) {
            self.unrun.push((key.clone(), seen.id.clone()));
        }
        registry.report(&seen.id, report);
    }

    /// Takes one order of a req and holds it against the rules.
    fn pick(&mut self, of: usize) -> bool {
        let count = self.seen.len();
        let Some(seen) = self.seen.get_mut(of % count.max(1)) else {
            return false;
        };
        let Some(order) = now(&seen.ticket) else {
            return false;
        };
        assert!(!seen.over, "an order after the end");
        match order {
            Command::Start => {
                seen.runs += 1;
                assert_eq!(seen.runs, 1, "run once");
                // Told to run, but proven by now never to have run: that is no run.
                let proven = |key: &String| self.unrun.contains(&(key.clone(), seen.id.clone()));
                if let Some(key) = seen.key.as_ref().filter(|key| !proven(key)) {
                    let last = self.ran.insert(key.clone(), (seen.entered, seen.id.clone()));
                    let again = last.filter(|(_, id)| !self.unrun.contains(&(key.clone(), id.clone())));
                    assert!(
                        again.is_none_or(|last| seen.entered.abs_diff(last.0) >= ms(WINDOW)),
                        "once in its window"
                    );
                }
            }
            Command::Respond(answer) => {
                assert_eq!(seen.answer, None, "answered once");
                let shed = matches!(answer, Response::Rejected { .. });
                assert!(
                    !shed || seen.runs == 0 || seen.effect == Idempotency::Idempotent,
                    "shed after a run"
                );
                // Nor is any other try of what was run in the window.
                if let Some(key) = seen.key.as_ref().filter(|_| shed) {
                    let proven = |id: &String| self.unrun.contains(&(key.clone(), id.clone()));
                    // Shed before the other came, or that would have joined it: looked at late, it is no repeat.
                    let came = |id: &str| id[1..].parse::<usize>().unwrap();
                    let ran = self.ran.get(key).filter(|(_, id)| !proven(id) && came(id) < came(&seen.id));
                    assert!(
                        ran.is_none_or(|ran| seen.entered >= ran.0 + ms(WINDOW)),
                        "a repeat is shed after a run"
                    );
                }
                seen.answer = Some(answer);
            }
            Command::StartCall { body, .. } => assert_eq!(body, bytes("body")),
            Command::SkipCall { call } => {
                assert!(seen.effect == Idempotency::Idempotent && call <= seen.calls);
                seen.call = None;
            }
            Command::Resume { reply } => assert_eq!(reply, bytes("reply")),
            Command::Cancel => assert!(seen.runs > 0, "nothing to stop"),
            Command::Finish => seen.over = true,
        }
        true
    }

    /// All orders there are now.
    fn pick_all(&mut self) {
        for of in 0..self.seen.len() {
            while self.pick(of) {}
        }
    }
}

/// What CI once drew: the kernel knows nothing of the first, its key is free, a second one runs, and only then does the
/// first one's coroutine look at what it was told. The model took that for a run within the window.
#[test]
fn a_command_that_is_taken_late_is_no_second_run() {
    let (registry, mut model) = (registry(), Model::default());
    model.enter(&registry, 1, 0);
    model.report(&registry, 0, 615);
    model.enter(&registry, 1, 0);
    model.pick(1);
    model.pick_all();
    assert_eq!(model.ran.values().map(|(_, id)| &id[..]).collect::<Vec<_>>(), ["r1"]);
}

quickcheck! {
    fn each_request_gets_one_response_whatever_is_reported(steps: Vec<Step>) -> bool {
        let registry = registry();
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Enter { handler, key } => model.enter(&registry, handler, key),
                Step::Report { of, what } => model.report(&registry, of, what),
                Step::Pass { span } => {
                    registry.pass(ms(span));
                    model.now += ms(span);
                }
                Step::Pick { of } => drop(model.pick(of)),
                Step::Leave => registry.shutdown_notice(Instant::now(), ms(2000)),
            }
        }
        // By its timeout each has its answer, whatever has not ended.
        for _ in 0..TIMEOUT / 20 + 5 {
            registry.pass(ms(20));
        }
        model.pick_all();
        assert!(model.seen.iter().all(|seen| seen.answer.is_some()), "lost");
        // And nothing stays once what runs has ended.
        for seen in &model.seen {
            registry.report(&seen.id, RequestEvent::RunFinished { outcome: Outcome::Cancelled, result: bytes(""), work: None });
        }
        model.pick_all();
        assert!(model.seen.iter().all(|seen| seen.over), "held for ever");
        model.seen.clear();
        registry.open() == 0
    }
}

#[test]
fn a_request_runs_makes_calls_and_completes() {
    let registry = registry();
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&ticket), Some(Command::Start));
    assert_eq!(now(&ticket), None);
    assert_eq!(registry.register(incoming("a", 0, None)).err(), Some(RegisterError::DuplicateId));
    registry.report("a", RequestEvent::CallReached { call: 4, body: bytes("body") });
    assert!(matches!(now(&ticket), Some(Command::StartCall { body, .. }) if body == bytes("body")));
    registry.report("a", RequestEvent::CallFinished { outcome: Outcome::Succeeded, reply: bytes("reply") });
    assert_eq!(now(&ticket), Some(Command::Resume { reply: bytes("reply") }));
    // A second reply to the same call is no news.
    registry.report("a", RequestEvent::CallFinished { outcome: Outcome::Failed, reply: bytes("") });
    registry.report("a", RequestEvent::CallReached { call: 5, body: bytes("body") });
    assert!(matches!(now(&ticket), Some(Command::StartCall { .. })));
    registry.report("a", RequestEvent::CallFinished { outcome: Outcome::Rejected, reply: bytes("") });
    assert_eq!(now(&ticket), Some(Command::SkipCall { call: 5 }));
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
    );
    assert_eq!(now(&ticket), Some(Command::Respond(Response::Completed(bytes("page")))));
    assert_eq!(now(&ticket), Some(Command::Finish));
    drop(ticket);
    assert_eq!(registry.open(), 0);
}

#[test]
fn duplicates_are_coalesced_and_answered_alike() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&second), None);
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
    );
    assert_eq!(now(&second), Some(Command::Respond(Response::Completed(bytes("page")))));
    // One that comes when the first is over gets its result too, until the window has passed.
    registry.pass(ms(WINDOW - 100));
    let third = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&third), Some(Command::Respond(Response::Completed(bytes("page")))));
    registry.pass(ms(500));
    let fourth = registry.register(incoming("d", 1, Some("k"))).unwrap();
    assert_eq!(now(&fourth), Some(Command::Start));
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
    assert_eq!(now(&ticket), Some(Command::Start));
    drop(ticket);
    assert_eq!(registry.open(), 1, "its run goes on");
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::Cancelled, result: bytes(""), work: None },
    );
    assert_eq!(registry.open(), 0);
}

/// A wait of a coroutine that was over by less than a millisecond once had no end: calls were never given up,
/// and alarms stopped for good when the kernel's link broke under a question.
#[test]
fn a_ticket_waits_no_longer_than_its_deadline() {
    let (told, heard) = std::sync::mpsc::channel();
    crate::net::spawn(move || {
        let ticket = registry().register(incoming("a", 0, None)).unwrap();
        assert_eq!(ticket.next_command(None), Some(Command::Start));
        for span in (0..20).map(|step| Duration::from_micros(300 * step)) {
            told.send(ticket.next_command(Some(Instant::now() + span))).unwrap();
        }
    });
    for _ in 0..20 {
        assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok(None));
    }
}

#[test]
fn a_reused_index_is_not_taken_for_a_coalesced_request() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Command::Start));
    let second = registry.register(incoming("b", 1, Some("k"))).unwrap();
    registry.report("b", RequestEvent::CallerGone);
    drop(second);
    let third = registry.register(incoming("c", 0, None)).unwrap();
    assert_eq!(now(&third), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished {
            outcome: Outcome::Succeeded,
            result: bytes("another's page"),
            work: None,
        },
    );
    assert_eq!(now(&third), None, "it joined nothing");
}

#[test]
fn keys_are_forgotten_when_they_expire() {
    let registry = registry();
    for at in 0..5 {
        let ticket = registry.register(incoming(&format!("r{at}"), 1, Some(&format!("k{at}")))).unwrap();
        registry.report(
            &format!("r{at}"),
            RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
        );
        drop(ticket);
    }
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    // What came in the window can still be read and run until its client has given up.
    registry.pass(ms(WINDOW + 500));
    drop(registry.register(incoming("between", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes().0, 5);
    registry.pass(ms(TIMEOUT));
    drop(registry.register(incoming("last", 0, None)).unwrap());
    assert_eq!(registry.state.lock().key_sizes(), (0, 0, 0));
}

/// Callers choose their keys. The map went by the key alone: another tenant's req, or one for another handler, was
/// answered with a result that was none of its business, and was never run.
#[test]
fn a_key_is_scoped_to_its_tenant_and_handler() {
    let mut config = config();
    config.handlers[0].idempotency = Idempotency::Keyed;
    config.handlers[0].key_retention = ms(WINDOW);
    let registry = Arc::new(RequestRegistry::new(config, 7, None));
    assert!(registry.start(false, Duration::ZERO));
    let of = |id: &str, handler, tenant| IncomingRequest { tenant, ..incoming(id, handler, Some("k")) };
    for (id, handler, tenant) in [("a", 1, Some(0)), ("b", 1, Some(1)), ("c", 0, Some(0)), ("d", 1, None)] {
        let ticket = registry.register(of(id, handler, tenant)).unwrap();
        assert_eq!(now(&ticket), Some(Command::Start), "{id} is its own");
        registry.report(
            id,
            RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes(id), work: None },
        );
        assert_eq!(now(&ticket), Some(Command::Respond(Response::Completed(bytes(id)))));
        let repeat = format!("{id}2");
        let ticket = registry.register(of(&repeat, handler, tenant)).unwrap();
        assert_eq!(now(&ticket), Some(Command::Respond(Response::Completed(bytes(id)))), "and known again");
    }
}

/// The window counts from when a try reaches the machine. One that came within it and lay unread over its end, as
/// behind a pause, was taken for a new one and run a second time.
#[test]
fn a_duplicate_that_arrived_in_its_window_and_is_read_later_is_not_run() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
    );
    registry.pass(ms(WINDOW + 1000));
    let late = registry.register(IncomingRequest { age: ms(1500), ..incoming("b", 1, Some("k")) }).unwrap();
    assert_eq!(now(&late), Some(Command::Respond(Response::Completed(bytes("page")))));
    assert!(registry.is_duplicate(&IncomingRequest { age: ms(1500), ..incoming("c", 1, Some("k")) }));
    assert!(!registry.is_duplicate(&incoming("c", 1, Some("k"))));
    let next = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&next), Some(Command::Start));
}

/// Gates with every core taken, so that what comes next is held.
fn full() -> (Arc<RequestRegistry>, Vec<Ticket>) {
    let registry = registry();
    let taken = (0..config().cores)
        .map(|at| {
            let ticket = registry.register(incoming(&format!("full{at}"), 0, None)).unwrap();
            assert_eq!(now(&ticket), Some(Command::Start));
            ticket
        })
        .collect();
    (registry, taken)
}

/// A connection that broke took its held req along, but the key of that stayed: all further tries of it were errored
/// for the whole window, though nothing had run.
#[test]
fn a_key_is_forgotten_with_its_request_that_never_ran() {
    let (registry, taken) = full();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), None, "held");
    registry.report("a", RequestEvent::CallerGone);
    let again = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&again), None, "held in its place");
    for at in 0..taken.len() {
        let id = format!("full{at}");
        registry.report(
            &id,
            RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
        );
    }
    assert_eq!(now(&again), Some(Command::Start));
}

/// The notice to leave was dropped where it came before what runs reqs was up: once that was, reqs were taken and run
/// up to the stop.
#[test]
fn a_shutdown_notice_before_the_start_takes_effect_after_it() {
    let registry = Arc::new(RequestRegistry::new(config(), 7, None));
    registry.shutdown_notice(Instant::now(), ms(9000));
    assert!(registry.start(false, Duration::ZERO));
    assert!(!registry.is_healthy());
    let ticket = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&ticket), Some(Command::Start), "within the grace");
    registry.pass(config().drain_grace + ms(50));
    let ticket = registry.register(incoming("b", 0, None)).unwrap();
    assert!(matches!(now(&ticket), Some(Command::Respond(Response::Rejected { .. }))), "behind it");
}

/// The grace counted from when the module was told of the notice: told late, it ran what came too late.
#[test]
fn the_drain_grace_counts_from_the_notice_however_late_it_is_passed_on() {
    let registry = registry();
    let grace = config().drain_grace;
    registry.pass(grace * 4);
    let Some(notice) = Instant::now().checked_sub(grace) else { return };
    let early = registry.register(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&early), Some(Command::Start));
    registry.shutdown_notice(notice, grace + ms(3000));
    let ticket =
        registry.register(IncomingRequest { age: Duration::ZERO, ..incoming("b", 0, None) }).unwrap();
    assert!(matches!(now(&ticket), Some(Command::Respond(Response::Rejected { .. }))));
    let ticket = registry.register(IncomingRequest { age: ms(700), ..incoming("c", 0, None) }).unwrap();
    assert_eq!(now(&ticket), Some(Command::Start), "it came within the grace");
}

/// Every order of few events around one key: tries that come, the end of a run, a stop of it, callers that go, and the
/// end of the window. Each try gets one answer, what runs runs once in the window, and none is turned away after it.
#[test]
fn every_order_of_attempts_ends_and_losses_around_a_key() {
    const EVENTS: usize = 7;
    const LENGTH: u32 = 5;
    let mut joined = 0;
    for order in 0..EVENTS.pow(LENGTH) {
        for held in [false, true] {
            let (registry, taken) = if held { full() } else { (registry(), Vec::new()) };
            let mut model = Model::default();
            let (mut left, mut gone) = (order, Vec::new());
            for _ in 0..LENGTH {
                let (event, count) = (left % EVENTS, model.seen.len());
                left /= EVENTS;
                let newest = count.checked_sub(1).map(|at| model.seen[at].id.clone());
                let oldest = model.seen.iter().find(|seen| seen.runs > 0 && !seen.over).map(|s| s.id.clone());
                let end = |outcome| RequestEvent::RunFinished { outcome, result: bytes("page"), work: None };
                match (event, oldest, newest) {
                    (0 | 1, ..) => model.enter(&registry, 1, 0),
                    (2, Some(id), _) => registry.report(&id, end(Outcome::Succeeded)),
                    (3, Some(id), _) => registry.report(&id, end(Outcome::Cancelled)),
                    (4, _, Some(id)) => {
                        (gone.push(id.clone()), registry.report(&id, RequestEvent::CallerGone)).1
                    }
                    (5, ..) if count > 0 => {
                        let id = model.seen[0].id.clone();
                        gone.push(id.clone());
                        registry.report(&id, RequestEvent::CallerGone);
                    }
                    (6, ..) => {
                        registry.pass(ms(WINDOW / 2 + 200));
                        model.now += ms(WINDOW / 2 + 200);
                    }
                    _ => {}
                }
                model.pick_all();
            }
            for at in 0..taken.len() {
                let id = format!("full{at}");
                registry.report(
                    &id,
                    RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes(""), work: None },
                );
            }
            model.pick_all();
            for _ in 0..TIMEOUT / 100 + 2 {
                registry.pass(ms(100));
                model.now += ms(100);
                model.pick_all();
            }
            let answered = |seen: &Seen| seen.answer.is_some() || gone.contains(&seen.id);
            assert!(model.seen.iter().all(answered), "lost in order {order}, held {held}");
            joined += model
                .seen
                .iter()
                .filter(|s| s.runs == 0 && matches!(s.answer, Some(Response::Completed(_))))
                .count();
        }
    }
    assert!(joined > 1000, "only {joined} repeats were answered with a first one's result");
}

/// Bad clients sent a key that had come before with a body of their own, under an id that the kernel would not have
/// known: they were answered with the first one's result, as done.
#[test]
fn a_known_key_with_another_body_gets_no_result() {
    let registry = registry();
    let first = registry.register(incoming("a", 1, Some("k"))).unwrap();
    let other = |id: &str| IncomingRequest { body_hash: 1, ..incoming(id, 1, Some("k")) };
    assert_eq!(registry.register(other("b")).err(), Some(RegisterError::KeyReused), "while it runs");
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
    );
    assert_eq!(registry.register(other("b")).err(), Some(RegisterError::KeyReused), "and when it is over");
    drop(first);
    let repeat = registry.register(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&repeat), Some(Command::Respond(Response::Completed(bytes("page")))));
}

/// One that comes first with a key that is not its own runs nothing, as the kernel does not know it: whoever has that
/// key is served all the same.
#[test]
fn a_key_of_a_run_that_never_started_is_free() {
    let registry = registry();
    let made_up = registry.register(IncomingRequest { body_hash: 1, ..incoming("a", 1, Some("k")) }).unwrap();
    assert_eq!(now(&made_up), Some(Command::Start));
    registry.report(
        "a",
        RequestEvent::RunFinished { outcome: Outcome::NotStarted, result: bytes(""), work: None },
    );
    assert_eq!(now(&made_up), Some(Command::Respond(Response::Failed)));
    let own = registry.register(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&own), Some(Command::Start));
}
