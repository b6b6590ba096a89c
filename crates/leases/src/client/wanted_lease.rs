//! One lease that a client requests or holds.

use std::time::Duration;

use crate::protocol::{FencingToken, LeaseSpec, RequestId};

/// Requests of one lease whose responses are still accepted.
const MAX_PENDING_REQUESTS: usize = 4;

/// How a lease stands with its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseStatus {
    /// The lease is requested, and no voter has answered yet.
    Requested,
    /// The client waits for a slot.
    Queued {
        /// Owners that are served before it.
        ahead: u32,
    },
    /// The client holds the lease.
    Active {
        /// The fencing token of the grant.
        token: FencingToken,
        /// When guards become stale, unless it is renewed.
        valid_until: Duration,
        /// Whether [`Action::Acquired`](crate::Action::Acquired) was returned for it.
        announced: bool,
    },
    /// The lease was released or revoked; its slot is released at the voters once no guard is out.
    Releasing {
        /// The fencing token of the grant that ends.
        token: FencingToken,
    },
}

/// A request that was sent and not responded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) id: RequestId,
    pub(super) sent_at: Duration,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WantedLease {
    pub(super) spec: LeaseSpec,
    pub(super) max_step: Duration,
    pub(super) wait: bool,
    pub(super) status: LeaseStatus,
    /// The latest requests, the oldest first.
    pub(super) pending: Vec<PendingRequest>,
    pub(super) next_request_at: Duration,
    /// Hints that were followed since the last response.
    pub(super) followed_hints: u32,
    /// Guards that are out.
    pub(super) guards: u32,
    /// The host no longer wants it.
    pub(super) is_released: bool,
}

impl WantedLease {
    pub(super) fn new(spec: LeaseSpec, max_step: Duration, wait: bool, now: Duration) -> Self {
        WantedLease {
            spec,
            max_step,
            wait,
            status: LeaseStatus::Requested,
            pending: Vec::new(),
            next_request_at: now,
            followed_hints: 0,
            guards: 0,
            is_released: false,
        }
    }

    pub(super) fn add_pending(&mut self, request: PendingRequest) {
        self.pending.push(request);
        if self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.remove(0);
        }
    }

    /// A response to a request makes those before it out of date.
    pub(super) fn forget_requests_up_to(&mut self, request: RequestId) {
        self.pending.retain(|pending| pending.id > request);
    }

    /// When the client must look at it again; `None` while only a guard can change it.
    pub(super) fn due_at(&self) -> Option<Duration> {
        match self.status {
            LeaseStatus::Active { valid_until, .. } => Some(valid_until.min(self.next_request_at)),
            LeaseStatus::Releasing { .. } => None,
            LeaseStatus::Requested | LeaseStatus::Queued { .. } => Some(self.next_request_at),
        }
    }
}
