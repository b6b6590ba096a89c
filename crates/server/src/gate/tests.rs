//! The gate and the module behind it, against a plain model of the rules: whatever peers report, and in
//! whatever order, each req gets one answer, and no effect happens twice.

use std::collections::HashMap;

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap::Idempotency;

use super::*;

#[path = "../../../../tests/decisions/common.rs"]
#[allow(dead_code)]
mod common;
use common::{config, ms};

const EFFECTS: [Idempotency; 3] = [Idempotency::Idempotent, Idempotency::Keyed, Idempotency::NonIdempotent];
const WINDOW: u64 = 2000;
const TIMEOUT: u64 = 3000;

fn gate() -> Arc<Gate> {
    let gate = Arc::new(Gate::new(config(), 7, None));
    assert!(gate.start(false, Duration::ZERO));
    gate
}

impl Gate {
    /// Lets time pass, without waiting for it.
    fn pass(&self, span: Duration) {
        let mut state = self.state.lock();
        let running = state.running.as_mut().unwrap();
        running.zero = running.zero.checked_sub(span).expect("the machine is up for long enough");
        drop(state);
        self.alarm(Gauges::default());
    }
}

fn incoming(id: &str, handler: usize, key: Option<&str>) -> Incoming {
    Incoming {
        id: id.into(),
        handler,
        tenant: Some(0),
        age: ms(1),
        patience: None,
        work: Some(ms(50)),
        held_kb: 10.0,
        retry: false,
        key: key.map(Id::from),
        body: 0,
        traced: None,
    }
}

fn bytes(text: &str) -> Bytes {
    text.as_bytes().into()
}

/// The next order, if there is one now.
fn now(ticket: &Ticket) -> Option<Order> {
    ticket.pick(Some(Instant::now()))
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
    answer: Option<Answer>,
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
    fn enter(&mut self, gate: &Arc<Gate>, handler: usize, key: usize) {
        let id = format!("r{}", self.seen.len());
        let key = (EFFECTS[handler] == Idempotency::Keyed).then(|| format!("k{key}"));
        let ticket = gate.enter(incoming(&id, handler, key.as_deref())).expect("its id is new");
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

    fn report(&mut self, gate: &Gate, of: usize, what: usize) {
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
            0 => Report::Ended { outcome, result: bytes(&seen.id), work: None },
            1 => Report::CallEnded { outcome, reply: bytes("reply") },
            _ => {
                seen.calls += 1;
                Report::AtCall { call: seen.calls, body: bytes("body") }
            }
        };
        // What proves that nothing was started takes its run back, if it is still heard.
        let state = gate.state.lock();
        let slot = state.indices.get(seen.id.as_str()).and_then(|&at| state.slots.get(at));
        let unrun = matches!(report, Report::Ended { outcome: Outcome::NotStarted, .. })
            && slot.is_some_and(|slot| slot.running && !slot.over);
        drop(state);
        if let Some(key) = seen.key.as_ref().filter(|_| unrun) {
            self.unrun.push((key.clone(), seen.id.clone()));
        }
        gate.report(&seen.id, report);
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
            Order::Run => {
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
            Order::Answer(answer) => {
                assert_eq!(seen.answer, None, "answered once");
                let shed = matches!(answer, Answer::Shed { .. });
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
            Order::Call { body, .. } => assert_eq!(body, bytes("body")),
            Order::Skip { call } => {
                assert!(seen.effect == Idempotency::Idempotent && call <= seen.calls);
                seen.call = None;
            }
            Order::GoOn { reply } => assert_eq!(reply, bytes("reply")),
            Order::Stop => assert!(seen.runs > 0, "nothing to stop"),
            Order::Over => seen.over = true,
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
fn an_order_that_is_looked_at_late_is_no_second_run() {
    let (gate, mut model) = (gate(), Model::default());
    model.enter(&gate, 1, 0);
    model.report(&gate, 0, 615);
    model.enter(&gate, 1, 0);
    model.pick(1);
    model.pick_all();
    assert_eq!(model.ran.values().map(|(_, id)| &id[..]).collect::<Vec<_>>(), ["r1"]);
}

quickcheck! {
    fn each_req_gets_one_answer_whatever_is_reported(steps: Vec<Step>) -> bool {
        let gate = gate();
        let mut model = Model::default();
        for step in steps {
            match step {
                Step::Enter { handler, key } => model.enter(&gate, handler, key),
                Step::Report { of, what } => model.report(&gate, of, what),
                Step::Pass { span } => {
                    gate.pass(ms(span));
                    model.now += ms(span);
                }
                Step::Pick { of } => drop(model.pick(of)),
                Step::Leave => gate.leave(Instant::now(), ms(2000)),
            }
        }
        // By its timeout each has its answer, whatever has not ended.
        for _ in 0..TIMEOUT / 20 + 5 {
            gate.pass(ms(20));
        }
        model.pick_all();
        assert!(model.seen.iter().all(|seen| seen.answer.is_some()), "lost");
        // And nothing stays once what runs has ended.
        for seen in &model.seen {
            gate.report(&seen.id, Report::Ended { outcome: Outcome::Cancelled, result: bytes(""), work: None });
        }
        model.pick_all();
        assert!(model.seen.iter().all(|seen| seen.over), "held for ever");
        model.seen.clear();
        gate.open() == 0
    }
}

#[test]
fn a_req_runs_calls_and_is_done() {
    let gate = gate();
    let ticket = gate.enter(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&ticket), Some(Order::Run));
    assert_eq!(now(&ticket), None);
    assert_eq!(gate.enter(incoming("a", 0, None)).err(), Some(Unfit::Known));
    gate.report("a", Report::AtCall { call: 4, body: bytes("body") });
    assert!(matches!(now(&ticket), Some(Order::Call { body, .. }) if body == bytes("body")));
    gate.report("a", Report::CallEnded { outcome: Outcome::Succeeded, reply: bytes("reply") });
    assert_eq!(now(&ticket), Some(Order::GoOn { reply: bytes("reply") }));
    // A second reply to the same call is no news.
    gate.report("a", Report::CallEnded { outcome: Outcome::Failed, reply: bytes("") });
    gate.report("a", Report::AtCall { call: 5, body: bytes("body") });
    assert!(matches!(now(&ticket), Some(Order::Call { .. })));
    gate.report("a", Report::CallEnded { outcome: Outcome::Rejected, reply: bytes("") });
    assert_eq!(now(&ticket), Some(Order::Skip { call: 5 }));
    gate.report("a", Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None });
    assert_eq!(now(&ticket), Some(Order::Answer(Answer::Done(bytes("page")))));
    assert_eq!(now(&ticket), Some(Order::Over));
    drop(ticket);
    assert_eq!(gate.open(), 0);
}

#[test]
fn repeats_are_joined_and_answered_alike() {
    let gate = gate();
    let first = gate.enter(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Order::Run));
    let second = gate.enter(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&second), None);
    gate.report("a", Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None });
    assert_eq!(now(&second), Some(Order::Answer(Answer::Done(bytes("page")))));
    // One that comes when the first is over gets its result too, until the window has passed.
    gate.pass(ms(WINDOW - 100));
    let third = gate.enter(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&third), Some(Order::Answer(Answer::Done(bytes("page")))));
    gate.pass(ms(500));
    let fourth = gate.enter(incoming("d", 1, Some("k"))).unwrap();
    assert_eq!(now(&fourth), Some(Order::Run));
}

#[test]
fn a_warm_start_begins_the_clock_and_a_cold_one_takes_its_age() {
    for (cold, age) in [(false, Duration::ZERO), (true, ms(4000))] {
        let gate = Gate::new(config(), 7, None);
        assert!(!gate.started() && !gate.healthy());
        assert!(gate.start(cold, ms(4000)));
        assert!(!gate.start(cold, ms(9000)), "only once");
        assert!(gate.healthy());
        let now = gate.state.lock().now();
        assert!(now >= age && now < age + ms(3000));
    }
}

#[test]
fn a_coroutine_that_leaves_takes_its_req_along() {
    let gate = gate();
    let ticket = gate.enter(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&ticket), Some(Order::Run));
    drop(ticket);
    assert_eq!(gate.open(), 1, "its run goes on");
    gate.report("a", Report::Ended { outcome: Outcome::Cancelled, result: bytes(""), work: None });
    assert_eq!(gate.open(), 0);
}

/// A wait of a coroutine that was over by less than a millisecond once had no end: calls were never given up,
/// and alarms stopped for good when the kernel's link broke under a question.
#[test]
fn a_coroutine_waits_no_longer_than_it_says() {
    let (told, heard) = std::sync::mpsc::channel();
    crate::net::spawn(move || {
        let ticket = gate().enter(incoming("a", 0, None)).unwrap();
        assert_eq!(ticket.pick(None), Some(Order::Run));
        for span in (0..20).map(|step| Duration::from_micros(300 * step)) {
            told.send(ticket.pick(Some(Instant::now() + span))).unwrap();
        }
    });
    for _ in 0..20 {
        assert_eq!(heard.recv_timeout(Duration::from_secs(30)), Ok(None));
    }
}

#[test]
fn an_index_that_comes_again_is_not_taken_for_one_that_joined() {
    let gate = gate();
    let first = gate.enter(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Order::Run));
    let second = gate.enter(incoming("b", 1, Some("k"))).unwrap();
    gate.report("b", Report::Gone);
    drop(second);
    let third = gate.enter(incoming("c", 0, None)).unwrap();
    assert_eq!(now(&third), Some(Order::Run));
    gate.report(
        "a",
        Report::Ended { outcome: Outcome::Succeeded, result: bytes("another's page"), work: None },
    );
    assert_eq!(now(&third), None, "it joined nothing");
}

#[test]
fn keys_are_forgotten_when_their_time_is_over() {
    let gate = gate();
    for at in 0..5 {
        let ticket = gate.enter(incoming(&format!("r{at}"), 1, Some(&format!("k{at}")))).unwrap();
        gate.report(
            &format!("r{at}"),
            Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None },
        );
        drop(ticket);
    }
    assert_eq!(gate.state.lock().keys.len(), 5);
    // What came in the window can still be read and run until its client has given up.
    gate.pass(ms(WINDOW + 500));
    drop(gate.enter(incoming("between", 0, None)).unwrap());
    assert_eq!(gate.state.lock().keys.len(), 5);
    gate.pass(ms(TIMEOUT));
    drop(gate.enter(incoming("last", 0, None)).unwrap());
    let state = gate.state.lock();
    assert_eq!((state.keys.len(), state.ends.len(), state.settled.len()), (0, 0, 0));
}

/// Callers choose their keys. The map went by the key alone: another tenant's req, or one for another handler, was
/// answered with a result that was none of its business, and was never run.
#[test]
fn a_key_is_its_tenants_and_its_handlers_own() {
    let mut config = config();
    config.handlers[0].idempotency = Idempotency::Keyed;
    config.handlers[0].key_retention = ms(WINDOW);
    let gate = Arc::new(Gate::new(config, 7, None));
    assert!(gate.start(false, Duration::ZERO));
    let of = |id: &str, handler, tenant| Incoming { tenant, ..incoming(id, handler, Some("k")) };
    for (id, handler, tenant) in [("a", 1, Some(0)), ("b", 1, Some(1)), ("c", 0, Some(0)), ("d", 1, None)] {
        let ticket = gate.enter(of(id, handler, tenant)).unwrap();
        assert_eq!(now(&ticket), Some(Order::Run), "{id} is its own");
        gate.report(id, Report::Ended { outcome: Outcome::Succeeded, result: bytes(id), work: None });
        assert_eq!(now(&ticket), Some(Order::Answer(Answer::Done(bytes(id)))));
        let repeat = format!("{id}2");
        let ticket = gate.enter(of(&repeat, handler, tenant)).unwrap();
        assert_eq!(now(&ticket), Some(Order::Answer(Answer::Done(bytes(id)))), "and known again");
    }
}

/// The window counts from when a try reaches the machine. One that came within it and lay unread over its end, as
/// behind a pause, was taken for a new one and run a second time.
#[test]
fn a_repeat_that_came_in_its_window_and_is_read_behind_it_is_not_run() {
    let gate = gate();
    let first = gate.enter(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), Some(Order::Run));
    gate.report("a", Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None });
    gate.pass(ms(WINDOW + 1000));
    let late = gate.enter(Incoming { age: ms(1500), ..incoming("b", 1, Some("k")) }).unwrap();
    assert_eq!(now(&late), Some(Order::Answer(Answer::Done(bytes("page")))));
    assert!(gate.repeats(&Incoming { age: ms(1500), ..incoming("c", 1, Some("k")) }));
    assert!(!gate.repeats(&incoming("c", 1, Some("k"))));
    let next = gate.enter(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&next), Some(Order::Run));
}

/// Gates with every core taken, so that what comes next is held.
fn full() -> (Arc<Gate>, Vec<Ticket>) {
    let gate = gate();
    let taken = (0..config().cores)
        .map(|at| {
            let ticket = gate.enter(incoming(&format!("full{at}"), 0, None)).unwrap();
            assert_eq!(now(&ticket), Some(Order::Run));
            ticket
        })
        .collect();
    (gate, taken)
}

/// A connection that broke took its held req along, but the key of that stayed: all further tries of it were errored
/// for the whole window, though nothing had run.
#[test]
fn a_key_goes_with_its_req_that_goes_unrun() {
    let (gate, taken) = full();
    let first = gate.enter(incoming("a", 1, Some("k"))).unwrap();
    assert_eq!(now(&first), None, "held");
    gate.report("a", Report::Gone);
    let again = gate.enter(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&again), None, "held in its place");
    for at in 0..taken.len() {
        let id = format!("full{at}");
        gate.report(&id, Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None });
    }
    assert_eq!(now(&again), Some(Order::Run));
}

/// The notice to leave was dropped where it came before what runs reqs was up: once that was, reqs were taken and run
/// up to the stop.
#[test]
fn a_notice_that_comes_before_the_start_is_heeded_after_it() {
    let gate = Arc::new(Gate::new(config(), 7, None));
    gate.leave(Instant::now(), ms(9000));
    assert!(gate.start(false, Duration::ZERO));
    assert!(!gate.healthy());
    let ticket = gate.enter(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&ticket), Some(Order::Run), "within the grace");
    gate.pass(config().drain_grace + ms(50));
    let ticket = gate.enter(incoming("b", 0, None)).unwrap();
    assert!(matches!(now(&ticket), Some(Order::Answer(Answer::Shed { .. }))), "behind it");
}

/// The grace counted from when the module was told of the notice: told late, it ran what came too late.
#[test]
fn the_grace_counts_from_the_notice_however_late_that_is_told() {
    let gate = gate();
    let grace = config().drain_grace;
    gate.pass(grace * 4);
    let Some(notice) = Instant::now().checked_sub(grace) else { return };
    let early = gate.enter(incoming("a", 0, None)).unwrap();
    assert_eq!(now(&early), Some(Order::Run));
    gate.leave(notice, grace + ms(3000));
    let ticket = gate.enter(Incoming { age: Duration::ZERO, ..incoming("b", 0, None) }).unwrap();
    assert!(matches!(now(&ticket), Some(Order::Answer(Answer::Shed { .. }))));
    let ticket = gate.enter(Incoming { age: ms(700), ..incoming("c", 0, None) }).unwrap();
    assert_eq!(now(&ticket), Some(Order::Run), "it came within the grace");
}

/// Every order of few events around one key: tries that come, the end of a run, a stop of it, callers that go, and the
/// end of the window. Each try gets one answer, what runs runs once in the window, and none is turned away after it.
#[test]
fn every_order_of_tries_ends_and_losses_around_a_key() {
    const EVENTS: usize = 7;
    const LENGTH: u32 = 5;
    let mut joined = 0;
    for order in 0..EVENTS.pow(LENGTH) {
        for held in [false, true] {
            let (gate, taken) = if held { full() } else { (gate(), Vec::new()) };
            let mut model = Model::default();
            let (mut left, mut gone) = (order, Vec::new());
            for _ in 0..LENGTH {
                let (event, count) = (left % EVENTS, model.seen.len());
                left /= EVENTS;
                let newest = count.checked_sub(1).map(|at| model.seen[at].id.clone());
                let oldest = model.seen.iter().find(|seen| seen.runs > 0 && !seen.over).map(|s| s.id.clone());
                let end = |outcome| Report::Ended { outcome, result: bytes("page"), work: None };
                match (event, oldest, newest) {
                    (0 | 1, ..) => model.enter(&gate, 1, 0),
                    (2, Some(id), _) => gate.report(&id, end(Outcome::Succeeded)),
                    (3, Some(id), _) => gate.report(&id, end(Outcome::Cancelled)),
                    (4, _, Some(id)) => (gone.push(id.clone()), gate.report(&id, Report::Gone)).1,
                    (5, ..) if count > 0 => {
                        let id = model.seen[0].id.clone();
                        gone.push(id.clone());
                        gate.report(&id, Report::Gone);
                    }
                    (6, ..) => {
                        gate.pass(ms(WINDOW / 2 + 200));
                        model.now += ms(WINDOW / 2 + 200);
                    }
                    _ => {}
                }
                model.pick_all();
            }
            for at in 0..taken.len() {
                let id = format!("full{at}");
                gate.report(
                    &id,
                    Report::Ended { outcome: Outcome::Succeeded, result: bytes(""), work: None },
                );
            }
            model.pick_all();
            for _ in 0..TIMEOUT / 100 + 2 {
                gate.pass(ms(100));
                model.now += ms(100);
                model.pick_all();
            }
            let answered = |seen: &Seen| seen.answer.is_some() || gone.contains(&seen.id);
            assert!(model.seen.iter().all(answered), "lost in order {order}, held {held}");
            joined += model
                .seen
                .iter()
                .filter(|s| s.runs == 0 && matches!(s.answer, Some(Answer::Done(_))))
                .count();
        }
    }
    assert!(joined > 1000, "only {joined} repeats were answered with a first one's result");
}

/// Bad clients sent a key that had come before with a body of their own, under an id that the kernel would not have
/// known: they were answered with the first one's result, as done.
#[test]
fn a_known_key_with_another_body_gets_no_result() {
    let gate = gate();
    let first = gate.enter(incoming("a", 1, Some("k"))).unwrap();
    let other = |id: &str| Incoming { body: 1, ..incoming(id, 1, Some("k")) };
    assert_eq!(gate.enter(other("b")).err(), Some(Unfit::OtherBody), "while it runs");
    gate.report("a", Report::Ended { outcome: Outcome::Succeeded, result: bytes("page"), work: None });
    assert_eq!(gate.enter(other("b")).err(), Some(Unfit::OtherBody), "and when it is over");
    drop(first);
    let repeat = gate.enter(incoming("c", 1, Some("k"))).unwrap();
    assert_eq!(now(&repeat), Some(Order::Answer(Answer::Done(bytes("page")))));
}

/// One that comes first with a key that is not its own runs nothing, as the kernel does not know it: whoever has that
/// key is served all the same.
#[test]
fn a_key_that_came_with_what_the_kernel_does_not_know_is_free() {
    let gate = gate();
    let made_up = gate.enter(Incoming { body: 1, ..incoming("a", 1, Some("k")) }).unwrap();
    assert_eq!(now(&made_up), Some(Order::Run));
    gate.report("a", Report::Ended { outcome: Outcome::NotStarted, result: bytes(""), work: None });
    assert_eq!(now(&made_up), Some(Order::Answer(Answer::Errored)));
    let own = gate.enter(incoming("b", 1, Some("k"))).unwrap();
    assert_eq!(now(&own), Some(Order::Run));
}
