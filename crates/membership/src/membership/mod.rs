//! The membership state machine: its interface, the routing of events to its components, and their
//! deadlines.
//!
//! Each component owns its state and decides on named inputs. `Membership` owns the components,
//! passes values from one to another, and turns their results into actions. `protocol.rs` has the
//! protocol steps that events and deadlines trigger.

mod protocol;

use std::net::SocketAddr;
use std::time::Duration;

use crate::anti_entropy::PushPullSchedule;
use crate::broadcast_queue::BroadcastQueue;
use crate::config::{Config, ConfigError};
use crate::event::{Action, Event};
use crate::failure_detector::FailureDetector;
use crate::local_health::LocalHealth;
use crate::local_node::LocalNode;
use crate::member_table::{Member, MemberRecord, MemberTable};
use crate::message::{Incarnation, MemberState, MemberUpdate, Message, MessageBody};
use crate::name_conflict::is_name_in_use;
use crate::node::{Node, Recipient};
use crate::probe_round::ProbeRound;
use crate::reachability::recent_window;
use crate::relayed_probes::RelayedProbes;
use crate::suspicion::SuspicionParameters;
use crate::timer::{MIN_TIMER_DELAY, Timer};

/// The membership of one node: its view of the other members and its own announcements.
///
/// It owns all of this state. The host only reads it, through the methods.
pub struct Membership {
    config: Config,
    /// The update that this node announces about itself.
    local: LocalNode,
    /// The records of the other members.
    members: MemberTable,
    /// Updates to piggyback on messages.
    broadcasts: BroadcastQueue,
    /// The order in which members are probed.
    round: ProbeRound,
    /// The probe of the current protocol period.
    detector: FailureDetector,
    /// Probes on behalf of other nodes.
    relayed_probes: RelayedProbes,
    /// The health score, by which this node stretches its intervals and timeouts.
    health: LocalHealth,
    /// When the next push-pull is due.
    push_pull: PushPullSchedule,
    /// The timer that the host was last asked to set.
    timer: Timer,
    /// When the next protocol period starts, on the clock of the events.
    next_probe_at: Duration,
    /// The source of all random choices.
    rng: fastrand::Rng,
    /// The time of the last event; it never decreases.
    now: Duration,
    /// The actions for the events being handled, in order.
    actions: Vec<Action>,
    /// Whether this node has received the complete state of another member.
    has_joined: bool,
    /// Whether this node has left, or has stopped because of a name conflict.
    is_stopped: bool,
    /// The number of updates that were ignored because they were malformed or the table was full.
    ignored_updates: u64,
}

/// The interface to the host.
impl Membership {
    /// Creates the membership of a node that knows no other member yet. `seed` determines all its
    /// random choices.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] if a parameter is out of range or a name of the node is empty or too long.
    pub fn new(
        config: Config,
        node: Node,
        incarnation: Incarnation,
        seed: u64,
    ) -> Result<Self, ConfigError> {
        config.validate()?;
        node.validate()?;
        Ok(Membership {
            local: LocalNode::new(node, incarnation),
            members: MemberTable::default(),
            broadcasts: BroadcastQueue::default(),
            round: ProbeRound::default(),
            detector: FailureDetector::default(),
            relayed_probes: RelayedProbes::default(),
            health: LocalHealth::new(config.max_awareness),
            push_pull: PushPullSchedule::default(),
            timer: Timer::default(),
            next_probe_at: Duration::ZERO,
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            actions: Vec::new(),
            has_joined: false,
            is_stopped: false,
            ignored_updates: 0,
            config,
        })
    }

    /// Handles events in order and returns the actions in the order in which the host has to carry
    /// them out. `now` is the time since a start that the host chooses; if it goes backwards, the
    /// latest earlier value is used.
    pub fn handle_events(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = now.max(self.now);
        for event in events {
            if self.is_stopped {
                break;
            }
            self.handle_event(event);
        }
        std::mem::take(&mut self.actions)
    }

    /// The records of the other members, including dead ones, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = MemberRecord> + '_ {
        let alive_members = self.members.alive().count();
        let recent_window = recent_window(self.config.probe_interval, alive_members);
        self.members.records(self.now, recent_window)
    }

    /// The state of another member, if it is recorded.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        self.members.get(name).map(|member| member.update().state)
    }

    /// The update that this node announces about itself.
    pub fn local(&self) -> &MemberUpdate {
        self.local.update()
    }

    /// The local health score (Lifeguard's and memberlist's "awareness"): 0 is healthy,
    /// [`Config::max_awareness`] the worst. This node multiplies its probe interval, its probe
    /// timeout and its suspicion timeouts by the score plus one.
    pub fn health_score(&self) -> u32 {
        self.health.score()
    }

    /// The number of updates that were ignored because their protocol version is unknown, a name or
    /// list is out of bounds, or a suspicion names no reporter, or because they are about a new
    /// member while [`Config::max_members`] are recorded.
    pub fn ignored_updates(&self) -> u64 {
        self.ignored_updates
    }
}

/// The routing of events and messages.
impl Membership {
    fn handle_event(&mut self, event: &Event) {
        match event {
            Event::Started => self.start(),
            Event::Received { from, message } => self.handle_message(*from, message),
            Event::TimerExpired => self.handle_timer(),
            Event::SetMetadata { key, value } => self.set_metadata(key, value.as_deref()),
            Event::Leave => self.leave(),
        }
    }

    fn start(&mut self) {
        self.broadcast_local_update();
        // The random offset keeps nodes that start together from probing at the same time.
        self.next_probe_at = self.now + self.config.probe_interval.mul_f64(self.rng.f64());
        self.push_pull.start_at(self.next_probe_at);
        self.set_timer(self.next_probe_at);
    }

    fn set_metadata(&mut self, key: &str, value: Option<&str>) {
        match self.local.set_metadata(key, value) {
            Ok(true) => self.broadcast_local_update(),
            Ok(false) => {}
            Err(error) => self.actions.push(Action::MetadataRejected { error }),
        }
    }

    /// Leaves the cluster. The node notifies every live member directly, since it sends no further
    /// messages that could carry the update.
    fn leave(&mut self) {
        self.local.leave();
        self.broadcast_local_update();
        let recipients: Vec<Recipient> = self.members.live().map(Member::recipient).collect();
        for recipient in recipients {
            self.send_update(&recipient, self.local.update().clone());
        }
        self.is_stopped = true;
    }

    fn stop_for_name_conflict(&mut self, address: SocketAddr) {
        self.is_stopped = true;
        self.actions.push(Action::NameConflict { address });
    }

    /// Handles name conflicts first, so that the updates of a process that may have to stop are not
    /// applied.
    fn handle_message(&mut self, from: SocketAddr, message: &Message) {
        if message.from == *self.local.name() {
            return self.handle_message_under_own_name(message);
        }
        match message.body {
            MessageBody::NameConflict if self.has_joined => return,
            MessageBody::NameConflict => return self.stop_for_name_conflict(from),
            MessageBody::Join if self.is_sender_name_in_use(message) => {
                let sender = Recipient {
                    name: Some(message.from.clone()),
                    address: from,
                };
                return self.send(&sender, MessageBody::NameConflict);
            }
            _ => {}
        }
        self.apply_updates(message);
        if self.is_stopped {
            return;
        }
        if let Some(member) = self.members.get_mut(&message.from) {
            member.link_mut().record_message(self.now);
        }
        self.handle_body(from, message);
    }

    /// Handles a message from a sender with this node's name: either a message of this node that
    /// was sent back to it, or a message of another process with the same name. The address in the
    /// updates distinguishes the two.
    fn handle_message_under_own_name(&mut self, message: &Message) {
        for update in &message.updates {
            let own = &self.local.update().node;
            if update.node.name == own.name && update.node.address != own.address {
                self.apply_update_about_self(update);
            }
        }
    }

    fn is_sender_name_in_use(&self, message: &Message) -> bool {
        let member = self.members.get_live(&message.from);
        member.is_some_and(|member| {
            let address = member.update().node.address;
            is_name_in_use(address, &message.from, &message.updates)
        })
    }

    fn handle_body(&mut self, from: SocketAddr, message: &Message) {
        // The sender may mean another node that had this address before.
        let recipient = message.to.as_ref();
        let is_recipient = recipient.is_none_or(|to| to == self.local.name());
        let sender = Recipient {
            name: Some(message.from.clone()),
            address: from,
        };
        match &message.body {
            MessageBody::Ping { sequence_number } if is_recipient => {
                let sequence_number = *sequence_number;
                self.send(&sender, MessageBody::Ack { sequence_number });
            }
            MessageBody::Ack { sequence_number } => {
                self.handle_ack(&message.from, *sequence_number);
            }
            MessageBody::IndirectPing {
                sequence_number,
                target,
                address,
            } if is_recipient => {
                let target = Recipient {
                    name: Some(target.clone()),
                    address: *address,
                };
                self.handle_indirect_ping(sender, *sequence_number, &target);
            }
            MessageBody::IndirectPingResult {
                sequence_number,
                outcome,
            } => self
                .detector
                .record_relay_report(*sequence_number, *outcome),
            MessageBody::Join => self.send_push_pull(&sender, false),
            MessageBody::PushPull { reply_requested } if is_recipient => {
                self.has_joined = true;
                if *reply_requested {
                    self.send_push_pull(&sender, false);
                }
            }
            // Addressed to another node, or already handled before the updates were applied.
            MessageBody::Ping { .. }
            | MessageBody::IndirectPing { .. }
            | MessageBody::PushPull { .. }
            | MessageBody::NameConflict => {}
        }
    }
}

/// Timers and deadlines.
impl Membership {
    fn handle_timer(&mut self) {
        if !self.timer.expire(self.now) {
            return;
        }
        self.expire_relayed_probes();
        self.send_indirect_pings_when_due();
        self.expire_suspicions();
        if self.now >= self.next_probe_at {
            self.start_protocol_period();
        }
        self.set_timer(self.next_deadline());
    }

    fn start_protocol_period(&mut self) {
        self.finish_probe();
        self.members
            .remove_expired(self.now, self.config.dead_member_retention);
        self.next_probe_at = self.now + self.health.scale(self.config.probe_interval);
        self.start_probe();
        if self.push_pull.is_due(self.now, self.has_joined) {
            let interval = self.config.push_pull_interval;
            self.push_pull.plan_next(self.now, interval, &mut self.rng);
            self.exchange_state();
        }
    }

    fn set_timer(&mut self, at: Duration) {
        if self.timer.set(at) {
            self.actions.push(Action::SetTimer { at });
        }
    }

    /// The earliest deadline, but at least [`MIN_TIMER_DELAY`] from now.
    fn next_deadline(&self) -> Duration {
        let suspicion_parameters = self.suspicion_parameters();
        let probe = self.detector.direct_deadline(self.probe_timeout());
        let suspicions = self.members.suspicion_deadlines(&suspicion_parameters);
        let relayed_probes = self.relayed_probes.deadlines();
        let deadlines = probe.into_iter().chain(suspicions).chain(relayed_probes);
        deadlines
            .fold(self.next_probe_at, Duration::min)
            .max(self.now + MIN_TIMER_DELAY)
    }

    /// How long this node waits for a direct answer to its probe.
    fn probe_timeout(&self) -> Duration {
        self.health.scale(self.config.probe_timeout)
    }

    fn suspicion_parameters(&self) -> SuspicionParameters {
        SuspicionParameters {
            probe_interval: self.config.probe_interval,
            suspicion_mult: self.config.suspicion_mult,
            max_timeout_mult: self.config.suspicion_max_timeout_mult,
            max_confirmations: self.config.indirect_checks,
            live_members: self.members.live().count(),
            time_factor: self.health.time_factor(),
        }
    }
}
