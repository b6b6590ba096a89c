//! One lease: its holders, its queue, and the order in which owners are granted a slot.
//!
//! Slots are granted in queue order, so that no owner starves. An owner keeps its token as long as
//! it renews without interruption and gets a new token after any interruption. A resource that is
//! accessed under the lease can then tell the operations of a former owner from those of the
//! current one. This module has no notion of time: a command removes an owner whose TTL has ended.
//! The command names the owner's request from which that TTL was counted, and has no effect if a
//! later request of the owner was applied in the meantime.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::protocol::{
    FencingToken, Incarnation, LeaseSpec, MAX_QUEUED_OWNERS, Name, Owner, RejectReason,
    RenewalNumber, Response,
};

/// An owner that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// The owner that holds the slot.
    pub owner: Owner,
    /// The fencing token of the grant.
    pub token: FencingToken,
    /// The number of the owner's latest request.
    pub renewal: RenewalNumber,
    /// Whether the grant was revoked: it can't be renewed.
    pub revoked: bool,
}

/// An owner that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueuedOwner {
    /// The queued owner. Incarnation zero reserves the place for the process's next run that
    /// requests the lease.
    pub owner: Owner,
    /// The number of the owner's latest request.
    pub renewal: RenewalNumber,
}

/// A lease with at least one holder or queued owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The spec of the first request.
    pub spec: LeaseSpec,
    /// The owners that hold a slot, at most as many as the capacity.
    pub holders: Vec<LeaseHolder>,
    /// The owners that wait for a slot, in the order in which they are granted one.
    pub queue: Vec<QueuedOwner>,
}

/// An owner's request for a slot, for its renewal or for a place in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotRequest<'a> {
    pub(crate) owner: &'a Owner,
    /// The number of this request.
    pub(crate) renewal: RenewalNumber,
    /// Whether to queue the owner if no slot is free.
    pub(crate) wait: bool,
}

impl Lease {
    pub(crate) fn new(spec: LeaseSpec) -> Self {
        Lease {
            spec,
            holders: Vec::new(),
            queue: Vec::new(),
        }
    }

    fn free_slots(&self) -> usize {
        (self.spec.capacity as usize).saturating_sub(self.holders.len())
    }

    /// Whether the lease has neither holders nor queued owners.
    pub(crate) fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.queue.is_empty()
    }

    /// Renews the owner's slot, grants it one, or queues it. A grant issues the token after
    /// `last_token`.
    pub(crate) fn request_slot(
        &mut self,
        request: SlotRequest<'_>,
        last_token: &mut FencingToken,
    ) -> Result<Response, RejectReason> {
        if let Some(renewed) = self.renew(request) {
            return renewed;
        }
        // A restarted process takes over the queue place of its earlier run, but not its slot.
        let queued_at = self
            .queue
            .iter()
            .position(|queued| queued.owner.name == request.owner.name);
        let ahead = queued_at.unwrap_or(self.queue.len());
        if ahead < self.free_slots() {
            if let Some(queued_at) = queued_at {
                self.queue.remove(queued_at);
            }
            let token = last_token.issue_next();
            self.holders.push(LeaseHolder {
                owner: request.owner.clone(),
                token,
                renewal: request.renewal,
                revoked: false,
            });
            return Ok(Response::Granted { token });
        }
        self.queue_owner(request, queued_at)?;
        let ahead = ahead as u32;
        Ok(Response::Queued { ahead })
    }

    /// Renews the slot that the owner holds; `None` if it holds none.
    fn renew(&mut self, request: SlotRequest<'_>) -> Option<Result<Response, RejectReason>> {
        let holder = self
            .holders
            .iter_mut()
            .find(|holder| holder.owner == *request.owner)?;
        if holder.revoked {
            return Some(Err(RejectReason::Revoked));
        }
        holder.renewal = request.renewal;
        let token = holder.token;
        Some(Ok(Response::Granted { token }))
    }

    /// Keeps the owner's place in the queue, or adds one at the end. The owner keeps an existing
    /// place even without `wait`.
    fn queue_owner(
        &mut self,
        request: SlotRequest<'_>,
        queued_at: Option<usize>,
    ) -> Result<(), RejectReason> {
        let queued = QueuedOwner {
            owner: request.owner.clone(),
            renewal: request.renewal,
        };
        match queued_at {
            Some(queued_at) => self.queue[queued_at] = queued,
            None if !request.wait => return Err(RejectReason::AtCapacity),
            None if self.queue.len() >= MAX_QUEUED_OWNERS => return Err(RejectReason::QueueFull),
            None => self.queue.push(queued),
        }
        Ok(())
    }

    /// Releases the slot that the owner holds with `token`, or its place in the queue if there is
    /// no token. Returns whether the owner had that slot or place.
    pub(crate) fn release(&mut self, owner: &Owner, token: Option<FencingToken>) -> bool {
        let before = self.holders.len() + self.queue.len();
        match token {
            Some(token) => self
                .holders
                .retain(|holder| holder.token != token || holder.owner != *owner),
            None => self.queue.retain(|queued| queued.owner != *owner),
        }
        self.holders.len() + self.queue.len() < before
    }

    /// Removes an owner if its latest request is still `renewal`. With `ignores_renewal`, an
    /// injected bug, a holder is removed even if it has renewed since.
    pub(crate) fn expire(&mut self, owner: &Owner, renewal: RenewalNumber, ignores_renewal: bool) {
        self.holders.retain(|holder| {
            let was_renewed = holder.renewal != renewal && !ignores_renewal;
            holder.owner != *owner || was_renewed
        });
        self.queue
            .retain(|queued| queued.owner != *owner || queued.renewal != renewal);
    }

    /// Rejects every further renewal of a grant.
    pub(crate) fn revoke(&mut self, token: FencingToken) -> Result<(), RejectReason> {
        let holder = self.holders.iter_mut().find(|holder| holder.token == token);
        holder.ok_or(RejectReason::StaleToken)?.revoked = true;
        Ok(())
    }

    /// Puts a process first in the queue. The place has no incarnation yet: the first run that
    /// requests the lease takes it. If the queue exceeds [`MAX_QUEUED_OWNERS`], its last owner
    /// loses its place.
    pub(crate) fn queue_first(&mut self, process: &Name, renewal: RenewalNumber) {
        self.queue.retain(|queued| queued.owner.name != *process);
        let owner = Owner {
            name: process.clone(),
            incarnation: Incarnation::default(),
        };
        self.queue.insert(0, QueuedOwner { owner, renewal });
        self.queue.truncate(MAX_QUEUED_OWNERS);
    }

    /// The queued owners that would be granted a slot if they requested it now.
    pub(crate) fn next_owners(&self) -> impl Iterator<Item = &Owner> {
        self.queue
            .iter()
            .take(self.free_slots())
            .map(|queued| &queued.owner)
    }

    /// Each holder and queued owner, with the number of its latest request and its TTL.
    pub(crate) fn running_ttls(&self) -> impl Iterator<Item = (&Owner, RenewalNumber, Duration)> {
        let holders = self
            .holders
            .iter()
            .map(|holder| (&holder.owner, holder.renewal));
        let queued = self
            .queue
            .iter()
            .map(|queued| (&queued.owner, queued.renewal));
        holders
            .chain(queued)
            .map(|(owner, renewal)| (owner, renewal, self.spec.ttl))
    }
}
