//! When a read of the leases is answered: once a quorum has confirmed that the leader still leads,
//! and everything that was committed when the read came is applied (Raft's dissertation, section
//! 6.4, "read index").
//!
//! A leader that was cut off does not know that another one was elected. If it answered from its
//! own copy, a read could show an owner of a lease after another owner acquired it. The quorum's
//! confirmation costs one round of heartbeats and no write.

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Lease, LeaseStateMachine, Name, RequestId};

use crate::event::MAX_LISTED_LEASES;

/// Reads that are confirmed and wait for entries to be applied, at most; further reads are
/// rejected.
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
    /// The entry that must be applied before.
    index: u64,
    read: ReadRequest,
}

/// The reads that a quorum has confirmed and that are not answered yet.
#[derive(Default)]
pub(super) struct LinearizableReads {
    pending: Vec<PendingRead>,
}

impl LinearizableReads {
    /// Whether there is room for a further read.
    pub(super) fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_READS
    }

    /// A quorum has confirmed these reads.
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

    /// The voter leads no more: none of the reads may be answered by it.
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
