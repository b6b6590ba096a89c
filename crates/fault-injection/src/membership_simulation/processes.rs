//! The processes of a run: how each process starts, crashes, is paused and resumes, and the inputs
//! of its state machine.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use tulipgap_membership::{
    Action, Config, Event, Incarnation, Membership, Message, Node, SUPPORTED_VERSIONS,
};

use super::outcome::DetectionTimes;
use crate::plan::{Member, MemberIndex};
use crate::scheduler::ProcessGeneration;

/// The maximum number of messages that are queued for a paused process, as in a socket's buffer.
/// Further messages are dropped.
const MAX_PENDING_MESSAGES: usize = 1000;
/// The port of each member.
const PORT: u16 = 7100;
/// The number of members whose addresses differ only in the last byte.
const MEMBERS_PER_SUBNET: usize = 250;

/// The time of a process's death, and the time from then until each observer detected it.
pub(super) struct Death {
    at: Duration,
    detected_after: BTreeMap<MemberIndex, Duration>,
}

impl Death {
    /// Returns `None` if no observer has detected the death.
    fn detection_times(&self) -> Option<DetectionTimes> {
        let times = self.detected_after.values();
        let (&first, &last) = (times.clone().min()?, times.max()?);
        Some(DetectionTimes { first, last })
    }
}

/// The parameters with which a process starts.
pub(super) struct Startup<'a> {
    pub(super) member: &'a Member,
    pub(super) config: Config,
    /// The seed of the state machine's random numbers.
    pub(super) seed: u64,
}

/// The events that were queued while a process was paused.
pub(super) struct PendingEvents {
    pub(super) has_timer: bool,
    pub(super) messages: Vec<(MemberIndex, Message)>,
}

/// How a process handles an arriving message.
pub(super) enum Arrival {
    /// The process handles the message now.
    Accepted(Message),
    /// The process is paused. The message is queued, or dropped if the queue is full.
    Queued,
    /// The process is dead or has not started yet.
    AtDeadProcess(Message),
}

/// One process of a run. It owns its state machine and the events that are queued while it is
/// paused.
pub(super) struct Process {
    pub(super) address: SocketAddr,
    /// `None` while the process is dead or has not started yet.
    membership: Option<Membership>,
    pub(super) started_at: Duration,
    pub(super) generation: ProcessGeneration,
    is_paused: bool,
    /// The messages that arrived while the process was paused.
    pending_messages: Vec<(MemberIndex, Message)>,
    has_pending_timer: bool,
    /// Set from a crash until the process restarts.
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

    /// Starts the process as a member of the run. Returns the detection times of its last death, if
    /// any observer detected it.
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

    /// Resumes the process. Returns the events that were queued while it was paused; `None` if it
    /// was not paused.
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

    /// Records that an observer considers the process dead. Returns whether the process is dead.
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

    /// Returns whether the process handles a timer now. While the process is paused, the timer is
    /// queued. A timer of an earlier start of the process has no effect.
    pub(super) fn accept_timer(&mut self, generation: ProcessGeneration) -> bool {
        if self.generation != generation || self.membership.is_none() {
            return false;
        }
        self.has_pending_timer |= self.is_paused;
        !self.is_paused
    }

    /// Returns how the process handles an arriving message. While the process is paused, the
    /// message is queued.
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
