//! Reads of a lease's holder. A read must return no holder whose token is older than the newest
//! token that an owner was notified of before the read began.

use std::collections::BTreeMap;

use tulipgap_leases::{FencingToken, Lease, Name, RequestId};

use super::outcome::{Finding, LeaseInvariant};

/// The maximum number of reads without a response. The oldest reads beyond it are discarded.
const MAX_PENDING_READS: usize = 1000;

/// A read without a response yet.
pub(super) struct PendingRead {
    pub(super) lease: Name,
    /// The newest token of the lease that an owner was notified of before the read.
    pub(super) newest_token: FencingToken,
}

/// The reads without a response yet.
#[derive(Default)]
pub(super) struct PendingReads {
    reads: BTreeMap<RequestId, PendingRead>,
}

impl PendingReads {
    pub(super) fn insert(&mut self, request: RequestId, read: PendingRead) {
        self.reads.insert(request, read);
    }

    /// Discards the oldest reads beyond [`MAX_PENDING_READS`].
    pub(super) fn discard_oldest(&mut self) {
        while self.reads.len() > MAX_PENDING_READS {
            self.reads.pop_first();
        }
    }

    /// Checks that a response is not older than the grants before the read.
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
            details: format!(
                "{lease}: a read returned token {token} although token {newest_token} had been granted before"
            ),
        })
    }
}
