//! The processes of a run: how each starts, crashes, is paused and resumes, and what its state
//! machine is given.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, Event, Incarnation, Membership, Message, Node, SUPPORTED_VERSIONS,
};

use super::outcome::DetectionTimes;
use crate::plan::{Member, MemberIndex};
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

impl Death {
    /// `None` where nobody has detected it.
    fn detection_times(&self) -> Option<DetectionTimes> {
        let times = self.detected_after.values();
        let (&first, &last) = (times.clone().min()?, times.max()?);
        Some(DetectionTimes { first, last })
    }
}

/// What a process is started with.
pub(super) struct Startup<'a> {
    pub(super) member: &'a Member,
    pub(super) config: Config,
    /// Of the state machine's own random draws.
    pub(super) seed: u64,
}

/// What waited while a process was paused.
pub(super) struct PendingEvents {
    pub(super) has_timer: bool,
    pub(super) messages: Vec<(MemberIndex, Message)>,
}

/// What becomes of a message that arrives.
pub(super) enum Arrival {
    /// The process handles it now.
    Accepted(Message),
    /// The process is paused; the message waits, or is dropped where too many do.
    Queued,
    /// The process is dead.
    AtDeadProcess(Message),
}

/// One process of a run. Owns its state machine and what waits while it is paused.
pub(super) struct Process {
    pub(super) address: SocketAddr,
    /// `None` while the process is dead or has not started yet.
    membership: Option<Membership>,
    pub(super) started_at: Duration,
    pub(super) generation: ProcessGeneration,
    is_paused: bool,
    /// What arrived while the process was paused.
    pending_messages: Vec<(MemberIndex, Message)>,
    has_pending_timer: bool,
    /// Since the last crash, until the process restarts.
    death: Option<Death>,
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

    /// Starts the process as a member of the run. Returns how long its last death took to be
    /// detected, where anybody detected it.
    pub(super) fn start(&mut self, now: Duration, startup: Startup) -> Option<DetectionTimes> {
        let Member { name, zone, region } = startup.member;
        let node = Node {
            name: name.as_str().into(),
            address: self.address,
            region: region.as_str().into(),
            zone: zone.as_str().into(),
            version: *SUPPORTED_VERSIONS.end(),
        };
        let incarnation = Incarnation::default();
        self.membership = Membership::new(startup.config, node, incarnation, startup.seed).ok();
        self.started_at = now;
        self.generation = self.generation.next();
        self.death.take()?.detection_times()
    }

    pub(super) fn crash(&mut self, now: Duration) {
        if self.membership.take().is_some() {
            self.death = Some(Death {
                at: now,
                detected_after: BTreeMap::new(),
            });
        }
        self.is_paused = false;
        self.has_pending_timer = false;
        self.pending_messages.clear();
    }

    pub(super) fn pause(&mut self) {
        self.is_paused = self.membership.is_some();
    }

    /// Returns what waited while the process was paused; `None` where it was not.
    pub(super) fn resume(&mut self) -> Option<PendingEvents> {
        std::mem::replace(&mut self.is_paused, false).then(|| PendingEvents {
            has_timer: std::mem::replace(&mut self.has_pending_timer, false),
            messages: std::mem::take(&mut self.pending_messages),
        })
    }

    pub(super) fn is_running(&self) -> bool {
        self.membership.is_some() && !self.is_paused
    }

    pub(super) fn is_dead(&self) -> bool {
        self.death.is_some()
    }

    /// Records that an observer considers the process dead. Returns whether it is.
    pub(super) fn record_detection(&mut self, now: Duration, observer: MemberIndex) -> bool {
        let Some(death) = &mut self.death else {
            return false;
        };
        death
            .detected_after
            .entry(observer)
            .or_insert(now - death.at);
        true
    }

    /// Returns whether a timer is to be handled now: it waits while the process is paused, and one
    /// of an earlier run of the process is void.
    pub(super) fn accept_timer(&mut self, generation: ProcessGeneration) -> bool {
        if self.generation != generation || self.membership.is_none() {
            return false;
        }
        self.has_pending_timer |= self.is_paused;
        !self.is_paused
    }

    /// What becomes of a message that arrives; it waits while the process is paused.
    pub(super) fn accept_message(&mut self, from: MemberIndex, message: Message) -> Arrival {
        if self.membership.is_none() {
            return Arrival::AtDeadProcess(message);
        }
        if !self.is_paused {
            return Arrival::Accepted(message);
        }
        if self.pending_messages.len() < MAX_PENDING_MESSAGES {
            self.pending_messages.push((from, message));
        }
        Arrival::Queued
    }

    pub(super) fn handle_event(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let local_time = now - self.started_at;
        match &mut self.membership {
            Some(membership) => membership.handle_events(local_time, &[event]),
            None => Vec::new(),
        }
    }
}
