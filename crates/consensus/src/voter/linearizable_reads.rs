//! Linearizable reads of the leases. The leader answers a read after a quorum has confirmed that it
//! still leads, and after it has applied all entries that were committed when the read arrived
//! (Raft's dissertation, section 6.4, "read index").
//!
//! A partitioned leader does not know that another one was elected. If it answered from its own
//! state, a read could show a former owner of a lease after another owner has acquired it. The
//! quorum's confirmation costs one round of heartbeats and no write.
//!
//! The memory of confirmed reads is bounded. While [`MAX_PENDING_READS`] of them wait for entries
//! to be applied, the leader rejects further reads with a `RejectNotLeader` that names itself as
//! the leader, since there is no separate response for an overloaded leader. Reads that the quorum
//! has not confirmed yet are held by the consensus and not counted, so the number of confirmed
//! reads may exceed the limit.
//!
//! The client gets no response and must retry if the leader loses leadership before it answers the
//! read ([`LinearizableReads::clear`]), if the consensus drops the read because a new leader has
//! not committed an entry of its term yet, or if the read can't be decoded.

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Lease, LeaseStateMachine, Name, RequestId};

use crate::event::MAX_LISTED_LEASES;

/// The number of confirmed reads waiting for entries to be applied at which the leader rejects
/// further reads.
pub(super) const MAX_PENDING_READS: usize = 256;

/// A read. Raft messages carry it, serialized by position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct ReadRequest {
    pub(super) from: Name,
    pub(super) request: RequestId,
    /// One lease; all leases if `None`.
    pub(super) lease: Option<Name>,
}

impl ReadRequest {
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// A read that a quorum has confirmed.
struct PendingRead {
    /// The index of the entry that must be applied before the read is answered.
    index: u64,
    read: ReadRequest,
}

/// The reads that a quorum has confirmed and the leader has not answered yet.
#[derive(Default)]
pub(super) struct LinearizableReads {
    pending: Vec<PendingRead>,
}

impl LinearizableReads {
    /// Whether a further read may be accepted. The voter checks this before it asks the quorum to
    /// confirm a read.
    pub(super) fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_READS
    }

    /// Adds reads that a quorum has confirmed. All are kept, even beyond [`MAX_PENDING_READS`].
    pub(super) fn add_confirmed(&mut self, confirmed: Vec<raft::ReadState>) {
        for state in confirmed {
            if let Ok(read) = postcard::from_bytes(&state.request_ctx) {
                let index = state.index;
                self.pending.push(PendingRead { index, read });
            }
        }
    }

    /// Removes and returns the reads whose entries are applied, in the order of confirmation.
    pub(super) fn take_applied(&mut self, applied_index: u64) -> Vec<ReadRequest> {
        let (applied, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.index <= applied_index);
        self.pending = pending;
        let applied: Vec<PendingRead> = applied;
        applied.into_iter().map(|pending| pending.read).collect()
    }

    /// Drops all reads without a response, as a voter that no longer leads must not answer them.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
    }
}

/// The leases in the response to a read: the named one, or all up to [`MAX_LISTED_LEASES`].
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
