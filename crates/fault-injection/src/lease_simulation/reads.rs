//! Reads of who holds a lease: each has to show what had been granted before it began.

use std::collections::BTreeMap;

use tulipgap_leases::{FencingToken, Lease, Name, RequestId};

use super::outcome::{Finding, LeaseInvariant};

/// Reads that wait for a response, at most; older ones are forgotten.
const MAX_PENDING_READS: usize = 1000;

/// A read that waits for its response.
pub(super) struct PendingRead {
    pub(super) lease: Name,
    /// The newest token that an owner was notified of before the read.
    pub(super) newest_token: FencingToken,
}

/// The reads that wait for a response.
#[derive(Default)]
pub(super) struct PendingReads {
    reads: BTreeMap<RequestId, PendingRead>,
}

impl PendingReads {
    pub(super) fn insert(&mut self, request: RequestId, read: PendingRead) {
        self.reads.insert(request, read);
    }

    /// Forgets the oldest reads, so that no more than [`MAX_PENDING_READS`] are left.
    pub(super) fn forget_oldest(&mut self) {
        while self.reads.len() > MAX_PENDING_READS {
            self.reads.pop_first();
        }
    }

    /// Compares a response with what had been granted before the read.
    pub(super) fn check_response(
        &mut self,
        request: RequestId,
        leases: &[(Name, Lease)],
    ) -> Result<(), Finding> {
        let Some(PendingRead {
            lease,
            newest_token,
        }) = self.reads.remove(&request)
        else {
            return Ok(());
        };
        let found = leases.iter().find(|(name, _)| *name == lease);
        let Some(holder) = found.and_then(|(_, lease)| lease.holders.last()) else {
            return Ok(());
        };
        let token = holder.token;
        if token >= newest_token {
            return Ok(());
        }
        Err(Finding {
            invariant: LeaseInvariant::ReadsAreLinearizable,
            details: format!("{lease}: {token} is read, {newest_token} had been granted before"),
        })
    }
}
