//! The state machine of the membership: its API, the dispatch of events and its timer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::broadcast_queue::BroadcastQueue;
use crate::config::{Config, ConfigError};
use crate::event::{Action, Event};
use crate::failure_detector::FailureDetector;
use crate::local_health::LocalHealth;
use crate::member_table::{MemberRecord, MemberTable, Recipient};
use crate::message::{Incarnation, MemberState, MemberUpdate, Message, MessageBody};
use crate::node::Node;

/// The shortest time for which a timer is set.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);

/// The membership of one node: its view of the other members and its own announcements.
///
/// It owns all of that state. The host only holds copies, which the methods return.
pub struct Membership {
    pub(crate) config: Config,
    /// What this node announces of itself. Only this node raises its incarnation.
    pub(crate) local: MemberUpdate,
    pub(crate) members: MemberTable,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) detector: FailureDetector,
    pub(crate) health: LocalHealth,
    pub(crate) rng: fastrand::Rng,
    /// The time of the last event; it never goes back.
    pub(crate) now: Duration,
    /// The actions of the events at hand, in order.
    pub(crate) actions: Vec<Action>,
    /// Whether another member has sent its complete state once.
    pub(crate) has_joined: bool,
    /// Whether this node has left, or has given way to another of the same name.
    pub(crate) is_stopped: bool,
    /// Updates that were ignored since they were malformed or there was no room.
    pub(crate) anomalies: u64,
    /// The timer that is set.
    timer_at: Option<Duration>,
    next_probe_at: Duration,
    next_push_pull_at: Duration,
}

impl Membership {
    /// Creates the membership of a node that knows no other yet. `seed` determines all its random
    /// choices.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] where a parameter is out of range or a name of the node is empty or too
    /// long.
    pub fn new(
        config: Config,
        node: Node,
        incarnation: Incarnation,
        seed: u64,
    ) -> Result<Self, ConfigError> {
        config.validate()?;
        node.validate()?;
        let local = MemberUpdate {
            node,
            incarnation,
            state: MemberState::Alive,
            reported_by: None,
            metadata: Arc::default(),
            unreachable_peers: Arc::default(),
        };
        Ok(Membership {
            local,
            members: MemberTable::default(),
            broadcasts: BroadcastQueue::default(),
            detector: FailureDetector::default(),
            health: LocalHealth::new(config.max_awareness),
            rng: fastrand::Rng::with_seed(seed),
            now: Duration::ZERO,
            actions: Vec::new(),
            has_joined: false,
            is_stopped: false,
            anomalies: 0,
            timer_at: None,
            next_probe_at: Duration::ZERO,
            next_push_pull_at: Duration::ZERO,
            config,
        })
    }

    /// Handles events in order and returns the actions in the order in which the host is to carry
    /// them out. `now` is the time since a start that the host chooses; where it goes back, the
    /// latest time holds.
    pub fn handle_events(&mut self, now: Duration, events: &[Event]) -> Vec<Action> {
        self.now = now.max(self.now);
        for event in events {
            if self.is_stopped {
                break;
            }
            match event {
                Event::Started => self.start(),
                Event::Received { from, message } => self.handle_message(*from, message),
                Event::TimerExpired => self.handle_timer(),
                Event::Leave => self.leave(),
                Event::SetMetadata { key, value } => self.set_metadata(key, value.as_deref()),
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// The other members that are recorded, dead ones included, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = MemberRecord> + '_ {
        let recent_window = self.recent_window();
        self.members.iter().map(move |member| MemberRecord {
            update: member.update.clone(),
            state_since: member.state_since,
            suspected_by: (member.suspicion.iter())
                .flat_map(|suspicion| suspicion.reporters().cloned())
                .collect(),
            reachability: member.reachability(self.now, recent_window),
        })
    }

    /// The state of another member, where it is recorded.
    pub fn state(&self, name: &str) -> Option<MemberState> {
        self.members.get(name).map(|member| member.update.state)
    }

    /// What this node announces of itself.
    pub fn local(&self) -> &MemberUpdate {
        &self.local
    }

    /// The score of the local health: 0 is healthy, [`Config::max_awareness`] the worst. All
    /// intervals and time limits of this node are stretched by a factor of one more.
    pub fn awareness(&self) -> u32 {
        self.health.score()
    }

    /// The number of updates that were ignored: of an unknown protocol version, with a name or a
    /// list out of bounds, or about a new member where [`Config::max_members`] are recorded.
    pub fn anomalies(&self) -> u64 {
        self.anomalies
    }

    fn start(&mut self) {
        self.broadcasts.push(self.local.clone());
        // Nodes that are started together do not probe at the same time.
        self.next_probe_at = self.now + self.config.probe_interval.mul_f64(self.rng.f64());
        self.next_push_pull_at = self.next_probe_at;
        self.schedule_timer(self.next_probe_at);
    }

    fn leave(&mut self) {
        self.local.state = MemberState::Left;
        self.broadcasts.push(self.local.clone());
        let recipients: Vec<Recipient> = self
            .members
            .live()
            .map(|member| member.recipient())
            .collect();
        for recipient in recipients {
            self.send_update(&recipient, self.local.clone());
        }
        self.is_stopped = true;
    }

    fn handle_message(&mut self, from: SocketAddr, message: &Message) {
        if message.from == self.local.node.name {
            return self.handle_message_under_own_name(message);
        }
        match message.body {
            MessageBody::NameConflict if self.has_joined => return,
            MessageBody::NameConflict => return self.stop_for_name_conflict(from),
            MessageBody::Join if self.is_name_in_use(message) => {
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
            member.last_message = Some(self.now);
        }
        self.handle_body(from, message);
    }

    /// A message under this node's name is its own that came back, or that of another process: the
    /// address in the update tells.
    fn handle_message_under_own_name(&mut self, message: &Message) {
        for update in &message.updates {
            let is_about_self = update.node.name == self.local.node.name;
            if is_about_self && update.node.address != self.local.node.address {
                self.apply_update_about_self(update);
            }
        }
    }

    fn handle_body(&mut self, from: SocketAddr, message: &Message) {
        // Another node may have had this address before.
        let is_recipient = message
            .to
            .as_ref()
            .is_none_or(|to| *to == self.local.node.name);
        let sender = Recipient {
            name: Some(message.from.clone()),
            address: from,
        };
        match &message.body {
            MessageBody::Ping { sequence_number } if is_recipient => {
                self.send(
                    &sender,
                    MessageBody::Ack {
                        sequence_number: *sequence_number,
                    },
                );
            }
            MessageBody::Ack { sequence_number } => {
                self.handle_ack(&message.from, *sequence_number)
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
                self.handle_indirect_ping(sender, *sequence_number, target);
            }
            MessageBody::IndirectPingResult {
                sequence_number,
                outcome,
            } => {
                self.handle_indirect_ping_result(*sequence_number, *outcome);
            }
            MessageBody::Join => self.send(
                &sender,
                MessageBody::PushPull {
                    reply_requested: false,
                },
            ),
            MessageBody::PushPull { reply_requested } if is_recipient => {
                self.has_joined = true;
                if *reply_requested {
                    self.send(
                        &sender,
                        MessageBody::PushPull {
                            reply_requested: false,
                        },
                    );
                }
            }
            // Meant for another node, or handled before the updates.
            MessageBody::Ping { .. }
            | MessageBody::IndirectPing { .. }
            | MessageBody::PushPull { .. }
            | MessageBody::NameConflict => {}
        }
    }

    /// Whether a node wants to join under the name of a live member at another address.
    fn is_name_in_use(&self, message: &Message) -> bool {
        self.members.get_live(&message.from).is_some_and(|member| {
            let mut own_updates = message
                .updates
                .iter()
                .filter(|update| update.node.name == message.from);
            own_updates.any(|update| update.node.address != member.update.node.address)
        })
    }

    pub(crate) fn stop_for_name_conflict(&mut self, address: SocketAddr) {
        self.is_stopped = true;
        self.actions.push(Action::NameConflict { address });
    }

    fn handle_timer(&mut self) {
        // The event of a timer that an earlier one has replaced.
        if self.timer_at.is_some_and(|at| self.now < at) {
            return;
        }
        self.timer_at = None;
        self.expire_relayed_probes();
        self.send_indirect_pings_when_due();
        self.expire_suspicions();
        if self.now >= self.next_probe_at {
            self.start_protocol_period();
        }
        self.schedule_timer(self.next_deadline());
    }

    fn start_protocol_period(&mut self) {
        self.finish_probe();
        self.members
            .remove_expired(self.now, self.config.dead_member_retention);
        self.next_probe_at = self.now + self.health.scale(self.config.probe_interval);
        self.start_probe();
        if self.now >= self.next_push_pull_at || !self.has_joined {
            let jitter = 0.75 + self.rng.f64() / 2.0;
            self.next_push_pull_at = self.now + self.config.push_pull_interval.mul_f64(jitter);
            self.exchange_state();
        }
    }

    /// Sets a timer, unless one is due by then. Every timer that expires sets the next one, so a
    /// second one beside it would go on for ever.
    pub(crate) fn schedule_timer(&mut self, at: Duration) {
        if self.timer_at.is_none_or(|due| at < due) {
            self.timer_at = Some(at);
            self.actions.push(Action::SetTimer { at });
        }
    }

    /// When the timer has to expire next.
    pub(crate) fn next_deadline(&self) -> Duration {
        let deadlines = (self.direct_probe_deadline().into_iter())
            .chain(self.suspicion_deadlines())
            .chain(self.relayed_probe_deadlines());
        deadlines
            .fold(self.next_probe_at, Duration::min)
            .max(self.now + MIN_TIMER_DELAY)
    }
}
