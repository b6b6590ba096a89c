//! The membership in simulated time: the members' own state machines, a network that does what the plan says, and a checker
//! of the invariants. The same plan and seed give the same run to the last message.

use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, Event, Incarnation, MemberState, Membership, Message, MessageBody, Node,
    SUPPORTED_VERSIONS,
};

use crate::invariants::{MembershipChecker, MembershipViolation, Observation, WorstDurations};
use crate::plan::{Fault, Member, MemberIndex, Plan, matching, seed_members};
use crate::scheduler::{Fingerprint, ProcessGeneration, Scheduler, Simulation, play};

const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Members start within this time, in seconds.
const START_SPREAD: f64 = 0.2;
/// From then on the member that [`MembershipBug::MuteMember`] is about sends nothing.
const MUTE_FROM: Duration = Duration::from_secs(10);
/// Messages that wait for a paused process, as in a socket's buffer.
const MAX_PENDING_MESSAGES: usize = 1000;
const PORT: u16 = 7100;
const MEMBERS_PER_SUBNET: usize = 250;

/// A bug that is injected to show that a check can fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipBug {
    /// The first member sends nothing, though its links are whole.
    MuteMember,
    /// A dead member's pings are answered in its place.
    DeadMemberAnswers,
    /// No member forwards what it knows of others.
    NoDissemination,
}

/// How long it took until a crash was detected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionTimes {
    /// Until the first member considered the crashed one dead.
    pub first: Duration,
    /// Until the last member that ever did.
    pub last: Duration,
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipOutcome {
    /// The first violation of an invariant, which ends a run.
    pub violation: Option<MembershipViolation>,
    /// The worst durations seen.
    pub worst: WorstDurations,
    /// Messages sent.
    pub messages: u64,
    /// How often a member considered a live, reachable one dead.
    pub false_deaths: u64,
    /// Of each crash whose process restarted after somebody had detected it.
    pub detections: Vec<DetectionTimes>,
    /// Identifies the run: equal where all was equal.
    pub fingerprint: u64,
}

enum SimulationEvent {
    Start,
    Crash,
    Pause,
    Resume,
    TimerExpired { generation: ProcessGeneration },
    Deliver { from: MemberIndex, message: Message },
}

/// When a process died, and after how long each observer had detected it.
struct Death {
    at: Duration,
    detected_after: BTreeMap<MemberIndex, Duration>,
}

struct Process {
    address: SocketAddr,
    /// `None` while the process is dead or has not started yet.
    membership: Option<Membership>,
    started_at: Duration,
    generation: ProcessGeneration,
    is_paused: bool,
    /// What arrived while the process was paused.
    pending_messages: Vec<(MemberIndex, Message)>,
    has_pending_timer: bool,
    /// Since the last crash, until the process restarts.
    death: Option<Death>,
}

impl Process {
    fn new(index: MemberIndex) -> Self {
        let (subnet, host) = (index / MEMBERS_PER_SUBNET, index % MEMBERS_PER_SUBNET);
        let address = Ipv4Addr::new(127, 1, subnet as u8, host as u8 + 1);
        Process {
            address: SocketAddr::new(IpAddr::V4(address), PORT),
            membership: None,
            started_at: Duration::ZERO,
            generation: ProcessGeneration::default(),
            is_paused: false,
            pending_messages: Vec::new(),
            has_pending_timer: false,
            death: None,
        }
    }
}

/// A run. Owns the processes and what each considers the others to be.
struct MembershipSimulation<'a> {
    plan: &'a Plan,
    members: Vec<Member>,
    bug: Option<MembershipBug>,
    rng: fastrand::Rng,
    scheduler: Scheduler<SimulationEvent>,
    processes: Vec<Process>,
    index_by_address: HashMap<SocketAddr, MemberIndex>,
    index_by_name: HashMap<String, MemberIndex>,
    /// By observer and subject, as the observer reported it.
    views: Vec<Vec<Option<MemberState>>>,
    checker: MembershipChecker,
    messages: u64,
    false_deaths: u64,
    detections: Vec<DetectionTimes>,
    fingerprint: Fingerprint,
}

/// Plays a plan once in simulated time. A bug is injected to show that the checks can fail.
pub fn simulate_membership(plan: &Plan, seed: u64, bug: Option<MembershipBug>) -> MembershipOutcome {
    let mut simulation = MembershipSimulation::new(plan, seed, bug);
    simulation.schedule_starts();
    simulation.schedule_faults();
    play(&mut simulation, Duration::from_secs_f64(plan.length));
    MembershipOutcome {
        violation: simulation.checker.violation().cloned(),
        worst: simulation.checker.worst(),
        messages: simulation.messages,
        false_deaths: simulation.false_deaths,
        detections: simulation.detections,
        fingerprint: simulation.fingerprint.value(),
    }
}

impl Simulation for MembershipSimulation<'_> {
    type Event = SimulationEvent;
    const CHECK_INTERVAL: Duration = CHECK_INTERVAL;

    fn scheduler(&mut self) -> &mut Scheduler<SimulationEvent> {
        &mut self.scheduler
    }

    fn handle(&mut self, member: MemberIndex, event: SimulationEvent) {
        match event {
            SimulationEvent::Start => self.start(member),
            SimulationEvent::Crash => self.crash(member),
            SimulationEvent::Pause => {
                let process = &mut self.processes[member];
                process.is_paused = process.membership.is_some();
            }
            SimulationEvent::Resume => self.resume(member),
            SimulationEvent::TimerExpired { generation } => self.expire_timer(member, generation),
            SimulationEvent::Deliver { from, message } => self.deliver(member, from, message),
        }
    }

    fn check_invariants(&mut self) {
        let now = self.scheduler.now();
        let has_partition = self.plan.has_partition(now.as_secs_f64());
        for observer in 0..self.members.len() {
            if !self.is_running(observer) {
                continue;
            }
            for subject in (0..self.members.len()).filter(|&subject| subject != observer) {
                let is_reachable = match has_partition {
                    true => self.is_reachable(observer, subject),
                    false => self.is_running(subject),
                };
                let observation = Observation {
                    observer,
                    subject,
                    members: &self.members,
                    state: self.views[observer][subject],
                    is_reachable,
                    is_dead: self.processes[subject].death.is_some(),
                };
                self.checker.check(now, &observation);
            }
        }
    }

    fn has_failed(&self) -> bool {
        self.checker.violation().is_some()
    }
}

impl<'a> MembershipSimulation<'a> {
    fn new(plan: &'a Plan, seed: u64, bug: Option<MembershipBug>) -> Self {
        let members = plan.members();
        let processes: Vec<Process> = (0..members.len()).map(Process::new).collect();
        let index_by_address =
            processes.iter().enumerate().map(|(index, process)| (process.address, index)).collect();
        let index_by_name =
            members.iter().enumerate().map(|(index, member)| (member.name.clone(), index)).collect();
        MembershipSimulation {
            plan,
            bug,
            rng: fastrand::Rng::with_seed(seed),
            scheduler: Scheduler::new(),
            processes,
            index_by_address,
            index_by_name,
            views: vec![vec![None; members.len()]; members.len()],
            checker: MembershipChecker::new(plan.bounds, plan.faults_end()),
            messages: 0,
            false_deaths: 0,
            detections: Vec::new(),
            fingerprint: Fingerprint::new(),
            members,
        }
    }

    fn schedule_starts(&mut self) {
        for member in 0..self.members.len() {
            let at = Duration::from_secs_f64(self.rng.f64() * START_SPREAD);
            self.scheduler.schedule(at, member, SimulationEvent::Start);
        }
    }

    fn schedule_faults(&mut self) {
        for fault in &self.plan.faults {
            let is_crash = matches!(fault, Fault::Crash { .. });
            let (Fault::Crash { at, target, restart_at: end, .. }
            | Fault::Pause { at, target, resume_at: end }) = fault
            else {
                continue;
            };
            for member in matching(&self.members, target) {
                let (begins, ends) = match is_crash {
                    true => (SimulationEvent::Crash, SimulationEvent::Start),
                    false => (SimulationEvent::Pause, SimulationEvent::Resume),
                };
                self.scheduler.schedule(Duration::from_secs_f64(*at), member, begins);
                if let Some(end) = end {
                    self.scheduler.schedule(Duration::from_secs_f64(*end), member, ends);
                }
            }
        }
    }

    fn start(&mut self, member: MemberIndex) {
        self.checker.reset_observer(member);
        self.views[member].fill(None);
        let seeds = seed_members(&self.members).map(|index| self.processes[index].address).collect();
        let config = Config { seeds, ..self.plan.membership.clone() };
        let Member { name, zone, region } = &self.members[member];
        let node = Node {
            name: name.as_str().into(),
            address: self.processes[member].address,
            region: region.as_str().into(),
            zone: zone.as_str().into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        let seed = self.rng.u64(..);
        let process = &mut self.processes[member];
        process.membership = Membership::new(config, node, Incarnation::default(), seed).ok();
        process.started_at = self.scheduler.now();
        process.generation = process.generation.next();
        if let Some(death) = process.death.take() {
            let times = death.detected_after.values();
            if let (Some(&first), Some(&last)) = (times.clone().min(), times.max()) {
                self.detections.push(DetectionTimes { first, last });
            }
        }
        self.handle_membership_event(member, Event::Started);
    }

    fn crash(&mut self, member: MemberIndex) {
        let at = self.scheduler.now();
        let process = &mut self.processes[member];
        if process.membership.take().is_some() {
            process.death = Some(Death { at, detected_after: BTreeMap::new() });
        }
        process.is_paused = false;
        process.has_pending_timer = false;
        process.pending_messages.clear();
    }

    fn resume(&mut self, member: MemberIndex) {
        let process = &mut self.processes[member];
        if !std::mem::replace(&mut process.is_paused, false) {
            return;
        }
        let pending_messages = std::mem::take(&mut process.pending_messages);
        let has_pending_timer = std::mem::replace(&mut process.has_pending_timer, false);
        self.checker.reset_observer(member);
        if has_pending_timer {
            self.handle_membership_event(member, Event::TimerExpired);
        }
        for (from, message) in pending_messages {
            self.receive(member, from, message);
        }
    }

    fn expire_timer(&mut self, member: MemberIndex, generation: ProcessGeneration) {
        let process = &mut self.processes[member];
        if process.generation != generation || process.membership.is_none() {
            return;
        }
        if process.is_paused {
            process.has_pending_timer = true;
            return;
        }
        self.handle_membership_event(member, Event::TimerExpired);
    }

    fn deliver(&mut self, to: MemberIndex, from: MemberIndex, message: Message) {
        let process = &mut self.processes[to];
        if process.membership.is_none() {
            self.answer_for_dead_member(to, from, &message);
        } else if !process.is_paused {
            self.receive(to, from, message);
        } else if process.pending_messages.len() < MAX_PENDING_MESSAGES {
            process.pending_messages.push((from, message));
        }
    }

    fn receive(&mut self, member: MemberIndex, from: MemberIndex, message: Message) {
        let from = self.processes[from].address;
        self.handle_membership_event(member, Event::Received { from, message });
    }

    fn handle_membership_event(&mut self, member: MemberIndex, event: Event) {
        let process = &mut self.processes[member];
        let (generation, started_at) = (process.generation, process.started_at);
        let Some(membership) = &mut process.membership else { return };
        for action in membership.handle_events(self.scheduler.now() - started_at, &[event]) {
            match action {
                Action::Send { to, message } => self.send(member, to, message),
                Action::SetTimer { at } => {
                    let event = SimulationEvent::TimerExpired { generation };
                    self.scheduler.schedule(started_at + at, member, event);
                }
                Action::StateChanged { name, state, .. } => self.change_view(member, &name, state),
                Action::NameConflict { .. } | Action::MetadataRejected { .. } => {}
            }
        }
    }

    fn change_view(&mut self, observer: MemberIndex, name: &str, state: MemberState) {
        let now = self.scheduler.now();
        self.fingerprint.mix([observer as u64, state as u64, now.as_micros() as u64]);
        let Some(&subject) = self.index_by_name.get(name) else { return };
        self.views[observer][subject] = Some(state);
        if state != MemberState::Dead {
            return;
        }
        if let Some(death) = &mut self.processes[subject].death {
            death.detected_after.entry(observer).or_insert(now - death.at);
        } else if self.is_reachable(observer, subject) {
            self.false_deaths += 1;
        }
    }

    fn is_link_open(&self, from: MemberIndex, to: MemberIndex) -> bool {
        let now = self.scheduler.now().as_secs_f64();
        self.plan.is_link_open(now, &self.members[from], &self.members[to])
    }

    fn is_running(&self, member: MemberIndex) -> bool {
        let process = &self.processes[member];
        process.membership.is_some() && !process.is_paused
    }

    fn is_reachable(&self, a: MemberIndex, b: MemberIndex) -> bool {
        self.is_running(a) && self.is_running(b) && self.is_link_open(a, b) && self.is_link_open(b, a)
    }

    fn send(&mut self, from: MemberIndex, to: SocketAddr, mut message: Message) {
        self.messages += 1;
        let Some(&to) = self.index_by_address.get(&to) else { return };
        let now = self.scheduler.now();
        match self.bug {
            Some(MembershipBug::MuteMember) if from == 0 && now >= MUTE_FROM => return,
            Some(MembershipBug::NoDissemination) => {
                message.updates.retain(|update| update.node.name == message.from);
            }
            _ => {}
        }
        let quality = self.plan.link_quality(now.as_secs_f64(), &self.members[from], &self.members[to]);
        for _ in 0..quality.draw_copies(&mut self.rng) {
            let transit = quality.draw_transit(&mut self.rng);
            if let Some(transit) = transit.filter(|_| self.is_link_open(from, to)) {
                let event = SimulationEvent::Deliver { from, message: message.clone() };
                self.scheduler.schedule_in(transit, to, event);
            }
        }
    }

    /// Answers pings in the place of a dead member, where that bug is injected.
    fn answer_for_dead_member(&mut self, dead: MemberIndex, from: MemberIndex, message: &Message) {
        let MessageBody::Ping { sequence_number } = message.body else { return };
        if self.bug != Some(MembershipBug::DeadMemberAnswers) {
            return;
        }
        let answer = Message {
            from: self.members[dead].name.as_str().into(),
            to: Some(message.from.clone()),
            body: MessageBody::Ack { sequence_number },
            updates: Vec::new(),
        };
        self.send(dead, self.processes[from].address, answer);
    }
}
