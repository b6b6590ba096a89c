//! SWIM's failure detector: in each protocol period one member is probed, directly and then through
//! relays.
//!
//! **Decision**: when relays are asked to probe the target, which members are asked, and how the
//! probe is concluded at the end of the period.
//!
//! **When it binds**: relays are asked if the target has not answered within the probe timeout; the
//! outcome is decided at the end of the period.
//!
//! **Failure it guards against**: a lost message or a broken link between two nodes would look like
//! a crash of the target. The symptoms are false positives that a single member reports, and a zone
//! that the other side of a network partition declares dead.
//!
//! **Why it holds**: relays reach the target over other links. An answer to one of them shows that
//! the target is alive. Reports that the target did not answer (Lifeguard's nack) show that
//! messages reach this node, so the target is at fault.
//!
//! **Price**: up to `indirect_checks` relays, with up to four messages each, for every probe that
//! is not answered.
//!
//! Source: SWIM, section 3.1 (failure detector); Lifeguard (nack).

use std::time::Duration;

use crate::message::{RelayedProbeOutcome, SequenceNumber};
use crate::node::{NodeName, Recipient};

/// The phase of a probe.
enum ProbePhase {
    /// The target was pinged.
    Direct,
    /// The target did not answer in time; relays were asked to ping it.
    Indirect {
        /// The number of relays that have not reported yet.
        pending_relays: usize,
        /// Whether a relay got an answer from the target.
        is_acked_by_relay: bool,
    },
}

/// The probe of the current protocol period.
struct Probe {
    sequence_number: SequenceNumber,
    target: NodeName,
    /// On the clock of the events.
    started_at: Duration,
    phase: ProbePhase,
}

/// The outcome of a probe that got no direct answer by the end of its period.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FailedProbe {
    /// A relay got an answer: the target is alive and the link to it is broken.
    AnsweredRelayOnly {
        /// The member that was probed.
        target: NodeName,
    },
    /// No relay reported an answer.
    Unanswered {
        /// The member that was probed.
        target: NodeName,
        /// The number of relays that did not report.
        missing_reports: u32,
    },
}

/// The probe of the current protocol period, and the source of sequence numbers for all probes of
/// this node.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// `None` without a probe, or once the target has answered.
    probe: Option<Probe>,
    last_sequence_number: SequenceNumber,
}

impl FailureDetector {
    /// Assigns a sequence number to a probe, either this node's own or a relayed one.
    pub(crate) fn next_sequence_number(&mut self) -> SequenceNumber {
        self.last_sequence_number.0 += 1;
        self.last_sequence_number
    }

    /// Starts the probe of a period and returns its sequence number.
    pub(crate) fn start_probe(&mut self, target: NodeName, now: Duration) -> SequenceNumber {
        let sequence_number = self.next_sequence_number();
        self.probe = Some(Probe {
            sequence_number,
            target,
            started_at: now,
            phase: ProbePhase::Direct,
        });
        sequence_number
    }

    /// When relays have to be asked, if the probe still waits for its direct answer.
    pub(crate) fn direct_deadline(&self, probe_timeout: Duration) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        matches!(probe.phase, ProbePhase::Direct).then(|| probe.started_at + probe_timeout)
    }

    /// The target that has not answered within `probe_timeout`, if relays were not asked yet.
    pub(crate) fn overdue_target(
        &self,
        now: Duration,
        probe_timeout: Duration,
    ) -> Option<&NodeName> {
        let deadline = self.direct_deadline(probe_timeout)?;
        let probe = self.probe.as_ref()?;
        (now >= deadline).then_some(&probe.target)
    }

    /// Records that relays are asked to ping the target. Returns the sequence number for their
    /// reports.
    pub(crate) fn start_indirect_probe(&mut self, relays: usize) -> Option<SequenceNumber> {
        let probe = self.probe.as_mut()?;
        probe.phase = ProbePhase::Indirect {
            pending_relays: relays,
            is_acked_by_relay: false,
        };
        Some(probe.sequence_number)
    }

    /// Handles an ack, which ends the probe of this period if it answers that probe. Returns
    /// whether it does: an ack from another node that now has the target's address does not.
    pub(crate) fn take_ack(&mut self, from: &NodeName, sequence_number: SequenceNumber) -> bool {
        self.probe
            .take_if(|probe| probe.sequence_number == sequence_number && probe.target == *from)
            .is_some()
    }

    /// Records the report of a relay.
    pub(crate) fn record_relay_report(
        &mut self,
        sequence_number: SequenceNumber,
        outcome: RelayedProbeOutcome,
    ) {
        let probe = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence_number == sequence_number);
        if let Some(probe) = probe
            && let ProbePhase::Indirect {
                pending_relays,
                is_acked_by_relay,
            } = &mut probe.phase
        {
            *pending_relays = pending_relays.saturating_sub(1);
            *is_acked_by_relay |= outcome == RelayedProbeOutcome::Ack;
        }
    }

    /// Ends the probe of a period. Returns its outcome if it got no direct answer.
    pub(crate) fn finish_probe(&mut self) -> Option<FailedProbe> {
        let Probe { target, phase, .. } = self.probe.take()?;
        Some(match phase {
            ProbePhase::Direct => FailedProbe::Unanswered {
                target,
                missing_reports: 0,
            },
            ProbePhase::Indirect {
                is_acked_by_relay: true,
                ..
            } => FailedProbe::AnsweredRelayOnly { target },
            ProbePhase::Indirect { pending_relays, .. } => FailedProbe::Unanswered {
                target,
                missing_reports: pending_relays as u32,
            },
        })
    }
}

/// Selects random members, up to `indirect_checks`, as relays. `candidates` are the alive members
/// without the target.
pub(crate) fn choose_relays(
    mut candidates: Vec<Recipient>,
    indirect_checks: usize,
    rng: &mut fastrand::Rng,
) -> Vec<Recipient> {
    rng.shuffle(&mut candidates);
    candidates.truncate(indirect_checks);
    candidates
}
