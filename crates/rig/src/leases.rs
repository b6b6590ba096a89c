//! Leases in simulated time: voters, holders and their disks as they are, a network, clocks and processes that do what the
//! plan says, and a witness that each act is done at. The same plan and seed give the same run to the last message.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tulipgap_consensus::{
    Action as Said, Config as VoterConfig, DurableVoter, Event as Heard, Notice, PeerMessage, VoterPhase,
};
use tulipgap_leases::{
    Action, Command, Config, Event, FencingToken, Incarnation, Lease, LeaseClient, LeaseGuard, LeaseSpec,
    Name, Owner, RequestId, Response,
};
use tulipgap_write_ahead_log::{DiskFaults, DiskUsage, FaultyDisk};

use crate::plan::{Fault, Left, Plan, Trouble};
use crate::witness::{Refused, Witness};

/// Between two looks at who holds what.
const LOOK: Duration = Duration::from_millis(100);
/// Between two acts, and of the time that an act may take, what part it takes.
const REST: (f64, f64) = (0.01, 0.05);
const ACT: (f64, f64) = (0.4, 0.95);
/// Between two times that one asks who holds what.
const ASK_LIST: Duration = Duration::from_millis(700);
/// When the older copy of a folder is made.
const COPY_AT: Duration = Duration::from_millis(500);
/// How far clocks may be off, in thousandths; waits are longer by so much by chance.
const OFF: u32 = 50;
const JITTER: u32 = 250;

/// What is planted, by which the checks show that they can fail.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Planted {
    #[cfg(feature = "flaws")]
    pub lease: Option<tulipgap_leases::InjectedBug>,
    #[cfg(feature = "flaws")]
    pub durable: Option<tulipgap_write_ahead_log::InjectedBug>,
    #[cfg(feature = "flaws")]
    pub stale_read: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LeaseBroken {
    pub promise: &'static str,
    pub at: Duration,
    pub what: String,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct LeaseOutcome {
    pub broken: Option<LeaseBroken>,
    /// The longest that a wanted lease had no holder: after the last fault, and at all.
    pub free_after: Duration,
    pub free: Duration,
    pub grants: u64,
    pub acts: u64,
    /// Acts that the witness refused for their token.
    pub refused: u64,
    pub messages: u64,
    pub syncs: u64,
    pub written: u64,
    pub leaders: u64,
    /// Voters that ended themselves: a disk that failed, a folder set back.
    pub ended: u64,
    /// Names the run: equal where all was equal.
    pub trace: u64,
}

#[derive(Clone, Debug)]
enum Wire {
    Peer(PeerMessage),
    Ask { ask: RequestId, command: Command },
    Answer { life: Incarnation, ask: RequestId, answer: Response },
    NotLeading { ask: RequestId, leader: Option<Name> },
    Turn { lease: Name },
    List { number: RequestId, lease: Name },
    Listing { number: RequestId, leases: Vec<(Name, Lease)> },
}

enum What {
    Up { folder: Left },
    Down,
    Stop,
    Wake,
    Deliver { from: usize, wire: Wire },
    Seat { life: u64 },
    Holder { life: u64 },
    Act { life: u64, lease: Name },
    Copy,
    Disk(DiskFaults),
    Replace { old: Name, new: Name },
    List,
}

struct Process {
    name: Name,
    rate: f64,
    base: Duration,
    disk: FaultyDisk,
    seat: Option<DurableVoter<FaultyDisk>>,
    holder: Option<LeaseClient>,
    life: u64,
    stopped: bool,
    /// What came, or was due, while it was stopped.
    waiting: Vec<What>,
    older: BTreeMap<String, Vec<u8>>,
    /// By lease: the permit, and the token of an act that has begun.
    acts: BTreeMap<Name, (LeaseGuard, Option<FencingToken>)>,
}

struct World<'a> {
    plan: &'a Plan,
    planted: Planted,
    names: Vec<(String, String)>,
    voters: Vec<Name>,
    rng: fastrand::Rng,
    now: Duration,
    order: u64,
    due: BTreeMap<(Duration, u64), (usize, What)>,
    processes: Vec<Process>,
    witness: Witness,
    free_since: Vec<Option<Duration>>,
    /// Who led in which term, and what was agreed on by each entry.
    led: BTreeMap<u64, usize>,
    agreed: BTreeMap<u64, u64>,
    /// The highest token that was told, and of each lease the newest that was.
    told: FencingToken,
    newest: BTreeMap<Name, (FencingToken, usize)>,
    /// Lists that are under way: of what, and the newest token told before.
    lists: BTreeMap<RequestId, (Name, FencingToken)>,
    out: LeaseOutcome,
}

/// Plays a plan once.
pub fn simulate_leases(plan: &Plan, seed: u64, planted: Planted) -> LeaseOutcome {
    let names = plan.names();
    let rate = |member: &(String, String)| {
        let of = |fault: &Fault| match fault {
            Fault::Clock { of, rate } if Plan::is(member, of) => Some(*rate),
            _ => None,
        };
        plan.faults.iter().find_map(of).unwrap_or(1.0)
    };
    let process = |member: &(String, String)| Process {
        name: member.0.as_str().into(),
        rate: rate(member),
        base: Duration::ZERO,
        disk: FaultyDisk::default(),
        seat: None,
        holder: None,
        life: 0,
        stopped: false,
        waiting: Vec::new(),
        older: BTreeMap::new(),
        acts: BTreeMap::new(),
    };
    let mut world = World {
        plan,
        planted,
        voters: plan.voters.iter().map(|name| name.as_str().into()).collect(),
        rng: fastrand::Rng::with_seed(seed),
        now: Duration::ZERO,
        order: 0,
        due: BTreeMap::new(),
        processes: names.iter().map(process).collect(),
        witness: Witness::new(plan),
        free_since: vec![Some(Duration::ZERO); plan.leases.len()],
        led: BTreeMap::new(),
        agreed: BTreeMap::new(),
        told: FencingToken(0),
        newest: BTreeMap::new(),
        lists: BTreeMap::new(),
        out: LeaseOutcome { trace: 0xcbf2_9ce4_8422_2325, ..LeaseOutcome::default() },
        names,
    };
    for member in 0..world.names.len() {
        let at = Duration::from_secs_f64(world.rng.f64() * 0.2);
        world.put(at, member, What::Up { folder: Left::Kept });
        world.put(COPY_AT, member, What::Copy);
    }
    world.put(ASK_LIST, 0, What::List);
    for fault in &plan.faults {
        world.plan_fault(fault);
    }
    world.play()
}

impl World<'_> {
    fn put(&mut self, at: Duration, member: usize, what: What) {
        self.order += 1;
        self.due.insert((at, self.order), (member, what));
    }

    fn plan_fault(&mut self, fault: &Fault) {
        let secs = Duration::from_secs_f64;
        let all = 0..self.names.len();
        let of = |of: &String| -> Vec<usize> {
            all.clone().filter(|&member| Plan::is(&self.names[member], of)).collect()
        };
        match fault {
            Fault::Crash { at, of: who, back, folder } => {
                for member in of(who) {
                    self.put(secs(*at), member, What::Down);
                    if let Some(back) = back {
                        self.put(secs(*back), member, What::Up { folder: *folder });
                    }
                }
            }
            Fault::Stop { at, of: who, back } => {
                for member in of(who) {
                    self.put(secs(*at), member, What::Stop);
                    if let Some(back) = back {
                        self.put(secs(*back), member, What::Wake);
                    }
                }
            }
            Fault::Disk { at, of: who, back, what } => {
                let faults = match what {
                    Trouble::Full => DiskFaults { is_full: true, ..DiskFaults::default() },
                    Trouble::Fails => DiskFaults { next_sync_fails: true, ..DiskFaults::default() },
                };
                for member in of(who) {
                    self.put(secs(*at), member, What::Disk(faults));
                    self.put(secs(back.unwrap_or(*at + 5.0)), member, What::Disk(DiskFaults::default()));
                }
            }
            Fault::Replace { at, old, new } => {
                for member in of(new) {
                    let (old, new) = (old.as_str().into(), new.as_str().into());
                    self.put(secs(*at), member, What::Replace { old, new });
                }
            }
            Fault::Cut { .. } | Fault::Links { .. } | Fault::Clock { .. } => {}
        }
    }

    fn play(mut self) -> LeaseOutcome {
        let end = Duration::from_secs_f64(self.plan.length);
        let mut look_at = LOOK;
        while let Some(((at, _), (member, what))) = self.due.pop_first() {
            while look_at <= at.min(end) {
                self.now = look_at;
                self.look();
                look_at += LOOK;
            }
            if at > end || self.out.broken.is_some() {
                break;
            }
            self.now = at;
            self.happen(member, what);
        }
        for process in &self.processes {
            let DiskUsage { syncs, written_bytes: written } = process.disk.usage();
            (self.out.syncs, self.out.written) = (self.out.syncs + syncs, self.out.written + written);
        }
        self.out
    }

    fn break_promise(&mut self, promise: &'static str, what: String) {
        if self.out.broken.is_none() {
            self.out.broken = Some(LeaseBroken { promise, at: self.now, what });
        }
    }

    fn mark(&mut self, values: [u64; 3]) {
        for value in values {
            self.out.trace = (self.out.trace ^ value).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// What a process's own clock shows.
    fn clock(&self, member: usize) -> Duration {
        let process = &self.processes[member];
        (self.now - process.base).mul_f64(process.rate)
    }

    fn when(&self, member: usize, at: Duration) -> Duration {
        let process = &self.processes[member];
        // No sooner than its own clock says so.
        (process.base + at.div_f64(process.rate) + Duration::from_nanos(10)).max(self.now)
    }

    fn happen(&mut self, member: usize, what: What) {
        let life = self.processes[member].life;
        match what {
            What::Up { folder } => return self.start(member, folder),
            What::Down => return self.kill(member),
            What::Stop => return self.processes[member].stopped = self.processes[member].holder.is_some(),
            What::Wake => {
                if std::mem::replace(&mut self.processes[member].stopped, false) {
                    for what in std::mem::take(&mut self.processes[member].waiting) {
                        self.happen(member, what);
                    }
                }
                return;
            }
            What::Copy => return self.processes[member].older = self.processes[member].disk.copy_files(),
            What::Disk(faults) => return self.processes[member].disk.set_faults(faults),
            What::Replace { old, new } => {
                for at in 0..self.names.len() {
                    if self.processes[at].seat.as_ref().is_some_and(|seat| seat.voter().is_leader()) {
                        self.seat(at, vec![Heard::ReplaceVoter { old: old.clone(), new: new.clone() }]);
                    }
                }
                return;
            }
            What::List => return self.ask_list(),
            _ => {}
        }
        if self.processes[member].stopped {
            // A socket's buffer, no more.
            if self.processes[member].waiting.len() < 2000 {
                self.processes[member].waiting.push(what);
            }
            return;
        }
        match what {
            What::Seat { life: of } if of == life => self.seat(member, vec![Heard::TimerElapsed]),
            What::Holder { life: of } if of == life => self.holder(member, Event::TimerElapsed),
            What::Act { life: of, lease } if of == life => self.act(member, lease),
            What::Deliver { from, wire } => self.deliver(member, from, wire),
            _ => {}
        }
    }

    fn start(&mut self, member: usize, folder: Left) {
        // Where two crashes of one overlap, it is back already.
        if self.processes[member].holder.is_some() {
            return;
        }
        let seed = self.rng.u64(..);
        let (voters, now) = (self.voters.clone(), self.now);
        let process = &mut self.processes[member];
        process.life += 1;
        process.base = now;
        match folder {
            Left::Kept => {}
            Left::Emptied => process.disk.restore_files(BTreeMap::new()),
            Left::Older => process.disk.restore_files(process.older.clone()),
        }
        let owner = Owner { name: process.name.clone(), incarnation: Incarnation(process.life) };
        let config = Config { max_clock_drift_permille: OFF, jitter_permille: JITTER };
        let holder = LeaseClient::new(owner, voters.clone(), config, seed);
        process.holder = Some(planted_in(holder, &self.planted));
        let votes = voters.contains(&process.name)
            || self
                .plan
                .faults
                .iter()
                .any(|f| matches!(f, Fault::Replace { new, .. } if **new == *process.name));
        if votes {
            match DurableVoter::open(
                VoterConfig::default(),
                &process.name,
                voters,
                process.disk.clone(),
                seed,
            ) {
                Ok(mut seat) => {
                    plant(&mut seat, &self.planted);
                    process.seat = Some(seat);
                    self.seat(member, vec![Heard::TimerElapsed]);
                }
                Err(_) => self.out.ended += 1,
            }
        }
        for lease in &self.plan.leases {
            if Plan::is(&self.names[member], &lease.of) {
                let spec = LeaseSpec { ttl: Duration::from_secs_f64(lease.term), capacity: lease.places };
                let max_step = Duration::from_secs_f64(lease.step);
                let lease = lease.name.as_str().into();
                self.holder(member, Event::Acquire { lease, spec, max_step, wait: true });
            }
        }
    }

    fn kill(&mut self, member: usize) {
        let process = &mut self.processes[member];
        (process.seat, process.holder, process.stopped) = (None, None, false);
        process.waiting.clear();
        for (lease, (_, token)) in std::mem::take(&mut process.acts) {
            if let Some(token) = token {
                self.witness.gone(&lease, token.0);
            }
        }
        // The process ends, or its machine: of what was not synced some is there.
        let rng = &mut self.rng;
        process.disk.crash(|unsynced| rng.usize(0..=unsynced));
    }

    fn seat(&mut self, member: usize, events: Vec<Heard>) {
        let now = self.clock(member);
        let Some(seat) = &mut self.processes[member].seat else { return };
        let before = seat.voter().applied_index();
        let (said, done) = seat.handle_events(now, events);
        let (table, applied) = (seat.voter().leases(), seat.voter().applied_index());
        if applied != before {
            let hash = fingerprint(table);
            let first = *self.agreed.entry(applied).or_insert(hash);
            if first != hash {
                let what =
                    format!("{} holds other leases after entry {applied}", self.processes[member].name);
                self.break_promise("logs agree", what);
            }
        }
        if done.is_err() {
            self.processes[member].seat = None;
            self.out.ended += 1;
        }
        let life = self.processes[member].life;
        for action in said {
            match action {
                Said::Send { to, message } => self.send(member, &to, Wire::Peer(message)),
                Said::Respond { to, incarnation: life, request: ask, response: answer } => {
                    self.send(member, &to, Wire::Answer { life, ask, answer });
                }
                Said::RejectNotLeader { to, request: ask, leader } => {
                    self.send(member, &to, Wire::NotLeading { ask, leader })
                }
                Said::NotifySlotAvailable { to, lease } => self.send(member, &to, Wire::Turn { lease }),
                Said::RespondRead { to, request: number, leases } => {
                    self.send(member, &to, Wire::Listing { number, leases });
                }
                Said::SetTimer { at } => {
                    let at = self.when(member, at);
                    self.put(at, member, What::Seat { life });
                }
                Said::Notice(notice) => self.notice(member, &notice),
                Said::AppendRecord(_) | Said::WriteSnapshot(_) | Said::WriteIdentity(_) => {}
            }
        }
    }

    fn notice(&mut self, member: usize, notice: &Notice) {
        match notice {
            Notice::BecameLeader { term } => {
                self.out.leaders += 1;
                self.mark([member as u64, *term, self.now.as_micros() as u64]);
                let led = *self.led.entry(*term).or_insert(member);
                if led != member {
                    let what = format!("{} and {} in term {term}", self.names[led].0, self.names[member].0);
                    self.break_promise("one leader a term", what);
                }
                let seat = self.processes[member].seat.as_ref();
                let tokens = seat.map_or(FencingToken(u64::MAX), |seat| seat.voter().leases().last_token());
                if tokens < self.told {
                    let what =
                        format!("token {} was told, and the leader of term {term} has {tokens}", self.told);
                    self.break_promise("what was told stays", what);
                }
            }
            Notice::RolledBack { .. } | Notice::InvalidData(_) => self.out.ended += 1,
            _ => {}
        }
    }

    fn holder(&mut self, member: usize, event: Event) {
        let now = self.clock(member);
        let Some(holder) = &mut self.processes[member].holder else { return };
        let actions = holder.handle_event(now, event);
        self.carry_out(member, actions);
    }

    fn carry_out(&mut self, member: usize, actions: Vec<Action>) {
        let life = self.processes[member].life;
        for action in actions {
            match action {
                Action::Send { to, request: ask, command } => {
                    self.send(member, &to, Wire::Ask { ask, command })
                }
                Action::SetTimer { at } => {
                    let at = self.when(member, at);
                    self.put(at, member, What::Holder { life });
                }
                Action::Acquired { lease, token } => {
                    self.out.grants += 1;
                    self.mark([member as u64, token.0, self.now.as_micros() as u64]);
                    let newest = self.newest.get(&lease).copied().unwrap_or((FencingToken(0), member));
                    let places = self.witness.places(&lease);
                    if places == 1 && (token < newest.0 || token == newest.0 && newest.1 != member) {
                        let what = format!("{lease}: {token} after {}", newest.0);
                        self.break_promise("tokens only grow", what);
                    }
                    self.told = self.told.max(token);
                    self.newest.insert(lease.clone(), (token.max(newest.0), member));
                    if !self.processes[member].acts.contains_key(&lease) {
                        self.put(self.now, member, What::Act { life, lease });
                    }
                }
                Action::Lost { .. } | Action::Rejected { .. } => {}
            }
        }
        self.at_most();
    }

    /// By true time, whatever each believes: who may act now, the stopped ones too.
    fn holders(&self, lease: &str) -> usize {
        let may = |member: &usize| {
            let holder = self.processes[*member].holder.clone();
            holder.is_some_and(|mut holder| holder.acquire_guard(self.clock(*member), lease).is_ok())
        };
        (0..self.processes.len()).filter(may).count()
    }

    fn at_most(&mut self) {
        for at in 0..self.plan.leases.len() {
            let lease = &self.plan.leases[at];
            let holders = self.holders(&lease.name);
            if holders > lease.places as usize {
                let what = format!("{holders} hold {}, which has {} places", lease.name, lease.places);
                self.break_promise("no more than may hold it", what);
            }
        }
    }

    fn act(&mut self, member: usize, lease: Name) {
        let (now, life) = (self.clock(member), self.processes[member].life);
        let process = &mut self.processes[member];
        let Some(holder) = &mut process.holder else { return };
        let (permit, begun) = match process.acts.remove(&lease) {
            Some(acting) => acting,
            None => match holder.acquire_guard(now, &lease) {
                Ok(permit) => (permit, None),
                Err(_) => return,
            },
        };
        let step = self.witness.step(&lease);
        let span = |rng: &mut fastrand::Rng, of: (f64, f64)| of.0 + (of.1 - of.0) * rng.f64();
        if let Some(token) = begun {
            self.out.refused += u64::from(self.witness.end(&lease, token.0).is_err());
            process.acts.insert(lease.clone(), (permit, None));
            let rest = Duration::from_secs_f64(span(&mut self.rng, REST));
            return self.put(self.now + rest, member, What::Act { life, lease });
        }
        match holder.check_guard(now, &permit) {
            Ok(token) => {
                process.acts.insert(lease.clone(), (permit, Some(token)));
                // A process that is stopped in the middle of an act is kept from harm by its token alone.
                let asleep: BTreeSet<u64> = (self.processes.iter())
                    .filter(|process| process.stopped)
                    .filter_map(|process| Some(process.acts.get(&lease)?.1?.0))
                    .collect();
                match self.witness.begin(&lease, token.0, &asleep) {
                    Ok(()) => self.out.acts += 1,
                    Err(Refused::Older) => self.out.refused += 1,
                    Err(Refused::Overlaps(others)) => {
                        let what = format!("{lease}: token {token} while {others:?} act");
                        self.break_promise("acts never overlap", what);
                    }
                }
                let takes = Duration::from_secs_f64(step * span(&mut self.rng, ACT));
                self.put(self.now + takes, member, What::Act { life, lease });
            }
            Err(_) => {
                let actions = holder.release_guard(now, permit);
                self.carry_out(member, actions);
                // Lost and gained again meanwhile.
                self.put(self.now + Duration::from_millis(10), member, What::Act { life, lease });
            }
        }
    }

    fn send(&mut self, from: usize, to: &Name, wire: Wire) {
        let Some(to) = self.processes.iter().position(|process| process.name == *to) else { return };
        self.out.messages += 1;
        let now = self.now.as_secs_f64();
        let (delay, loss, twice) = self.plan.worse(now, &self.names[from], &self.names[to]);
        let copies = 1 + usize::from(self.rng.f64() < twice);
        for _ in 0..copies {
            let (least, most) = Plan::LATENCY;
            let takes = least + (most - least) * self.rng.f64() + delay * (0.5 + self.rng.f64());
            if self.rng.f64() >= loss && self.plan.open(now, &self.names[from], &self.names[to]) {
                let at = self.now + Duration::from_secs_f64(takes);
                self.put(at, to, What::Deliver { from, wire: wire.clone() });
            }
        }
    }

    fn deliver(&mut self, to: usize, from: usize, wire: Wire) {
        let name = self.processes[from].name.clone();
        match wire {
            Wire::Peer(message) => self.seat(to, vec![Heard::PeerMessage { from: name, message }]),
            Wire::Ask { ask, command } => {
                self.seat(to, vec![Heard::Propose { from: name, request: ask, command }])
            }
            Wire::List { number, lease } => {
                self.seat(to, vec![Heard::Read { from: name, request: number, lease: Some(lease) }]);
            }
            Wire::Answer { life, ask, answer } => {
                self.holder(to, Event::Response { incarnation: life, request: ask, response: answer })
            }
            Wire::NotLeading { ask, leader } => self.holder(to, Event::NotLeader { request: ask, leader }),
            Wire::Turn { lease } => self.holder(to, Event::SlotAvailable { lease }),
            Wire::Listing { number, leases } => {
                let Some((lease, newest)) = self.lists.remove(&number) else { return };
                let held = leases.iter().find(|(name, _)| *name == lease).and_then(|(_, l)| l.holders.last());
                if let Some(held) = held.filter(|held| held.token < newest) {
                    let what = format!("{lease}: {} is told, {newest} had been granted before", held.token);
                    self.break_promise("what is told is no older than the question", what);
                }
            }
        }
    }

    /// A member asks every voter who holds the first lease; only one that is sure to lead may answer.
    fn ask_list(&mut self) {
        self.put(self.now + ASK_LIST, 0, What::List);
        let Some(lease) = self.plan.leases.first() else { return };
        let lease: Name = lease.name.as_str().into();
        if lease.is_empty() || self.witness.places(&lease) != 1 {
            return;
        }
        let newest = self.newest.get(&lease).map_or(FencingToken(0), |newest| newest.0);
        let asker = self.rng.usize(0..self.names.len());
        for voter in self.voters.clone() {
            self.order += 1;
            let number = RequestId(self.order);
            self.lists.insert(number, (lease.clone(), newest));
            self.send(asker, &voter, Wire::List { number, lease: lease.clone() });
        }
        while self.lists.len() > 1000 {
            self.lists.pop_first();
        }
    }

    fn look(&mut self) {
        self.at_most();
        let quiet = self.plan.quiet_from();
        let votes = |p: &&Process| {
            let seat = p.seat.as_ref().filter(|_| !p.stopped);
            seat.is_some_and(|seat| seat.voter().status().phase == VoterPhase::Voting)
        };
        let voting = self.processes.iter().filter(votes).count();
        let led = voting > self.voters.len() / 2;
        for at in 0..self.plan.leases.len() {
            let lease = self.plan.leases[at].name.clone();
            let wants = |member: usize| {
                let process = &self.processes[member];
                let wants = Plan::is(&self.names[member], &self.plan.leases[at].of);
                wants && process.holder.is_some() && !process.stopped
            };
            let wanted = led && (0..self.names.len()).any(wants);
            if !wanted || self.holders(&lease) > 0 {
                self.free_since[at] = None;
                continue;
            }
            let since = *self.free_since[at].get_or_insert(self.now);
            self.out.free = self.out.free.max(self.now - since);
            if self.now > quiet {
                let span = self.now - since.max(quiet);
                self.out.free_after = self.out.free_after.max(span);
                if span.as_secs_f64() > self.plan.checks.free {
                    self.break_promise("free", format!("{lease} has had no holder for {span:?}"));
                }
            }
        }
    }
}

fn fingerprint(table: &tulipgap_leases::LeaseStateMachine) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    table.hash(&mut hasher);
    hasher.finish()
}

#[cfg(feature = "flaws")]
fn plant(seat: &mut DurableVoter<FaultyDisk>, planted: &Planted) {
    let flaw = match planted.stale_read {
        true => Some(tulipgap_consensus::InjectedBug::StaleRead),
        false => planted.lease.map(tulipgap_consensus::InjectedBug::Leases),
    };
    seat.inject_bugs(flaw, planted.durable);
}

#[cfg(feature = "flaws")]
fn planted_in(mut holder: LeaseClient, planted: &Planted) -> LeaseClient {
    holder.inject_bug(planted.lease);
    holder
}

#[cfg(not(feature = "flaws"))]
fn planted_in(holder: LeaseClient, _: &Planted) -> LeaseClient {
    holder
}

#[cfg(not(feature = "flaws"))]
fn plant(_: &mut DurableVoter<FaultyDisk>, _: &Planted) {}
