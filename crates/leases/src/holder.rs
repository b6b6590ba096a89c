//! The leases that one process wants: it asks the voters, renews in time, and gives out permits, the only way to a token.
//! A term is counted from before it was asked for, by this process's own clock, and shorter by as much as that clock
//! may be slow.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::interface::*;

/// Asks of one lease whose answers are still taken.
const ASKS_KEPT: usize = 4;
/// A term's parts: it is renewed after a third, tried again after each sixth, so that three asks may fail.
const RENEW_PART: u32 = 3;
const RETRY_PART: u32 = 6;
const RETRY_MOST: Duration = Duration::from_millis(500);
/// Who waits keeps its place by asking so often in a term.
const WAIT_PART: u32 = 4;
/// Voters that are asked, those before and those after changes.
const VOTERS_KEPT: usize = 16;
/// After a hint on who leads.
const HINT_WAIT: Duration = Duration::from_millis(10);
const HINTS_MOST: u32 = 2;
/// How many leases' given-back tokens are kept apart; beyond, one bound serves for all.
const RELEASED_MOST: usize = 4096;

#[derive(Clone, Debug)]
pub enum Event {
    /// A lease is wanted; no step of what is done under it takes longer than `step`.
    Want {
        lease: Name,
        shape: Shape,
        step: Duration,
        wait: bool,
    },
    /// It is no longer wanted.
    Drop {
        lease: Name,
    },
    /// To what a life of this process asked: what an earlier one did, a later leader may come to carry out only now.
    Answered {
        life: u64,
        ask: u64,
        answer: Answer,
    },
    /// That voter does not lead; where it knows, who does.
    NotLeading {
        ask: u64,
        leader: Option<Name>,
    },
    /// It would get a place if it asked now.
    Turn {
        lease: Name,
    },
    Alarm,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    Ask {
        to: Name,
        ask: u64,
        command: Command,
    },
    Gained {
        lease: Name,
        token: u64,
    },
    /// What is done under it stops now.
    Lost {
        lease: Name,
        token: u64,
        why: Why,
    },
    Refused {
        lease: Name,
        why: Refusal,
    },
    Alarm {
        at: Duration,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Its term is about to end, and no voter answered.
    NotRenewed,
    Revoked,
    Dropped,
    /// Its clock went back: no term can be counted by it.
    ClockWentBack,
}

/// Leave to act under a lease, for as long as `Holder::step` says so. It cannot be made or copied outside.
#[derive(Debug, PartialEq, Eq)]
pub struct Permit {
    lease: Name,
    token: u64,
}

impl Permit {
    pub fn lease(&self) -> &Name {
        &self.lease
    }
}

/// A permit is stale: no step may begin under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the permit is stale")]
pub struct Stale;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    Asking,
    Queued {
        ahead: u32,
    },
    Held {
        token: u64,
        /// The last instant at which a step may begin.
        until: Duration,
        since: Duration,
        /// Its host was told.
        told: bool,
    },
    /// Taken back or given up; it ends once nothing acts under it.
    Ending {
        token: u64,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Want {
    shape: Shape,
    step: Duration,
    wait: bool,
    standing: Standing,
    /// The latest asks, and when each was sent.
    asks: Vec<(u64, Duration)>,
    next_at: Duration,
    /// Hints that were followed since the last answer.
    hints: u32,
    /// Permits that are out.
    acting: u32,
    dropped: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Holder {
    who: Who,
    /// How far a clock may be off in its rate, in thousandths.
    off: u32,
    /// Of a wait, up to this part is added by chance.
    jitter: u32,
    seed: u64,
    now: Duration,
    voters: Vec<Name>,
    /// Who is asked next.
    ask_at: usize,
    asks: u64,
    wants: BTreeMap<Name, Want>,
    released: BTreeMap<Name, u64>,
    released_all: u64,
    alarm_at: Option<Duration>,
    #[cfg(feature = "flaws")]
    flaw: Option<Flaw>,
}

impl Holder {
    /// `jitter` is in thousandths of a wait.
    pub fn new(who: Who, voters: Vec<Name>, off_thousandths: u32, jitter: u32, seed: u64) -> Self {
        Holder {
            who,
            off: off_thousandths,
            jitter,
            seed,
            now: Duration::ZERO,
            voters,
            ask_at: 0,
            asks: 0,
            wants: BTreeMap::new(),
            released: BTreeMap::new(),
            released_all: 0,
            alarm_at: None,
            #[cfg(feature = "flaws")]
            flaw: None,
        }
    }

    #[cfg(feature = "flaws")]
    pub fn plant(&mut self, flaw: Option<Flaw>) {
        self.flaw = flaw;
    }

    #[cfg(feature = "flaws")]
    fn has(&self, flaw: Flaw) -> bool {
        self.flaw == Some(flaw)
    }

    #[cfg(not(feature = "flaws"))]
    fn has(&self, _: Flaw) -> bool {
        false
    }

    pub fn who(&self) -> &Who {
        &self.who
    }

    /// Each lease that is wanted, and how it stands.
    pub fn wanted(&self) -> impl Iterator<Item = (&Name, Standing)> {
        self.wants.iter().map(|(name, want)| (name, want.standing))
    }

    pub fn decide(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.look(now, &mut out);
        match event {
            Event::Want { lease, shape, step, wait } => self.want(lease, shape, step, wait, &mut out),
            Event::Drop { lease } => {
                if let Some(want) = self.wants.get_mut(&lease) {
                    want.dropped = true;
                    self.end(&lease, Why::Dropped, &mut out);
                }
            }
            Event::Answered { life, ask, answer } if life == self.who.life => {
                self.answered(ask, answer, &mut out);
            }
            Event::Answered { .. } => {}
            Event::NotLeading { ask, leader } => self.not_leading(ask, leader.as_deref(), &mut out),
            Event::Turn { lease } => {
                if let Some(want) = self.wants.get_mut(&lease)
                    && matches!(want.standing, Standing::Queued { .. })
                {
                    want.next_at = self.now;
                }
            }
            Event::Alarm => self.alarm_at = self.alarm_at.filter(|&at| at > self.now),
        }
        self.go_on(&mut out);
        out
    }

    /// Whoever acts asks first, here. What is done goes by steps, each asked for with `step`; `done` gives it back.
    pub fn begin(&mut self, now: Duration, lease: &str) -> Result<Permit, Stale> {
        let good = self.good(now, lease);
        let (name, want) = self.wants.get_key_value(lease).map(|(n, w)| (n.clone(), w)).ok_or(Stale)?;
        match want.standing {
            Standing::Held { token, .. } if good => {
                if let Some(want) = self.wants.get_mut(lease) {
                    want.acting += 1;
                }
                Ok(Permit { lease: name, token })
            }
            _ => Err(Stale),
        }
    }

    /// The token to act with in one step that begins now. Whoever was stopped since it last asked is told so here.
    pub fn step(&mut self, now: Duration, permit: &Permit) -> Result<u64, Stale> {
        if self.has(Flaw::PermitNotLooked) {
            return Ok(permit.token);
        }
        let good = self.good(now, &permit.lease);
        match self.wants.get(&permit.lease).map(|want| want.standing) {
            Some(Standing::Held { token, .. }) if good && token == permit.token => Ok(token),
            _ => Err(Stale),
        }
    }

    /// Nothing is done under it any more.
    pub fn done(&mut self, now: Duration, permit: Permit) -> Vec<Action> {
        let mut out = Vec::new();
        self.look(now, &mut out);
        if let Some(want) = self.wants.get_mut(&permit.lease) {
            want.acting = want.acting.saturating_sub(1);
        }
        self.go_on(&mut out);
        out
    }

    fn good(&self, now: Duration, lease: &str) -> bool {
        let until = match self.wants.get(lease).map(|want| want.standing) {
            Some(Standing::Held { until, .. }) => until,
            _ => return false,
        };
        // A clock that went back tells nothing; the next event drops what was counted by it.
        self.has(Flaw::PermitNotLooked) || now >= self.now && now < until
    }

    fn look(&mut self, now: Duration, out: &mut Vec<Action>) {
        if now < self.now {
            self.alarm_at = None;
            for (lease, want) in &mut self.wants {
                want.asks.clear();
                want.next_at = now;
                if let Standing::Held { token, told, .. } = want.standing {
                    want.standing = Standing::Asking;
                    if told {
                        let why = Why::ClockWentBack;
                        out.push(Action::Lost { lease: lease.clone(), token, why });
                    }
                }
            }
        }
        self.now = now;
    }

    /// As much of a term as has passed by no clock before it has by this one.
    fn shortened(&self, term: Duration) -> Duration {
        if self.has(Flaw::NoMargin) { term } else { term * (1000 - self.off) / 1000 }
    }

    fn later(&mut self, span: Duration) -> Duration {
        if self.jitter == 0 {
            return self.now + span;
        }
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let more = rng.u32(0..=self.jitter);
        self.seed = rng.get_seed();
        self.now + span + span * more / 1000
    }

    fn want(&mut self, lease: Name, shape: Shape, step: Duration, wait: bool, out: &mut Vec<Action>) {
        let span = self.shortened(shape.term);
        let sense = (1..=NAME_MOST).contains(&lease.len())
            && (TERM_LEAST..=TERM_MOST).contains(&shape.term)
            && (1..=PLACES_MOST).contains(&shape.places)
            && step <= span / RENEW_PART;
        let why = match () {
            () if !sense => Refusal::Senseless,
            () if self.wants.len() >= WANTS_MOST && !self.wants.contains_key(&lease) => {
                Refusal::TooManyWanted
            }
            () => {
                let now = self.now;
                let want = self.wants.entry(lease).or_insert(Want {
                    shape,
                    step,
                    wait,
                    standing: Standing::Asking,
                    asks: Vec::new(),
                    next_at: now,
                    hints: 0,
                    acting: 0,
                    dropped: false,
                });
                want.dropped = false;
                return;
            }
        };
        out.push(Action::Refused { lease, why });
    }

    fn answered(&mut self, ask: u64, answer: Answer, out: &mut Vec<Action>) {
        let found = self.wants.iter().find_map(|(lease, want)| {
            let at = want.asks.iter().find(|(number, _)| *number == ask)?.1;
            Some((lease.clone(), at))
        });
        // What answers an ask that is no longer known is not taken: when it was asked is not known either.
        let Some((lease, asked_at)) = found else { return };
        if let Some(want) = self.wants.get_mut(&lease) {
            want.asks.retain(|(number, _)| *number > ask);
            want.hints = 0;
        }
        match answer {
            Answer::Granted { token } => self.granted(&lease, asked_at, token, out),
            Answer::Queued { ahead } => {
                let Some(want) = self.wants.get_mut(&lease) else { return };
                // A place in the queue means that no place is held any more, whatever was believed.
                if !matches!(want.standing, Standing::Ending { .. } | Standing::Held { .. }) {
                    want.standing = Standing::Queued { ahead };
                    let wait = want.shape.term / WAIT_PART;
                    let at = self.later(wait);
                    self.put_off(&lease, at);
                }
            }
            Answer::Refused(Refusal::Revoked) => {
                if let Some(Want { standing: Standing::Asking, .. }) = self.wants.get(&lease) {
                    let wait = self.wants[&lease].shape.term / WAIT_PART;
                    let at = self.later(wait);
                    return self.put_off(&lease, at);
                }
                self.end(&lease, Why::Revoked, out);
            }
            Answer::Refused(why) => {
                let Some(want) = self.wants.get_mut(&lease) else { return };
                let wait = want.shape.term / WAIT_PART;
                if !matches!(want.standing, Standing::Ending { .. } | Standing::Held { .. }) {
                    out.push(Action::Refused { lease: lease.clone(), why });
                    let at = self.later(wait);
                    self.put_off(&lease, at);
                }
            }
            Answer::Done => {}
        }
    }

    fn put_off(&mut self, lease: &Name, at: Duration) {
        if let Some(want) = self.wants.get_mut(lease) {
            want.next_at = at;
        }
    }

    fn granted(&mut self, lease: &Name, asked_at: Duration, token: u64, out: &mut Vec<Action>) {
        let given_back = self.released.get(lease).copied().unwrap_or(0).max(self.released_all);
        let from = if self.has(Flaw::FromAnswer) { self.now } else { asked_at };
        let takes_released = self.has(Flaw::ReleasedTaken);
        let Some(want) = self.wants.get(lease) else { return };
        let span = self.shortened(want.shape.term);
        let until = from + span.saturating_sub(want.step);
        let renew = from + span / RENEW_PART;
        let Some(want) = self.wants.get_mut(lease) else { return };
        match &mut want.standing {
            Standing::Held { token: held, until: old, .. } if *held == token => *old = until.max(*old),
            Standing::Held { token: held, .. } if *held > token => return,
            Standing::Ending { .. } => return,
            standing => {
                // Given back before: that word may still be under way, and would free the place of who took this up.
                if token <= given_back && !takes_released {
                    return self.release(lease, token, out);
                }
                if let Standing::Held { token: held, told: true, .. } = *standing {
                    let why = Why::NotRenewed;
                    out.push(Action::Lost { lease: lease.clone(), token: held, why });
                }
                *standing = Standing::Held { token, until, since: self.now, told: false };
            }
        }
        if let Standing::Held { told, .. } = &mut want.standing
            && self.now < until
            && !std::mem::replace(told, true)
        {
            out.push(Action::Gained { lease: lease.clone(), token });
        }
        let spread = renew.max(self.now);
        let more = self.later(span / RETRY_PART) - self.now - span / RETRY_PART;
        self.put_off(lease, spread + more);
    }

    fn not_leading(&mut self, ask: u64, leader: Option<&str>, out: &mut Vec<Action>) {
        let known = |want: &Want| want.asks.iter().any(|(number, _)| *number == ask);
        let Some(lease) = self.wants.iter().find(|(_, want)| known(want)).map(|(lease, _)| lease.clone())
        else {
            return;
        };
        // It was answered: that voter is there, and another is asked for what it says and not for its silence.
        let mut follows = false;
        if let Some(want) = self.wants.get_mut(&lease) {
            want.asks.retain(|(number, _)| *number > ask);
            // Two that each take the other for the leader would be asked in turn without a rest.
            want.hints += 1;
            follows = want.hints <= HINTS_MOST;
        }
        // Voters change: one that is not known yet is asked as well from now on.
        if let Some(leader) = leader
            && !self.voters.iter().any(|voter| **voter == *leader)
            && self.voters.len() < VOTERS_KEPT
        {
            self.voters.push(leader.into());
        }
        let hinted = leader.and_then(|leader| self.voters.iter().position(|voter| **voter == *leader));
        match hinted {
            Some(at) if at != self.ask_at => {
                self.ask_at = at;
                if follows {
                    let at = self.later(HINT_WAIT);
                    self.put_off(&lease, at);
                    self.go_on(out);
                }
            }
            Some(_) => {}
            None => self.ask_at = (self.ask_at + 1) % self.voters.len().max(1),
        }
    }

    /// It is given up or taken back: no step begins any more, and the place is given back once nothing acts.
    fn end(&mut self, lease: &Name, why: Why, out: &mut Vec<Action>) {
        let Some(want) = self.wants.get_mut(lease) else { return };
        match want.standing {
            Standing::Held { token, told, .. } => {
                want.standing = Standing::Ending { token };
                if told {
                    out.push(Action::Lost { lease: lease.clone(), token, why });
                }
            }
            Standing::Ending { .. } => {}
            Standing::Asking | Standing::Queued { .. } => {
                if want.dropped {
                    let queued = matches!(want.standing, Standing::Queued { .. });
                    self.wants.remove(lease);
                    if queued {
                        let (who, token) = (self.who.clone(), None);
                        self.say(Command::Release { lease: lease.clone(), who, token }, out);
                    }
                }
            }
        }
    }

    fn release(&mut self, lease: &Name, token: u64, out: &mut Vec<Action>) {
        if self.released.len() >= RELEASED_MOST && !self.released.contains_key(lease) {
            let all = std::mem::take(&mut self.released);
            self.released_all = all.into_values().fold(self.released_all, u64::max);
        }
        let given_back = self.released.entry(lease.clone()).or_default();
        *given_back = token.max(*given_back);
        let who = self.who.clone();
        self.say(Command::Release { lease: lease.clone(), who, token: Some(token) }, out);
    }

    fn say(&mut self, command: Command, out: &mut Vec<Action>) -> u64 {
        self.asks += 1;
        if let Some(to) = self.voters.get(self.ask_at).cloned() {
            out.push(Action::Ask { to, ask: self.asks, command });
        }
        self.asks
    }

    /// All that is due by now: permits that end, asks, places to give back; and when to look again.
    fn go_on(&mut self, out: &mut Vec<Action>) {
        let names: Vec<Name> = self.wants.keys().cloned().collect();
        for lease in names {
            let Some(want) = self.wants.get_mut(&lease) else { continue };
            if let Standing::Held { token, until, told, .. } = want.standing
                && self.now >= until
            {
                // Not renewed in time. What the voters hold of it is asked; until then nothing may be done.
                want.standing = Standing::Asking;
                if told {
                    out.push(Action::Lost { lease: lease.clone(), token, why: Why::NotRenewed });
                }
            }
            if let Standing::Ending { token } = want.standing {
                if want.acting == 0 {
                    let (dropped, shape, step, wait) = (want.dropped, want.shape, want.step, want.wait);
                    self.wants.remove(&lease);
                    self.release(&lease, token, out);
                    if !dropped {
                        // It goes to the end of the queue.
                        self.want(lease.clone(), shape, step, wait, out);
                        let at = self.later(shape.term / WAIT_PART);
                        self.put_off(&lease, at);
                    }
                }
                continue;
            }
            if want.dropped && matches!(want.standing, Standing::Asking) {
                self.wants.remove(&lease);
                continue;
            }
            if want.next_at <= self.now {
                self.ask(&lease, out);
            }
        }
        let next = |want: &Want| match want.standing {
            Standing::Held { until, .. } => Some(until.min(want.next_at)),
            Standing::Ending { .. } => None,
            _ => Some(want.next_at),
        };
        let soonest = self.wants.values().filter_map(next).min();
        if let Some(at) = soonest.filter(|&at| self.alarm_at.is_none_or(|asked| at < asked)) {
            self.alarm_at = Some(at);
            out.push(Action::Alarm { at });
        }
    }

    fn ask(&mut self, lease: &Name, out: &mut Vec<Action>) {
        let Some(want) = self.wants.get(lease) else { return };
        // The one before came to nothing in its time: another voter is asked.
        if !want.asks.is_empty() && !self.voters.is_empty() {
            self.ask_at = (self.ask_at + 1) % self.voters.len();
        }
        let Shape { term, places } = want.shape;
        let (who, wait) = (self.who.clone(), want.wait);
        let ask = self.say(Command::Ask { lease: lease.clone(), who, term, places, wait }, out);
        let at = self.later((term / RETRY_PART).min(RETRY_MOST));
        let now = self.now;
        let Some(want) = self.wants.get_mut(lease) else { return };
        want.asks.push((ask, now));
        if want.asks.len() > ASKS_KEPT {
            want.asks.remove(0);
        }
        want.next_at = at;
    }
}
