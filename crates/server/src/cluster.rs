//! A process among others: membership, leases and, where it is one of them, a voter. All of it runs on threads of its own;
//! nothing here is started unless the block `cluster` says so. What is decided is decided in the packages `membership`, `agree`
//! and `leases`; here their events come in and their actions are carried out.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tulipgap_agree::{Action as Agreed, Event as Heard, Seat};
use tulipgap_durable::{Disk, Folder};
use tulipgap_leases::{Action, Command, Event, Holder, Name, Permit, Shape, Stale, Standing, Who};
use tulipgap_membership::dependency_probe::{
    DependencyProber, Input as ProbeInput, ProbeOutcome, Verdict, VerdictChange,
};
use tulipgap_membership::{Incarnation, MemberState, MemberUpdate, Membership, Node, Reachability};
use tulipgap_peer::{Frames, Said, Word};

use crate::control::{self, Request};
use crate::net;
use crate::net::peers::{Links, Opened, thread};
use crate::net::store::StoreClient;
use crate::trial::{self, Troubled};

/// What may wait to be taken up.
const WAITING: usize = 4096;
/// Taken up in one go: one write of a voter serves them all.
const AT_ONCE: usize = 256;
/// Addresses that are remembered.
const KNOWN_MOST: usize = 4096;
/// Waits are longer by so much by chance, in thousandths.
const JITTER: u32 = 250;
/// An operator's command that nobody who leads has answered by then has failed.
const OPERATOR_WAIT: Duration = Duration::from_secs(5);
const OPERATOR_AGAIN: Duration = Duration::from_millis(300);
const OPERATORS_MOST: usize = 64;
/// Numbers of what operators ask, apart from those of the holder.
const OPERATORS: u64 = 1 << 62;
/// Leave to drain.
const DRAIN_TERM: Duration = Duration::from_secs(3);
const DRAIN_STEP: Duration = Duration::from_millis(100);

/// The end of the program waits so long for good-byes at the most; to hand leadership on takes a part of it.
const FAREWELL: Duration = Duration::from_millis(500);
const HAND_ON: Duration = Duration::from_millis(150);
/// Descriptors that are kept for all of this: streams each way, datagrams, journal, control.
pub const DESCRIPTORS: usize = net::peers::STREAMS + 8;
/// Probing the store.
const STORE_FACT: &str = "store";
const PROBE_LOOK: Duration = Duration::from_millis(100);
const PROBE_SHAPE: Shape = Shape { term: Duration::from_secs(4), places: 1 };
const PROBE_STEP: Duration = Duration::from_millis(500);

/// Time since the machine's start, that it slept through included: a term goes on while it sleeps.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Duration,
    rate: f64,
}

fn boot_time() -> Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    Duration::new(now.tv_sec.try_into().unwrap_or(0), now.tv_nsec.try_into().unwrap_or(0))
}

impl Clock {
    fn new(rate: f64) -> Self {
        Clock { start: boot_time(), rate }
    }

    pub fn now(&self) -> Duration {
        boot_time().saturating_sub(self.start).mul_f64(self.rate)
    }

    /// How long to wait until that time.
    fn until(&self, at: Duration) -> Duration {
        at.saturating_sub(self.now()).div_f64(self.rate) + Duration::from_micros(50)
    }
}

pub enum Input {
    Said(Said),
    /// What a task's call asks to be carried out.
    Carry(Vec<Action>),
    Operator(Request, SyncSender<Value>),
    /// What live members of this zone publish under a key, this process left out.
    Facts(&'static str, SyncSender<Vec<(Name, String)>>),
    Publish(&'static str, Option<String>),
    HandOn,
    Leave(SyncSender<()>),
}

/// The only way to act under a lease.
#[derive(Clone)]
pub struct Leases {
    holder: Arc<Mutex<Holder>>,
    clock: Clock,
    inputs: SyncSender<Input>,
}

impl Leases {
    pub fn want(&self, lease: &str, shape: Shape, step: Duration) {
        let lease = lease.into();
        let event = Event::Want { lease, shape, step, wait: true };
        let actions = self.holder.lock().decide(self.clock.now(), event);
        self.carry(actions);
    }

    pub fn give_back(&self, lease: &str) {
        let actions = self.holder.lock().decide(self.clock.now(), Event::Drop { lease: lease.into() });
        self.carry(actions);
    }

    pub fn begin(&self, lease: &str) -> Result<Permit, Stale> {
        let mut holder = self.holder.lock();
        holder.begin(self.clock.now(), lease)
    }

    /// The token for one step that begins now.
    pub fn step(&self, permit: &Permit) -> Result<u64, Stale> {
        let mut holder = self.holder.lock();
        holder.step(self.clock.now(), permit)
    }

    pub fn done(&self, permit: Permit) {
        let actions = self.holder.lock().done(self.clock.now(), permit);
        self.carry(actions);
    }

    fn carry(&self, actions: Vec<Action>) {
        let _ = self.inputs.send(Input::Carry(actions));
    }
}

pub struct Cluster {
    inputs: SyncSender<Input>,
    leases: Leases,
    /// The lease that says who of the zone drains, and how many may.
    drain: Option<(String, u32)>,
    zone: String,
    control: Option<PathBuf>,
}

/// Takes its place among the others. What it is told makes no sense, or its address is taken: that is said at the start.
pub fn start(told: &tulipgap_config::ClusterConfig, own_name: &str, seed: u64) -> Result<Cluster, String> {
    let me: Name = told.member.as_deref().unwrap_or(own_name).into();
    let at = |what: &str, error: &dyn std::fmt::Display| format!("cluster: {what}: {error}");
    let listen: SocketAddr = told.listen.parse().map_err(|error| at("listen", &error))?;
    let key = std::fs::read(&told.key).map_err(|error| at(&told.key.display().to_string(), &error))?;
    let frames = Frames::new(&told.name, &key)
        .ok_or_else(|| at(&told.key.display().to_string(), &"a key takes 16 bytes or more"))?;
    let trial = told.trial.clone().unwrap_or_default();
    let clock = Clock::new(trial.clock_rate);
    // Another life with each start: nothing may be taken for what an earlier one asked.
    let life = fastrand::u64(1..);
    let (inputs, taken) = sync_channel(WAITING);
    let (said, words) = sync_channel::<Said>(WAITING);
    let routes: HashMap<_, _> = trial.routes().into_iter().collect();
    let of = Opened { listen, frames, me: me.clone(), life, routes };
    let links = Links::open(of, said).map_err(|error| at(&told.listen, &error))?;
    let node = Node {
        name: me.clone(),
        address: listen,
        region: told.region.as_str().into(),
        zone: told.zone.as_str().into(),
        version: *tulipgap_membership::SUPPORTED_VERSIONS.end(),
    };
    let config = tulipgap_membership::Config { seeds: told.seeds(), ..Default::default() };
    let members = Membership::new(config, node, Incarnation::default(), seed ^ life)
        .map_err(|error| at("member", &error))?;
    let voters: Vec<Name> = told.voters.iter().map(|voter| voter.as_str().into()).collect();
    let off = (told.clock_off * 1000.0).round() as u32;
    let who = Who { name: me.clone(), life };
    let holder = Arc::new(Mutex::new(Holder::new(who, voters.clone(), off, JITTER, seed ^ life)));
    let known = Arc::new(Mutex::new(HashMap::from([(me.clone(), listen)])));
    let post = Post { links, known, me: me.clone(), inputs: inputs.clone() };
    // A member that has a folder may be asked to vote later on, in another's place.
    let seat = match &told.folder {
        Some(folder) if !voters.is_empty() => {
            let terms = tulipgap_agree::Terms { off_thousandths: off, ..Default::default() };
            let folder_at = folder.display().to_string();
            let disk = Folder::open(folder).map_err(|error| at(&folder_at, &error))?;
            let disk = Troubled::new(disk, trial.disk_trouble.clone());
            let seat = Seat::take(terms, &me, voters.clone(), disk, seed ^ life);
            let seat = seat.map_err(|error| at(&folder_at, &error))?;
            Some(take_seat(seat, clock, post.clone()).map_err(|error| at("threads", &error))?)
        }
        None if voters.contains(&me) => return Err(at("folder", &"a voter needs one")),
        _ => None,
    };
    let leases = Leases { holder: holder.clone(), clock, inputs: inputs.clone() };
    let into = inputs.clone();
    let forward = move || words.iter().all(|said| into.send(Input::Said(said)).is_ok());
    thread("cluster-in", move || _ = forward()).map_err(|error| at("threads", &error))?;
    let drain = told.drain.as_ref().map(|drain| (format!("drain/{}", told.zone), drain.at_once));
    let core = Core {
        members,
        holder,
        seat,
        clock,
        post,
        voters,
        members_at: None,
        holder_at: None,
        waiting: BTreeMap::new(),
        numbers: OPERATORS,
        drain: drain.clone(),
        zone_told: false,
    };
    thread("cluster", move || core.run(&taken)).map_err(|error| at("threads", &error))?;
    if let Some(path) = &told.control {
        control::listen(path, inputs.clone()).map_err(|error| at(&path.display().to_string(), &error))?;
    }
    for lease in trial.leases() {
        let Some(witness) = trial.witness.as_deref().and_then(|witness| witness.parse().ok()) else {
            continue;
        };
        let (leases, me) = (leases.clone(), me.clone());
        thread("trial", move || trial::act(&leases, &lease, witness, &me))
            .map_err(|error| at("threads", &error))?;
    }
    log::info!("cluster {}: {me} of {} listens on {listen}", told.name, told.zone);
    let (zone, control) = (told.zone.clone(), told.control.clone());
    Ok(Cluster { inputs, leases, drain, zone, control })
}

impl Cluster {
    /// It has notice to leave, and goes whether or not others of its zone do; those that wait for leave see it gone.
    pub fn drains(&self) {
        // Another is to lead before this one is busy leaving; where nobody takes it over it goes on until its end.
        let _ = self.inputs.try_send(Input::HandOn);
        let Some((lease, at_once)) = self.drain.clone() else { return };
        let leases = self.leases.clone();
        // Nothing here may hold the notice up, whatever the cluster's thread does.
        let asks = thread("drain", move || leases.want(&lease, drain_shape(at_once), DRAIN_STEP));
        if let Err(error) = asks {
            log::warn!("drain: {error}");
        }
    }

    /// One of the zone probes the store when it refuses, and all others go by its verdict.
    pub fn probe_store(&self, store: &Arc<StoreClient>) {
        let (leases, inputs, store) = (self.leases.clone(), self.inputs.clone(), store.clone());
        let lease = format!("probe/store/{}", self.zone);
        if let Err(error) = thread("cluster-probe", move || probe_store(&leases, &inputs, &lease, &store)) {
            log::error!("cluster: {error}");
        }
    }

    /// Says good-bye: another is to lead, places are given back, the others need not find out. It takes no longer than that.
    pub fn leave(self, most: Duration) {
        let (said, left) = sync_channel(1);
        if self.inputs.try_send(Input::Leave(said)).is_ok() {
            let _ = left.recv_timeout(most.min(FAREWELL));
        }
        if let Some(path) = self.control {
            let _ = std::fs::remove_file(path);
        }
    }
}

fn drain_shape(at_once: u32) -> Shape {
    Shape { term: DRAIN_TERM, places: at_once }
}

fn probe_store(leases: &Leases, inputs: &SyncSender<Input>, lease: &str, store: &StoreClient) {
    let (mut probing, mut wanted) = (DependencyProber::default(), false);
    let (mut probed, mut permit) = (None, None);
    loop {
        std::thread::sleep(PROBE_LOOK);
        // Nothing to ask about while it answers.
        if store.refused_in_a_row() == 0 && !wanted {
            continue;
        }
        let (reply, facts) = sync_channel(1);
        if inputs.send(Input::Facts(STORE_FACT, reply)).is_err() {
            return;
        }
        let facts = facts.recv_timeout(Duration::from_secs(1)).unwrap_or_default();
        let verdicts: Vec<Verdict> =
            facts.into_iter().map(|(member, text)| Verdict { member, text }).collect();
        if permit.is_none() && wanted {
            permit = leases.begin(lease).ok();
        }
        let holds = permit.as_ref().is_some_and(|permit| leases.step(permit).is_ok());
        if !holds && let Some(stale) = permit.take() {
            leases.done(stale);
        }
        let input = ProbeInput {
            consecutive_refusals: store.refused_in_a_row(),
            has_lease: holds,
            probe_outcome: probed.take(),
            verdicts: &verdicts,
        };
        let output = probing.update(leases.clock.now(), &input);
        if let Some(change) = output.verdict_change {
            let verdict = match change {
                VerdictChange::Publish(text) => Some(text),
                VerdictChange::Withdraw => None,
            };
            let _ = inputs.send(Input::Publish(STORE_FACT, verdict));
        }
        store.hold_down(output.is_down);
        if output.should_have_lease && !wanted {
            leases.want(lease, PROBE_SHAPE, PROBE_STEP);
        } else if !output.should_have_lease && wanted {
            if let Some(permit) = permit.take() {
                leases.done(permit);
            }
            leases.give_back(lease);
            if holds {
                store.health_check_succeeded();
            }
        }
        wanted = output.should_have_lease;
        if output.should_probe
            && let Some(address) = store.address()
        {
            let connected = std::net::TcpStream::connect_timeout(&address, PROBE_STEP);
            probed = Some(if connected.is_ok() { ProbeOutcome::Succeeded } else { ProbeOutcome::Failed });
        }
    }
}

/// Gets words to members by name.
#[derive(Clone)]
struct Post {
    links: Arc<Links>,
    known: Arc<Mutex<HashMap<Name, SocketAddr>>>,
    me: Name,
    inputs: SyncSender<Input>,
}

impl Post {
    fn to(&self, name: &Name, word: Word) {
        let address = self.known.lock().get(name).copied();
        match address {
            Some(address) if *name == self.me => {
                let said = Said { from: name.clone(), address, life: 0, word };
                // Its own queue: a voter that waited for it here would wait for itself.
                let _ = self.inputs.try_send(Input::Said(said));
            }
            Some(address) => self.links.send(address, word),
            // Not met yet: as good as lost, and said again.
            None => {}
        }
    }

    fn learn(&self, name: &Name, address: SocketAddr) {
        let mut known = self.known.lock();
        if known.len() < KNOWN_MOST || known.contains_key(name) {
            known.insert(name.clone(), address);
        }
    }
}

/// A voter's thread: its writes wait for the disk and nothing else does.
struct Voting {
    events: SyncSender<Heard>,
    standing: Arc<Mutex<tulipgap_agree::Standing>>,
}

fn take_seat<D: Disk + Send + 'static>(mut seat: Seat<D>, clock: Clock, post: Post) -> io::Result<Voting> {
    let (events, heard) = sync_channel(WAITING);
    let standing = Arc::new(Mutex::new(seat.voter().standing()));
    let shown = standing.clone();
    thread("voter", move || {
        let mut alarm_at = Some(Duration::ZERO);
        loop {
            let wait =
                alarm_at.map_or(Duration::from_secs(1), |at| clock.until(at).min(Duration::from_secs(1)));
            let mut batch: Vec<Heard> = match heard.recv_timeout(wait) {
                Ok(first) => vec![first],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            batch.extend(heard.try_iter().take(AT_ONCE));
            let now = clock.now();
            if alarm_at.is_some_and(|at| at <= now) {
                alarm_at = None;
                batch.push(Heard::Alarm);
            }
            if batch.is_empty() {
                continue;
            }
            let (said, done) = seat.decide(now, batch);
            for action in said {
                match action {
                    Agreed::Send { to, message } => post.to(&to, Word::Peer(message)),
                    Agreed::Answer { to, life, ask, answer } => {
                        post.to(&to, Word::Answer { life, ask, answer })
                    }
                    Agreed::NotLeading { to, ask, leader } => post.to(&to, Word::NotLeading { ask, leader }),
                    Agreed::Turn { to, lease } => post.to(&to, Word::Turn { lease }),
                    Agreed::Listing { to, number, leases } => post.to(&to, Word::Listing { number, leases }),
                    Agreed::Alarm { at } => alarm_at = Some(alarm_at.map_or(at, |asked| asked.min(at))),
                    Agreed::Notice(notice) => log::info!("voter: {notice}"),
                    Agreed::Write(_) | Agreed::Whole(_) | Agreed::Identity(_) => {}
                }
            }
            *shown.lock() = seat.voter().standing();
            if let Err(error) = done {
                log::error!("voter: {error}; this process votes no more until it is started again");
                shown.lock().phase = "ended".into();
                return;
            }
        }
    })?;
    Ok(Voting { events, standing })
}

/// What an operator waits for.
struct Waits {
    reply: SyncSender<Value>,
    word: Word,
    until: Duration,
    again_at: Duration,
    voter: usize,
}

struct Core {
    members: Membership,
    holder: Arc<Mutex<Holder>>,
    seat: Option<Voting>,
    clock: Clock,
    post: Post,
    voters: Vec<Name>,
    members_at: Option<Duration>,
    holder_at: Option<Duration>,
    waiting: BTreeMap<u64, Waits>,
    numbers: u64,
    /// The lease that says who of the zone drains, and how many may.
    drain: Option<(String, u32)>,
    zone_told: bool,
}

impl Core {
    fn run(mut self, inputs: &Receiver<Input>) {
        let started = self.members.handle_events(self.clock.now(), &[tulipgap_membership::Event::Started]);
        self.member_actions(started);
        loop {
            let again = self.waiting.values().map(|waits| waits.again_at).min();
            let at = [self.members_at, self.holder_at, again].into_iter().flatten().min();
            let wait =
                at.map_or(Duration::from_secs(1), |at| self.clock.until(at).min(Duration::from_secs(1)));
            let first = match inputs.recv_timeout(wait) {
                Ok(input) => Some(input),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            for input in first.into_iter().chain(inputs.try_iter().take(AT_ONCE)) {
                match input {
                    Input::Said(said) => self.said(said),
                    Input::Carry(actions) => self.carry_out(actions),
                    Input::Operator(request, reply) => self.operator(request, reply),
                    Input::Facts(key, reply) => _ = reply.try_send(self.facts(key)),
                    Input::Publish(key, value) => {
                        let event = tulipgap_membership::Event::SetMetadata { key: key.into(), value };
                        let actions = self.members.handle_events(self.clock.now(), &[event]);
                        self.member_actions(actions);
                    }
                    Input::HandOn => self.voter(Heard::Leave),
                    Input::Leave(done) => return self.leave(&done),
                }
            }
            self.alarms();
        }
    }

    fn alarms(&mut self) {
        let now = self.clock.now();
        if self.members_at.is_some_and(|at| at <= now) {
            self.members_at = None;
            let actions = self.members.handle_events(now, &[tulipgap_membership::Event::TimerExpired]);
            self.member_actions(actions);
        }
        if self.holder_at.is_some_and(|at| at <= now) {
            self.holder_at = None;
            self.holder(Event::Alarm);
        }
        let due: Vec<u64> =
            (self.waiting.iter()).filter(|(_, w)| w.again_at <= now).map(|(n, _)| *n).collect();
        for number in due {
            self.ask_again(number, None);
        }
    }

    fn holder(&mut self, event: Event) {
        let actions = self.holder.lock().decide(self.clock.now(), event);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ask { to, ask, command } => self.post.to(&to, Word::Ask { ask, command }),
                Action::Alarm { at } => {
                    self.holder_at = Some(self.holder_at.map_or(at, |asked| asked.min(at)))
                }
                Action::Gained { lease, token } => log::info!("lease {lease}: held, token {token}"),
                Action::Lost { lease, token, why } => {
                    log::info!("lease {lease}: token {token} lost ({why:?})")
                }
                Action::Refused { lease, why } => log::warn!("lease {lease}: {why}"),
            }
        }
    }

    fn member_actions(&mut self, actions: Vec<tulipgap_membership::Action>) {
        use tulipgap_membership::Action as Do;
        let mut changed = false;
        for action in actions {
            match action {
                Do::Send { to, message } => self.post.links.send(to, Word::Member(message)),
                Do::SetTimer { at } => {
                    self.members_at = Some(self.members_at.map_or(at, |asked| asked.min(at)))
                }
                Do::StateChanged { name, state, reported_by } => {
                    changed = true;
                    let by = reported_by.map_or_else(String::new, |by| format!(", says {by}"));
                    log::info!("member {name} is {state:?}{by}");
                }
                Do::NameConflict { address } => {
                    log::error!("another process at {address} has this name; this one says no more")
                }
                Do::MetadataRejected { error } => log::warn!("members: {error}"),
            }
        }
        if changed {
            self.one_zone();
            for member in self.members.members() {
                self.post.learn(&member.update.node.name, member.update.node.address);
            }
        }
    }

    /// A zone that has most voters takes all leases with it when it fails.
    fn one_zone(&mut self) {
        let voters = &self.voters;
        let votes = |update: &MemberUpdate| voters.contains(&update.node.name);
        let mut zones: BTreeMap<Name, usize> = BTreeMap::new();
        let me = self.members.local().clone();
        for update in self.members.members().map(|member| member.update).chain([me]).filter(votes) {
            *zones.entry(update.node.zone).or_default() += 1;
        }
        let most = zones.iter().find(|(_, count)| voters.len() > 1 && **count > voters.len() / 2);
        if let Some((zone, count)) = most
            && !std::mem::replace(&mut self.zone_told, true)
        {
            log::warn!(
                "{count} of {} voters stand in zone {zone}: where it fails no lease is granted",
                voters.len()
            );
        }
    }

    fn said(&mut self, said: Said) {
        let Said { from, address, word, .. } = said;
        self.post.learn(&from, address);
        match word {
            Word::Member(message) if message.from == from => {
                let event = tulipgap_membership::Event::Received { from: address, message };
                let actions = self.members.handle_events(self.clock.now(), &[event]);
                self.member_actions(actions);
            }
            // Nobody speaks in another's name.
            Word::Member(_) => {}
            Word::Peer(message) => self.voter(Heard::Peer { from, message }),
            Word::Ask { ask, command } => {
                let own = match &command {
                    Command::Ask { who, .. } | Command::Release { who, .. } => who.name == from,
                    Command::Expire { .. } => false,
                    Command::Revoke { .. } | Command::Transfer { .. } => true,
                };
                match (own, self.seat.is_some()) {
                    (true, true) => self.voter(Heard::Asked { from, ask, command }),
                    (true, false) => self.post.to(&from, Word::NotLeading { ask, leader: None }),
                    (false, _) => {}
                }
            }
            Word::List { number, lease } => self.voter(Heard::List { from, number, lease }),
            Word::Replace { old, new } => self.voter(Heard::Replace { old, new }),
            Word::Answer { ask, answer, .. } if ask >= OPERATORS => {
                let told = match answer {
                    tulipgap_leases::Answer::Refused(why) => json!({ "error": why.to_string() }),
                    _ => json!({ "done": true }),
                };
                self.reply(ask, told);
            }
            Word::Answer { life, ask, answer } => self.holder(Event::Answered { life, ask, answer }),
            Word::NotLeading { ask, leader } if ask >= OPERATORS => {
                if let Some(leader) = leader {
                    self.ask_again(ask, Some(&leader));
                }
            }
            Word::NotLeading { ask, leader } => self.holder(Event::NotLeading { ask, leader }),
            Word::Turn { lease } => self.holder(Event::Turn { lease }),
            Word::Listing { number, leases } => {
                let rows: Vec<Value> = leases.iter().map(|(name, lease)| control::row(name, lease)).collect();
                self.reply(number, json!({ "leases": rows }));
            }
        }
    }

    fn facts(&self, key: &str) -> Vec<(Name, String)> {
        let zone = &self.members.local().node.zone;
        let lives = |update: &MemberUpdate| update.state == MemberState::Alive;
        (self.members.members())
            .filter(|member| member.update.node.zone == *zone && lives(&member.update))
            .filter_map(|member| {
                let verdict = member.update.metadata.get(key)?.clone();
                Some((member.update.node.name.clone(), verdict))
            })
            .collect()
    }

    fn voter(&self, event: Heard) {
        if let Some(seat) = &self.seat {
            // A voter whose disk does not answer must not hold up the rest; what it misses is said again.
            let _ = seat.events.try_send(event);
        }
    }

    fn reply(&mut self, number: u64, told: Value) {
        if let Some(waits) = self.waiting.remove(&number) {
            let _ = waits.reply.try_send(told);
        }
    }

    /// Asks the voter that leads, or each in turn until one does.
    fn ask_again(&mut self, number: u64, hint: Option<&Name>) {
        let now = self.clock.now();
        let Some(waits) = self.waiting.get_mut(&number) else { return };
        if now >= waits.until {
            return self.reply(number, json!({ "error": "no voter that leads has answered in 5 s" }));
        }
        let to = match hint {
            Some(hint) => Some(hint.clone()),
            None => {
                waits.voter += 1;
                waits.again_at = now + OPERATOR_AGAIN;
                self.voters.get(waits.voter % self.voters.len().max(1)).cloned()
            }
        };
        if let Some(to) = to {
            let word = waits.word.clone();
            self.post.to(&to, word);
        }
    }

    fn ask(&mut self, reply: SyncSender<Value>, word: impl FnOnce(u64) -> Word) {
        if self.voters.is_empty() || self.waiting.len() >= OPERATORS_MOST {
            let why =
                if self.voters.is_empty() { "this cluster has no voters" } else { "too many ask already" };
            let _ = reply.try_send(json!({ "error": why }));
            return;
        }
        self.numbers += 1;
        let (number, now) = (self.numbers, self.clock.now());
        let word = word(number);
        let waits = Waits { reply, word, until: now + OPERATOR_WAIT, again_at: now, voter: 0 };
        self.waiting.insert(number, waits);
        self.ask_again(number, None);
    }

    fn operator(&mut self, request: Request, reply: SyncSender<Value>) {
        let told = match request {
            Request::Members => self.members_told(),
            Request::Leases { lease } => {
                let lease = lease.map(Name::from);
                return self.ask(reply, |number| Word::List { number, lease });
            }
            Request::Revoke { lease, token } => {
                let command = Command::Revoke { lease: lease.into(), token };
                return self.ask(reply, |ask| Word::Ask { ask, command });
            }
            Request::Transfer { lease, token, to } => {
                let command = Command::Transfer { lease: lease.into(), token, to: to.into() };
                return self.ask(reply, |ask| Word::Ask { ask, command });
            }
            Request::Take { lease, term_ms, places } => {
                let shape = Shape { term: Duration::from_millis(term_ms), places };
                self.take(&lease, shape, Duration::ZERO)
            }
            Request::Drain => match self.drain.clone() {
                None => json!({ "error": "the block cluster has no block drain" }),
                Some((lease, at_once)) => self.take(&lease, drain_shape(at_once), DRAIN_STEP),
            },
            Request::Release { lease } => {
                self.holder(Event::Drop { lease: lease.as_str().into() });
                json!({ "done": true })
            }
            Request::Own => self.own_told(),
            Request::Replace { old, new } => {
                let (old, new): (Name, Name) = (old.into(), new.into());
                for voter in self.voters.clone() {
                    self.post.to(&voter, Word::Replace { old: old.clone(), new: new.clone() });
                }
                json!({ "asked": true })
            }
        };
        let _ = reply.try_send(told);
    }

    fn take(&mut self, lease: &str, shape: Shape, step: Duration) -> Value {
        let event = Event::Want { lease: lease.into(), shape, step, wait: true };
        let actions = self.holder.lock().decide(self.clock.now(), event);
        let refused = actions.iter().find_map(|action| match action {
            Action::Refused { why, .. } => Some(json!({ "error": why.to_string() })),
            _ => None,
        });
        self.carry_out(actions);
        refused.unwrap_or_else(|| json!({ "wanted": true, "lease": lease }))
    }

    /// What this process holds or wants, and how its voter stands.
    fn own_told(&self) -> Value {
        let holder = self.holder.lock();
        let wanted: Vec<Value> = (holder.wanted())
            .map(|(lease, standing)| match standing {
                Standing::Held { token, told: true, .. } => {
                    json!({ "lease": &**lease, "held": true, "token": token })
                }
                Standing::Queued { ahead } => json!({ "lease": &**lease, "held": false, "ahead": ahead }),
                _ => json!({ "lease": &**lease, "held": false }),
            })
            .collect();
        let voter = self.seat.as_ref().map(|seat| {
            let standing = seat.standing.lock().clone();
            json!({ "phase": standing.phase, "term": standing.term, "leader": standing.leader.as_deref(),
                "applied": standing.applied, "id": standing.id,
                "voters": standing.voters.values().map(|name| &**name).collect::<Vec<_>>() })
        });
        json!({ "name": &*self.post.me, "wanted": wanted, "voter": voter, "dropped_frames": self.post.links.dropped() })
    }

    fn members_told(&self) -> Value {
        let now = self.clock.now();
        let me = self.members.local();
        let row = |update: &MemberUpdate, extra: Value| {
            let mut row = json!({ "name": &*update.node.name, "address": update.node.address.to_string(),
                "region": &*update.node.region, "zone": &*update.node.zone,
                "state": format!("{:?}", update.state).to_lowercase(), "incarnation": update.incarnation,
                "by": update.reported_by.as_deref(), "facts": &*update.metadata,
                "unheard": update.unreachable_peers.iter().map(|name| &**name).collect::<Vec<_>>() });
            if let (Some(row), Value::Object(extra)) = (row.as_object_mut(), extra) {
                row.extend(extra);
            }
            row
        };
        let mut rows = vec![row(me, json!({ "reach": "itself" }))];
        rows.extend(self.members.members().map(|member| {
            let by: Vec<&str> = member.suspected_by.iter().map(|name| &**name).collect();
            row(
                &member.update,
                json!({ "reach": reach_word(member.reachability), "suspected_by": by,
                "for_s": now.saturating_sub(member.state_since).as_secs_f64() }),
            )
        }));
        json!({ "members": rows, "badly": self.members.awareness(), "odd": self.members.anomalies() })
    }

    fn leave(mut self, done: &SyncSender<()>) {
        let names: Vec<Name> = self.holder.lock().wanted().map(|(name, _)| name.clone()).collect();
        for lease in names {
            // Nothing acts any more: this is the end of the process.
            self.holder(Event::Drop { lease });
        }
        self.voter(Heard::Leave);
        std::thread::sleep(HAND_ON);
        let left = self.members.handle_events(self.clock.now(), &[tulipgap_membership::Event::Leave]);
        self.member_actions(left);
        let _ = done.try_send(());
    }
}

/// The words of the control socket, which stay as they are, for the reachability of a member.
fn reach_word(reachability: Reachability) -> &'static str {
    match reachability {
        Reachability::Reachable => "heard",
        Reachability::AsymmetricPartition => "oneway",
        Reachability::IndirectOnly => "through",
        Reachability::Unreachable => "nobody",
    }
}
