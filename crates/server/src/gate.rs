//! The facade around the decision module, in blocking style: a req's coroutine *picks* its next order, peers
//! *report* what became of runs and calls, and a clock *ticks*. Only this file sees the module's events and
//! actions. It maps ids to indices, keeps the keys of uniqued reqs and drives the alarms; it decides nothing
//! and knows no protocol.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;
use slab::Slab;
use tulipgap::{Action, Arrival, Config, Controller, Event, Idempotency};
pub use tulipgap::{Gauges, Outcome};
use tulipgap_trace::Reason;

use crate::trace::{Life, Traced, Tracer, reason};
use crate::{clock, must};

/// Between two looks whether the module has started.
const UNSTARTED: Duration = Duration::from_millis(20);

pub type Id = Arc<str>;
pub type Bytes = Arc<[u8]>;

/// A req as it was read.
pub struct Incoming {
    pub id: Id,
    pub handler: usize,
    pub tenant: Option<usize>,
    /// How long ago it reached the machine.
    pub age: Duration,
    pub patience: Option<Duration>,
    pub work: Option<Duration>,
    pub held_kb: f64,
    pub retry: bool,
    /// By what a repeat of it is known.
    pub key: Option<Id>,
    /// What stands for its body: a repeat has the same.
    pub body: u64,
    /// What a recording tells of it, where there is one.
    pub traced: Option<Traced>,
}

impl Incoming {
    /// Its key as its own tenant's and handler's: callers choose keys, so another's may be the same, and its result is
    /// no business of this one.
    fn scoped_key(&self) -> Option<Id> {
        let key = self.key.as_ref()?;
        Some(match self.tenant {
            Some(tenant) => format!("{}/{tenant}/{key}", self.handler).into(),
            None => format!("{}/-/{key}", self.handler).into(),
        })
    }
}

/// What a req's coroutine is to do next.
#[derive(Debug, PartialEq)]
pub enum Order {
    Run,
    Stop,
    /// Make the call that it stands at.
    Call {
        patience: Duration,
        body: Bytes,
    },
    /// Its call went well: hand the reply to its run.
    GoOn {
        reply: Bytes,
    },
    /// Go on without the call of that number.
    Skip {
        call: u64,
    },
    Answer(Answer),
    /// Nothing more will be ordered.
    Over,
}

/// The one final answer of a req.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Done(Bytes),
    Shed { wait: Option<Duration>, elsewhere: bool },
    Errored,
}

/// What became of a req's run or call.
#[derive(Debug)]
pub enum Report {
    Ended {
        outcome: Outcome,
        result: Bytes,
        /// How long the run took, where that is told.
        work: Option<Duration>,
    },
    AtCall {
        call: u64,
        body: Bytes,
    },
    CallEnded {
        outcome: Outcome,
        reply: Bytes,
    },
    /// Its caller is known to be gone.
    Gone,
}

/// Why a req could not be taken in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unfit {
    /// One of that id is open.
    Known,
    /// Its key is known, with another body.
    OtherBody,
    /// What runs reqs was never up.
    NotStarted,
}

struct Slot {
    id: Id,
    orders: VecDeque<Order>,
    waiter: Arc<Blocker>,
    /// Its final answer was ordered.
    answered: bool,
    gone: bool,
    /// A run of it was ordered.
    running: bool,
    /// The module is through with it.
    over: bool,
    /// Its coroutine left without waiting for the end.
    left: bool,
    /// The call it stands at.
    call: Option<(u64, Bytes)>,
    calling: bool,
    key: Option<Id>,
    body: u64,
    /// What is recorded of it, where there is a recording.
    life: Option<Box<Life>>,
}

impl Slot {
    fn order(&mut self, order: Order) {
        // The module asks again for a stop until the run has ended.
        if order != Order::Stop || !self.orders.contains(&order) {
            self.orders.push_back(order);
            self.waiter.unpark();
        }
    }
}

/// What repeats of a uniqued req are answered with.
struct Key {
    /// What reaches the machine later is no repeat any more.
    until: Duration,
    /// When it may go: what reached the machine in time may be read late.
    lapses: Duration,
    /// What stands for the body of the req that holds the key.
    body: u64,
    /// The req that holds the key, while it is open.
    first: Option<usize>,
    answer: Option<Answer>,
    joined: Vec<usize>,
}

impl Key {
    /// Whether what reached the machine at that time repeats it. While one of its reqs is open, whatever comes does.
    fn repeated_by(&self, reached: Duration) -> bool {
        reached < self.until || self.first.is_some() || !self.joined.is_empty()
    }
}

/// What became of reqs so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub read: u64,
    pub done: u64,
    pub shed: u64,
    pub errored: u64,
    /// Their callers had gone first.
    pub gone: u64,
    pub open: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Counts { read, done, shed, errored, gone, open } = self;
        write!(f, "{read} reqs read, {done} done, {shed} shed, {errored} errored, {gone} gone, {open} open")
    }
}

struct Running {
    controller: Controller,
    /// When the module's clock stood at zero.
    zero: Instant,
}

struct State {
    running: Option<Running>,
    /// When the notice to leave came, and after how long from then the process is stopped.
    leaving: Option<(Instant, Duration)>,
    slots: Slab<Slot>,
    indices: HashMap<Id, usize>,
    keys: HashMap<Id, Key>,
    /// When keys are to be forgotten, so that not all of them are looked at each time.
    ends: BTreeSet<(Duration, Id)>,
    /// How late a req may be read that can still be run.
    read_late: Duration,
    /// Keys whose answer is news to those that joined them.
    settled: Vec<Id>,
    alarms: BTreeSet<Duration>,
    advice: Option<f64>,
    idle: Duration,
    healthy: bool,
    counts: Counts,
    tracer: Option<Arc<Tracer>>,
}

pub struct Gate {
    config: Config,
    seed: u64,
    state: Mutex<State>,
    tracer: Option<Arc<Tracer>>,
}

impl Gate {
    pub fn new(config: Config, seed: u64, tracer: Option<Arc<Tracer>>) -> Self {
        let state = State {
            running: None,
            leaving: None,
            slots: Slab::new(),
            indices: HashMap::new(),
            keys: HashMap::new(),
            ends: BTreeSet::new(),
            read_late: config.handlers.iter().map(|h| h.client_timeout).max().unwrap_or_default(),
            settled: Vec::new(),
            alarms: BTreeSet::new(),
            advice: None,
            idle: config.idle_timeout,
            healthy: false,
            counts: Counts::default(),
            tracer: tracer.clone(),
        };
        Gate { config, seed, state: Mutex::new(state), tracer }
    }

    /// What runs reqs is up, cold or not, since that long. Only the first time counts. The module's clock starts
    /// with a cold machine, to know how warm it is; with a warm one it starts now, as the module then learns in
    /// its first seconds how fast the machine is.
    pub fn start(&self, cold: bool, since: Duration) -> bool {
        let mut state = self.state.lock();
        if state.running.is_some() {
            return false;
        }
        let config = Config { starts_cold: cold, ..self.config.clone() };
        let controller = match Controller::new(&config, self.seed) {
            Ok(controller) => controller,
            Err(error) => {
                log::error!("the settings were checked, but now: {error}");
                return false;
            }
        };
        let since = if cold { since } else { Duration::ZERO };
        let zero = Instant::now().checked_sub(since).unwrap_or_else(Instant::now);
        state.running = Some(Running { controller, zero });
        state.decide(Event::Started);
        // The notice may come before what runs reqs is up: forgotten, what comes long after it would be run.
        state.tell_of_leaving();
        true
    }

    /// Takes in a req that was read. The ticket brings its orders, the final answer among them.
    pub fn enter(self: &Arc<Self>, incoming: Incoming) -> Result<Ticket, Unfit> {
        let mut state = self.state.lock();
        if state.running.is_none() {
            self.unseen(&incoming, Reason::NOT_STARTED);
            return Err(Unfit::NotStarted);
        }
        if state.indices.contains_key(&incoming.id) {
            return Err(Unfit::Known);
        }
        state.forget_keys();
        let life = self.life(&incoming);
        let key = incoming.scoped_key();
        let known = state.repeated(key.as_ref(), incoming.age);
        // A key under which something else is asked is copied, or made up: whoever does that gets no result of another.
        if known.is_some_and(|known| known.body != incoming.body) {
            return Err(Unfit::OtherBody);
        }
        let repeats = known.is_some();
        let waiter = Arc::new(Blocker::new(true));
        let at = state.slots.insert(Slot {
            id: incoming.id.clone(),
            orders: VecDeque::new(),
            waiter: waiter.clone(),
            answered: false,
            gone: false,
            running: false,
            over: false,
            left: false,
            call: None,
            calling: false,
            key,
            body: incoming.body,
            life,
        });
        state.indices.insert(incoming.id, at);
        state.counts.read += 1;
        state.decide(Event::Arrived(Arrival {
            request: at,
            handler: incoming.handler,
            tenant: incoming.tenant,
            age: incoming.age,
            client_wait: incoming.patience,
            estimated_work: incoming.work,
            queued_kb: incoming.held_kb,
            is_retry: incoming.retry,
            is_duplicate: repeats,
        }));
        state.admitted(at);
        Ok(Ticket { gate: self.clone(), at, waiter })
    }

    /// Whether a try of the same uniqued req is open, or was run: then this one may not be turned away.
    pub fn repeats(&self, incoming: &Incoming) -> bool {
        self.state.lock().repeated(incoming.scoped_key().as_ref(), incoming.age).is_some()
    }

    /// After what time a caller that is turned away had better come back, where it can be told and nothing else is
    /// known.
    pub fn longest_wait(&self) -> Option<Duration> {
        self.config.max_retry_after
    }

    /// Whether there is a recording.
    pub fn tracer(&self) -> Option<&Arc<Tracer>> {
        self.tracer.as_ref()
    }

    /// What is recorded of a req from here on.
    fn life(&self, incoming: &Incoming) -> Option<Box<Life>> {
        let traced = incoming.traced.filter(|_| self.tracer.is_some())?;
        Some(Box::new(Life {
            traced,
            handler: incoming.handler,
            tenant: incoming.tenant,
            retry: incoming.retry,
            patience: incoming.patience,
            hint: incoming.work,
            entered: Instant::now(),
            age: incoming.age,
            admitted: None,
            run: None,
            called: None,
            answered: None,
            work: None,
            outcome: tulipgap_trace::Outcome::Errored,
            reason: Reason::NONE,
            no_more: false,
            wait: None,
            calls: 0,
            skipped: 0,
            advice: None,
        }))
    }

    /// A req was turned away before the module could see it: only a recording hears of it.
    pub fn unseen(&self, incoming: &Incoming, why: Reason) {
        if let (Some(mut life), Some(tracer)) = (self.life(incoming), &self.tracer) {
            let now = Instant::now();
            (life.outcome, life.reason, life.answered) = (tulipgap_trace::Outcome::Shed, why, Some(now));
            tracer.record(&life, now);
        }
    }

    /// Tells what became of a req's run or call. What concerns no open req is no news.
    pub fn report(&self, id: &str, report: Report) {
        let mut state = self.state.lock();
        if let Some(&at) = state.indices.get(id) {
            state.report(at, report);
        }
    }

    /// Blocks until the next alarm is due, and tells the module of it with the gauges of that moment.
    pub fn tick(&self, gauges: impl FnOnce() -> Gauges) {
        let left = {
            let state = self.state.lock();
            state.alarms.first().map_or(UNSTARTED, |at| at.saturating_sub(state.now()))
        };
        if left.is_zero() {
            self.alarm(gauges());
        } else {
            clock::sleep(left);
        }
    }

    fn alarm(&self, gauges: Gauges) {
        let mut state = self.state.lock();
        let now = state.now();
        if state.alarms.first().is_some_and(|&at| at <= now) {
            state.alarms.retain(|&at| at > now);
            state.decide(Event::TimerFired { gauges });
        }
    }

    /// The notice to leave, which came at that time; the process is stopped after `stop` from then.
    pub fn leave(&self, notice: Instant, stop: Duration) {
        let mut state = self.state.lock();
        state.leaving = Some((notice, stop));
        state.tell_of_leaving();
    }

    /// Whether what runs reqs was up.
    pub fn started(&self) -> bool {
        self.state.lock().running.is_some()
    }

    /// What callers are advised with every answer.
    pub fn advice(&self) -> Option<f64> {
        self.state.lock().advice
    }

    /// After what time connections without use are to be closed.
    pub fn idle(&self) -> Duration {
        self.state.lock().idle
    }

    /// How long the clients of a handler wait.
    pub fn client_timeout(&self, handler: usize) -> Duration {
        self.config.handlers.get(handler).map_or(Duration::MAX, |handler| handler.client_timeout)
    }

    /// Whether reqs of a handler may not run again.
    pub fn runs_once(&self, handler: usize) -> bool {
        self.config.handlers.get(handler).is_none_or(|handler| handler.idempotency != Idempotency::Idempotent)
    }

    /// What health checks are told.
    pub fn healthy(&self) -> bool {
        self.state.lock().healthy
    }

    /// How many reqs are open.
    pub fn open(&self) -> usize {
        self.state.lock().slots.len()
    }

    pub fn counts(&self) -> Counts {
        let state = self.state.lock();
        Counts { open: state.slots.len(), ..state.counts }
    }
}

impl State {
    fn now(&self) -> Duration {
        self.running.as_ref().map_or(Duration::ZERO, |running| running.zero.elapsed())
    }

    /// Tells the module of the notice to leave, if there was one. What it grants counts from the notice, however
    /// late this is told.
    fn tell_of_leaving(&mut self) {
        if let Some((notice, stop)) = self.leaving {
            let since = notice.elapsed();
            self.decide(Event::ShutdownNotice { since, left: stop.saturating_sub(since) });
        }
    }

    /// What is known of that key, where what reached the machine so long ago repeats it.
    fn repeated(&self, key: Option<&Id>, age: Duration) -> Option<&Key> {
        let reached = self.now().saturating_sub(age);
        self.keys.get(key?).filter(|key| key.repeated_by(reached))
    }

    /// The time now, where a recording wants to know.
    fn stamp(&self) -> Option<Instant> {
        self.tracer.as_ref().map(|_| Instant::now())
    }

    /// The module has decided on an arrival: it was taken unless it is answered.
    fn admitted(&mut self, at: usize) {
        let now = self.stamp();
        if let Some(slot) = self.slots.get_mut(at).filter(|slot| !slot.answered)
            && let Some(life) = &mut slot.life
        {
            life.admitted = now;
        }
    }

    fn report(&mut self, at: usize, report: Report) {
        let Some(slot) = self.slots.get_mut(at).filter(|slot| !slot.over) else {
            return;
        };
        // Nothing can become of what was never started.
        if !slot.running && !matches!(report, Report::Gone) {
            return;
        }
        let event = match report {
            Report::Gone => {
                slot.gone = true;
                Event::CallerGone { request: at }
            }
            // It stands at one call at a time.
            Report::AtCall { .. } if slot.call.is_some() => return,
            Report::AtCall { call, body } => {
                slot.call = Some((call, body));
                slot.calling = false;
                Event::ReachedCall { request: at }
            }
            Report::CallEnded { outcome, reply } => {
                // A reply that crosses the end of its call is no news.
                if !std::mem::replace(&mut slot.calling, false) {
                    return;
                }
                if outcome == Outcome::Succeeded {
                    slot.call = None;
                    slot.order(Order::GoOn { reply });
                }
                Event::CallFinished { request: at, outcome }
            }
            Report::Ended { outcome, result, work } => {
                if let Some(life) = &mut slot.life {
                    life.work = work;
                }
                let answer = match outcome {
                    Outcome::Succeeded => Some(Answer::Done(result)),
                    Outcome::Failed => Some(Answer::Errored),
                    _ => None,
                };
                if let Some(answer) = answer.clone() {
                    let why = if answer == Answer::Errored { Reason::RUN_ERRORED } else { Reason::NONE };
                    self.answer(at, answer, why);
                }
                // Nothing was run: what comes under its key is no repeat of anything.
                if outcome == Outcome::NotStarted {
                    self.forget(at);
                }
                self.settle(at, answer.unwrap_or(Answer::Errored));
                Event::Finished { request: at, outcome }
            }
        };
        self.decide(event);
    }

    /// Orders a final answer, unless the req has one.
    fn answer(&mut self, at: usize, answer: Answer, why: Reason) {
        let (now, advice) = (self.stamp(), self.advice);
        let slot = &mut self.slots[at];
        if std::mem::replace(&mut slot.answered, true) {
            return;
        }
        if let Some(life) = &mut slot.life {
            (life.answered, life.reason, life.advice) = (now, why, advice);
            life.outcome = match &answer {
                _ if slot.gone => tulipgap_trace::Outcome::Gone,
                Answer::Done(_) => tulipgap_trace::Outcome::Done,
                Answer::Shed { .. } => tulipgap_trace::Outcome::Shed,
                Answer::Errored => tulipgap_trace::Outcome::Errored,
            };
            if let Answer::Shed { wait, elsewhere } = answer {
                (life.wait, life.no_more) = (wait, !elsewhere);
            }
        }
        let count = match &answer {
            _ if slot.gone => &mut self.counts.gone,
            Answer::Done(_) => &mut self.counts.done,
            Answer::Shed { .. } => &mut self.counts.shed,
            Answer::Errored => &mut self.counts.errored,
        };
        *count += 1;
        if !slot.gone {
            slot.order(Order::Answer(answer));
        }
    }

    /// The run of a req that holds a key is over: those that joined it are answered alike.
    fn settle(&mut self, at: usize, answer: Answer) {
        let Some(id) = self.slots[at].key.clone() else { return };
        if let Some(key) = self.keys.get_mut(&id).filter(|key| key.first == Some(at)) {
            key.first = None;
            key.answer = Some(answer);
            self.settled.push(id);
        }
    }

    /// A req that holds a key has not run, and will not: those that joined it meanwhile are answered before the key goes.
    fn forget(&mut self, at: usize) {
        let Some(id) = self.slots[at].key.clone() else { return };
        if let Some(key) = self.keys.get_mut(&id).filter(|key| key.first == Some(at)) {
            (key.until, key.lapses) = (Duration::ZERO, Duration::ZERO);
            self.ends.insert((Duration::ZERO, id));
        }
    }

    /// Forgets the keys whose time is over; one that others have joined goes once they are answered.
    fn forget_keys(&mut self) {
        let now = self.now();
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            let Some((_, id)) = self.ends.pop_first() else { return };
            if self.keys.get(&id).is_some_and(|key| key.lapses <= now && key.joined.is_empty()) {
                self.keys.remove(&id);
            }
        }
    }

    /// Lets the module decide on what happened, and on what its actions bring about in turn.
    fn decide(&mut self, event: Event) {
        let mut events = vec![event];
        while !events.is_empty() {
            let now = self.now();
            let Some(running) = self.running.as_mut() else {
                return;
            };
            let actions = running.controller.handle_events(now, &std::mem::take(&mut events));
            for action in actions {
                self.apply(action, now);
            }
            self.joins(&mut events);
        }
    }

    fn apply(&mut self, action: Action, now: Duration) {
        match action {
            Action::Start { request } => {
                let now = self.stamp();
                let slot = &mut self.slots[request];
                slot.running = true;
                if let Some(life) = &mut slot.life {
                    life.run = life.run.or(now);
                }
                slot.order(Order::Run);
            }
            Action::Reject { request, retry_after, retry_elsewhere, reason: why } => {
                must!(!self.slots[request].answered, "a req is answered once");
                self.answer(
                    request,
                    Answer::Shed { wait: retry_after, elsewhere: retry_elsewhere },
                    reason(why),
                );
            }
            Action::Fail { request, reason: why } => {
                must!(!self.slots[request].answered, "a req is answered once");
                self.answer(request, Answer::Errored, reason(why));
            }
            Action::Cancel { request } => self.slots[request].order(Order::Stop),
            Action::Coalesce { request } => {
                let id = self.slots[request].key.clone().unwrap_or_default();
                let key = self.keys.get_mut(&id);
                must!(key.is_some(), "what is joined has a key that is known");
                if let Some(key) = key {
                    key.joined.push(request);
                    self.settled.push(id);
                }
            }
            Action::RememberKey { request, retention } => {
                if let Some(key) = self.slots[request].key.clone() {
                    let until = now.saturating_add(retention);
                    let lapses = until.saturating_add(self.read_late);
                    let (first, body) = (Some(request), self.slots[request].body);
                    let fresh = Key { until, lapses, body, first, answer: None, joined: Vec::new() };
                    self.ends.insert((lapses, key.clone()));
                    let before = self.keys.insert(key, fresh);
                    must!(
                        before.is_none_or(|key| key.first.is_none() && key.joined.is_empty()),
                        "no key is remembered anew while a req of it is open"
                    );
                }
            }
            Action::ForgetKey { request } => {
                self.forget(request);
                self.settle(request, Answer::Errored);
            }
            Action::StartCall { request, timeout } => {
                let now = self.stamp();
                let slot = &mut self.slots[request];
                if let Some(life) = &mut slot.life {
                    life.called = life.called.or(now);
                    life.calls += 1;
                }
                if let Some((_, body)) = slot.call.clone() {
                    slot.calling = true;
                    slot.order(Order::Call { patience: timeout, body });
                }
            }
            Action::SkipCall { request } => {
                let slot = &mut self.slots[request];
                if let Some(life) = &mut slot.life {
                    life.skipped += 1;
                }
                if let Some((call, _)) = slot.call.take() {
                    slot.order(Order::Skip { call });
                }
            }
            Action::SetFeedback { value } => self.advice = Some(value),
            Action::SetIdleTimeout { timeout } => self.idle = timeout,
            Action::SetHealth { healthy } => self.healthy = healthy,
            Action::SetTimer { at } => {
                self.alarms.insert(at);
            }
            Action::Release { request } => self.over(request),
        }
    }

    fn over(&mut self, at: usize) {
        // A run that ended with nothing for its caller, and that the module left unanswered.
        self.answer(at, Answer::Errored, Reason::STOPPED);
        if let (Some(life), Some(tracer)) = (self.slots[at].life.take(), &self.tracer) {
            tracer.record(&life, Instant::now());
        }
        self.settle(at, Answer::Errored);
        // Its index may come again: whoever has it then did not join.
        if let Some(key) = self.slots[at].key.clone().and_then(|key| self.keys.get_mut(&key)) {
            key.joined.retain(|&other| other != at);
        }
        let slot = &mut self.slots[at];
        slot.over = true;
        slot.order(Order::Over);
        let left = slot.left;
        let id = slot.id.clone();
        self.indices.remove(&id);
        if left {
            self.slots.remove(at);
        }
    }

    /// Answers those that joined a req that is over.
    fn joins(&mut self, events: &mut Vec<Event>) {
        let now = self.now();
        for id in std::mem::take(&mut self.settled) {
            let Some(key) = self.keys.get_mut(&id) else { continue };
            let Some(answer) = key.answer.clone() else { continue };
            let mut joined = std::mem::take(&mut key.joined);
            if key.lapses <= now {
                self.keys.remove(&id);
            }
            joined.sort_unstable();
            for at in joined {
                let open = self.slots.get(at).is_some_and(|slot| !slot.over);
                if open {
                    let done = matches!(answer, Answer::Done(_));
                    let outcome = if done { Outcome::Succeeded } else { Outcome::Failed };
                    let why = if done { Reason::JOINED } else { Reason::FIRST_ERRORED };
                    self.answer(at, if done { answer.clone() } else { Answer::Errored }, why);
                    events.push(Event::Finished { request: at, outcome });
                }
            }
        }
    }
}

/// A req's claim to its orders.
pub struct Ticket {
    gate: Arc<Gate>,
    at: usize,
    waiter: Arc<Blocker>,
}

impl Ticket {
    /// Blocks until there is an order; `None` once `by` has passed without one.
    pub fn pick(&self, by: Option<Instant>) -> Option<Order> {
        loop {
            if let Some(order) = self.gate.state.lock().slots[self.at].orders.pop_front() {
                return Some(order);
            }
            if by.is_some_and(|by| by <= Instant::now()) {
                return None;
            }
            clock::park(&self.waiter, by);
        }
    }
}

impl Drop for Ticket {
    /// A coroutine that ends before its req is over leaves nobody to answer.
    fn drop(&mut self) {
        let mut state = self.gate.state.lock();
        if state.slots[self.at].over {
            state.slots.remove(self.at);
            return;
        }
        state.slots[self.at].left = true;
        state.report(self.at, Report::Gone);
    }
}

#[cfg(test)]
mod tests;
