//! Guards: the permission to act under a lease, checked before each operation.

use std::time::Duration;

use super::{Action, LeaseClient, LeaseStatus};
use crate::injected_bug::InjectedBug;
use crate::protocol::{FencingToken, Name};

/// The permission to act under a lease, as long as [`LeaseClient::check_guard`] confirms it. Code
/// outside this crate can't construct or copy a guard. Pass it to [`LeaseClient::release_guard`]
/// when the work under it has ended: the client releases the slot only then.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a lease is not released while a guard is outstanding"]
pub struct LeaseGuard {
    lease: Name,
    token: FencingToken,
}

/// The lease is not held, or no longer held: no operation may begin under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease is not held any more")]
pub struct StaleGuard;

impl LeaseClient {
    /// Acquires a guard for a lease that is held now.
    ///
    /// # Errors
    /// [`StaleGuard`] if the lease is not held.
    pub fn acquire_guard(&mut self, now: Duration, lease: &str) -> Result<LeaseGuard, StaleGuard> {
        let token = self.valid_token(now, lease).ok_or(StaleGuard)?;
        let name = self
            .leases
            .get_key_value(lease)
            .ok_or(StaleGuard)?
            .0
            .clone();
        let wanted = self.leases.get_mut(lease).ok_or(StaleGuard)?;
        wanted.guards += 1;
        Ok(LeaseGuard { lease: name, token })
    }

    /// Returns the fencing token for one operation that begins now. A process that was paused since
    /// its last operation finds out here that its lease has ended.
    ///
    /// # Errors
    /// [`StaleGuard`] if the lease has ended or was granted anew since the guard was acquired.
    pub fn check_guard(
        &self,
        now: Duration,
        guard: &LeaseGuard,
    ) -> Result<FencingToken, StaleGuard> {
        if self.bug.is_on(InjectedBug::UncheckedGuard) {
            return Ok(guard.token);
        }
        self.valid_token(now, &guard.lease)
            .filter(|token| *token == guard.token)
            .ok_or(StaleGuard)
    }

    /// Takes back a guard after the work under it has ended.
    pub fn release_guard(&mut self, now: Duration, guard: LeaseGuard) -> Vec<Action> {
        let mut actions = Vec::new();
        self.read_clock(now, &mut actions);
        if let Some(wanted) = self.leases.get_mut(&guard.lease) {
            wanted.guards = wanted.guards.saturating_sub(1);
        }
        self.process_due_leases(&mut actions);
        actions
    }

    /// The token of a lease that is held and certainly valid now.
    fn valid_token(&self, now: Duration, lease: &str) -> Option<FencingToken> {
        let LeaseStatus::Active {
            token, valid_until, ..
        } = self.leases.get(lease)?.status
        else {
            return None;
        };
        // A clock that went backwards can't show that the TTL has not ended. The next event ends
        // the grant.
        let is_valid = now >= self.now && now < valid_until;
        (is_valid || self.bug.is_on(InjectedBug::UncheckedGuard)).then_some(token)
    }
}
