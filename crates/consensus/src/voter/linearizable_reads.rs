//! When a read of the leases is answered: once a quorum has confirmed that the leader still leads,
//! and everything that was committed when the read came is applied (Raft's dissertation, section
//! 6.4, "read index").
//!
//! A leader that was cut off does not know that another one was elected. If it answered from its
//! own copy, a read could show an owner of a lease after another owner acquired it. The quorum's
//! confirmation costs one round of heartbeats and no write.
//!
//! A second rule bounds the memory of confirmed reads. While [`MAX_PENDING_READS`] of them wait for
//! entries to be applied, the leader rejects further reads with `RejectNotLeader` that names itself
//! as the leader; there is no response of its own for a leader that is busy. Reads that the quorum
//! has not confirmed yet are in the consensus and are not counted, so that more than the limit may
//! wait once they are confirmed.
//!
//! Some reads get no response, and whoever sent them has to send them again: those that the voter
//! had when it lost leadership ([`LinearizableReads::clear`]), those that the consensus drops while
//! a new leader has committed no entry of its own term, and those that can't be decoded.

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Lease, LeaseStateMachine, Name, RequestId};

use crate::event::MAX_LISTED_LEASES;

/// Confirmed reads that wait for entries to be applied, from which on further reads are rejected.
pub(super) const MAX_PENDING_READS: usize = 256;

/// A read. The consensus carries it in its messages, serialized by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ReadRequest {
    pub(super) from: Name,
    pub(super) request: RequestId,
    /// One lease, or all.
    pub(super) lease: Option<Name>,
}

impl ReadRequest {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// A read that a quorum has confirmed.
struct PendingRead {
    /// Index of the log entry that must be applied before.
    index: u64,
    read: ReadRequest,
}

/// The reads that a quorum has confirmed and that are not answered yet.
#[derive(Default)]
pub(super) struct LinearizableReads {
    pending: Vec<PendingRead>,
}

impl LinearizableReads {
    /// Whether a further read may be accepted. The voter asks before it has a read confirmed.
    pub(super) fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_READS
    }

    /// A quorum has confirmed these reads. All are kept, beyond [`MAX_PENDING_READS`] too.
    pub(super) fn add_confirmed(&mut self, confirmed: Vec<raft::ReadState>) {
        for state in confirmed {
            if let Ok(read) = postcard::from_bytes(&state.request_ctx) {
                let index = state.index;
                self.pending.push(PendingRead { index, read });
            }
        }
    }

    /// Removes and returns the reads whose entries are applied, in the order they were confirmed.
    pub(super) fn take_applied(&mut self, applied_index: u64) -> Vec<ReadRequest> {
        let (applied, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.index <= applied_index);
        self.pending = pending;
        let applied: Vec<PendingRead> = applied;
        applied.into_iter().map(|pending| pending.read).collect()
    }

    /// The voter leads no more: none of the reads may be answered by it. They get no response.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}

/// The leases that a read is answered with: one, or all up to [`MAX_LISTED_LEASES`].
pub(super) fn read_leases(leases: &LeaseStateMachine, name: Option<&Name>) -> Vec<(Name, Lease)> {
    match name {
        Some(name) => leases
            .lease(name)
            .map(|lease| (name.clone(), lease.clone()))
            .into_iter()
            .collect(),
        None => leases
            .leases()
            .map(|(name, lease)| (name.clone(), lease.clone()))
            .take(MAX_LISTED_LEASES)
            .collect(),
    }
}
