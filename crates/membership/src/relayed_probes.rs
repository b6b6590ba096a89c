//! Relayed probes: pings that this node sends on behalf of other nodes (SWIM's ping-req).
//!
//! **Decision**: whether this node relays a probe, and when it reports that the target did not
//! answer.
//!
//! **When it binds**: on each indirect ping. The report that the target did not answer (Lifeguard's
//! nack) is due after one probe timeout, which the local health does not stretch.
//!
//! **Failure it guards against**: without this report, the requester could not distinguish a dead
//! target from a relay that it cannot reach, and a missing report would lower its own health.
//! Without a bound, a faulty member could make this node send pings and keep records indefinitely.
//!
//! **Why it holds**: a requester has one probe in each period, so the number of relayed probes in
//! flight is about the number of members.
//!
//! **Price**: one more message from each relay if the target does not answer.

use std::time::Duration;

use crate::message::SequenceNumber;
use crate::node::Recipient;

/// A ping that this node sent on behalf of another node.
pub(crate) struct RelayedProbe {
    /// The sequence number of the ping to the target.
    pub(crate) sequence_number: SequenceNumber,
    /// The node that requested the probe.
    pub(crate) requester: Recipient,
    /// The sequence number of the requester's probe, for the report.
    pub(crate) requester_sequence_number: SequenceNumber,
    /// When this node reports that the target did not answer, on the clock of the events.
    pub(crate) deadline: Duration,
}

/// The relayed probes in flight.
#[derive(Default)]
pub(crate) struct RelayedProbes {
    /// At most one more than the maximum number of recorded members.
    pending: Vec<RelayedProbe>,
}

impl RelayedProbes {
    /// Whether one more probe may be relayed.
    pub(crate) fn has_capacity(&self, max_members: usize) -> bool {
        self.pending.len() <= max_members
    }

    /// Records a probe that was sent.
    pub(crate) fn push(&mut self, relayed: RelayedProbe) {
        self.pending.push(relayed);
    }

    /// Removes and returns the probe with a sequence number.
    pub(crate) fn take(&mut self, sequence_number: SequenceNumber) -> Option<RelayedProbe> {
        let index = self
            .pending
            .iter()
            .position(|relayed| relayed.sequence_number == sequence_number)?;
        Some(self.pending.swap_remove(index))
    }

    /// Removes and returns the probes that got no answer in time.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<RelayedProbe> {
        let (expired, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|relayed| relayed.deadline <= now);
        self.pending = pending;
        expired
    }

    /// The deadline of each probe in flight.
    pub(crate) fn deadlines(&self) -> impl Iterator<Item = Duration> {
        self.pending.iter().map(|relayed| relayed.deadline)
    }
}
