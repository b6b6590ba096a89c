//! The processes of a run: how each starts, crashes, is paused and resumes, and what its state
//! machine is given.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, Event, Incarnation, MemberState, Membership, Message, Node, SUPPORTED_VERSIONS,
};

use super::outcome::DetectionTimes;
use super::{MembershipSimulation, SimulationEvent};
use crate::plan::{Member, MemberIndex, seed_members};
use crate::scheduler::ProcessGeneration;

/// Messages that wait for a paused process, at most, as in a socket's buffer.
const MAX_PENDING_MESSAGES: usize = 1000;
/// The port of each member.
const PORT: u16 = 7100;
/// Members whose addresses differ in the last byte alone.
const MEMBERS_PER_SUBNET: usize = 250;

/// When a process died, and after how long each observer had detected it.
pub(super) struct Death {
    at: Duration,
    detected_after: BTreeMap<MemberIndex, Duration>,
}

pub(super) struct Process {
    pub(super) address: SocketAddr,
    /// `None` while the process is dead or has not started yet.
    pub(super) membership: Option<Membership>,
    started_at: Duration,
    generation: ProcessGeneration,
    pub(super) is_paused: bool,
    /// What arrived while the process was paused.
    pending_messages: Vec<(MemberIndex, Message)>,
    has_pending_timer: bool,
    /// Since the last crash, until the process restarts.
    pub(super) death: Option<Death>,
}

impl Process {
    pub(super) fn new(index: MemberIndex) -> Self {
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

impl MembershipSimulation<'_> {
    pub(super) fn start(&mut self, member: MemberIndex) {
        self.checker.reset_observer(member);
        self.views[member].fill(None);
        let seeds = seed_members(&self.members)
            .map(|index| self.processes[index].address)
            .collect();
        let config = Config {
            seeds,
            ..self.plan.membership.clone()
        };
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

    pub(super) fn crash(&mut self, member: MemberIndex) {
        let at = self.scheduler.now();
        let process = &mut self.processes[member];
        if process.membership.take().is_some() {
            process.death = Some(Death {
                at,
                detected_after: BTreeMap::new(),
            });
        }
        process.is_paused = false;
        process.has_pending_timer = false;
        process.pending_messages.clear();
    }

    pub(super) fn resume(&mut self, member: MemberIndex) {
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

    pub(super) fn expire_timer(&mut self, member: MemberIndex, generation: ProcessGeneration) {
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

    pub(super) fn deliver(&mut self, to: MemberIndex, from: MemberIndex, message: Message) {
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
        let Some(membership) = &mut process.membership else {
            return;
        };
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
        self.fingerprint
            .mix([observer as u64, state as u64, now.as_micros() as u64]);
        let Some(&subject) = self.index_by_name.get(name) else {
            return;
        };
        self.views[observer][subject] = Some(state);
        if state != MemberState::Dead {
            return;
        }
        if let Some(death) = &mut self.processes[subject].death {
            death
                .detected_after
                .entry(observer)
                .or_insert(now - death.at);
        } else if self.is_reachable(observer, subject) {
            self.false_deaths += 1;
        }
    }
}
