//! Dissemination: updates that arrive are applied and sent on, and those about this node are
//! refuted where they are wrong.

use std::cmp::Reverse;

use crate::event::Action;
use crate::member_table::{Member, Recipient};
use crate::membership::Membership;
use crate::message::{
    Incarnation, MemberState, MemberUpdate, Message, MessageBody, RelayedProbeOutcome,
    SequenceNumber,
};
use crate::node::{NodeName, SUPPORTED_VERSIONS, is_valid_name};
use crate::reachability::MAX_UNREACHABLE_PEERS;
use crate::suspicion::Suspicion;

/// Whether the recipient of an update can make use of it.
fn is_well_formed(update: &MemberUpdate) -> bool {
    SUPPORTED_VERSIONS.contains(&update.node.version)
        && is_valid_name(&update.node.name)
        && update.unreachable_peers.len() <= MAX_UNREACHABLE_PEERS
}

/// Whether two processes live under one name, which happens when a partition heals.
fn are_duplicates(a: &MemberUpdate, b: &MemberUpdate) -> bool {
    a.node.address != b.node.address
        && a.incarnation == b.incarnation
        && a.state == MemberState::Alive
        && b.state == MemberState::Alive
}

/// Whether an update replaces the one that is recorded. Of two processes under one name all members
/// keep the same one.
fn overrides(new: &MemberUpdate, recorded: &MemberUpdate) -> bool {
    let has_lower_address = new.node.address < recorded.node.address;
    are_duplicates(new, recorded) && has_lower_address || new.precedence() > recorded.precedence()
}

impl Membership {
    /// Applies the updates of a message, in order, until this node has to stop.
    pub(crate) fn apply_updates(&mut self, message: &Message) {
        let is_complete_state = matches!(message.body, MessageBody::PushPull { .. });
        for update in &message.updates {
            // Where the halves of a cluster meet again, each has declared the other dead. A member
            // that is live here is suspected first, so that it can refute that.
            let is_live_here = self.members.get_live(&update.node.name).is_some();
            if is_complete_state && update.state == MemberState::Dead && is_live_here {
                let reported_by = Some(message.from.clone());
                let state = MemberState::Suspect;
                self.apply_update(&MemberUpdate {
                    state,
                    reported_by,
                    ..update.clone()
                });
            } else {
                self.apply_update(update);
            }
            if self.is_stopped {
                return;
            }
        }
    }

    /// Applies one update: the higher incarnation holds, and at the same one the worse state.
    pub(crate) fn apply_update(&mut self, update: &MemberUpdate) {
        let name = &update.node.name;
        if !is_well_formed(update) {
            self.anomalies += 1;
            return;
        }
        if *name == self.local.node.name {
            return self.apply_update_about_self(update);
        }
        let is_full = self.members.len() >= self.config.max_members;
        let Some(member) = self.members.get_mut(name) else {
            if is_full {
                self.anomalies += 1;
                return;
            }
            // An unknown member that is dead is recorded too: otherwise an older update would bring
            // it back.
            return self.record_update(update);
        };
        if overrides(update, &member.update) {
            return self.record_update(update);
        }
        if update.precedence() == member.update.precedence()
            && let (Some(suspicion), Some(reporter)) = (&mut member.suspicion, &update.reported_by)
            && suspicion.confirm(reporter, self.config.indirect_checks)
        {
            // A confirmation is sent on, since it shortens the suspicion at all members.
            self.broadcasts.push(update.clone());
            self.schedule_timer(self.next_deadline());
        }
    }

    /// Records an update that holds from now on, and queues it to be sent on.
    fn record_update(&mut self, update: &MemberUpdate) {
        let name = update.node.name.clone();
        let previous = self.members.remove(&name);
        let previous_state = previous.as_ref().map(|member| member.update.state);
        let has_changed = previous_state != Some(update.state);
        let is_suspect = update.state == MemberState::Suspect;
        // What was learned of the links to the old address says nothing of a new one.
        let same_address = previous
            .as_ref()
            .filter(|member| member.update.node.address == update.node.address);
        self.members.insert(Member {
            state_since: previous
                .as_ref()
                .filter(|_| !has_changed)
                .map_or(self.now, |m| m.state_since),
            last_ack: same_address.and_then(|member| member.last_ack),
            last_message: same_address.and_then(|member| member.last_message),
            is_directly_unreachable: update.state.is_live()
                && previous
                    .as_ref()
                    .is_some_and(|member| member.is_directly_unreachable),
            suspicion: is_suspect.then(|| Suspicion::new(self.now, update.reported_by.as_ref())),
            update: update.clone(),
        });
        self.broadcasts.push(update.clone());
        if has_changed {
            let reported_by = update.reported_by.clone();
            self.actions.push(Action::StateChanged {
                name,
                state: update.state,
                reported_by,
            });
        }
        if is_suspect {
            self.schedule_timer(self.next_deadline());
        }
    }

    /// Applies an update about this node: wrong ones are refuted. The address tells another process
    /// of the same name from an update about an earlier incarnation of this one.
    pub(crate) fn apply_update_about_self(&mut self, update: &MemberUpdate) {
        let is_other_process = update.node.address != self.local.node.address;
        if is_other_process && update.state.is_live() {
            return self.resolve_name_conflict(update);
        }
        if update.state != MemberState::Alive && update.incarnation >= self.local.incarnation {
            self.health.degrade(1);
            self.announce_local_update(update.incarnation);
            self.send_refutation(update.reported_by.as_ref());
        } else if update.incarnation > self.local.incarnation {
            self.announce_local_update(update.incarnation);
        }
    }

    /// Of two processes under one name, the one that has not joined yet stops, or else the one with
    /// the lower incarnation, or else the one with the higher address.
    fn resolve_name_conflict(&mut self, other: &MemberUpdate) {
        let rank = |update: &MemberUpdate| (update.incarnation, Reverse(update.node.address));
        if !self.has_joined || rank(other) > rank(&self.local) {
            self.stop_for_name_conflict(other.node.address);
        }
    }

    /// Announces the current state of this node under an incarnation above one that others have
    /// heard of.
    pub(crate) fn announce_local_update(&mut self, above: Incarnation) {
        self.local.incarnation = above.next().max(self.local.incarnation);
        self.broadcasts.push(self.local.clone());
    }

    /// Sends the current state of this node at once to the member that reported it suspect or dead,
    /// and to some others. A node in bad health probes seldom: a refutation that only rode on its
    /// probes came too late over slow links.
    fn send_refutation(&mut self, reporter: Option<&NodeName>) {
        let mut recipients: Vec<Recipient> = self
            .members
            .alive()
            .map(|member| member.recipient())
            .collect();
        self.rng.shuffle(&mut recipients);
        recipients.sort_by_key(|recipient| recipient.name.as_ref() != reporter);
        recipients.truncate(self.config.indirect_checks + 1);
        for recipient in recipients {
            self.send_update(&recipient, self.local.clone());
        }
    }

    /// Sends one update in a message of its own, beside the broadcast queue.
    pub(crate) fn send_update(&mut self, to: &Recipient, update: MemberUpdate) {
        let body = MessageBody::IndirectPingResult {
            sequence_number: SequenceNumber::NO_PROBE,
            outcome: RelayedProbeOutcome::Nack,
        };
        self.send_with_updates(to, body, vec![update]);
    }

    /// Sends a message with the updates that its kind carries.
    pub(crate) fn send(&mut self, to: &Recipient, body: MessageBody) {
        let updates = match &body {
            MessageBody::PushPull { .. } => self.complete_state(),
            MessageBody::NameConflict => Vec::new(),
            _ => self.take_broadcasts(to.name.as_ref()),
        };
        self.send_with_updates(to, body, updates);
    }

    fn send_with_updates(&mut self, to: &Recipient, body: MessageBody, updates: Vec<MemberUpdate>) {
        let message = Message {
            from: self.local.node.name.clone(),
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
        let members = self.members.iter().map(|member| member.update.clone());
        std::iter::once(self.local.clone()).chain(members).collect()
    }

    /// The updates for one message. A suspect is told first that it is one, so that it can refute
    /// that (Lifeguard's Buddy System).
    fn take_broadcasts(&mut self, recipient: Option<&NodeName>) -> Vec<MemberUpdate> {
        let cluster_size = self.members.live_count() + 2;
        let max_transmissions =
            (self.config.retransmit_mult * (cluster_size as f64).log2()).ceil() as u32;
        self.broadcasts.take(
            self.config.max_updates_per_message,
            max_transmissions,
            recipient,
        )
    }
}
