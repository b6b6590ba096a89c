//! Relayed probes: pings that this node sends on behalf of others (SWIM's ping-req).
//!
//! **Decision**: whether this node relays a probe, and when it reports that the target did not
//! answer.
//!
//! **When it binds**: on each indirect ping. The report of no answer (Lifeguard's nack) is due
//! after one probe timeout, which the local health does not stretch.
//!
//! **Failure it guards against**: without a report the requester could not tell a dead target from
//! a relay that it does not reach, and silence would count against its own health. Without a bound
//! a broken member could make this node send pings and keep records for ever.
//!
//! **Why it holds**: a requester has one probe in each period, so that there are about as many
//! relayed probes at a time as members.
//!
//! **Price**: one message more for each relay whose target is dead.

use std::time::Duration;

use crate::message::SequenceNumber;
use crate::node::Recipient;

/// A ping that this node sent on behalf of another.
pub(crate) struct RelayedProbe {
    /// The number of the ping to the target.
    pub(crate) sequence_number: SequenceNumber,
    /// The node that asked for it.
    pub(crate) requester: Recipient,
    /// The number of the requester's probe, under which it is reported.
    pub(crate) requester_sequence_number: SequenceNumber,
    /// When the target is reported not to answer, on the clock of the events.
    pub(crate) deadline: Duration,
}

/// The relayed probes in flight.
#[derive(Default)]
pub(crate) struct RelayedProbes {
    /// At most one more than members may be recorded.
    pending: Vec<RelayedProbe>,
}

impl RelayedProbes {
    /// Whether one more probe may be relayed.
    pub(crate) fn has_capacity(&self, max_members: usize) -> bool {
        self.pending.len() <= max_members
    }

    /// Keeps a probe that was sent.
    pub(crate) fn push(&mut self, relayed: RelayedProbe) {
        self.pending.push(relayed);
    }

    /// Takes the probe that an answer belongs to.
    pub(crate) fn take(&mut self, sequence_number: SequenceNumber) -> Option<RelayedProbe> {
        let index = self
            .pending
            .iter()
            .position(|relayed| relayed.sequence_number == sequence_number)?;
        Some(self.pending.swap_remove(index))
    }

    /// Takes the probes that got no answer in time.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<RelayedProbe> {
        let (expired, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|relayed| relayed.deadline <= now);
        self.pending = pending;
        expired
    }

    /// When each of the probes is reported not to be answered.
    pub(crate) fn deadlines(&self) -> impl Iterator<Item = Duration> {
        self.pending.iter().map(|relayed| relayed.deadline)
    }
}
