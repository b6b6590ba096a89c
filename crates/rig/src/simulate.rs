//! A run in simulated time: the members' own state machines, a network that does what the plan says, and a checker that
//! looks on. The same plan and seed give the same run to the last message.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, Event, Incarnation, MemberState, Membership, Message, MessageBody, Node,
    SUPPORTED_VERSIONS,
};

use crate::check::{Broken, Checker, Pair, Worst};
use crate::plan::{Fault, Plan};

/// Between two looks of the checker.
const LOOK: Duration = Duration::from_millis(250);
/// From then on the planted mute member says nothing.
const MUTE_FROM: Duration = Duration::from_secs(10);

/// Something planted, by which a checker shows that it can fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flaw {
    /// One member says nothing, though its links are whole.
    Mute,
    /// What a crashed member would answer is answered in its place.
    Ghost,
    /// Nothing that is said of members is passed on.
    Untold,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub broken: Option<Broken>,
    pub worst: Worst,
    pub messages: u64,
    /// Members that were held dead by another while they lived and could be reached.
    pub false_deaths: u64,
    /// From each crash to the first that holds it dead, and to the last; crashes that came back before are left out.
    pub detected: Vec<(Duration, Duration)>,
    /// Names the run: equal where all was equal.
    pub trace: u64,
}

enum What {
    Deliver { to: usize, from: usize, message: Message },
    Alarm { life: u64 },
    Up,
    Down,
    Stop,
    Wake,
}

struct Process {
    address: SocketAddr,
    decider: Option<Membership>,
    started: Duration,
    stopped: bool,
    /// What came while it was stopped.
    waiting: Vec<(usize, Message)>,
    alarm: bool,
    life: u64,
    died: Option<Duration>,
    seen: Option<(Duration, BTreeMap<usize, Duration>)>,
}

struct World<'a> {
    plan: &'a Plan,
    names: Vec<(String, String)>,
    flaw: Option<Flaw>,
    rng: fastrand::Rng,
    now: Duration,
    order: u64,
    /// What is to happen, to which member, by its time and by the order in which it was put.
    due: BTreeMap<(Duration, u64), (usize, What)>,
    processes: Vec<Process>,
    at: HashMap<SocketAddr, usize>,
    /// What each holds of each, as it said so itself.
    held: Vec<Vec<Option<MemberState>>>,
    members: HashMap<String, usize>,
    messages: u64,
    false_deaths: u64,
    detected: Vec<(Duration, Duration)>,
    trace: u64,
}

/// Plays a plan once.
pub fn simulate(plan: &Plan, seed: u64, flaw: Option<Flaw>) -> Outcome {
    let names = plan.names();
    let address = |member: usize| {
        let ip = Ipv4Addr::new(127, 1, (member / 250) as u8, (member % 250) as u8 + 1);
        SocketAddr::new(IpAddr::V4(ip), 7100)
    };
    let process = |member: usize| Process {
        address: address(member),
        decider: None,
        started: Duration::ZERO,
        stopped: false,
        waiting: Vec::new(),
        alarm: false,
        life: 0,
        died: None,
        seen: None,
    };
    let mut world = World {
        at: (0..names.len()).map(|member| (address(member), member)).collect(),
        held: vec![vec![None; names.len()]; names.len()],
        members: names.iter().enumerate().map(|(member, (name, _))| (name.clone(), member)).collect(),
        processes: (0..names.len()).map(process).collect(),
        plan,
        flaw,
        rng: fastrand::Rng::with_seed(seed),
        now: Duration::ZERO,
        order: 0,
        due: BTreeMap::new(),
        messages: 0,
        false_deaths: 0,
        detected: Vec::new(),
        trace: 0xcbf2_9ce4_8422_2325,
        names,
    };
    for member in 0..world.names.len() {
        let at = Duration::from_secs_f64(world.rng.f64() * 0.2);
        world.put(at, member, What::Up);
    }
    for fault in &plan.faults {
        let (at, of, back, stops) = match fault {
            Fault::Crash { at, of, back, .. } => (at, of, back, false),
            Fault::Stop { at, of, back } => (at, of, back, true),
            _ => continue,
        };
        for member in world.members_of(of) {
            let (down, up) = if stops { (What::Stop, What::Wake) } else { (What::Down, What::Up) };
            world.put(Duration::from_secs_f64(*at), member, down);
            if let Some(back) = back {
                world.put(Duration::from_secs_f64(*back), member, up);
            }
        }
    }
    world.play()
}

impl World<'_> {
    fn put(&mut self, at: Duration, member: usize, what: What) {
        self.order += 1;
        self.due.insert((at, self.order), (member, what));
    }

    fn members_of(&self, of: &str) -> Vec<usize> {
        (0..self.names.len()).filter(|&member| Plan::is(&self.names[member], of)).collect()
    }

    fn play(mut self) -> Outcome {
        let mut checker = Checker::new(self.plan.checks, self.plan.quiet_from());
        let end = Duration::from_secs_f64(self.plan.length);
        let mut look_at = LOOK;
        while let Some(((at, _), (member, what))) = self.due.pop_first() {
            while look_at <= at.min(end) {
                self.now = look_at;
                self.look(&mut checker);
                look_at += LOOK;
            }
            if at > end || checker.broken.is_some() {
                break;
            }
            self.now = at;
            self.happen(member, what, &mut checker);
        }
        Outcome {
            broken: checker.broken,
            worst: checker.worst,
            messages: self.messages,
            false_deaths: self.false_deaths,
            detected: self.detected,
            trace: self.trace,
        }
    }

    fn happen(&mut self, member: usize, what: What, checker: &mut Checker) {
        match what {
            What::Up => self.start(member, checker),
            What::Down => {
                let process = &mut self.processes[member];
                if process.decider.take().is_some() {
                    (process.died, process.seen) = (Some(self.now), Some((self.now, BTreeMap::new())));
                }
                (process.stopped, process.alarm) = (false, false);
                process.waiting.clear();
            }
            What::Stop => self.processes[member].stopped = self.processes[member].decider.is_some(),
            What::Wake => {
                let process = &mut self.processes[member];
                if std::mem::replace(&mut process.stopped, false) {
                    checker.anew(member);
                    let waiting = std::mem::take(&mut process.waiting);
                    if std::mem::replace(&mut process.alarm, false) {
                        self.tell(member, &[Event::TimerExpired]);
                    }
                    for (from, message) in waiting {
                        self.receive(member, from, message);
                    }
                }
            }
            What::Alarm { life } => {
                let process = &mut self.processes[member];
                if process.life != life || process.decider.is_none() {
                } else if process.stopped {
                    process.alarm = true;
                } else {
                    self.tell(member, &[Event::TimerExpired]);
                }
            }
            What::Deliver { to, from, message } => {
                let process = &mut self.processes[to];
                if process.decider.is_none() {
                    self.answer_as_ghost(to, from, &message);
                } else if process.stopped {
                    // A socket's buffer, no more.
                    if process.waiting.len() < 1000 {
                        process.waiting.push((from, message));
                    }
                } else {
                    self.receive(to, from, message);
                }
            }
        }
    }

    fn start(&mut self, member: usize, checker: &mut Checker) {
        checker.anew(member);
        self.held[member].fill(None);
        // One of each zone: a zone that is cut off still finds itself.
        let first = |&member: &usize| member == 0 || self.names[member].1 != self.names[member - 1].1;
        let seeds =
            (0..self.names.len()).filter(first).map(|member| self.processes[member].address).collect();
        let config = Config { seeds, ..self.plan.terms.clone() };
        let (name, zone) = self.names[member].clone();
        let address = self.processes[member].address;
        let region = self.plan.members.iter().find(|m| m.zone == zone).map_or("", |m| m.region.as_str());
        let region = if region.is_empty() { &zone } else { region };
        let node = Node {
            name: name.into(),
            address,
            region: region.into(),
            zone: zone.as_str().into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        let seed = self.rng.u64(..);
        let decider = Membership::new(config, node, Incarnation::default(), seed).ok();
        let process = &mut self.processes[member];
        (process.decider, process.started, process.died) = (decider, self.now, None);
        process.life += 1;
        if let Some((_, seen)) = process.seen.take()
            && let (Some(first), Some(last)) = (seen.values().min(), seen.values().max())
        {
            self.detected.push((*first, *last));
        }
        self.tell(member, &[Event::Started]);
    }

    fn receive(&mut self, member: usize, from: usize, message: Message) {
        let from = self.processes[from].address;
        self.tell(member, &[Event::Received { from, message }]);
    }

    fn tell(&mut self, member: usize, events: &[Event]) {
        let process = &mut self.processes[member];
        let (life, since) = (process.life, self.now - process.started);
        let Some(decider) = &mut process.decider else { return };
        for action in decider.handle_events(since, events) {
            match action {
                Action::Send { to, message } => self.send(member, to, message),
                Action::SetTimer { at } => {
                    let at = self.processes[member].started + at;
                    self.put(at, member, What::Alarm { life });
                }
                Action::StateChanged { name, state, .. } => self.changed(member, &name, state),
                Action::NameConflict { .. } | Action::MetadataRejected { .. } => {}
            }
        }
    }

    fn changed(&mut self, observer: usize, name: &str, state: MemberState) {
        for value in [observer as u64, state as u64, self.now.as_micros() as u64] {
            self.trace = (self.trace ^ value).wrapping_mul(0x0100_0000_01b3);
        }
        let Some(&of) = self.members.get(name) else { return };
        self.held[observer][of] = Some(state);
        if state != MemberState::Dead {
            return;
        }
        let process = &mut self.processes[of];
        if let (Some(_), Some((since, seen))) = (process.died, &mut process.seen) {
            seen.entry(observer).or_insert(self.now - *since);
        } else if self.reachable(observer, of) {
            self.false_deaths += 1;
        }
    }

    /// Whether what the one sends gets to the other now, as far as cuts go.
    fn open(&self, from: usize, to: usize) -> bool {
        self.plan.open(self.now.as_secs_f64(), &self.names[from], &self.names[to])
    }

    fn awake(&self, member: usize) -> bool {
        self.processes[member].decider.is_some() && !self.processes[member].stopped
    }

    fn reachable(&self, a: usize, b: usize) -> bool {
        self.awake(a) && self.awake(b) && self.open(a, b) && self.open(b, a)
    }

    fn send(&mut self, from: usize, to: SocketAddr, mut message: Message) {
        self.messages += 1;
        let Some(&to) = self.at.get(&to) else { return };
        match self.flaw {
            Some(Flaw::Mute) if from == 0 && self.now >= MUTE_FROM => return,
            Some(Flaw::Untold) => message.updates.retain(|update| update.node.name == message.from),
            _ => {}
        }
        let now = self.now.as_secs_f64();
        let (delay, loss, twice) = self.plan.worse(now, &self.names[from], &self.names[to]);
        let copies = 1 + usize::from(self.rng.f64() < twice);
        for _ in 0..copies {
            // Each takes its own time, so that they overtake each other.
            let takes = Plan::LATENCY.0
                + (Plan::LATENCY.1 - Plan::LATENCY.0) * self.rng.f64()
                + delay * (0.5 + self.rng.f64());
            let lost = self.rng.f64() < loss;
            if !lost && self.open(from, to) {
                let at = self.now + Duration::from_secs_f64(takes);
                self.put(at, to, What::Deliver { to, from, message: message.clone() });
            }
        }
    }

    fn answer_as_ghost(&mut self, ghost: usize, from: usize, message: &Message) {
        if let (Some(Flaw::Ghost), MessageBody::Ping { sequence_number }) = (self.flaw, &message.body) {
            let body = MessageBody::Ack { sequence_number: *sequence_number };
            let name = self.names[ghost].0.as_str().into();
            let answer = Message { from: name, to: Some(message.from.clone()), body, updates: Vec::new() };
            self.send(ghost, self.processes[from].address, answer);
        }
    }

    fn look(&mut self, checker: &mut Checker) {
        let now = self.now.as_secs_f64();
        let on =
            |fault: &Fault| matches!(fault, Fault::Cut { span, .. } if now >= span.from && now < span.to);
        let cut = self.plan.faults.iter().any(on);
        for observer in 0..self.names.len() {
            if !self.awake(observer) {
                continue;
            }
            for of in (0..self.names.len()).filter(|&of| of != observer) {
                let pair = Pair {
                    observer,
                    of,
                    names: &self.names,
                    held: self.held[observer][of],
                    reachable: if cut { self.reachable(observer, of) } else { self.awake(of) },
                    dead: self.processes[of].died.is_some(),
                };
                checker.look(self.now, &pair);
            }
        }
    }
}
