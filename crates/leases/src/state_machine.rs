//! The replicated state: all leases, and the latest token and renewal number. A command must have
//! the same effect on every voter, so the state machine reads no clock and uses no randomness.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::lease::{Lease, SlotRequest};
use crate::protocol::{
    Command, FencingToken, LeaseSpec, MAX_LEASES, Name, Owner, RejectReason, RenewalNumber,
    Response, is_valid_name,
};

/// All leases. Each voter has its own copy and changes it only by
/// [`apply`](LeaseStateMachine::apply).
///
/// Invariants: a lease has at most as many holders as its capacity; tokens only increase; a lease
/// without holders and queued owners is removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseStateMachine {
    leases: BTreeMap<Name, Lease>,
    last_token: FencingToken,
    last_renewal: RenewalNumber,
    #[serde(skip)]
    bug: BugSwitch,
}

impl LeaseStateMachine {
    /// Creates an empty state machine with an injected bug.
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

    /// The lease of that name, if it has a holder or a queued owner.
    pub fn lease(&self, name: &str) -> Option<&Lease> {
        self.leases.get(name)
    }

    /// The token of the latest grant.
    pub fn last_token(&self) -> FencingToken {
        self.last_token
    }

    /// Handles a change of leader. It changes the state only with
    /// [`InjectedBug::VolatileTokens`].
    pub fn handle_leader_change(&mut self) {
        if self.bug.is_on(InjectedBug::VolatileTokens) {
            self.last_token = FencingToken::default();
        }
    }

    /// Applies a command. This never fails: a command that can't be applied is rejected, in the
    /// same way on every voter.
    pub fn apply(&mut self, command: &Command) -> Response {
        let result = self.try_apply(command);
        self.remove_if_unused(command.lease());
        result.unwrap_or_else(Response::Rejected)
    }

    fn try_apply(&mut self, command: &Command) -> Result<Response, RejectReason> {
        match command {
            Command::Acquire {
                lease,
                owner,
                ttl,
                capacity,
                wait,
            } => {
                let spec = LeaseSpec {
                    ttl: *ttl,
                    capacity: *capacity,
                };
                self.acquire(lease, owner, spec, *wait)
            }
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
        }
    }

    fn remove_if_unused(&mut self, name: &Name) {
        if self.leases.get(name).is_some_and(Lease::is_unused) {
            self.leases.remove(name);
        }
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
        let lease = self
            .leases
            .entry(name.clone())
            .or_insert_with(|| Lease::new(spec));
        if lease.spec != spec {
            let LeaseSpec { ttl, capacity } = lease.spec;
            return Err(RejectReason::SpecMismatch { ttl, capacity });
        }
        let request = SlotRequest {
            owner,
            renewal,
            wait,
        };
        lease.request_slot(request, &mut self.last_token)
    }

    fn release(
        &mut self,
        name: &Name,
        owner: &Owner,
        token: Option<FencingToken>,
    ) -> Result<Response, RejectReason> {
        let has_double_release = self.bug.is_on(InjectedBug::DoubleRelease);
        let lease = self.lease_mut(name)?;
        if lease.release(owner, token) {
            return Ok(Response::Done);
        }
        if has_double_release && token.is_some() && !lease.holders.is_empty() {
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
        let lease = self.lease_mut(name)?;
        lease.expire(owner, renewal, ignores_renewal);
        Ok(Response::Done)
    }

    fn revoke(&mut self, name: &Name, token: FencingToken) -> Result<Response, RejectReason> {
        self.lease_mut(name)?.revoke(token)?;
        Ok(Response::Done)
    }

    /// Revokes a grant and puts a process first in the queue. The next renewal of the holder is
    /// rejected; the holder then ends its work and releases the slot.
    fn transfer(
        &mut self,
        name: &Name,
        token: FencingToken,
        to: &Name,
    ) -> Result<Response, RejectReason> {
        if !is_valid_name(to) {
            return Err(RejectReason::Invalid);
        }
        self.lease_mut(name)?.revoke(token)?;
        let renewal = self.next_renewal();
        self.lease_mut(name)?.queue_first(to, renewal);
        Ok(Response::Done)
    }

    fn lease_mut(&mut self, name: &Name) -> Result<&mut Lease, RejectReason> {
        self.leases.get_mut(name).ok_or(RejectReason::StaleToken)
    }

    fn next_renewal(&mut self) -> RenewalNumber {
        self.last_renewal.0 += 1;
        self.last_renewal
    }

    /// The queued owners that would be granted a slot if they requested it now.
    pub fn next_owners(&self, name: &str) -> impl Iterator<Item = &Owner> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(Lease::next_owners)
    }

    /// Each holder and queued owner of a lease, with the number of its latest request and its TTL.
    pub(crate) fn running_ttls(
        &self,
        name: &str,
    ) -> impl Iterator<Item = (&Owner, RenewalNumber, Duration)> {
        let lease = self.leases.get(name);
        lease.into_iter().flat_map(Lease::running_ttls)
    }
}
