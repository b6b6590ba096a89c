//! One lease that a client requests or holds: its status, and which grants it accepts.
//!
//! A grant is accepted only if it can't be outdated. Responses may be late or duplicated, and a
//! token whose release is still in flight to the voters must not be accepted again: the release
//! would free the slot of an owner that relies on it, and the voters would grant it to a second
//! owner.

use std::time::Duration;

use crate::protocol::{FencingToken, LeaseSpec, RequestId};

/// Maximum number of requests for one lease whose responses are still accepted. The client ignores
/// a response to an earlier request, because it no longer knows when it sent that request.
const MAX_PENDING_REQUESTS: usize = 4;

/// The status of a lease at its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseStatus {
    /// The lease is requested but not granted: no voter has granted it yet, or an earlier grant
    /// ended because it expired or the clock went backwards.
    Requested,
    /// The client is queued for a slot.
    Queued {
        /// Number of owners before it in the queue.
        ahead: u32,
    },
    /// The client holds the lease.
    Active {
        /// The fencing token of the grant.
        token: FencingToken,
        /// When guards become stale, unless the lease is renewed.
        valid_until: Duration,
        /// Whether [`Action::Acquired`](crate::Action::Acquired) was returned for the grant.
        announced: bool,
    },
    /// The lease was released or revoked. The client sends the release to the voters when no guard
    /// is outstanding.
    Releasing {
        /// The fencing token of the grant that ends.
        token: FencingToken,
    },
}

/// A request that was sent and has no response yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) id: RequestId,
    pub(super) sent_at: Duration,
}

/// A grant that a response reports, as the client evaluates it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    pub(super) token: FencingToken,
    /// When guards of this grant become stale.
    pub(super) valid_until: Duration,
    /// Whether the client has released the token before.
    pub(super) was_released: bool,
}

/// The result of [`WantedLease::accept_grant`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantOutcome {
    /// The lease is held.
    Active {
        /// The token of an earlier grant that was announced to the host and that this one replaces.
        replaced: Option<FencingToken>,
    },
    /// The grant is outdated, or the lease is being released.
    Ignored,
    /// The token was released before. The client must release it again, because the voters count it
    /// as held.
    ReleasedBefore,
}

/// The state of one lease that the host wants, or that is being released.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WantedLease {
    pub(super) spec: LeaseSpec,
    /// Maximum duration of an operation under a guard.
    pub(super) max_operation: Duration,
    /// Whether to queue if no slot is free.
    pub(super) wait: bool,
    pub(super) status: LeaseStatus,
    /// The latest requests, the oldest first; at most [`MAX_PENDING_REQUESTS`].
    pub(super) pending: Vec<PendingRequest>,
    pub(super) next_request_at: Duration,
    /// `NotLeader` responses since the last other response, with a hint or without.
    pub(super) not_leader_responses: u32,
    /// Number of outstanding guards.
    pub(super) guards: u32,
    /// Whether the host no longer wants the lease.
    pub(super) is_released: bool,
}

impl WantedLease {
    pub(super) fn new(spec: LeaseSpec, max_operation: Duration, wait: bool, now: Duration) -> Self {
        WantedLease {
            spec,
            max_operation,
            wait,
            status: LeaseStatus::Requested,
            pending: Vec::new(),
            next_request_at: now,
            not_leader_responses: 0,
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

    /// Removes a request and all earlier ones: a response to it makes them obsolete.
    pub(super) fn remove_requests_up_to(&mut self, request: RequestId) {
        self.pending.retain(|pending| pending.id > request);
    }

    /// Whether the lease has no grant: it was not granted yet, or the client has dropped an earlier
    /// grant.
    pub(super) fn has_no_grant(&self) -> bool {
        matches!(
            self.status,
            LeaseStatus::Requested | LeaseStatus::Queued { .. }
        )
    }

    /// Accepts or ignores a grant that a voter has reported.
    pub(super) fn accept_grant(&mut self, grant: Grant) -> GrantOutcome {
        let Grant {
            token, valid_until, ..
        } = grant;
        let replaced = match &mut self.status {
            LeaseStatus::Active {
                token: current,
                valid_until: until,
                ..
            } if *current == token => {
                *until = valid_until.max(*until);
                return GrantOutcome::Active { replaced: None };
            }
            LeaseStatus::Active { token: current, .. } if *current > token => {
                return GrantOutcome::Ignored;
            }
            LeaseStatus::Releasing { .. } => return GrantOutcome::Ignored,
            _ if grant.was_released => return GrantOutcome::ReleasedBefore,
            LeaseStatus::Active {
                token: earlier,
                announced,
                ..
            } => announced.then_some(*earlier),
            LeaseStatus::Requested | LeaseStatus::Queued { .. } => None,
        };
        self.status = LeaseStatus::Active {
            token,
            valid_until,
            announced: false,
        };
        GrantOutcome::Active { replaced }
    }

    /// Marks the grant as announced. Returns whether the client must notify the host that the lease
    /// is held: once per grant, and only while its guards are valid.
    pub(super) fn announce(&mut self, now: Duration, valid_until: Duration) -> bool {
        let LeaseStatus::Active { announced, .. } = &mut self.status else {
            return false;
        };
        now < valid_until && !std::mem::replace(announced, true)
    }

    /// Drops a grant that may no longer be valid; the client requests the lease again. Returns the
    /// token if the grant was announced to the host.
    pub(super) fn drop_grant(&mut self) -> Option<FencingToken> {
        self.end_grant(|_| LeaseStatus::Requested)
    }

    /// Begins to release the lease: no guard is issued or valid any more, and the client releases
    /// the slot later. Returns the token if the grant was announced to the host.
    pub(super) fn begin_release(&mut self) -> Option<FencingToken> {
        self.end_grant(|token| LeaseStatus::Releasing { token })
    }

    fn end_grant(
        &mut self,
        next: impl FnOnce(FencingToken) -> LeaseStatus,
    ) -> Option<FencingToken> {
        let LeaseStatus::Active {
            token, announced, ..
        } = self.status
        else {
            return None;
        };
        self.status = next(token);
        announced.then_some(token)
    }

    /// Whether the grant is no longer valid, so that its guards are stale.
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        matches!(self.status, LeaseStatus::Active { valid_until, .. } if now >= valid_until)
    }

    /// When the client must process the lease next; `None` while the lease only waits for its
    /// guards to be released.
    pub(super) fn due_at(&self) -> Option<Duration> {
        match self.status {
            LeaseStatus::Active { valid_until, .. } => Some(valid_until.min(self.next_request_at)),
            LeaseStatus::Releasing { .. } => None,
            LeaseStatus::Requested | LeaseStatus::Queued { .. } => Some(self.next_request_at),
        }
    }
}
