//! One lease that a client requests or holds: its status, and which grants it accepts.
//!
//! A grant is accepted only where it can't be an old one. Responses may be late or repeated, and a
//! token whose release is still on its way to the voters must not be accepted again: the release
//! would free the slot of an owner that relies on it, and a second owner would be granted it.

use std::time::Duration;

use crate::protocol::{FencingToken, LeaseSpec, RequestId};

/// Requests of one lease whose responses are still accepted, at most. A response to an earlier one
/// is ignored, as when it was sent is no longer known.
const MAX_PENDING_REQUESTS: usize = 4;

/// How a lease stands with its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeaseStatus {
    /// The lease is requested and not granted: no voter has answered yet, or an earlier grant
    /// expired or was given up since the clock went backwards.
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

/// A grant as a response reports it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Grant {
    pub(super) token: FencingToken,
    /// When guards become stale by it.
    pub(super) valid_until: Duration,
    /// Whether the token was released before.
    pub(super) was_released: bool,
}

/// What follows from a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantOutcome {
    /// The lease is held.
    Active {
        /// An earlier grant of which the host knows and which ended unnoticed.
        replaced: Option<FencingToken>,
    },
    /// It is an old one, or the lease is being released.
    Ignored,
    /// Its token was released: it must be released again, as the voters think that it is held.
    ReleasedBefore,
}

/// The state of one lease that the host wants, or that is being released.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WantedLease {
    pub(super) spec: LeaseSpec,
    /// How long a step under a guard takes at most.
    pub(super) max_step: Duration,
    /// Whether to queue where no slot is free.
    pub(super) wait: bool,
    pub(super) status: LeaseStatus,
    /// The latest requests, the oldest first; at most [`MAX_PENDING_REQUESTS`].
    pub(super) pending: Vec<PendingRequest>,
    pub(super) next_request_at: Duration,
    /// `NotLeader` responses since the last other response, with a hint or without.
    pub(super) not_leader_responses: u32,
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

    /// A response to a request makes those before it out of date.
    pub(super) fn forget_requests_up_to(&mut self, request: RequestId) {
        self.pending.retain(|pending| pending.id > request);
    }

    /// Whether no grant holds: none was made yet, or an earlier one was forgotten.
    pub(super) fn is_undecided(&self) -> bool {
        matches!(
            self.status,
            LeaseStatus::Requested | LeaseStatus::Queued { .. }
        )
    }

    /// Takes a grant into account.
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

    /// Whether the host is to be told that the lease is held: once for a grant, and only while
    /// guards would be valid by it.
    pub(super) fn announce(&mut self, now: Duration, valid_until: Duration) -> bool {
        let LeaseStatus::Active { announced, .. } = &mut self.status else {
            return false;
        };
        now < valid_until && !std::mem::replace(announced, true)
    }

    /// The grant can't be relied on any more; the voters are asked again. Returns its token where
    /// the host knows of it.
    pub(super) fn forget_grant(&mut self) -> Option<FencingToken> {
        self.end_grant(|_| LeaseStatus::Requested)
    }

    /// No guard is issued or valid any more; the slot is released later. Returns the token where
    /// the host knows of it.
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

    /// Whether the TTL of the grant is over.
    pub(super) fn has_expired(&self, now: Duration) -> bool {
        matches!(self.status, LeaseStatus::Active { valid_until, .. } if now >= valid_until)
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
