//! The replicated state: each lease, who holds it and who waits. A command changes it in the same
//! way on every voter, so it reads no clock and draws nothing at random.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::{
    Command, FencingToken, Incarnation, LeaseSpec, MAX_LEASES, MAX_QUEUED_OWNERS, Name, Owner,
    RejectReason, RenewalNumber, Response, is_valid_name,
};

/// An owner that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseHolder {
    /// Who holds it.
    pub owner: Owner,
    /// The fencing token of the grant.
    pub token: FencingToken,
    /// The number of the latest request.
    pub renewal: RenewalNumber,
    /// Whether the grant was revoked: it gets no further renewal.
    pub revoked: bool,
}

/// An owner that waits for a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct QueuedOwner {
    /// Who waits. Incarnation zero stands for whichever run requests first.
    pub owner: Owner,
    /// The number of the latest request.
    pub renewal: RenewalNumber,
}

/// A lease that is held or waited for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The spec of the first request.
    pub spec: LeaseSpec,
    /// The owners that hold a slot, at most as many as the capacity.
    pub holders: Vec<LeaseHolder>,
    /// The owners that wait; the first is served first.
    pub queue: Vec<QueuedOwner>,
}

impl Lease {
    fn free_slots(&self) -> usize {
        (self.spec.capacity as usize).saturating_sub(self.holders.len())
    }

    fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.queue.is_empty()
    }
}

/// All leases. Each voter owns a copy and changes it by [`apply`](LeaseStateMachine::apply) alone.
///
/// Invariants: a lease has at most as many holders as its capacity; tokens only grow; a lease that
/// nobody holds or waits for is removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseStateMachine {
    leases: BTreeMap<Name, Lease>,
    last_token: FencingToken,
    last_renewal: RenewalNumber,
    #[serde(skip)]
    bug: BugSwitch,
}

impl LeaseStateMachine {
    /// An empty state that behaves as though it had that bug.
    #[cfg(feature = "injected-bugs")]
    pub fn with_injected_bug(bug: Option<InjectedBug>) -> Self {
        LeaseStateMachine {
            bug: BugSwitch::new(bug),
            ..LeaseStateMachine::default()
        }
    }

    /// All leases by name.
    pub fn leases(&self) -> impl Iterator<Item = (&Name, &Lease)> {
        self.leases.iter()
    }

    /// The lease of that name, where somebody holds it or waits.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// The token of the latest grant.
    pub fn last_token(&self) -> FencingToken {
        self.last_token
    }

    /// A new leader begins. Nothing changes, but for [`InjectedBug::VolatileTokens`].
    pub fn leader_changed(&mut self) {
        if self.bug.is_on(InjectedBug::VolatileTokens) {
            self.last_token = FencingToken::default();
        }
    }

    /// Applies a command. It never fails: a command that can't be applied is rejected in the same
    /// way everywhere.
    pub fn apply(&mut self, command: &Command) -> Response {
        let result = match command {
            Command::Acquire {
                lease,
                owner,
                ttl,
                capacity,
                wait,
            } => self.acquire(
                lease,
                owner,
                LeaseSpec {
                    ttl: *ttl,
                    capacity: *capacity,
                },
                *wait,
            ),
            Command::Release {
                lease,
                owner,
                token,
            } => self.release(lease, owner, *token),
            Command::Expire {
                lease,
                owner,
                renewal,
            } => self.expire(lease, owner, *renewal),
            Command::Revoke { lease, token } => self.revoke(lease, *token),
            Command::Transfer { lease, token, to } => self.transfer(lease, *token, to),
        };
        if self
            .leases
            .get(command.lease())
            .is_some_and(Lease::is_unused)
        {
            self.leases.remove(command.lease());
        }
        result.unwrap_or_else(Response::Rejected)
    }

    fn acquire(
        &mut self,
        name: &Name,
        owner: &Owner,
        spec: LeaseSpec,
        wait: bool,
    ) -> Result<Response, RejectReason> {
        if !is_valid_name(name) || !is_valid_name(&owner.name) || !spec.is_valid() {
            return Err(RejectReason::Invalid);
        }
        if !self.leases.contains_key(name) && self.leases.len() >= MAX_LEASES {
            return Err(RejectReason::TooManyLeases);
        }
        let renewal = self.next_renewal();
        let unused = Lease {
            spec,
            holders: Vec::new(),
            queue: Vec::new(),
        };
        let lease = self.leases.entry(name.clone()).or_insert(unused);
        if lease.spec != spec {
            let LeaseSpec { ttl, capacity } = lease.spec;
            return Err(RejectReason::SpecMismatch { ttl, capacity });
        }
        if let Some(holder) = lease
            .holders
            .iter_mut()
            .find(|holder| holder.owner == *owner)
        {
            if holder.revoked {
                return Err(RejectReason::Revoked);
            }
            holder.renewal = renewal;
            return Ok(Response::Granted {
                token: holder.token,
            });
        }
        // A restarted process takes its earlier run's place in the queue, yet not its slot.
        let queued_at = lease
            .queue
            .iter()
            .position(|queued| queued.owner.name == owner.name);
        let ahead = queued_at.unwrap_or(lease.queue.len());
        if ahead < lease.free_slots() {
            if let Some(queued_at) = queued_at {
                lease.queue.remove(queued_at);
            }
            self.last_token.0 += 1;
            let token = self.last_token;
            lease.holders.push(LeaseHolder {
                owner: owner.clone(),
                token,
                renewal,
                revoked: false,
            });
            return Ok(Response::Granted { token });
        }
        let queued = QueuedOwner {
            owner: owner.clone(),
            renewal,
        };
        match queued_at {
            Some(queued_at) => lease.queue[queued_at] = queued,
            None if !wait => return Err(RejectReason::AtCapacity),
            None if lease.queue.len() >= MAX_QUEUED_OWNERS => return Err(RejectReason::QueueFull),
            None => lease.queue.push(queued),
        }
        Ok(Response::Queued {
            ahead: ahead as u32,
        })
    }

    fn release(
        &mut self,
        name: &Name,
        owner: &Owner,
        token: Option<FencingToken>,
    ) -> Result<Response, RejectReason> {
        let lease = self.leases.get_mut(name).ok_or(RejectReason::StaleToken)?;
        let before = lease.holders.len() + lease.queue.len();
        match token {
            Some(token) => lease
                .holders
                .retain(|holder| holder.token != token || holder.owner != *owner),
            None => lease.queue.retain(|queued| queued.owner != *owner),
        }
        if lease.holders.len() + lease.queue.len() < before {
            return Ok(Response::Done);
        }
        if self.bug.is_on(InjectedBug::DoubleRelease)
            && token.is_some()
            && !lease.holders.is_empty()
        {
            lease.holders.remove(0);
            return Ok(Response::Done);
        }
        Err(RejectReason::StaleToken)
    }

    fn expire(
        &mut self,
        name: &Name,
        owner: &Owner,
        renewal: RenewalNumber,
    ) -> Result<Response, RejectReason> {
        let ignores_renewal = self.bug.is_on(InjectedBug::IgnoredRenewal);
        let lease = self.leases.get_mut(name).ok_or(RejectReason::StaleToken)?;
        lease.holders.retain(|holder| {
            let was_renewed = holder.renewal != renewal && !ignores_renewal;
            holder.owner != *owner || was_renewed
        });
        lease
            .queue
            .retain(|queued| queued.owner != *owner || queued.renewal != renewal);
        Ok(Response::Done)
    }

    fn revoke(&mut self, name: &Name, token: FencingToken) -> Result<Response, RejectReason> {
        let lease = self.leases.get_mut(name).ok_or(RejectReason::StaleToken)?;
        let holder = lease
            .holders
            .iter_mut()
            .find(|holder| holder.token == token);
        holder.ok_or(RejectReason::StaleToken)?.revoked = true;
        Ok(Response::Done)
    }

    fn transfer(
        &mut self,
        name: &Name,
        token: FencingToken,
        to: &Name,
    ) -> Result<Response, RejectReason> {
        if !is_valid_name(to) {
            return Err(RejectReason::Invalid);
        }
        self.revoke(name, token)?;
        let renewal = self.next_renewal();
        let lease = self.leases.get_mut(name).ok_or(RejectReason::StaleToken)?;
        lease.queue.retain(|queued| queued.owner.name != *to);
        // No incarnation yet: whichever run requests the lease takes this place.
        let owner = Owner {
            name: to.clone(),
            incarnation: Incarnation::default(),
        };
        lease.queue.insert(0, QueuedOwner { owner, renewal });
        lease.queue.truncate(MAX_QUEUED_OWNERS);
        Ok(Response::Done)
    }

    fn next_renewal(&mut self) -> RenewalNumber {
        self.last_renewal.0 += 1;
        self.last_renewal
    }

    /// The queued owners that would be granted a slot if they requested it now.
    pub fn next_owners(&self, name: &str) -> impl Iterator<Item = &Owner> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(|lease| {
            lease
                .queue
                .iter()
                .take(lease.free_slots())
                .map(|queued| &queued.owner)
        })
    }

    /// Everybody whose TTL runs, holder or queued: the owner, its latest renewal, and the TTL.
    pub(crate) fn running_ttls(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&Owner, RenewalNumber, Duration)> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(|lease| {
            let holders = lease
                .holders
                .iter()
                .map(|holder| (&holder.owner, holder.renewal));
            let queued = lease
                .queue
                .iter()
                .map(|queued| (&queued.owner, queued.renewal));
            holders
                .chain(queued)
                .map(|(owner, renewal)| (owner, renewal, lease.spec.ttl))
        })
    }
}
