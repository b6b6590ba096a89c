//! The membership of one process. The ordinary path is a period: probe one member, ask others to probe it where it
//! gives no answer, hold it suspect where they get none, and dead where nobody hears of it in time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::interface::*;
use crate::spread::Spread;

/// How long a message that came counts as proof that its sender can reach this process, in periods for each
/// member that a round of probes takes.
const HEARD_ROUNDS: u32 = 2;

struct Suspicion {
    since: Duration,
    /// Who said so, the first included.
    by: BTreeSet<Name>,
}

struct Known {
    update: Update,
    since: Duration,
    suspicion: Option<Suspicion>,
    /// Its last answer to a probe of this process, the last message of any kind from it, and whether its last probe
    /// from here failed while another's did not.
    answered: Option<Duration>,
    came: Option<Duration>,
    unheard: bool,
}

impl Known {
    /// It is not held dead, and has not left.
    fn lives(&self) -> bool {
        self.update.state <= State::Suspect
    }
}

/// What is held of a member, for who asks.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    pub update: Update,
    /// Since when its state is held.
    pub since: Duration,
    /// Who suspects it.
    pub suspected_by: Vec<Name>,
    pub reach: Reach,
}

struct Probe {
    number: u64,
    target: Name,
    began: Duration,
    /// Others were asked; so many of them have not said yet what they heard.
    asked: bool,
    silent: usize,
    heard_by_others: bool,
}

/// A probe on behalf of another.
struct Errand {
    number: u64,
    for_whom: (Name, SocketAddr),
    theirs: u64,
    until: Duration,
}

pub struct Members {
    terms: Terms,
    me: Update,
    rng: fastrand::Rng,
    now: Duration,
    known: BTreeMap<Name, Known>,
    spread: Spread,
    /// The members still to be probed in this round.
    round: Vec<Name>,
    probe: Option<Probe>,
    errands: Vec<Errand>,
    numbers: u64,
    /// How badly this process itself does: its times are stretched by one more than this.
    awareness: u32,
    /// When the next alarm is due that was asked for.
    alarm_at: Option<Duration>,
    period_at: Duration,
    sync_at: Duration,
    /// It has been told all by another once, and is no newcomer any more.
    settled: bool,
    over: bool,
    /// Updates that made no sense: a version that nobody knows, a name too long, more members than there may be.
    odd: u64,
}

impl Members {
    pub fn new(terms: Terms, about: About, incarnation: u64, seed: u64) -> Result<Self, Unfit> {
        let positive = |span: Duration| span > Duration::ZERO && span < Duration::from_secs(3600);
        for (figure, fine) in [
            ("period", positive(terms.period)),
            ("timeout", positive(terms.timeout) && terms.timeout * 2 < terms.period),
            ("suspicion", (1.0..=100.0).contains(&terms.suspicion)),
            ("suspicion_most", (1.0..=100.0).contains(&terms.suspicion_most)),
            ("spread", (1.0..=100.0).contains(&terms.spread)),
            ("updates_most", (1..=1000).contains(&terms.updates_most)),
            ("members_most", (1..=100_000).contains(&terms.members_most)),
            ("sync", positive(terms.sync)),
            ("remember", terms.remember > terms.period),
        ] {
            if !fine {
                return Err(Unfit::OutOfRange(figure));
            }
        }
        for name in [&about.name, &about.region, &about.zone] {
            if !named(name) {
                return Err(Unfit::Name(name.len()));
            }
        }
        let me = Update {
            about,
            incarnation,
            state: State::Alive,
            by: None,
            facts: Arc::default(),
            unheard: Arc::default(),
        };
        Ok(Members {
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            known: BTreeMap::new(),
            spread: Spread::default(),
            round: Vec::new(),
            probe: None,
            errands: Vec::new(),
            numbers: 0,
            awareness: 0,
            alarm_at: None,
            period_at: Duration::ZERO,
            sync_at: Duration::ZERO,
            settled: false,
            over: false,
            odd: 0,
            terms,
            me,
        })
    }

    /// Takes what happened, in order, and returns what is to be done, in order.
    pub fn decide(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        let mut out = Vec::new();
        self.now = now.max(self.now);
        for event in events {
            if self.over {
                break;
            }
            match event {
                Event::Started => {
                    self.spread.put(self.me.clone());
                    // Not all at once where many are started together.
                    self.period_at = self.now + self.terms.period.mul_f64(self.rng.f64());
                    self.sync_at = self.period_at;
                    self.wake_at(self.period_at, &mut out);
                }
                Event::Received { from, message } => self.received(*from, message, &mut out),
                Event::Alarm => self.alarm(&mut out),
                Event::Leave => self.leave(&mut out),
                Event::Publish { key, value } => self.publish(key, value.as_deref(), &mut out),
            }
        }
        out
    }

    /// All that are held, without this process itself, by name.
    pub fn held(&self) -> impl Iterator<Item = Held> + '_ {
        self.known.values().map(|known| Held {
            update: known.update.clone(),
            since: known.since,
            suspected_by: known.suspicion.iter().flat_map(|s| s.by.iter().cloned()).collect(),
            reach: self.reach(known),
        })
    }

    pub fn state(&self, name: &str) -> Option<State> {
        self.known.get(name).map(|known| known.update.state)
    }

    /// What this process says of itself.
    pub fn me(&self) -> &Update {
        &self.me
    }

    pub fn awareness(&self) -> u32 {
        self.awareness
    }

    pub fn odd(&self) -> u64 {
        self.odd
    }

    fn reach(&self, known: &Known) -> Reach {
        let others = self.known.values().filter(|k| k.update.state == State::Alive).count() as u32 + 1;
        let lately = |at: Option<Duration>| {
            at.is_some_and(|at| self.now.saturating_sub(at) <= self.terms.period * others * HEARD_ROUNDS)
        };
        match known.unheard {
            false if known.lives() && lately(known.answered.or(known.came)) => Reach::Heard,
            true if lately(known.came) => Reach::OneWay,
            true => Reach::Through,
            false => Reach::Nobody,
        }
    }

    /// One more than the badness of this process stretches all its waits: who is slow itself must not hold
    /// others dead. Guards against a member short of CPU or behind a slow link; harms by later notice.
    fn stretched(&self, span: Duration) -> Duration {
        span * (1 + self.awareness)
    }

    fn doing_badly(&mut self, by: u32) {
        self.awareness = (self.awareness + by).min(self.terms.awareness_most);
    }

    fn alive(&self) -> usize {
        self.known.values().filter(|known| known.lives()).count()
    }

    fn send(&mut self, to: SocketAddr, name: Option<&Name>, body: Body, out: &mut Vec<Action>) {
        let updates = match &body {
            Body::Members { .. } => {
                let all = self.known.values().map(|known| known.update.clone());
                std::iter::once(self.me.clone()).chain(all).collect()
            }
            Body::Taken => Vec::new(),
            _ => {
                let times = (self.terms.spread * ((self.alive() + 2) as f64).log2()).ceil() as u32;
                // Who is suspect hears of it first, so that it can deny it.
                self.spread.take(self.terms.updates_most, times, name)
            }
        };
        let message = Message { from: self.me.about.name.clone(), to: name.cloned(), body, updates };
        out.push(Action::Send { to, message });
    }

    fn received(&mut self, from: SocketAddr, message: &Message, out: &mut Vec<Action>) {
        if message.from == self.me.about.name {
            // A message of our own that came back, or a process that goes by this name: its update tells.
            for update in &message.updates {
                if update.about.name == self.me.about.name && update.about.address != self.me.about.address {
                    self.of_me(update, out);
                }
            }
            return;
        }
        if matches!(message.body, Body::Taken) {
            if !self.settled {
                self.over = true;
                out.push(Action::NameTaken { by: from });
            }
            return;
        }
        if matches!(message.body, Body::Join) && self.is_taken(message) {
            return self.send(from, Some(&message.from), Body::Taken, out);
        }
        // Where two halves meet again each holds the other dead: who is said to be dead and is not so here is asked
        // first, as a suspect.
        let whole = matches!(message.body, Body::Members { .. });
        for update in &message.updates {
            let lives = self.state(&update.about.name).is_some_and(|state| state <= State::Suspect);
            if whole && update.state == State::Dead && lives {
                let by = Some(message.from.clone());
                self.heard_of(&Update { state: State::Suspect, by, ..update.clone() }, out);
            } else {
                self.heard_of(update, out);
            }
            if self.over {
                return;
            }
        }
        if let Some(known) = self.known.get_mut(&message.from) {
            known.came = Some(self.now);
        }
        // Meant for another that had this address.
        let mine = message.to.as_ref().is_none_or(|to| *to == self.me.about.name);
        match &message.body {
            Body::Ping { number } if mine => {
                self.send(from, Some(&message.from), Body::Ack { number: *number }, out);
            }
            Body::Ack { number } => self.acked(&message.from, *number, out),
            Body::Ask { number, target, address } if mine => {
                self.numbers += 1;
                let errand = Errand {
                    number: self.numbers,
                    for_whom: (message.from.clone(), from),
                    theirs: *number,
                    until: self.now + self.terms.timeout,
                };
                // As many as there are members at the most: who asks, asks once a period.
                if self.errands.len() <= self.terms.members_most {
                    self.errands.push(errand);
                    let number = self.numbers;
                    self.send(*address, Some(target), Body::Ping { number }, out);
                    self.wake_at(self.now + self.terms.timeout, out);
                }
            }
            Body::Told { number, heard } => self.told(*number, *heard),
            Body::Join => self.send(from, Some(&message.from), Body::Members { answer: false }, out),
            Body::Members { answer } if mine => {
                self.settled = true;
                if *answer {
                    self.send(from, Some(&message.from), Body::Members { answer: false }, out);
                }
            }
            _ => {}
        }
    }

    /// Whether a newcomer brings a name that another process, as far as is known a live one, goes by.
    fn is_taken(&self, message: &Message) -> bool {
        self.known.get(&message.from).is_some_and(|known| {
            let mut own = message.updates.iter().filter(|update| update.about.name == message.from);
            known.lives() && own.any(|update| update.about.address != known.update.about.address)
        })
    }

    fn acked(&mut self, from: &Name, number: u64, out: &mut Vec<Action>) {
        if let Some(at) = self.errands.iter().position(|errand| errand.number == number) {
            let errand = self.errands.swap_remove(at);
            let (name, address) = errand.for_whom;
            return self.send(address, Some(&name), Body::Told { number: errand.theirs, heard: true }, out);
        }
        // Another that goes by that address now is no answer.
        if !self.probe.as_ref().is_some_and(|probe| probe.number == number && probe.target == *from) {
            return;
        }
        self.probe = None;
        self.awareness = self.awareness.saturating_sub(1);
        if let Some(known) = self.known.get_mut(from) {
            known.answered = Some(self.now);
            if std::mem::replace(&mut known.unheard, false) {
                self.tell_unheard();
            }
        }
    }

    fn told(&mut self, number: u64, heard: bool) {
        let Some(probe) = self.probe.as_mut().filter(|probe| probe.asked && probe.number == number) else {
            return;
        };
        probe.silent = probe.silent.saturating_sub(1);
        probe.heard_by_others |= heard;
    }

    fn alarm(&mut self, out: &mut Vec<Action>) {
        // One that an earlier one has taken the place of.
        if self.alarm_at.is_some_and(|at| self.now < at) {
            return;
        }
        self.alarm_at = None;
        let (now, timeout) = (self.now, self.terms.timeout);
        // Errands that came to nothing are told too: silence would count against who asked.
        let (done, left) =
            std::mem::take(&mut self.errands).into_iter().partition(|e: &Errand| e.until <= now);
        self.errands = left;
        for errand in done {
            let (name, address) = errand.for_whom;
            self.send(address, Some(&name), Body::Told { number: errand.theirs, heard: false }, out);
        }
        let direct = self.probe.as_ref().filter(|p| !p.asked && now >= p.began + self.stretched(timeout));
        if let Some((target, number)) = direct.map(|probe| (probe.target.clone(), probe.number)) {
            self.ask_others(&target, number, out);
        }
        self.end_suspicions(out);
        if now >= self.period_at {
            self.end_probe(out);
            self.forget();
            self.period_at = now + self.stretched(self.terms.period);
            self.begin_probe(out);
            if now >= self.sync_at || !self.settled {
                self.sync_at = now + self.terms.sync.mul_f64(0.75 + self.rng.f64() / 2.0);
                self.exchange(out);
            }
        }
        self.wake_at(self.next_at(), out);
    }

    /// Asks for an alarm, unless one is due by then anyway: each is answered by one more, so that a second one would
    /// go on for ever beside the first.
    fn wake_at(&mut self, at: Duration, out: &mut Vec<Action>) {
        if self.alarm_at.is_none_or(|due| at < due) {
            self.alarm_at = Some(at);
            out.push(Action::Alarm { at });
        }
    }

    fn next_at(&self) -> Duration {
        let direct =
            self.probe.iter().filter(|p| !p.asked).map(|p| p.began + self.stretched(self.terms.timeout));
        let suspicions = self.known.values().filter_map(|k| k.suspicion.as_ref()).map(|s| self.ends_at(s));
        let errands = self.errands.iter().map(|errand| errand.until);
        let least = direct.chain(suspicions).chain(errands).fold(self.period_at, Duration::min);
        least.max(self.now + Duration::from_millis(1))
    }

    /// The next of the round, which is drawn anew when it is through: each is probed once in each round, so that the
    /// time until a crash is met has a bound.
    fn begin_probe(&mut self, out: &mut Vec<Action>) {
        let target = loop {
            if self.round.is_empty() {
                let alive = self.known.iter().filter(|(_, known)| known.lives());
                self.round = alive.map(|(name, _)| name.clone()).collect();
                self.rng.shuffle(&mut self.round);
            }
            let Some(name) = self.round.pop() else { return };
            if self.state(&name).is_some_and(|state| state <= State::Suspect) {
                break name;
            }
        };
        // Who is suspect hears of it with the probe, so that it can deny it, however often that was passed on.
        if self.state(&target) == Some(State::Suspect) {
            self.spread.put(self.known[&target].update.clone());
        }
        self.numbers += 1;
        let (number, address) = (self.numbers, self.known[&target].update.about.address);
        self.probe = Some(Probe {
            number,
            target: target.clone(),
            began: self.now,
            asked: false,
            silent: 0,
            heard_by_others: false,
        });
        self.send(address, Some(&target), Body::Ping { number }, out);
    }

    fn ask_others(&mut self, target: &Name, number: u64, out: &mut Vec<Action>) {
        let Some(address) = self.known.get(target).map(|known| known.update.about.address) else { return };
        let fit = |(name, known): &(&Name, &Known)| *name != target && known.update.state == State::Alive;
        let mut others: Vec<(Name, SocketAddr)> = (self.known.iter().filter(fit))
            .map(|(name, known)| (name.clone(), known.update.about.address))
            .collect();
        self.rng.shuffle(&mut others);
        others.truncate(self.terms.indirect);
        if let Some(probe) = &mut self.probe {
            (probe.asked, probe.silent) = (true, others.len());
        }
        for (name, to) in others {
            self.send(to, Some(&name), Body::Ask { number, target: target.clone(), address }, out);
        }
    }

    /// A probe whose period is over without an answer: what others heard tells a cut from a crash.
    fn end_probe(&mut self, out: &mut Vec<Action>) {
        let Some(probe) = self.probe.take() else { return };
        if probe.heard_by_others {
            if let Some(known) = self.known.get_mut(&probe.target)
                && !std::mem::replace(&mut known.unheard, true)
            {
                self.tell_unheard();
            }
            return;
        }
        // Those asked who said nothing at all speak against this process and not against the target.
        self.doing_badly(1 + probe.silent as u32);
        let Some(known) = self.known.get(&probe.target).filter(|k| k.lives()) else {
            return;
        };
        let address = known.update.about.address;
        let suspect =
            Update { state: State::Suspect, by: Some(self.me.about.name.clone()), ..known.update.clone() };
        self.heard_of(&suspect, out);
        // It hears of it at once, and not only with the next probe, which over a slow link leaves too little time.
        self.tell(probe.target, address, suspect, out);
    }

    /// One update on its own.
    fn tell(&self, to_name: Name, to: SocketAddr, update: Update, out: &mut Vec<Action>) {
        let (from, to_name) = (self.me.about.name.clone(), Some(to_name));
        let body = Body::Told { number: 0, heard: false };
        out.push(Action::Send { to, message: Message { from, to: to_name, body, updates: vec![update] } });
    }

    fn tell_unheard(&mut self) {
        let unheard = self.known.iter().filter(|(_, known)| known.unheard).map(|(name, _)| name.clone());
        let unheard: BTreeSet<Name> = unheard.take(UNHEARD_MOST).collect();
        if *self.me.unheard != unheard {
            self.me.unheard = Arc::new(unheard);
            self.say_anew(self.me.incarnation);
        }
    }

    /// Says of itself what holds now, above an incarnation that others have heard of.
    fn say_anew(&mut self, above: u64) {
        self.me.incarnation = above.saturating_add(1).max(self.me.incarnation);
        self.spread.put(self.me.clone());
    }

    /// When a suspicion ends: late while one alone says so, sooner with each that confirms it.
    fn ends_at(&self, suspicion: &Suspicion) -> Duration {
        let least = suspicion_least(&self.terms, self.alive() + 1);
        let most = least.mul_f64(self.terms.suspicion_most);
        let wanted = self.terms.indirect.min(self.alive().saturating_sub(1)).max(1);
        let confirmed = (suspicion.by.len() - 1) as f64;
        let part = ((confirmed + 1.0).ln() / (wanted as f64 + 1.0).ln()).min(1.0);
        let span = most.saturating_sub((most - least).mul_f64(part)).max(least);
        suspicion.since + self.stretched(span)
    }

    fn end_suspicions(&mut self, out: &mut Vec<Action>) {
        let over = |known: &&Known| known.suspicion.as_ref().is_some_and(|s| self.now >= self.ends_at(s));
        let dead: Vec<Update> = self.known.values().filter(over).map(|known| known.update.clone()).collect();
        for update in dead {
            let by = Some(self.me.about.name.clone());
            self.heard_of(&Update { state: State::Dead, by, ..update }, out);
        }
    }

    /// What is said of a member, by itself or another: the higher incarnation holds, and at the same one the worse
    /// state.
    fn heard_of(&mut self, update: &Update, out: &mut Vec<Action>) {
        let name = &update.about.name;
        if !VERSIONS.contains(&update.about.version) || !named(name) || update.unheard.len() > UNHEARD_MOST {
            self.odd += 1;
            return;
        }
        if *name == self.me.about.name {
            return self.of_me(update, out);
        }
        let Some(known) = self.known.get_mut(name) else {
            if self.known.len() >= self.terms.members_most {
                self.odd += 1;
                return;
            }
            // Who is unknown and dead is remembered too: else an old word of its life would raise its ghost.
            return self.hold(update, out);
        };
        let (old, new) = (&known.update, update);
        let order = |u: &Update| (u.incarnation, u.state);
        // Two that both live under one name after a cut: the same choice everywhere.
        let twins = old.about.address != new.about.address
            && old.incarnation == new.incarnation
            && old.state == State::Alive
            && new.state == State::Alive;
        if twins && new.about.address < old.about.address || order(new) > order(old) {
            return self.hold(update, out);
        }
        if order(new) == order(old)
            && let (Some(suspicion), Some(by)) = (&mut known.suspicion, &new.by)
            && suspicion.by.len() <= self.terms.indirect
            && suspicion.by.insert(by.clone())
        {
            // One more that says so: passed on, as it makes the end come sooner for all.
            self.spread.put(update.clone());
            self.wake_at(self.next_at(), out);
        }
    }

    fn hold(&mut self, update: &Update, out: &mut Vec<Action>) {
        let name = update.about.name.clone();
        let before = self.known.remove(&name);
        let state_before = before.as_ref().map(|known| known.update.state);
        let moved = before.as_ref().is_none_or(|known| known.update.about.address != update.about.address);
        let suspicion = (update.state == State::Suspect)
            .then(|| Suspicion { since: self.now, by: update.by.iter().cloned().collect() });
        let same = state_before == Some(update.state);
        let known = Known {
            since: before.as_ref().filter(|_| same).map_or(self.now, |known| known.since),
            answered: before.as_ref().filter(|_| !moved).and_then(|known| known.answered),
            came: before.as_ref().filter(|_| !moved).and_then(|known| known.came),
            unheard: before.as_ref().is_some_and(|known| known.unheard && update.state <= State::Suspect),
            suspicion,
            update: update.clone(),
        };
        self.known.insert(name.clone(), known);
        self.spread.put(update.clone());
        if !same {
            out.push(Action::Changed { name, state: update.state, by: update.by.clone() });
        }
        if update.state == State::Suspect {
            self.wake_at(self.next_at(), out);
        }
    }

    /// What others say of this process: lies are denied, and a second process of this name is told from an old word of
    /// this one's earlier life by its address.
    fn of_me(&mut self, update: &Update, out: &mut Vec<Action>) {
        let elsewhere = update.about.address != self.me.about.address;
        if elsewhere && update.state <= State::Suspect {
            let theirs = (update.incarnation, std::cmp::Reverse(update.about.address));
            let ours = (self.me.incarnation, std::cmp::Reverse(self.me.about.address));
            if !self.settled || theirs > ours {
                self.over = true;
                out.push(Action::NameTaken { by: update.about.address });
            }
            return;
        }
        if update.state != State::Alive && update.incarnation >= self.me.incarnation {
            self.doing_badly(1);
            self.say_anew(update.incarnation);
            self.deny(update.by.as_ref(), out);
        } else if update.incarnation > self.me.incarnation {
            self.say_anew(update.incarnation);
        }
    }

    /// Tells who says so, and some others, at once. Who does badly itself probes seldom, so that a denial which only went
    /// along with its probes came late: members behind slow links were held dead by all the others time and again.
    fn deny(&mut self, by: Option<&Name>, out: &mut Vec<Action>) {
        let alive = self.known.iter().filter(|(_, known)| known.update.state == State::Alive);
        let mut others: Vec<(Name, SocketAddr)> =
            alive.map(|(name, known)| (name.clone(), known.update.about.address)).collect();
        self.rng.shuffle(&mut others);
        others.sort_by_key(|(name, _)| Some(name) != by);
        others.truncate(self.terms.indirect + 1);
        for (name, to) in others {
            self.tell(name, to, self.me.clone(), out);
        }
    }

    /// All that is known, exchanged with one member; and now and then one that is dead, or a seed, is tried, so that two
    /// halves that were cut apart find each other again.
    fn exchange(&mut self, out: &mut Vec<Action>) {
        let pick = |rng: &mut fastrand::Rng, of: Vec<(Option<Name>, SocketAddr)>| {
            (!of.is_empty()).then(|| of[rng.usize(0..of.len())].clone())
        };
        let among = |gone: bool| -> Vec<(Option<Name>, SocketAddr)> {
            (self.known.iter())
                .filter(|(_, known)| match known.update.state {
                    State::Alive | State::Suspect => !gone,
                    State::Dead => gone,
                    State::Left => false,
                })
                .map(|(name, known)| (Some(name.clone()), known.update.about.address))
                .collect()
        };
        let (alive, mut gone) = (among(false), among(true));
        let met: BTreeSet<SocketAddr> = alive.iter().map(|(_, address)| *address).collect();
        let unmet = |seed: &&SocketAddr| **seed != self.me.about.address && !met.contains(seed);
        gone.extend(self.terms.seeds.iter().filter(unmet).map(|&seed| (None, seed)));
        if let Some((name, to)) = pick(&mut self.rng, alive) {
            self.send(to, name.as_ref(), Body::Members { answer: true }, out);
        }
        // A newcomer asks all: one that answers is enough.
        let ask = if self.settled { pick(&mut self.rng, gone).into_iter().collect() } else { gone };
        for (name, to) in ask {
            self.spread.put(self.me.clone());
            // One that is held dead hears so, and denies it if it lives.
            let body = if name.is_some() { Body::Members { answer: true } } else { Body::Join };
            self.send(to, name.as_ref(), body, out);
        }
    }

    fn forget(&mut self) {
        let (now, remember) = (self.now, self.terms.remember);
        self.known.retain(|_, known| known.lives() || now.saturating_sub(known.since) < remember);
    }

    fn leave(&mut self, out: &mut Vec<Action>) {
        self.me.state = State::Left;
        self.spread.put(self.me.clone());
        let alive = self.known.values().filter(|known| known.lives());
        let all: Vec<(Name, SocketAddr)> =
            alive.map(|known| (known.update.about.name.clone(), known.update.about.address)).collect();
        for (name, to) in all {
            self.tell(name, to, self.me.clone(), out);
        }
        self.over = true;
    }

    fn publish(&mut self, key: &str, value: Option<&str>, out: &mut Vec<Action>) {
        let mut facts = (*self.me.facts).clone();
        let too_long = key.is_empty() || key.len() > FACT_MOST || value.is_some_and(|v| v.len() > FACT_MOST);
        if too_long {
            return out.push(Action::Refused { why: Unfit::Fact(key.chars().take(FACT_MOST).collect()) });
        }
        match value {
            Some(value) => facts.insert(key.to_owned(), value.to_owned()),
            None => facts.remove(key),
        };
        if facts.len() > FACTS_MOST {
            return out.push(Action::Refused { why: Unfit::TooManyFacts(facts.len()) });
        }
        if facts != *self.me.facts {
            self.me.facts = Arc::new(facts);
            self.say_anew(self.me.incarnation);
        }
    }
}

fn named(name: &Name) -> bool {
    (1..=NAME_MOST).contains(&name.len())
}

fn suspicion_least(terms: &Terms, members: usize) -> Duration {
    terms.period.mul_f64(terms.suspicion * (members.max(2) as f64).log10().max(1.0))
}
