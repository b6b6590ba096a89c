//! SWIM's failure detector: in each protocol period one member is probed, directly and then through
//! others.
//!
//! **Decision**: when others are asked to probe the target, which ones, and which conclusion about
//! the target is drawn from the period's probe at its end.
//!
//! **When it binds**: relays are asked where the target has not answered within the probe timeout;
//! the verdict falls at the end of the period.
//!
//! **Failure it guards against**: a lost message or a cut link between two nodes would look like a
//! crash of the target. That shows as false positives which one member reports, and as a zone that
//! is declared dead by the other side of a cut.
//!
//! **Why it holds**: relays reach the target on other links. An answer to one of them shows that
//! the target lives; their reports of no answer (Lifeguard's nack) show that this node is reached,
//! so that the target is at fault.
//!
//! **Price**: `indirect_checks` relays, four messages each, for every probe that is not answered.
//!
//! Source: SWIM, section 3.1 (failure detector); Lifeguard (nack).

use std::time::Duration;

use crate::message::{RelayedProbeOutcome, SequenceNumber};
use crate::node::{NodeName, Recipient};

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
    /// On the clock of the events.
    started_at: Duration,
    phase: ProbePhase,
}

/// What is known at the end of a period about a probe that got no direct answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FailedProbe {
    /// A relay got an answer: the target lives and the link to it is cut.
    AnsweredRelayOnly {
        /// The member that was probed.
        target: NodeName,
    },
    /// Nobody is known to have had an answer.
    Unanswered {
        /// The member that was probed.
        target: NodeName,
        /// The number of relays that did not report.
        missing_reports: u32,
    },
}

/// The probe of the current protocol period, and the numbers of all probes of this node.
#[derive(Default)]
pub(crate) struct FailureDetector {
    /// `None` once the target has answered.
    probe: Option<Probe>,
    last_sequence_number: SequenceNumber,
}

impl FailureDetector {
    /// Draws the number of a probe, own or relayed.
    pub(crate) fn next_sequence_number(&mut self) -> SequenceNumber {
        self.last_sequence_number.0 += 1;
        self.last_sequence_number
    }

    /// Starts the probe of a period and returns its number.
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

    /// When relays are to be asked, where a probe still waits for its direct answer.
    pub(crate) fn direct_deadline(&self, probe_timeout: Duration) -> Option<Duration> {
        let probe = self.probe.as_ref()?;
        matches!(probe.phase, ProbePhase::Direct).then(|| probe.started_at + probe_timeout)
    }

    /// The target that has not answered within `probe_timeout`, where relays were not asked yet.
    pub(crate) fn overdue_target(
        &self,
        now: Duration,
        probe_timeout: Duration,
    ) -> Option<&NodeName> {
        let deadline = self.direct_deadline(probe_timeout)?;
        let probe = self.probe.as_ref()?;
        (now >= deadline).then_some(&probe.target)
    }

    /// Notes that relays are asked to ping the target. Returns the number under which they report.
    pub(crate) fn start_indirect_probe(&mut self, relays: usize) -> Option<SequenceNumber> {
        let probe = self.probe.as_mut()?;
        probe.phase = ProbePhase::Indirect {
            pending_relays: relays,
            is_acked_by_relay: false,
        };
        Some(probe.sequence_number)
    }

    /// Takes an answer. Returns whether it answers the probe of this period: another node that has
    /// the address of the target now is no answer.
    pub(crate) fn take_ack(&mut self, from: &NodeName, sequence_number: SequenceNumber) -> bool {
        self.probe
            .take_if(|probe| probe.sequence_number == sequence_number && probe.target == *from)
            .is_some()
    }

    /// Takes the report of a relay.
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

    /// Ends the probe of a period. Returns what is known of it, where it got no direct answer.
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

/// Chooses the members that are asked to probe a target: random ones, `indirect_checks` at the
/// most. `candidates` are the alive members without the target.
pub(crate) fn choose_relays(
    mut candidates: Vec<Recipient>,
    indirect_checks: usize,
    rng: &mut fastrand::Rng,
) -> Vec<Recipient> {
    rng.shuffle(&mut candidates);
    candidates.truncate(indirect_checks);
    candidates
}
