//! The protocol steps. Each asks the components for their decisions and turns these into actions
//! and messages.

use super::Membership;
use crate::anti_entropy::{Candidates, choose_partners};
use crate::broadcast_queue::{MessageLimits, max_transmissions};
use crate::event::Action;
use crate::failure_detector::{FailedProbe, choose_relays};
use crate::member_table::{Member, TableLimits, UpdateEffect};
use crate::message::{
    MemberState, MemberUpdate, Message, MessageBody, RelayedProbeOutcome, SequenceNumber,
};
use crate::node::{NodeName, Recipient};
use crate::reachability::peers_to_publish;
use crate::refutation::{UpdateAboutSelf, choose_recipients, classify};
use crate::relayed_probes::RelayedProbe;
use crate::update_precedence::{is_well_formed, suspicion_in_place_of_death};

/// Probes and their outcome.
impl Membership {
    pub(super) fn start_probe(&mut self) {
        let live: Vec<&NodeName> = self.members.live().map(Member::name).collect();
        let Some(target) = self.round.next_target(&live, &mut self.rng) else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let recipient = member.recipient();
        // The ping has to carry the suspicion, so that the suspect can refute it. The update may
        // have left the queue already.
        if member.update().state == MemberState::Suspect {
            self.broadcasts.push(member.update().clone());
        }
        let sequence_number = self.detector.start_probe(target, self.now);
        self.send(&recipient, MessageBody::Ping { sequence_number });
    }

    pub(super) fn send_indirect_pings_when_due(&mut self) {
        let probe_timeout = self.probe_timeout();
        let Some(target) = self.detector.overdue_target(self.now, probe_timeout) else {
            return;
        };
        let Some(member) = self.members.get(target) else {
            return;
        };
        let (target, address) = (target.clone(), member.update().node.address);
        let others = self.members.alive().filter(|other| *other.name() != target);
        let candidates = others.map(Member::recipient).collect();
        let relays = choose_relays(candidates, self.config.indirect_checks, &mut self.rng);
        let Some(sequence_number) = self.detector.start_indirect_probe(relays.len()) else {
            return;
        };
        for relay in relays {
            let target = target.clone();
            let body = MessageBody::IndirectPing {
                sequence_number,
                target,
                address,
            };
            self.send(&relay, body);
        }
    }

    /// Ends the probe of the current period and acts on its outcome.
    pub(super) fn finish_probe(&mut self) {
        match self.detector.finish_probe() {
            None => {}
            Some(FailedProbe::AnsweredRelayOnly { target }) => {
                if let Some(member) = self.members.get_mut(&target)
                    && member.link_mut().record_answer_to_relay_only()
                {
                    self.publish_unreachable_peers();
                }
            }
            Some(FailedProbe::Unanswered {
                target,
                missing_reports,
            }) => {
                self.health.record_failed_probe(missing_reports);
                self.suspect(&target);
            }
        }
    }

    /// Handles an ack, either for this node's own probe or for one that it relays.
    pub(super) fn handle_ack(&mut self, from: &NodeName, sequence_number: SequenceNumber) {
        if let Some(relayed) = self.relayed_probes.take(sequence_number) {
            return self.report_relayed_probe(&relayed, RelayedProbeOutcome::Ack);
        }
        if !self.detector.take_ack(from, sequence_number) {
            return;
        }
        self.health.record_ack();
        if let Some(member) = self.members.get_mut(from)
            && member.link_mut().record_ack(self.now)
        {
            self.publish_unreachable_peers();
        }
    }

    /// Pings a target on behalf of another node.
    pub(super) fn handle_indirect_ping(
        &mut self,
        requester: Recipient,
        requester_sequence_number: SequenceNumber,
        target: &Recipient,
    ) {
        let sequence_number = self.detector.next_sequence_number();
        if !self.relayed_probes.has_capacity(self.config.max_members) {
            return;
        }
        let deadline = self.now + self.config.probe_timeout;
        self.relayed_probes.push(RelayedProbe {
            sequence_number,
            requester,
            requester_sequence_number,
            deadline,
        });
        self.send(target, MessageBody::Ping { sequence_number });
        self.set_timer(deadline);
    }

    pub(super) fn expire_relayed_probes(&mut self) {
        for relayed in self.relayed_probes.take_expired(self.now) {
            self.report_relayed_probe(&relayed, RelayedProbeOutcome::Nack);
        }
    }

    fn report_relayed_probe(&mut self, relayed: &RelayedProbe, outcome: RelayedProbeOutcome) {
        let body = MessageBody::IndirectPingResult {
            sequence_number: relayed.requester_sequence_number,
            outcome,
        };
        self.send(&relayed.requester, body);
    }
}

/// Updates, received from other members or made by this node.
impl Membership {
    /// Applies the updates of a message, in order, until this node has to stop.
    pub(super) fn apply_updates(&mut self, message: &Message) {
        let is_complete_state = matches!(message.body, MessageBody::PushPull { .. });
        for update in &message.updates {
            let is_live_here = self.members.get_live(&update.node.name).is_some();
            let suspicion = (is_complete_state && is_live_here)
                .then(|| suspicion_in_place_of_death(update, &message.from))
                .flatten();
            self.apply_update(suspicion.as_ref().unwrap_or(update));
            if self.is_stopped {
                return;
            }
        }
    }

    fn apply_update(&mut self, update: &MemberUpdate) {
        if !is_well_formed(update) {
            self.ignored_updates += 1;
            return;
        }
        if update.node.name == *self.local.name() {
            return self.apply_update_about_self(update);
        }
        let limits = TableLimits {
            max_members: self.config.max_members,
            max_confirmations: self.config.indirect_checks,
        };
        match self.members.apply(update, self.now, &limits) {
            UpdateEffect::Ignored => {}
            UpdateEffect::TableFull => self.ignored_updates += 1,
            UpdateEffect::SuspicionConfirmed => {
                // Confirmations are disseminated, since they shorten the suspicion at all members.
                self.broadcasts.push(update.clone());
                self.set_timer(self.next_deadline());
            }
            UpdateEffect::Recorded { has_state_changed } => {
                self.disseminate_recorded_update(update, has_state_changed);
            }
        }
    }

    /// Queues an update that was recorded, and notifies the host of a state change.
    fn disseminate_recorded_update(&mut self, update: &MemberUpdate, has_state_changed: bool) {
        self.broadcasts.push(update.clone());
        if has_state_changed {
            self.actions.push(Action::StateChanged {
                name: update.node.name.clone(),
                state: update.state,
                reported_by: update.reported_by.clone(),
            });
        }
        if update.state == MemberState::Suspect {
            self.set_timer(self.next_deadline());
        }
    }

    /// Handles an update about this node: refutes it if it is wrong, raises the incarnation above a
    /// later one, or stops if another process keeps the name.
    pub(super) fn apply_update_about_self(&mut self, update: &MemberUpdate) {
        match classify(self.local.update(), update, self.has_joined) {
            UpdateAboutSelf::Ignored => {}
            UpdateAboutSelf::NameConceded => self.stop_for_name_conflict(update.node.address),
            UpdateAboutSelf::LaterIncarnation => {
                self.local.raise_incarnation_above(update.incarnation);
                self.broadcast_local_update();
            }
            UpdateAboutSelf::Wrong => {
                self.health.record_refutation();
                self.local.raise_incarnation_above(update.incarnation);
                self.broadcast_local_update();
                self.send_refutation(update.reported_by.as_ref());
            }
        }
    }

    fn send_refutation(&mut self, reporter: Option<&NodeName>) {
        let alive = self.members.alive().map(Member::recipient).collect();
        let indirect_checks = self.config.indirect_checks;
        let recipients = choose_recipients(alive, reporter, indirect_checks, &mut self.rng);
        for recipient in recipients {
            self.send_update(&recipient, self.local.update().clone());
        }
    }

    /// Declares a member suspect after it did not answer the probe of a period.
    fn suspect(&mut self, target: &NodeName) {
        let Some(member) = self.members.get_live(target) else {
            return;
        };
        let suspect = MemberUpdate {
            state: MemberState::Suspect,
            reported_by: Some(self.local.name().clone()),
            ..member.update().clone()
        };
        let recipient = member.recipient();
        self.apply_update(&suspect);
        // The suspect is notified directly: over a slow link, a notification with the next probe
        // would leave too little time to refute the suspicion.
        self.send_update(&recipient, suspect);
    }

    /// Declares the members dead whose suspicion has expired.
    pub(super) fn expire_suspicions(&mut self) {
        let parameters = self.suspicion_parameters();
        for update in self.members.expired_suspicions(self.now, &parameters) {
            let reported_by = Some(self.local.name().clone());
            self.apply_update(&MemberUpdate {
                state: MemberState::Dead,
                reported_by,
                ..update
            });
        }
    }

    /// Announces the members that this node does not reach directly, if the set has changed.
    fn publish_unreachable_peers(&mut self) {
        let unreachable = self.members.directly_unreachable();
        let peers = peers_to_publish(unreachable.map(|member| member.name().clone()));
        if self.local.set_unreachable_peers(peers) {
            self.broadcast_local_update();
        }
    }

    /// Queues the update of this node about itself.
    pub(super) fn broadcast_local_update(&mut self) {
        self.broadcasts.push(self.local.update().clone());
    }
}

/// Push-pull: the exchange of the complete state.
impl Membership {
    pub(super) fn exchange_state(&mut self) {
        let dead = self.members.in_state(MemberState::Dead);
        let candidates = Candidates {
            live: self.members.live().map(Member::recipient).collect(),
            dead: dead.map(Member::recipient).collect(),
            seeds: &self.config.seeds,
            local_address: self.local.update().node.address,
            has_joined: self.has_joined,
        };
        let partners = choose_partners(candidates, &mut self.rng);
        if let Some(member) = partners.live {
            self.send_push_pull(&member, true);
        }
        for contact in partners.rejoin {
            self.broadcast_local_update();
            // A live member that was declared dead learns so from the complete state, and refutes
            // it.
            match contact.name {
                Some(_) => self.send_push_pull(&contact, true),
                None => self.send(&contact, MessageBody::Join),
            }
        }
    }
}

/// Sending of messages.
impl Membership {
    /// Sends a message with updates from the broadcast queue.
    pub(super) fn send(&mut self, to: &Recipient, body: MessageBody) {
        let updates = match &body {
            // The recipient is not a member.
            MessageBody::NameConflict => Vec::new(),
            _ => self.take_broadcasts(to.name.as_ref()),
        };
        self.send_with_updates(to, body, updates);
    }

    /// Sends the complete state.
    pub(super) fn send_push_pull(&mut self, to: &Recipient, reply_requested: bool) {
        let body = MessageBody::PushPull { reply_requested };
        self.send_with_updates(to, body, self.complete_state());
    }

    /// Sends one update directly, independently of the broadcast queue. The wire format has no
    /// message kind for this, so the message is a relay report with [`SequenceNumber::NO_PROBE`],
    /// of which the recipient uses only the update.
    pub(super) fn send_update(&mut self, to: &Recipient, update: MemberUpdate) {
        let body = MessageBody::IndirectPingResult {
            sequence_number: SequenceNumber::NO_PROBE,
            outcome: RelayedProbeOutcome::Nack,
        };
        self.send_with_updates(to, body, vec![update]);
    }

    fn send_with_updates(&mut self, to: &Recipient, body: MessageBody, updates: Vec<MemberUpdate>) {
        let message = Message {
            from: self.local.name().clone(),
            to: to.name.clone(),
            body,
            updates,
        };
        self.actions.push(Action::Send {
            to: to.address,
            message,
        });
    }

    fn complete_state(&self) -> Vec<MemberUpdate> {
        let members = self.members.iter().map(|member| member.update().clone());
        let local = self.local.update().clone();
        std::iter::once(local).chain(members).collect()
    }

    fn take_broadcasts(&mut self, recipient: Option<&NodeName>) -> Vec<MemberUpdate> {
        let live_members = self.members.live().count();
        let limits = MessageLimits {
            max_updates: self.config.max_updates_per_message,
            max_transmissions: max_transmissions(self.config.retransmit_mult, live_members),
        };
        self.broadcasts.take(&limits, recipient)
    }
}
