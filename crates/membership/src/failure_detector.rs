//! SWIM's failure detector: in each protocol period one member is probed, directly and then through
//! others.

use std::time::Duration;

use crate::member_table::Recipient;
use crate::membership::Membership;
use crate::message::{MemberState, MemberUpdate, MessageBody, RelayedProbeOutcome, SequenceNumber};
use crate::node::NodeName;

/// How far a probe has come.
enum ProbePhase {
    /// The target was pinged.
    Direct,
    /// The target did not answer in time; relays were asked to ping it.
    Indirect {
        /// Relays that have not reported yet.
        pending_relays: usize,
        /// Whether a relay got an answer of the target.
        is_acked_by_relay: bool,
    },
}

/// The probe of the current protocol period.
struct Probe {
    sequence_number: SequenceNumber,
    target: NodeName,
    started_at: Duration,
    phase: ProbePhase,
}

/// A ping that this node sent on behalf of another.
struct RelayedProbe {
    sequence_number: SequenceNumber,
    requester: Recipient,
    requester_sequence_number: SequenceNumber,
    deadline: Duration,
}

/// The probes in flight and the order of those to come. Owned by the membership.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// The members still to be probed in this round; the last one is next.
    round: Vec<NodeName>,
    probe: Option<Probe>,
    relayed_probes: Vec<RelayedProbe>,
    last_sequence_number: SequenceNumber,
}

impl FailureDetector {
    fn next_sequence_number(&mut self) -> SequenceNumber {
        self.last_sequence_number.0 += 1;
        self.last_sequence_number
    }

    /// The probe that still waits for a direct answer.
    fn direct_probe(&self) -> Option<&Probe> {
        self.probe
            .as_ref()
            .filter(|probe| matches!(probe.phase, ProbePhase::Direct))
    }

    fn take_relayed_probe(&mut self, sequence_number: SequenceNumber) -> Option<RelayedProbe> {
        let index = self
            .relayed_probes
            .iter()
            .position(|relayed| relayed.sequence_number == sequence_number)?;
        Some(self.relayed_probes.swap_remove(index))
    }

    /// Takes the probe that this message answers. Another node that has the address of the target
    /// now is no answer.
    fn take_probe(&mut self, from: &NodeName, sequence_number: SequenceNumber) -> Option<Probe> {
        self.probe
            .take_if(|probe| probe.sequence_number == sequence_number && probe.target == *from)
    }

    /// Takes the relayed probes that got no answer in time.
    fn take_expired_relayed_probes(&mut self, now: Duration) -> Vec<RelayedProbe> {
        let relayed_probes = std::mem::take(&mut self.relayed_probes);
        let (expired, pending) = relayed_probes
            .into_iter()
            .partition(|relayed| relayed.deadline <= now);
        self.relayed_probes = pending;
        expired
    }
}

impl Membership {
    /// Pings the next member of the round. A new round is drawn when the old one is through: every
    /// member is probed once in each, so that the time until a crash is noticed has a bound (SWIM,
    /// section 4.3).
    pub(crate) fn start_probe(&mut self) {
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let Some(member) = self.members.get(&target) else {
            return;
        };
        let recipient = member.recipient();
        // The ping carries the suspicion, so that the suspect can refute it, even where the update
        // has left the queue.
        if member.update.state == MemberState::Suspect {
            self.broadcasts.push(member.update.clone());
        }
        let sequence_number = self.detector.next_sequence_number();
        self.detector.probe = Some(Probe {
            sequence_number,
            target,
            started_at: self.now,
            phase: ProbePhase::Direct,
        });
        self.send(&recipient, MessageBody::Ping { sequence_number });
    }

    fn next_probe_target(&mut self) -> Option<NodeName> {
        loop {
            if self.detector.round.is_empty() {
                let names = self
                    .members
                    .live()
                    .map(|member| member.update.node.name.clone());
                self.detector.round = names.collect();
                self.rng.shuffle(&mut self.detector.round);
            }
            let name = self.detector.round.pop()?;
            if self.members.get_live(&name).is_some() {
                return Some(name);
            }
        }
    }

    /// When others are asked to probe the target, where it has not answered by then.
    pub(crate) fn direct_probe_deadline(&self) -> Option<Duration> {
        let probe = self.detector.direct_probe()?;
        Some(probe.started_at + self.health.scale(self.config.probe_timeout))
    }

    /// When each of the relayed probes is given up.
    pub(crate) fn relayed_probe_deadlines(&self) -> impl Iterator<Item = Duration> {
        self.detector
            .relayed_probes
            .iter()
            .map(|relayed| relayed.deadline)
    }

    /// Asks others to probe the target, where it has not answered in time.
    pub(crate) fn send_indirect_pings_when_due(&mut self) {
        if self
            .direct_probe_deadline()
            .is_none_or(|deadline| self.now < deadline)
        {
            return;
        }
        let Some(probe) = &mut self.detector.probe else {
            return;
        };
        let Some(address) = self
            .members
            .get(&probe.target)
            .map(|member| member.update.node.address)
        else {
            return;
        };
        let relays = self
            .members
            .alive()
            .filter(|member| member.update.node.name != probe.target);
        let mut relays: Vec<Recipient> = relays.map(|member| member.recipient()).collect();
        self.rng.shuffle(&mut relays);
        relays.truncate(self.config.indirect_checks);
        probe.phase = ProbePhase::Indirect {
            pending_relays: relays.len(),
            is_acked_by_relay: false,
        };
        let (sequence_number, target) = (probe.sequence_number, probe.target.clone());
        for relay in relays {
            self.send(
                &relay,
                MessageBody::IndirectPing {
                    sequence_number,
                    target: target.clone(),
                    address,
                },
            );
        }
    }

    /// Ends the probe of the last period, where it got no direct answer. The reports of the relays
    /// tell a cut link from a crash.
    pub(crate) fn finish_probe(&mut self) {
        let Some(probe) = self.detector.probe.take() else {
            return;
        };
        let missing_reports = match probe.phase {
            ProbePhase::Direct => 0,
            ProbePhase::Indirect {
                is_acked_by_relay: true,
                ..
            } => {
                return self.mark_directly_unreachable(&probe.target);
            }
            ProbePhase::Indirect { pending_relays, .. } => pending_relays as u32,
        };
        // Where relays did not report at all, the fault is more likely this node's than the
        // target's.
        self.health.degrade(1 + missing_reports);
        let Some(member) = self.members.get_live(&probe.target) else {
            return;
        };
        let suspect = MemberUpdate {
            state: MemberState::Suspect,
            reported_by: Some(self.local.node.name.clone()),
            ..member.update.clone()
        };
        let recipient = member.recipient();
        self.apply_update(&suspect);
        // The target is notified of the suspicion at once: over a slow link the next probe would
        // leave too little time to refute it.
        self.send_update(&recipient, suspect);
    }

    fn mark_directly_unreachable(&mut self, target: &NodeName) {
        let Some(member) = self.members.get_mut(target) else {
            return;
        };
        if !std::mem::replace(&mut member.is_directly_unreachable, true) {
            self.publish_unreachable_peers();
        }
    }

    /// Takes the answer to a ping, either for this node's own probe or for one that it relays.
    pub(crate) fn handle_ack(&mut self, from: &NodeName, sequence_number: SequenceNumber) {
        if let Some(relayed) = self.detector.take_relayed_probe(sequence_number) {
            return self.report_relayed_probe(&relayed, RelayedProbeOutcome::Ack);
        }
        if self.detector.take_probe(from, sequence_number).is_none() {
            return;
        }
        self.health.improve();
        let Some(member) = self.members.get_mut(from) else {
            return;
        };
        member.last_ack = Some(self.now);
        if std::mem::replace(&mut member.is_directly_unreachable, false) {
            self.publish_unreachable_peers();
        }
    }

    /// Pings a target on behalf of another node.
    pub(crate) fn handle_indirect_ping(
        &mut self,
        requester: Recipient,
        requester_sequence_number: SequenceNumber,
        target: Recipient,
    ) {
        let sequence_number = self.detector.next_sequence_number();
        // A requester has one probe in each period, so there are about as many of these as members
        // at the most.
        if self.detector.relayed_probes.len() > self.config.max_members {
            return;
        }
        let deadline = self.now + self.config.probe_timeout;
        let relayed = RelayedProbe {
            sequence_number,
            requester,
            requester_sequence_number,
            deadline,
        };
        self.detector.relayed_probes.push(relayed);
        self.send(&target, MessageBody::Ping { sequence_number });
        self.schedule_timer(deadline);
    }

    /// Takes the report of a relay on this node's own probe.
    pub(crate) fn handle_indirect_ping_result(
        &mut self,
        sequence_number: SequenceNumber,
        outcome: RelayedProbeOutcome,
    ) {
        let probe = self
            .detector
            .probe
            .as_mut()
            .filter(|probe| probe.sequence_number == sequence_number);
        if let Some(Probe {
            phase:
                ProbePhase::Indirect {
                    pending_relays,
                    is_acked_by_relay,
                },
            ..
        }) = probe
        {
            *pending_relays = pending_relays.saturating_sub(1);
            *is_acked_by_relay |= outcome == RelayedProbeOutcome::Ack;
        }
    }

    /// Reports the relayed probes that got no answer: silence would count against the health of the
    /// requester.
    pub(crate) fn expire_relayed_probes(&mut self) {
        for relayed in self.detector.take_expired_relayed_probes(self.now) {
            self.report_relayed_probe(&relayed, RelayedProbeOutcome::Nack);
        }
    }

    fn report_relayed_probe(&mut self, relayed: &RelayedProbe, outcome: RelayedProbeOutcome) {
        let sequence_number = relayed.requester_sequence_number;
        self.send(
            &relayed.requester,
            MessageBody::IndirectPingResult {
                sequence_number,
                outcome,
            },
        );
    }
}
