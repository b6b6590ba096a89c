//! A slow, plain host that keeps its own books of the four rules and fails on any action they do not allow.

use std::collections::BTreeMap;
use std::time::Duration;

use tulipgap::*;

pub fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn handler(effect: Effect, skip_value: f64) -> Handler {
    Handler {
        response_target: ms(1000),
        target_stretch: 0.0,
        client_timeout: ms(3000),
        value: 1.0,
        effect,
        repeat_window: ms(2000),
        calls_below: true,
        skip_value,
    }
}

/// Two cores, a handler of each kind, and a dependency that survives two calls at once.
pub fn given() -> Given {
    Given {
        handlers: vec![
            handler(Effect::Replayable, 0.5),
            handler(Effect::Uniqued, 0.0),
            handler(Effect::NonReplayable, 0.0),
        ],
        tenants: vec![Tenant { allowance_per_s: 5.0 }, Tenant { allowance_per_s: 5.0 }],
        over_share_value: 0.1,
        cores: 2,
        memory_kb: 2000.0,
        run_factor: 4.0,
        key_kb: 20.0,
        cold: false,
        cold_speed: 0.25,
        warm_up: ms(10_000),
        crowd_limit: 4.0,
        crowd_span: ms(2000),
        answer_slack: ms(60),
        drain_grace: ms(1000),
        below: Below::Shared { share: 2.0, span: ms(5000), linger: ms(200) },
        halting: Halting::Drops,
        advice: Advice::Weight,
        max_wait: Some(ms(1000)),
        callers: 3,
        marks_retries: true,
        servers: 0,
        idle_link: ms(15_000),
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    Held,
    Joined,
    OnCore,
    AtCall,
    Calling,
}

#[derive(Clone, Debug)]
pub struct Seen {
    pub handler: usize,
    /// Which client's req it is a try of, where it is uniqued.
    pub mark: u64,
    pub reached: Duration,
    pub due: Duration,
    pub held_kb: f64,
    pub place: Place,
    pub ran: bool,
    pub answered: bool,
    pub gone: bool,
    pub repeats: bool,
    pub calls_end: Option<Duration>,
    /// Its last call may have run.
    pub call_ran: bool,
}

pub struct World {
    pub given: Given,
    pub decider: Decider,
    pub now: Duration,
    pub reqs: BTreeMap<Req, Seen>,
    pub pending: Vec<Event>,
    pub done: u32,
    pub last: Vec<Action>,
    /// The last value said to callers.
    pub advised: Option<f64>,
    /// Connections open, and after what time without use they are closed.
    pub links: f64,
    /// What wants a core beside the runs.
    pub reading: f64,
    pub idle: Duration,
    alarm: Option<Duration>,
    /// Remembered marks; one that has run out still marks what reached the server before.
    keys: Vec<(u64, Req, Duration)>,
    /// Marks that were run, with the arrival of the try that ran.
    runs: Vec<(u64, Duration)>,
    lingering: Vec<Duration>,
    calls: Vec<(Duration, Duration, f64)>,
    leave: Option<(Duration, Duration)>,
}

impl World {
    pub fn new(given: Given, seed: u64) -> Self {
        let decider = Decider::new(&given, seed).expect("the given figures make sense");
        let mut world = World {
            given,
            decider,
            now: Duration::ZERO,
            reqs: BTreeMap::new(),
            pending: Vec::new(),
            done: 0,
            last: Vec::new(),
            advised: None,
            links: 0.0,
            reading: 0.0,
            idle: Duration::MAX,
            alarm: None,
            keys: Vec::new(),
            runs: Vec::new(),
            lingering: Vec::new(),
            calls: Vec::new(),
            leave: None,
        };
        world.tell(vec![Event::Started]);
        world
    }

    /// Reads one req and tells of it.
    pub fn arrive(&mut self, handler: usize, age: u64, patience: Option<u64>, work: u64, mark: u64) -> Req {
        let req = (0..).find(|req| !self.reqs.contains_key(req)).unwrap();
        let reached = self.now.saturating_sub(ms(age));
        let uniqued = self.given.handlers[handler].effect == Effect::Uniqued;
        let live = |&(m, _, until): &(u64, Req, Duration)| m == mark && until >= reached;
        let repeats = uniqued && self.keys.iter().any(live);
        let due =
            patience.map_or(reached + self.given.handlers[handler].client_timeout, |p| self.now + ms(p));
        let seen = Seen {
            handler,
            mark,
            reached,
            due: due.max(self.now),
            held_kb: 40.0,
            place: Place::Held,
            ran: false,
            answered: false,
            gone: false,
            repeats,
            calls_end: None,
            call_ran: false,
        };
        self.reqs.insert(req, seen);
        self.tell(vec![Event::Arrived(Arrival {
            req,
            handler,
            tenant: Some(req % 2),
            age: ms(age),
            patience: patience.map(ms),
            work: (work > 0).then(|| ms(work)),
            held_kb: 40.0,
            retry: mark.is_multiple_of(5),
            repeats,
        })]);
        req
    }

    /// Hands events over and carries out, with suspicion, what comes back.
    pub fn tell(&mut self, events: Vec<Event>) {
        self.last = self.decider.decide(self.now, &events);
        for action in self.last.clone() {
            self.carry_out(&action);
        }
        self.check_crowds();
    }

    fn seen(&mut self, req: Req, action: &Action) -> &mut Seen {
        self.reqs.get_mut(&req).unwrap_or_else(|| panic!("{action:?} names a req that is over"))
    }

    fn carry_out(&mut self, action: &Action) {
        let (now, given, leave) = (self.now, self.given.clone(), self.leave);
        match *action {
            Action::Run { req } => {
                let seen = self.seen(req, action);
                assert!(
                    seen.place == Place::Held && !seen.answered,
                    "{action:?} of what is not held: {seen:?}"
                );
                let effect = given.handlers[seen.handler].effect;
                assert!(!seen.ran || effect == Effect::Replayable, "duplicate: run again: {seen:?}");
                assert!(
                    !seen.repeats || effect == Effect::Replayable,
                    "duplicate: a repeat is run: {seen:?}"
                );
                let late = leave.is_some_and(|(notice, _)| seen.reached > notice + given.drain_grace);
                assert!(!late, "drain: run after the grace: {seen:?}");
                (seen.place, seen.ran) = (Place::OnCore, true);
                let (mark, reached) = (seen.mark, seen.reached);
                let window = given.handlers[seen.handler].repeat_window;
                if effect == Effect::Uniqued {
                    let twin =
                        self.runs.iter().find(|run| run.0 == mark && run.1.abs_diff(reached) <= window);
                    assert!(twin.is_none(), "duplicate: {mark} ran in its window before: {twin:?}");
                    self.runs.push((mark, reached));
                }
            }
            Action::Shed { req, .. } => {
                let seen = self.seen(req, action);
                let effect = given.handlers[seen.handler].effect;
                assert!(!seen.ran || effect == Effect::Replayable, "duplicate: shed after a run: {seen:?}");
                assert!(
                    !seen.repeats || effect == Effect::Replayable,
                    "duplicate: a repeat is shed: {seen:?}"
                );
                self.answer(req, action);
            }
            Action::Fail { req, .. } => {
                self.answer(req, action);
            }
            Action::Stop { req } => {
                assert!(given.halting != Halting::Never, "a stop where nothing can be stopped");
                let seen = self.seen(req, action);
                if seen.place == Place::OnCore {
                    let over = seen.answered || seen.gone;
                    assert!(over, "stopped without an answer: {seen:?}");
                    self.pending.push(Event::Ended { req, outcome: Outcome::Stopped });
                }
            }
            Action::Join { req } => {
                let seen = self.seen(req, action);
                assert!(seen.repeats && seen.place == Place::Held, "joined to nothing: {seen:?}");
                seen.place = Place::Joined;
            }
            Action::Remember { req, span } => {
                let mark = self.seen(req, action).mark;
                self.keys.push((mark, req, now + span));
            }
            Action::Forget { req } => {
                let seen = self.seen(req, action).clone();
                assert!(!seen.ran, "duplicate: forgotten after a run");
                self.keys.retain(|key| (key.0, key.1) != (seen.mark, req));
            }
            Action::Call { req, patience } => {
                let linger = self.linger();
                let seen = self.seen(req, action);
                assert_eq!(seen.place, Place::AtCall, "a call from elsewhere: {seen:?}");
                let again = given.handlers[seen.handler].effect == Effect::Replayable;
                assert!(!seen.call_ran || again, "duplicate: a call that may have run is repeated: {seen:?}");
                seen.place = Place::Calling;
                seen.calls_end = Some(now + patience + linger);
            }
            Action::SkipCall { req } => {
                let seen = self.seen(req, action);
                assert_eq!(seen.place, Place::AtCall, "a skip from elsewhere: {seen:?}");
                assert!(given.handlers[seen.handler].skip_value > 0.0, "a call skipped that may not be");
                (seen.place, seen.call_ran) = (Place::OnCore, false);
            }
            Action::Advise { value } => {
                assert!(given.advice != Advice::Nothing && value >= 0.0, "advice that nobody takes");
                self.advised = Some(value);
            }
            Action::CloseIdle { after } => {
                assert!(after > Duration::ZERO && after <= given.idle_link, "closed after {after:?}");
                self.idle = after;
            }
            Action::Health { .. } => {}
            Action::Alarm { at } => self.alarm = Some(at.max(now + ms(1))),
            Action::Over { req } => {
                let seen = self.seen(req, action);
                assert!(seen.answered || seen.gone, "lost: over without an answer: {seen:?}");
                self.reqs.remove(&req);
            }
        }
    }

    fn answer(&mut self, req: Req, action: &Action) {
        let (now, slack) = (self.now, self.given.answer_slack);
        let seen = self.seen(req, action);
        assert!(!seen.answered, "lost: a second answer: {seen:?}");
        assert!(seen.gone || now <= seen.due + slack, "lost: answered at {now:?}: {seen:?}");
        seen.answered = true;
        if matches!(seen.place, Place::AtCall | Place::Calling) {
            self.pending.push(Event::Ended { req, outcome: Outcome::Stopped });
        }
    }

    fn check_crowds(&mut self) {
        let now = self.now;
        let keys = self.keys.iter().filter(|key| key.2 > now).count() as f64;
        let running = |seen: &&Seen| !matches!(seen.place, Place::Held | Place::Joined);
        let held: f64 = self.reqs.values().map(|seen| seen.held_kb).sum();
        let runs: f64 = self.reqs.values().filter(running).map(|seen| seen.held_kb).sum();
        let need = held + runs * (self.given.run_factor - 1.0) + keys * self.given.key_kb;
        assert!(need <= self.given.memory_kb, "fall-over: {need} kB needed");
        let on_cores = self.reqs.values().filter(|seen| seen.place == Place::OnCore).count() as f64;
        let warmth = match self.given.cold {
            false => 1.0,
            true => {
                let part = now.as_secs_f64() / self.given.warm_up.as_secs_f64();
                (self.given.cold_speed + (1.0 - self.given.cold_speed) * part).min(1.0)
            }
        };
        let limit = f64::from(self.given.cores) * (1.0 + (self.given.crowd_limit - 1.0) * warmth);
        assert!(on_cores <= limit, "fall-over: {on_cores} on the cores, {limit} survivable");
        if let Below::Shared { share, span, .. } = self.given.below {
            let overlap = |&(from, to, count): &(Duration, Duration, f64)| {
                count * to.saturating_sub(from.max(now.saturating_sub(span))).as_secs_f64()
            };
            let mean = self.calls.iter().map(overlap).sum::<f64>() / span.as_secs_f64();
            assert!(mean <= share, "fall-over: {mean} calls in hand over the span");
        }
    }

    /// How long a call given up may stay in the hands of what lies below.
    fn linger(&self) -> Duration {
        match self.given.below {
            Below::Shared { linger, .. } => linger,
            _ => Duration::ZERO,
        }
    }

    fn calls_in_hand(&self) -> f64 {
        let calling = self.reqs.values().filter(|seen| seen.place == Place::Calling).count();
        (calling + self.lingering.iter().filter(|&&end| end > self.now).count()) as f64
    }

    /// Lets time pass; alarms come when they are due, calls that were given up come back.
    pub fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            let next = self.alarm.map_or(until, |at| at.min(until)).max(self.now);
            self.calls.push((self.now, next, self.calls_in_hand()));
            self.now = next;
            if let Some((_, stop)) = self.leave
                && self.now >= stop
            {
                let unanswered = self.reqs.values().find(|seen| !seen.answered && !seen.gone);
                assert!(unanswered.is_none(), "drain: not answered at the stop: {unanswered:?}");
                return;
            }
            let mut events = std::mem::take(&mut self.pending);
            self.settle(&events);
            for (&req, seen) in &mut self.reqs {
                if seen.place == Place::Calling && seen.calls_end.is_some_and(|end| end <= next) {
                    (seen.place, seen.call_ran) = (Place::AtCall, true);
                    events.push(Event::CallEnded { req, outcome: Outcome::TimedOut });
                }
            }
            if self.alarm.is_some_and(|at| at <= self.now) {
                self.alarm = None;
                let runs = self.reqs.values().filter(|seen| seen.place == Place::OnCore).count() as f64;
                let on_cores = runs + self.reading;
                let busy = (on_cores / f64::from(self.given.cores)).min(1.0);
                let links = Some(self.links);
                let gauges = Gauges { cores_busy: Some(busy), on_cores: Some(on_cores), links };
                events.push(Event::Alarm { gauges });
            }
            self.tell(events);
            let slack = self.given.answer_slack;
            let late = self.reqs.values().find(|s| !s.answered && !s.gone && self.now > s.due + slack);
            assert!(late.is_none(), "lost: no answer at {:?}: {late:?}", self.now);
        }
    }

    /// Books what pending ends do before the module hears of them.
    fn settle(&mut self, events: &[Event]) {
        let linger = self.linger();
        for event in events {
            if let Event::Ended { req, .. } = event
                && let Some(seen) = self.reqs.get(req)
                && seen.place == Place::Calling
            {
                self.lingering.push(self.now + linger);
            }
        }
    }

    /// Tells of an end or a step of the `nth` req at `place`, if there is one.
    pub fn nth(&self, place: Place, nth: usize) -> Option<Req> {
        let there: Vec<Req> = self.reqs.iter().filter(|(_, s)| s.place == place).map(|(&r, _)| r).collect();
        (!there.is_empty()).then(|| there[nth % there.len()])
    }

    pub fn finish(&mut self, req: Req, outcome: Outcome) {
        let seen = self.reqs.get_mut(&req).unwrap();
        self.done += u32::from(!seen.answered && outcome == Outcome::Done);
        seen.answered = true;
        self.pending.retain(|event| !matches!(event, Event::Ended { req: other, .. } if *other == req));
        self.tell(vec![Event::Ended { req, outcome }]);
    }

    pub fn reach_call(&mut self, req: Req) {
        let seen = self.reqs.get_mut(&req).unwrap();
        seen.place = Place::AtCall;
        (seen.call_ran, seen.calls_end) = (false, None);
        let over = seen.answered || seen.gone;
        self.pending.retain(|event| !matches!(event, Event::Ended { req: other, .. } if *other == req));
        match over {
            true => self.tell(vec![Event::Ended { req, outcome: Outcome::Stopped }]),
            false => self.tell(vec![Event::AtCall { req }]),
        }
    }

    pub fn end_call(&mut self, req: Req, outcome: Outcome) {
        let seen = self.reqs.get_mut(&req).unwrap();
        seen.place = if outcome == Outcome::Done { Place::OnCore } else { Place::AtCall };
        seen.call_ran = !matches!(outcome, Outcome::Done | Outcome::Full | Outcome::Unreachable);
        self.tell(vec![Event::CallEnded { req, outcome }]);
    }

    pub fn go(&mut self, req: Req) {
        let seen = self.reqs.get_mut(&req).unwrap();
        seen.gone = true;
        if matches!(seen.place, Place::AtCall | Place::Calling) && !seen.answered {
            self.pending.push(Event::Ended { req, outcome: Outcome::Stopped });
        }
        self.tell(vec![Event::Gone { req }]);
    }

    pub fn leave(&mut self, left: Duration) {
        if self.leave.is_none() {
            self.leave = Some((self.now, self.now + left));
            self.tell(vec![Event::Leave { since: ms(0), left }]);
        }
    }
}
