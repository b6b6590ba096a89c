//! All decisions. A host makes one [`Decider`] when its server starts, from what it was given and a seed, and
//! then calls [`Decider::decide`] with whatever has happened; it carries out the actions that come back, in
//! order. The types of both are in `interface.rs`. docs/design.md tells why each rule is as it is.
//!
//! Every figure tuned by hand is a constant right below.

use std::cmp::Reverse;
use std::time::Duration;

use crate::interface::*;
use crate::ring::Ring;
use crate::state::*;

/// Between two looks at the clock, at the longest and shortest: how late an overdue answer can be.
const BEAT: Duration = Duration::from_millis(25);
const BEAT_LEAST: Duration = Duration::from_millis(5);
/// Width of the buckets in which measures are kept.
const BUCKET: Duration = Duration::from_millis(250);
/// Between two steps of the dimmer, and the window of its mean.
const PERIOD: Duration = Duration::from_millis(500);
const WINDOW: Duration = Duration::from_millis(2000);
/// Pole of the dimmer's closed loop and its derivative gain.
const POLE: f64 = 0.6;
const DERIVATIVE: f64 = 0.2;
/// The setpoint of t, as a part of the mean response target.
const SETPOINT: f64 = 0.6;
/// Below this the dimmer counts as zero and its estimator is frozen.
const NEAR_ZERO: f64 = 0.02;
/// Gains of the admission loop on the relative error, its floor, and the recovery, each a step.
const SHARE_PROPORTIONAL: f64 = 0.3;
const SHARE_INTEGRAL: f64 = 0.15;
const SHARE_FLOOR: f64 = 0.05;
const SHARE_RECOVERY: f64 = 0.05;
/// From this gauge on the cores count as nearly all busy.
const NEARLY_BUSY: f64 = 0.9;
/// A req is taken while its predicted answer comes within this part of its response target, and stays held
/// within the other.
const PROMISE: f64 = 0.65;
const PROMISE_HELD: f64 = 1.0;
/// How much of the work of higher levels that comes is thought to overtake, and how much of the cap at most.
const OVERTAKING: f64 = 0.4;
const OVERTAKING_MOST: f64 = 0.6;
/// How far a hint of work may be off, where trying costs nobody a core; less where others are likely faster.
const BENEFIT: f64 = 4.0;
const BENEFIT_AILING: f64 = 2.0;
/// Mean time unread, as a part of the setpoint, from which callers are asked to send less; how fast the wish
/// for traffic recovers each step, and its floor.
const UNREAD_PART: f64 = 0.15;
const WANTED_RECOVERY: f64 = 0.05;
const WANTED_FLOOR: f64 = 0.1;
/// Part of the cores that goes into reading what is shed, from which the wish falls too, or where that cuts
/// whatever its value, and by how much.
const WASTED: f64 = 0.04;
const WASTED_BLIND: f64 = 0.08;
const WASTED_FALL: f64 = 0.9;
/// Reqs by which a tenant may be ahead of its part of what is taken, or behind, and the span over which what
/// comes is held against what all tenants may send.
const FAIR_BURST: f64 = 5.0;
const SHARE_SPAN: Duration = Duration::from_secs(5);
/// Part of arrivals that are retries, or that are shed (retries need not be marked), from which callers are
/// asked not to try elsewhere.
const RETRIED: f64 = 0.1;
const FULL_WHEN_SHED: f64 = 0.5;
/// The part of the cores that runs keep beside reading.
const LANES_LEAST: f64 = 0.34;
/// Mean time unread, as a part of the setpoint, from which reading gets all it wants.
const DROWNED: f64 = 0.5;
/// Connections for each core from which they crowd the table, while most callers have none.
const TABLE_CROWD: f64 = 6.0;
/// Reqs read for each done, and what wants a core beside our runs, for each core, from which the table is
/// left to fill; the part of the cores busy below which it is emptied again; how the time that a connection
/// may stay idle then changes each step, how it recovers otherwise, and its floor.
const TABLE_TRIES: f64 = 6.0;
const TABLE_STORM: f64 = 1.75;
const TABLE_STARVED: f64 = 0.4;
const IDLE_FALL: f64 = 0.3;
const IDLE_RISE: f64 = 3.0;
const IDLE_RECOVERY: f64 = 1.02;
const IDLE_LEAST: Duration = Duration::from_millis(300);
/// Reqs out here for each core that callers are granted at the least, and beyond that at full appetite.
const CREDIT_LEAST: f64 = 0.5;
const CREDIT_MORE: f64 = 3.5;
/// Of the crowd, memory and calls that are survivable, the part that is used.
const SAFE: f64 = 0.9;
/// Of the memory, the part that held reqs may take.
const HOLD_MEMORY: f64 = 0.5;
/// Calls in hand for each core, where what lies below tells no share.
const CALLS_PER_CORE: f64 = 4.0;
/// Tries of one call, where the one before is known not to have run or the req may run again.
const CALL_TRIES: u32 = 3;
/// A call that may be made again waits so many usual times, or that part of the time left, if that is more.
const CALL_PATIENCE: f64 = 8.0;
const CALL_PATIENCE_LEAST: f64 = 0.15;
/// The part of recent calls without a reply in time up to which these count as lost, and not as slow.
const CALLS_LATE_FEW: f64 = 0.1;
/// Times its usual time, known from so many, from which a call counts as slow; how much of a call's time
/// enters the usual one, and of a slow one's; how the dimmer's ceiling falls with each, rises, and its floor.
const CALL_SLOW: f64 = 6.0;
const CALLS_LEAST: f64 = 20.0;
const CALL_LEARNT: f64 = 0.02;
const CALL_DRIFTS: f64 = 0.002;
const CEILING_FALL: f64 = 0.7;
const CEILING_RISE: f64 = 0.05;
const CEILING_LEAST: f64 = 0.3;
/// Times its usual pace from which a server takes itself to be in trouble of its own.
const AILING: f64 = 1.7;
/// The work of a req that tells none, at first, how fast it is learnt from each done, and its floor.
const UNTOLD_WORK: f64 = 0.1;
const UNTOLD_LEARNT: f64 = 0.05;
const UNTOLD_LEAST: f64 = 0.001;
const UNTOLD_LONG: f64 = 1.25;
/// Reqs of mean work at the usual pace that the measure of pace starts from.
const PACE_PRIOR: f64 = 6.0;
/// How much of the measured pace enters the usual one each beat, while it is better or new, or else worse.
const PACE_LEARNT: f64 = 0.02;
const PACE_DRIFTS: f64 = 0.0005;
const LEARNING: Duration = Duration::from_secs(4);
/// The part of recent runs that errored, and how many at the least, from which a server turns traffic away.
const FAILING: f64 = 0.4;
const FAILING_LEAST: f64 = 3.0;
/// The part of the cores busy from which traffic stays welcome after the notice to leave.
const LEAVING_BUSY: f64 = 0.7;
/// Time before the stop by which all must be answered, so that a pause does not carry any past it.
const LEAVE_MARGIN: Duration = Duration::from_millis(500);

pub struct Decider {
    aims: Vec<Aims>,
    levels: usize,
    purses: Vec<Purse>,
    /// Reqs a second that all tenants together may send to one server, where that is told.
    quota_per_s: Option<f64>,
    setpoint: f64,
    cores: f64,
    /// Reqs on the cores that a server survives when warm, and at its coldest.
    crowd_warm: f64,
    crowd_cold: f64,
    warm_at: f64,
    memory_kb: f64,
    run_factor: f64,
    key_kb: f64,
    drain_grace: Duration,
    /// Seconds of calls in hand that the dependency grants over `calls_span`, where it tells them.
    calls_granted: Option<f64>,
    calls_span: Duration,
    linger: Duration,
    /// Some reqs make calls that may not be left out.
    mandatory: bool,
    stoppable: bool,
    advice: Advice,
    /// Part of the cores that may go into reading what is shed before callers are asked for less.
    bearable_waste: f64,
    max_wait: Option<Duration>,

    rng: fastrand::Rng,
    ring: Ring,
    reqs: Vec<Option<Entry>>,
    /// The hold: short and long work, each by falling level and then by response target.
    short: Vec<Req>,
    long: Vec<Req>,
    standing: Vec<Req>,
    /// When calls given up leave the hands of what lies below.
    lingering: Vec<Duration>,
    /// When remembered keys are forgotten.
    keys: Vec<Duration>,
    on_core: usize,
    calling: usize,
    used_kb: f64,
    held_kb: f64,

    now: Duration,
    /// Time that the process stood still, which measures leave out.
    stalled: f64,
    stall_end: Duration,
    stall_span: f64,
    beat: Duration,
    beat_due: Duration,
    step_due: Duration,
    busy: f64,
    /// What wants a core beside our runs, reading above all.
    reading: f64,
    cap: f64,
    dimmer: f64,
    alpha: f64,
    error: f64,
    admitted: f64,
    /// Seconds on a core for a unit of work, now and usually.
    pace: f64,
    usual_pace: f64,
    /// Seconds that a call usually takes, from how many that is known, and the most that the dimmer may be.
    usual_call: f64,
    calls_known: f64,
    ceiling: f64,
    /// The part of the usual traffic that is wanted, and what callers were told last.
    wanted: f64,
    advised: f64,
    callers: f64,
    /// When idle connections are closed, and when callers do so by themselves.
    idle: Duration,
    idle_most: Duration,
    /// The table of connections is left to fill.
    storm: bool,
    leaving: Option<Leaving>,
    /// Retries are marked as such.
    marked: bool,
}

impl Decider {
    pub fn new(given: &Given, seed: u64) -> Result<Self, GivenError> {
        given.check()?;
        let mut values: Vec<f64> = given.handlers.iter().map(|h| h.value).collect();
        values.extend(given.handlers.iter().map(|h| h.value * given.over_share_value));
        values.sort_by(f64::total_cmp);
        values.dedup();
        let level = |value: f64| values.partition_point(|&other| other < value);
        let aims: Vec<Aims> = (given.handlers.iter())
            .map(|h| {
                let calls = h.calls_below && given.below != Below::Nothing;
                Aims::of(h, calls, level(h.value), level(h.value * given.over_share_value), UNTOLD_WORK)
            })
            .collect();
        let allowances: f64 = given.tenants.iter().map(|t| t.allowance_per_s).sum();
        let purse =
            |t: &Tenant| Purse { part: t.allowance_per_s / allowances.max(f64::MIN_POSITIVE), left: 1.0 };
        let (calls_granted, calls_span, linger) = match given.below {
            Below::Shared { share, span, linger } => (Some(share * span.as_secs_f64() * SAFE), span, linger),
            _ => (None, Duration::ZERO, Duration::ZERO),
        };
        let targets: f64 = aims.iter().map(|a| a.target.as_secs_f64()).sum();
        let cores = f64::from(given.cores);
        let beat = (given.answer_slack / 2).clamp(BEAT_LEAST, BEAT);
        let crowd = |speed: f64| cores * (1.0 + (given.crowd_limit - 1.0) * speed);
        let pace = if given.cold { 1.0 / given.cold_speed.max(0.05) } else { 1.0 };
        let ring_span = calls_span.max(Duration::from_secs(5));
        Ok(Decider {
            setpoint: SETPOINT * targets / aims.len() as f64,
            levels: values.len(),
            quota_per_s: (given.servers > 0 && allowances > 0.0)
                .then(|| allowances / f64::from(given.servers)),
            purses: given.tenants.iter().map(purse).collect(),
            cores,
            crowd_warm: crowd(1.0),
            crowd_cold: crowd(given.cold_speed),
            warm_at: if given.cold { given.warm_up.as_secs_f64() } else { 0.0 },
            memory_kb: given.memory_kb * SAFE,
            run_factor: given.run_factor,
            key_kb: given.key_kb,
            drain_grace: given.drain_grace,
            calls_granted,
            calls_span,
            linger,
            mandatory: aims.iter().any(|a| a.calls && !a.skippable),
            stoppable: given.halting != Halting::Never,
            advice: given.advice,
            // Credit moves what is not sent here, a level spares what is worth most; a weight is blind.
            bearable_waste: if given.advice == Advice::Weight { WASTED_BLIND } else { WASTED },
            max_wait: given.max_wait,
            rng: fastrand::Rng::with_seed(seed),
            ring: Ring::new(BUCKET, ring_span, LEVELS + values.len()),
            aims,
            reqs: Vec::new(),
            short: Vec::new(),
            long: Vec::new(),
            standing: Vec::new(),
            lingering: Vec::new(),
            keys: Vec::new(),
            on_core: 0,
            calling: 0,
            used_kb: 0.0,
            held_kb: 0.0,
            now: Duration::ZERO,
            stalled: 0.0,
            stall_end: Duration::ZERO,
            stall_span: 0.0,
            beat,
            beat_due: beat,
            step_due: PERIOD,
            busy: 0.0,
            reading: 0.0,
            cap: cores,
            dimmer: 1.0,
            alpha: 0.1,
            error: 0.0,
            admitted: 1.0,
            pace,
            usual_pace: 1.0,
            usual_call: 0.0,
            calls_known: 0.0,
            ceiling: 1.0,
            wanted: 1.0,
            advised: -1.0,
            callers: f64::from(given.callers.max(1)),
            idle: given.idle_link,
            idle_most: given.idle_link,
            storm: false,
            leaving: None,
            marked: given.marks_retries,
        })
    }

    /// Takes what happened, in order, and returns what is to be done, in order.
    pub fn decide(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.pass_time(now);
        for event in events {
            match event {
                Event::Started => {
                    out.push(Action::Health { good: true });
                    out.push(Action::Alarm { at: self.beat_due });
                }
                Event::Arrived(arrival) => self.arrived(arrival, &mut out),
                Event::Ended { req, outcome } => self.ended(*req, *outcome, &mut out),
                Event::Gone { req } => self.gone(*req, &mut out),
                Event::AtCall { req } => self.at_call(*req, &mut out),
                Event::CallEnded { req, outcome } => self.call_ended(*req, *outcome, &mut out),
                Event::Alarm { gauges } => self.beat(gauges, &mut out),
                Event::Leave { since, left } => self.leave(*since, *left, &mut out),
            }
        }
        self.retry_standing(&mut out);
        self.fill_cores(&mut out);
        out
    }

    /// The ordinary path of a req, from its reading to the hold.
    fn arrived(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let Some(aims) = self.aims.get(arrival.handler) else {
            return;
        };
        // Where reqs tell no work, a handler's work is learnt from what was done: else all would look alike.
        let guessed = arrival.work.is_none();
        let work = arrival.work.map_or(aims.work, |work| work.as_secs_f64());
        let reached = self.now.saturating_sub(arrival.age);
        let due =
            arrival.patience.map_or(reached.saturating_add(aims.timeout), |p| self.now.saturating_add(p));
        let target =
            reached.saturating_add(aims.target).saturating_add(seconds(aims.stretch * work)).min(due);
        let (effect, repeat_window) = (aims.effect, aims.repeat_window);
        // What a tenant sends beyond its share is worth little: it ranks below all that is within.
        let purse = arrival.tenant.and_then(|tenant| self.purses.get(tenant));
        let over = purse.is_some_and(|purse| purse.left < self.ahead_of_share());
        let level = if over { aims.over_level } else { aims.level };
        // Pauses must not steer: what of its age the process stood still is not the load's doing.
        let stood_still = self.stall_end.saturating_sub(reached).as_secs_f64().min(self.stall_span);
        let (mean, held_kb) = (self.mean_work(), arrival.held_kb.max(0.0).min(self.memory_kb * 2.0));
        if self.reqs.len() <= arrival.req {
            self.reqs.resize_with(arrival.req + 1, || None);
        }
        if self.reqs[arrival.req].is_some() {
            return;
        }
        self.reqs[arrival.req] = Some(Entry {
            handler: arrival.handler,
            level,
            held_kb,
            work,
            // A guess marks a handler, not a req: only one clearly longer than the rest goes to the long
            // line.
            long: work > if guessed { mean * UNTOLD_LONG } else { mean },
            over,
            retry: arrival.retry,
            reached,
            target,
            due,
            stalled: self.stalled - stood_still,
            guessed,
            ..Entry::default()
        });
        self.used_kb += held_kb;
        self.held_kb += held_kb;
        self.ring.add(ARRIVED, 1.0);
        self.ring.add(ARRIVED_WORK, work);
        self.ring.add(RETRIES, f64::from(u8::from(arrival.retry)));
        self.ring.add(LEVELS + level, 1.0);
        self.ring.add(UNREAD, arrival.age.as_secs_f64() - stood_still);

        // No effect twice: a repeat of a uniqued req is never run, nor shed, as the first may have run.
        if arrival.repeats && effect != Effect::Replayable {
            self.entry(arrival.req).state = State::Joined;
            let stopping = self.leaving.as_ref().is_some_and(|leaving| self.now >= leaving.answer_by);
            if stopping || self.used_kb > self.memory_kb {
                let reason = if stopping { Reason::Stopping } else { Reason::Memory };
                return self.give_up(arrival.req, false, reason, out);
            }
            return out.push(Action::Join { req: arrival.req });
        }
        // Safe drain: what came too late after the notice is not run.
        if let Some(leaving) = &self.leaving
            && (reached > leaving.run_until || self.now >= leaving.answer_by)
        {
            return self.give_up(arrival.req, true, Reason::Draining, out);
        }
        let key_kb = if effect == Effect::Uniqued { self.key_kb } else { 0.0 };
        let no_room = self.held_kb > self.memory_kb * HOLD_MEMORY || self.used_kb + key_kb > self.memory_kb;
        let failing = self.failing();
        let errs = failing > 0.0 && self.rng.f64() < failing;
        let refused = if no_room {
            Some(Reason::Memory)
        } else if errs {
            Some(Reason::Failing)
        } else if !self.drawn_in(level) {
            Some(Reason::Share)
        } else {
            let in_time = self.in_time(arrival.req, self.ahead_of(arrival.req), PROMISE);
            (!in_time).then_some(Reason::Late)
        };
        if let Some(reason) = refused {
            self.ring.add(SHED, 1.0);
            let elsewhere = self.elsewhere(arrival.req);
            return self.give_up(arrival.req, elsewhere, reason, out);
        }
        for (tenant, purse) in self.purses.iter_mut().enumerate() {
            let taken = f64::from(u8::from(arrival.tenant == Some(tenant)));
            purse.left = (purse.left + purse.part - taken).clamp(-FAIR_BURST, FAIR_BURST);
        }
        if effect == Effect::Uniqued {
            let until = reached.saturating_add(repeat_window).saturating_add(BUCKET);
            let span = until.saturating_sub(self.now);
            let until = until.max(self.now);
            self.entry(arrival.req).key = Some(until);
            self.keys.push(until);
            self.used_kb += self.key_kb;
            out.push(Action::Remember { req: arrival.req, span });
        }
        self.hold(arrival.req);
    }

    /// Whether a shed req is worth another try. Few retries among what arrives, and most of it taken: others
    /// still take what this server sheds. Else the fleet is full, and one more try only costs a reading.
    /// Retries without a mark are not seen: there only a server that is leaving or errs sends reqs on.
    /// Guards against storms of tries; harms on a server that is the only full one.
    fn elsewhere(&self, req: Req) -> bool {
        let Some(e) = self.reqs[req].as_ref() else { return false };
        let worth_it = !e.over && e.target.saturating_sub(e.reached) / 2 < e.target.saturating_sub(self.now);
        // One retry or shed among the few that arrive in a window proves nothing.
        let arrived = self.ring.sum(ARRIVED, WINDOW);
        let few = |measure: usize, part: f64| self.ring.sum(measure, WINDOW) <= part * arrived + 1.0;
        let room = few(RETRIES, RETRIED) && few(SHED, FULL_WHEN_SHED);
        let unfit = self.leaving.is_some() || self.failing() > 0.0;
        worth_it && !e.retry && (unfit || self.marked && (self.ailing() || room))
    }

    /// The purse under which a tenant is beyond its share. While no more comes than all may send to one
    /// server, none is: purses walk at random, and a low rank would shed what there is room for. Of more, as
    /// large a part is beyond as there is more. Harms where one tenant floods a fleet that others leave idle.
    fn ahead_of_share(&self) -> f64 {
        let Some(quota) = self.quota_per_s else { return 1.0 };
        let span = SHARE_SPAN.min(self.now).max(Duration::from_secs(1));
        let firsts = self.ring.sum(ARRIVED, SHARE_SPAN) - self.ring.sum(RETRIES, SHARE_SPAN);
        let rate = firsts / span.as_secs_f64();
        FAIR_BURST * (1.0 - 2.0 * quota / rate.max(quota))
    }

    /// Puts a req in its line, behind what ranks higher or must be answered sooner.
    fn hold(&mut self, req: Req) {
        let Some(entry) = self.reqs[req].as_ref() else {
            return;
        };
        let line = if entry.long { &self.long } else { &self.short };
        let at = line.partition_point(|&other| {
            self.reqs[other].as_ref().is_none_or(|other| place(other) <= place(entry))
        });
        if entry.long { self.long.insert(at, req) } else { self.short.insert(at, req) }
    }

    /// The admitted share, spent on the highest levels first; a coin decides only within the marginal one.
    fn drawn_in(&mut self, level: usize) -> bool {
        if self.admitted >= 1.0 {
            return true;
        }
        let count = |l: usize| self.ring.sum(LEVELS + l, WINDOW);
        let above: f64 = (level + 1..self.levels).map(count).sum();
        let all: f64 = (0..self.levels).map(count).sum();
        self.rng.f64() * count(level) < self.admitted * all - above
    }

    /// Held work that goes before a req.
    fn ahead_of(&self, req: Req) -> f64 {
        let Some(e) = self.reqs[req].as_ref() else { return 0.0 };
        let held = self.short.iter().chain(&self.long).filter_map(|&r| self.reqs[r].as_ref());
        held.filter(|other| place(other) <= place(e)).map(|other| other.work).sum()
    }

    /// Whether a req behind that much work is likely to be done within `part` of its response target.
    fn in_time(&self, req: Req, ahead: f64, part: f64) -> bool {
        let Some(e) = self.reqs[req].as_ref() else { return false };
        let wait = if (self.on_core as f64) < self.cap && ahead == 0.0 {
            0.0
        } else {
            // What ranks higher and comes while it waits goes first too.
            (ahead + self.mean_work()) * self.pace / self.cap / (1.0 - self.overtaking(e.level))
        };
        // The dimmer leaves out only what may be left out.
        let aims = &self.aims[e.handler];
        let calls = if aims.skippable { self.dimmer } else { aims.calls_each };
        let call = if aims.calls { self.call_time() * calls } else { 0.0 };
        let response = (self.now - e.reached).as_secs_f64() + wait + e.work * self.pace + call;
        // With a core free nothing else is delayed, so a hint that may be wrong is given the benefit.
        let benefit = if self.ailing() { BENEFIT_AILING } else { BENEFIT };
        let part = if wait == 0.0 { part * benefit } else { part };
        response <= e.target.saturating_sub(e.reached).as_secs_f64() * part
    }

    /// The part of the running cap that work of higher levels takes as it comes.
    fn overtaking(&self, level: usize) -> f64 {
        let higher: f64 = (level + 1..self.levels).map(|l| self.ring.sum(LEVELS + l, WINDOW)).sum();
        let work = higher * self.mean_work() / WINDOW.as_secs_f64();
        (OVERTAKING * work * self.pace / self.cap).min(OVERTAKING_MOST)
    }

    /// Starts held reqs while the running cap and the memory allow.
    fn fill_cores(&mut self, out: &mut Vec<Action>) {
        while (self.on_core as f64) < self.lanes()
            && (self.on_core + self.calling + self.standing.len() + 1) as f64
                <= (self.crowd() * SAFE).max(1.0)
        {
            let Some(req) = self.next() else { return };
            let now = self.now;
            if self.entry(req).target < now {
                self.give_up(req, false, Reason::Missed, out);
                continue;
            }
            let more_kb = self.entry(req).held_kb * (self.run_factor - 1.0);
            if self.used_kb + more_kb > self.memory_kb {
                return;
            }
            self.unline(req);
            self.used_kb += more_kb;
            self.held_kb -= self.entry(req).held_kb;
            self.go_on_core(req);
            out.push(Action::Run { req });
        }
    }

    /// Runs that the cores bear beside the reading that goes on: crowded cores do less in all, and starving
    /// the reading leaves reqs unread until they are late. Guards against floods; at rest it never binds.
    fn lanes(&self) -> f64 {
        let spare = self.cores - self.reading;
        // Drowned: what is read is late already, and answers reach nobody until the reading has caught up.
        // With nothing done for a whole window it does not catch up.
        let unread = self.per_arrival(UNREAD, BUCKET);
        let drowned = unread > DROWNED * self.setpoint && self.ring.sum(DONE, WINDOW) > 0.0;
        if drowned { spare } else { spare.max(self.cores * LANES_LEAST) }.min(self.cap)
    }

    /// The better head of the two lines; long work leaves a core to short work that waits.
    fn next(&self) -> Option<Req> {
        let (Some(&short), Some(&long)) = (self.short.first(), self.long.first()) else {
            return self.short.first().or(self.long.first()).copied();
        };
        let (s, l) = (self.reqs[short].as_ref()?, self.reqs[long].as_ref()?);
        let on_core = |e: &&Entry| e.state == State::OnCore && e.long;
        let longs = self.reqs.iter().flatten().filter(on_core).count();
        let crowded = longs as f64 >= self.cap - 1.0;
        Some(if crowded || place(s) <= place(l) { short } else { long })
    }

    fn at_call(&mut self, req: Req, out: &mut Vec<Action>) {
        if !self.reqs.get(req).is_some_and(|e| e.as_ref().is_some_and(|e| e.state == State::OnCore)) {
            return;
        }
        self.leave_core(req, State::AtCall);
        if !self.entry(req).answered {
            self.standing.push(req);
            self.make_call(req, out);
        }
    }

    /// Makes the call that a req stands at, or goes on without it; else it stays where it stands.
    fn make_call(&mut self, req: Req, out: &mut Vec<Action>) {
        let (dimmer, draw) = (self.dimmer, self.rng.f64());
        let (now, call_time) = (self.now, self.call_time());
        let entry = self.entry(req);
        let drawn = *entry.calls.get_or_insert(draw < dimmer);
        let left = entry.target.saturating_sub(now).as_secs_f64();
        let due = entry.due.saturating_sub(now);
        let (handler, tries) = (entry.handler, entry.call_tries);
        let again = tries == 0 || entry.call_again;
        let (skippable, effect) = (self.aims[handler].skippable, self.aims[handler].effect);
        let mut patience = if skippable { seconds(left * 0.5) } else { due };
        // Guards against replies that never come: given up early, the call can be made again in time. Harms
        // where a few calls take far longer than most; where many do, what lies below is slow, and this does
        // not act.
        let may_again = skippable && effect == Effect::Replayable && tries + 1 < CALL_TRIES;
        if may_again && call_time > 0.0 && self.few_calls_late() {
            patience = patience.min(seconds((CALL_PATIENCE * call_time).max(CALL_PATIENCE_LEAST * left)));
        }
        let mut kept = 0.0;
        if let Some(granted) = self.calls_granted {
            patience = patience.min(seconds(granted / 4.0));
            // What may be left out leaves room for one that may not, as far as two of its own fit. Guards
            // against mandatory calls that stand while all parts are spent, and come back at once.
            if skippable && self.mandatory {
                let (linger, own) = (self.linger.as_secs_f64(), patience.as_secs_f64());
                kept = (granted / 4.0 + linger).min(granted - 2.0 * (own + linger)).max(0.0);
            }
        }
        let room = self.call_room(patience.saturating_add(seconds(kept))) && patience > self.beat;
        if skippable && (!drawn || !room || !again || left * 0.5 < call_time) {
            // One call left out makes the answer poorer already: the others would be made for nothing.
            self.entry(req).calls = Some(false);
            self.standing.retain(|&other| other != req);
            self.go_on_core(req);
            out.push(Action::SkipCall { req });
        } else if room {
            self.standing.retain(|&other| other != req);
            self.calling += 1;
            let entry = self.entry(req);
            entry.state = State::Calling;
            entry.called = now;
            entry.call_until = now.saturating_add(patience);
            entry.call_tries += 1;
            entry.calls_made += 1;
            out.push(Action::Call { req, patience });
        }
    }

    /// Whether one more call keeps this server within its part of what the dependency survives.
    fn call_room(&self, patience: Duration) -> bool {
        let Some(granted) = self.calls_granted else {
            return (self.calling as f64) < self.cores * CALLS_PER_CORE;
        };
        let past = self.ring.sum(CALLS_IN_HAND, self.calls_span);
        let until =
            |e: &Entry| e.call_until.saturating_add(self.linger).saturating_sub(self.now).as_secs_f64();
        let calling = self.reqs.iter().flatten().filter(|e| e.state == State::Calling);
        let lingering = self.lingering.iter().map(|&end| end.saturating_sub(self.now).as_secs_f64());
        let ahead: f64 = calling.map(until).sum::<f64>() + lingering.sum::<f64>();
        past + ahead + patience.saturating_add(self.linger).as_secs_f64() <= granted
    }

    fn retry_standing(&mut self, out: &mut Vec<Action>) {
        for req in self.standing.clone() {
            self.make_call(req, out);
        }
    }

    fn call_ended(&mut self, req: Req, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(entry) = self.reqs.get(req).and_then(Option::as_ref) else {
            return;
        };
        if entry.state != State::Calling {
            return;
        }
        let took = (self.now - entry.called).as_secs_f64();
        let aims = &self.aims[entry.handler];
        let (tries, effect, skippable) = (entry.call_tries, aims.effect, aims.skippable);
        let answered = entry.answered;
        self.calling -= 1;
        self.ring.add(CALLS_LATE, f64::from(u8::from(outcome == Outcome::TimedOut)));
        if matches!(outcome, Outcome::TimedOut | Outcome::Broken) {
            self.lingering.push(self.now.saturating_add(self.linger));
        }
        // A call that was cut off, or never left, says nothing of the pace of what lies below.
        let cut = matches!(outcome, Outcome::Broken | Outcome::Unreachable);
        let counts = f64::from(u8::from(!cut));
        self.ring.add(CALLS, counts);
        self.ring.add(CALL_TIME, took * counts);
        // What lies below slows at its knee long before that shows in responses, and the more it is pressed
        // the less it does in all: fewer calls at once, and all of them again slowly, as the knee shows only
        // when it is passed. Harms where calls get slower for good, till that is learnt.
        let slow = !cut && self.calls_known >= CALLS_LEAST && took > CALL_SLOW * self.usual_call;
        if slow {
            self.ceiling = (self.ceiling * CEILING_FALL).max(CEILING_LEAST);
            self.dimmer = self.dimmer.min(self.ceiling);
        }
        if outcome == Outcome::Done {
            self.calls_known += 1.0;
            let step = if slow { CALL_DRIFTS } else { CALL_LEARNT.max(1.0 / self.calls_known) };
            self.usual_call += step * (took - self.usual_call);
            self.entry(req).call_tries = 0;
            return self.go_on_core(req);
        }
        let (few_late, unrun) =
            (self.few_calls_late(), matches!(outcome, Outcome::Full | Outcome::Unreachable));
        let again = (unrun || effect == Effect::Replayable) && tries < CALL_TRIES;
        let entry = self.entry(req);
        entry.state = State::AtCall;
        // What may be left out is tried again only where its connection or reply was lost: who says no is
        // full.
        entry.call_again = again && (cut || outcome == Outcome::TimedOut && few_late);
        if answered {
            return;
        }
        if skippable || again {
            self.standing.push(req);
        } else {
            self.give_up(req, false, Reason::CallFailed, out);
        }
    }

    fn ended(&mut self, req: Req, outcome: Outcome, out: &mut Vec<Action>) {
        let Some(entry) = self.reqs.get(req).and_then(Option::as_ref) else {
            return;
        };
        let (state, answered) = (entry.state, entry.answered);
        if state == State::Held {
            return;
        }
        if state == State::OnCore {
            self.leave_core(req, State::AtCall);
        }
        let entry = self.entry(req);
        let (reached, stalled, on_core, work) = (entry.reached, entry.stalled, entry.on_core, entry.work);
        let (handler, guessed, made) = (entry.handler, entry.guessed, entry.calls_made);
        match outcome {
            Outcome::Done if state == State::OnCore => {
                if !answered {
                    self.ring.add(DONE, 1.0);
                    let awake = (self.now - reached).as_secs_f64() - (self.stalled - stalled);
                    self.ring.add(RESPONSE, awake.max(0.0));
                }
                self.ring.add(ON_CORE, on_core);
                self.ring.add(WORK, work);
                let aims = &mut self.aims[handler];
                aims.calls_each += UNTOLD_LEARNT * (f64::from(made) - aims.calls_each);
                if guessed {
                    aims.work =
                        (aims.work + UNTOLD_LEARNT * (on_core / self.pace - aims.work)).max(UNTOLD_LEAST);
                }
            }
            // A repeat fails with the run that it waits for, at once where that ended before: no run of ours.
            Outcome::Errored if state != State::Joined => self.ring.add(ERRORED, 1.0),
            Outcome::Stopped if !answered => out.push(Action::Fail { req, reason: Reason::Stopped }),
            _ => {}
        }
        self.over(req, out);
    }

    fn gone(&mut self, req: Req, out: &mut Vec<Action>) {
        let Some(entry) = self.reqs.get_mut(req).and_then(Option::as_mut) else {
            return;
        };
        entry.answered = true;
        self.let_go(req, out);
    }

    /// Ends a req that owes no answer any more, or what can be ended of it now.
    fn let_go(&mut self, req: Req, out: &mut Vec<Action>) {
        let (state, key) = (self.entry(req).state, self.entry(req).key);
        // Never run: a repeat of it is a first one again, whether it was turned away or its caller has gone.
        if let Some(until) = key
            && state == State::Held
        {
            if let Some(at) = self.keys.iter().position(|&other| other == until) {
                self.keys.swap_remove(at);
                self.used_kb -= self.key_kb;
            }
            out.push(Action::Forget { req });
        }
        match state {
            State::Held | State::Joined => self.over(req, out),
            State::OnCore if self.stoppable => out.push(Action::Stop { req }),
            State::OnCore | State::Calling => {}
            State::AtCall => self.standing.retain(|&other| other != req),
        }
    }

    /// Answers a req that cannot be done any more, at once, and stops its work where that is possible.
    fn give_up(&mut self, req: Req, elsewhere: bool, reason: Reason, out: &mut Vec<Action>) {
        let entry = self.entry(req);
        let (state, handler) = (entry.state, entry.handler);
        entry.answered = true;
        let unrun = state == State::Held;
        if state != State::Joined && (unrun || self.aims[handler].effect == Effect::Replayable) {
            let wait = self.come_back();
            out.push(Action::Shed { req, wait, elsewhere, reason });
        } else {
            out.push(Action::Fail { req, reason });
        }
        self.let_go(req, out);
    }

    /// When a caller that was turned away had better try here again, where callers can be told: once what is
    /// held now has run, and as late as they heed while this server is ailing or leaving. Guards against a
    /// retry that comes at once to a server as full as before, and costs another reading.
    fn come_back(&self) -> Option<Duration> {
        let most = self.max_wait?;
        if self.ailing() {
            return Some(most);
        }
        let held = self.short.iter().chain(&self.long).filter_map(|&req| self.reqs[req].as_ref());
        let held: f64 = held.map(|e| e.work).sum();
        Some(seconds(held * self.pace / self.cap).clamp(self.beat, most))
    }

    fn leave(&mut self, since: Duration, left: Duration, out: &mut Vec<Action>) {
        if self.leaving.is_some() {
            return;
        }
        let answer_by = self.now.saturating_add(left).saturating_sub(LEAVE_MARGIN);
        let run_until = self.now.saturating_add(self.drain_grace).saturating_sub(since);
        // Guards a short fleet: what may still run here is welcome until callers must forget. Harms as one
        // full server.
        let short = self.busy >= LEAVING_BUSY;
        let welcome_until = if short { run_until.saturating_sub(seconds(self.setpoint)) } else { self.now };
        self.leaving = Some(Leaving { run_until, answer_by, welcome_until });
        out.push(Action::Health { good: false });
        self.give_up_late(out);
    }

    /// Everything that goes by the clock.
    fn beat(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        self.beat_due = self.now + self.beat;
        out.push(Action::Alarm { at: self.beat_due });
        let before = (self.keys.len(), self.now);
        self.keys.retain(|&until| until > before.1);
        self.used_kb -= (before.0 - self.keys.len()) as f64 * self.key_kb;
        self.busy = gauges.cores_busy.unwrap_or(if self.on_core as f64 >= self.cores { 1.0 } else { 0.0 });
        self.reading = gauges.on_cores.map_or(0.0, |all| (all - self.on_core as f64).max(0.0));
        self.ring.add(READING, self.reading);
        self.ring.add(BUSY, self.busy);
        self.give_up_late(out);
        self.measure_pace();
        let waits = !(self.short.is_empty() && self.long.is_empty());
        if self.now >= self.step_due {
            self.step_due = self.now + PERIOD;
            // The running cap grows only while cores idle with work held.
            self.cap = if waits && self.busy < NEARLY_BUSY { self.cap + 1.0 } else { self.cap - 1.0 };
            self.cap = self.cap.clamp(self.cores, (self.crowd() * SAFE).max(self.cores));
            self.steer();
            self.tend_links(gauges.links.unwrap_or(0.0), out);
        }
        self.advise(out);
    }

    /// Closes idle connections at once while they crowd the table, until connecting and reading for tries in
    /// vain drown what runs: then it lets the table fill, until the cores starve behind it. Guards against
    /// many callers that each come rarely: what they leave open shuts others out and takes of the cores. In a
    /// storm a full table is the cheapest gate, as opening one costs too; half full it shuts nobody out. It
    /// harms where the table is far larger than the crowd: callers then connect anew.
    fn tend_links(&mut self, links: f64, out: &mut Vec<Action>) {
        let crowded = links > TABLE_CROWD * self.cores && links * 2.0 < self.callers;
        let tries = self.ring.sum(ARRIVED, WINDOW * 2) / self.ring.sum(DONE, WINDOW * 2).max(1.0);
        if tries > TABLE_TRIES && self.per_beat(READING) > TABLE_STORM * self.cores {
            self.storm = true;
        } else if crowded && self.per_beat(BUSY) < TABLE_STARVED {
            self.storm = false;
        }
        let factor = match () {
            () if self.storm => IDLE_RISE,
            () if crowded => IDLE_FALL,
            () => IDLE_RECOVERY,
        };
        let idle =
            seconds(self.idle.as_secs_f64() * factor).clamp(IDLE_LEAST.min(self.idle_most), self.idle_most);
        if idle != self.idle {
            self.idle = idle;
            out.push(Action::CloseIdle { after: idle });
        }
    }

    /// One step of the dimmer, the admitted share and the wish for traffic. An empty window is no lateness.
    fn steer(&mut self) {
        let done = self.ring.sum(DONE, WINDOW);
        let t = (done > 0.0).then(|| self.ring.sum(RESPONSE, WINDOW) / done);
        let error = self.setpoint - t.unwrap_or(0.0);
        // Near zero the dimmer says nothing of its own effect: the estimate is frozen.
        if let Some(t) = t
            && self.dimmer > NEAR_ZERO
        {
            self.alpha = (t / self.dimmer).max(0.1 * self.setpoint);
        }
        if self.dimmer <= NEAR_ZERO && error < 0.0 && self.busy >= NEARLY_BUSY {
            let relative = (error / self.setpoint, (error - self.error) / self.setpoint);
            self.admitted +=
                SHARE_INTEGRAL * relative.0.max(-1.0) + SHARE_PROPORTIONAL * relative.1.clamp(-1.0, 1.0);
        } else {
            self.admitted += SHARE_RECOVERY;
        }
        self.admitted = self.admitted.clamp(SHARE_FLOOR, 1.0);
        let gain = (1.0 - POLE) / self.alpha.max(1e-3);
        self.dimmer += gain * error + DERIVATIVE * (error - self.error);
        self.dimmer = self.dimmer.clamp(0.0, self.ceiling);
        self.error = error;
        self.ceiling = (self.ceiling + CEILING_RISE).min(1.0);
        // What stands unread is not ours to shed, and reading it takes the cores from what can be in time:
        // only fewer sends help. Guards against any flood, lopsided callers and a server grown slow.
        let unread = self.per_arrival(UNREAD, PERIOD);
        let bearable = UNREAD_PART * self.setpoint;
        // Reading what is then shed costs cores too; where that is much, callers had better not send it.
        let wasted = self.per_arrival(SHED, WINDOW) * self.per_beat(READING) / self.cores;
        let step = if unread > bearable {
            (bearable / unread).max(0.5)
        } else if wasted > self.bearable_waste {
            WASTED_FALL
        } else {
            1.0
        };
        self.wanted =
            (self.wanted * step + if step < 1.0 { 0.0 } else { WANTED_RECOVERY }).clamp(WANTED_FLOOR, 1.0);
    }

    /// Answers what is due, what the stop would catch, and what can no longer be in time.
    fn give_up_late(&mut self, out: &mut Vec<Action>) {
        // Held work must still be likely in time behind what has come before it since.
        let mut held: Vec<Req> = self.short.iter().chain(&self.long).copied().collect();
        held.sort_by_key(|&req| self.reqs[req].as_ref().map(place));
        let mut ahead = 0.0;
        for req in held {
            if self.in_time(req, ahead, PROMISE_HELD) {
                ahead += self.entry(req).work;
            } else {
                let elsewhere = self.elsewhere(req);
                self.give_up(req, elsewhere, Reason::Overtaken, out);
            }
        }
        for req in 0..self.reqs.len() {
            let Some(entry) = self.reqs[req].as_ref() else {
                continue;
            };
            if entry.answered {
                // A stop does nothing while the cores stand still.
                if entry.state == State::OnCore && self.stoppable {
                    out.push(Action::Stop { req });
                }
                continue;
            }
            let stop = self.leaving.as_ref().map_or(Duration::MAX, |leaving| leaving.answer_by);
            let due = entry.due.min(stop) <= self.now + self.beat;
            let by = if stop < entry.due { Reason::Stopping } else { Reason::Due };
            let replayable = self.aims[entry.handler].effect == Effect::Replayable;
            // Work under way is given up only once it is late, and if it may not run again only where it
            // stands: its call would be made for nobody, together with those of all that stood as long.
            let under_way = !matches!(entry.state, State::Held | State::Joined);
            let stands = entry.state == State::AtCall;
            let hopeless = under_way && (replayable || stands) && entry.target < self.now;
            if due || hopeless {
                self.give_up(req, false, if due { by } else { Reason::Missed }, out);
            }
        }
    }

    /// Seconds on a core for a unit of work, from what was done of late and what runs longer than that.
    fn measure_pace(&mut self) {
        let (mut on_core, mut work) = (self.ring.sum(ON_CORE, WINDOW), self.ring.sum(WORK, WINDOW));
        for entry in self.reqs.iter().flatten().filter(|e| e.state == State::OnCore) {
            let so_far = entry.on_core + self.awake() - entry.since;
            if so_far > entry.work * self.pace {
                on_core += so_far;
                work += entry.work;
            }
        }
        // Few reqs of rough hints say little: on a small server two long ones would else make it seem ailing,
        // and it sheds with its cores idle. The usual pace counts as so many reqs more, and is all that
        // counts once nothing runs: a server that hung would else shed for ever. Harms by slower notice.
        let prior = PACE_PRIOR * self.mean_work();
        self.pace = (on_core + prior * self.usual_pace) / (work + prior);
        // A warm start learns how fast this machine is in its first seconds: else a slow kind seems ailing.
        let learning = self.warm_at == 0.0 && self.now < LEARNING;
        let step = if self.pace < self.usual_pace || learning { PACE_LEARNT } else { PACE_DRIFTS };
        self.usual_pace += step * (self.pace - self.usual_pace);
    }

    /// Tells callers how much to send here, where they can be told.
    fn advise(&mut self, out: &mut Vec<Action>) {
        let failing = self.failing() > 0.0;
        let willing = match self.leaving {
            Some(ref leaving) if self.now >= leaving.welcome_until => 0.0,
            _ if failing => 0.0,
            _ => (AILING * self.usual_pace / self.pace).min(self.wanted),
        };
        let value = match self.advice {
            Advice::Weight => willing,
            Advice::Level => 1.0 - willing,
            Advice::Credit if failing => 0.0,
            Advice::Credit if willing >= 1.0 => self.crowd_warm,
            Advice::Credit => self.cores * (CREDIT_LEAST + CREDIT_MORE * willing) / self.callers,
            Advice::Nothing => return,
        };
        let value = (value * 20.0).round() / 20.0;
        if value != self.advised {
            self.advised = value;
            out.push(Action::Advise { value });
        }
    }

    /// Whether this server does worse than it should, so that another would serve better.
    fn ailing(&self) -> bool {
        self.leaving.is_some() || self.failing() > 0.0 || self.pace > AILING * self.usual_pace
    }

    /// The part of recent runs that errored, if that is so large that others are likely to do better; what it
    /// still takes shows when the trouble is over. Guards against a server that fails fast and so draws more
    /// than its part. It could harm where every server fails alike: then what is shed finds no better.
    fn failing(&self) -> f64 {
        let (errored, done) = (self.ring.sum(ERRORED, WINDOW), self.ring.sum(DONE, WINDOW));
        let part = errored / (errored + done).max(1.0);
        if errored >= FAILING_LEAST && part > FAILING { part } else { 0.0 }
    }

    /// A measure for each req that arrived of late.
    fn per_arrival(&self, measure: usize, span: Duration) -> f64 {
        self.ring.sum(measure, span) / self.ring.sum(ARRIVED, span).max(1.0)
    }

    /// The mean of a gauge over the window.
    fn per_beat(&self, measure: usize) -> f64 {
        self.ring.sum(measure, WINDOW) * self.beat.as_secs_f64() / WINDOW.as_secs_f64()
    }

    fn mean_work(&self) -> f64 {
        let arrived = self.ring.sum(ARRIVED, Duration::from_secs(5));
        if arrived > 0.0 {
            self.ring.sum(ARRIVED_WORK, Duration::from_secs(5)) / arrived
        } else {
            UNTOLD_WORK
        }
    }

    fn call_time(&self) -> f64 {
        let calls = self.ring.sum(CALLS, WINDOW);
        if calls > 0.0 { self.ring.sum(CALL_TIME, WINDOW) / calls } else { 0.0 }
    }

    /// Whether a call without a reply is the exception, so that one is rather lost than slow.
    fn few_calls_late(&self) -> bool {
        self.ring.sum(CALLS_LATE, WINDOW) <= CALLS_LATE_FEW * self.ring.sum(CALLS, WINDOW)
    }

    /// The crowd on the cores that is survivable now: lower while cold.
    fn crowd(&self) -> f64 {
        let age = self.now.as_secs_f64();
        if age >= self.warm_at {
            return self.crowd_warm;
        }
        self.crowd_cold + (self.crowd_warm - self.crowd_cold) * age / self.warm_at
    }

    fn awake(&self) -> f64 {
        self.now.as_secs_f64() - self.stalled
    }

    fn pass_time(&mut self, now: Duration) {
        let now = now.max(self.now);
        let passed = (now - self.now).as_secs_f64();
        self.lingering.retain(|&end| end > self.now);
        self.ring.advance(now);
        self.ring.add(CALLS_IN_HAND, (self.calling + self.lingering.len()) as f64 * passed);
        self.now = now;
        if now > self.beat_due + self.beat * 2 {
            self.stall_span = (now - self.beat_due).as_secs_f64().min(passed);
            self.stall_end = now;
            self.stalled += self.stall_span;
        }
    }

    fn go_on_core(&mut self, req: Req) {
        let awake = self.awake();
        let entry = self.entry(req);
        entry.state = State::OnCore;
        entry.since = awake;
        self.on_core += 1;
    }

    fn leave_core(&mut self, req: Req, to: State) {
        let awake = self.awake();
        let entry = self.entry(req);
        entry.on_core += awake - entry.since;
        entry.state = to;
        self.on_core -= 1;
    }

    fn unline(&mut self, req: Req) {
        self.short.retain(|&other| other != req);
        self.long.retain(|&other| other != req);
    }

    /// Frees what a req took; its index may come again.
    fn over(&mut self, req: Req, out: &mut Vec<Action>) {
        let Some(entry) = self.reqs[req].take() else {
            return;
        };
        match entry.state {
            State::Held | State::Joined => {
                self.unline(req);
                self.held_kb -= entry.held_kb;
                self.used_kb -= entry.held_kb;
            }
            State::OnCore => self.on_core -= 1,
            State::Calling => {
                self.calling -= 1;
                self.lingering.push(self.now.saturating_add(self.linger));
            }
            State::AtCall => self.standing.retain(|&other| other != req),
        }
        if !matches!(entry.state, State::Held | State::Joined) {
            self.used_kb -= entry.held_kb * self.run_factor;
        }
        out.push(Action::Over { req });
    }

    fn entry(&mut self, req: Req) -> &mut Entry {
        self.reqs[req].as_mut().expect("callers have looked the req up")
    }
}

/// The order of the hold: falling levels, then the earlier response target.
fn place(entry: &Entry) -> (Reverse<usize>, Duration) {
    (Reverse(entry.level), entry.target)
}
