//! Guards: the permission to act under a lease, checked before each step.

use std::time::Duration;

use super::{Action, LeaseClient, LeaseStatus};
use crate::injected_bug::InjectedBug;
use crate::protocol::{FencingToken, Name};

/// The permission to act under a lease, for as long as [`LeaseClient::check_guard`] confirms it. It
/// can't be made or copied outside this crate. Give it to [`LeaseClient::release_guard`] when
/// nothing is done under it any more: the slot is released only then.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a lease is not released while a guard is out"]
pub struct LeaseGuard {
    lease: Name,
    token: FencingToken,
}

/// The lease is not held, or no longer: no step may begin under it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease is not held any more")]
pub struct StaleGuard;

impl LeaseClient {
    /// A guard for a lease that is held now.
    ///
    /// # Errors
    /// [`StaleGuard`] where it is not held.
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

    /// The token to act with in one step that begins now. A process that was paused since its last
    /// step learns here that its lease has ended.
    ///
    /// # Errors
    /// [`StaleGuard`] where the lease has ended or was granted anew since the guard was acquired.
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

    /// Nothing is done under the guard any more.
    pub fn release_guard(&mut self, now: Duration, guard: LeaseGuard) -> Vec<Action> {
        let mut actions = Vec::new();
        self.read_clock(now, &mut actions);
        if let Some(wanted) = self.leases.get_mut(&guard.lease) {
            wanted.guards = wanted.guards.saturating_sub(1);
        }
        self.run_due(&mut actions);
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
        // A clock that went backwards proves nothing; the next event ends what was counted by it.
        let is_valid = now >= self.now && now < valid_until;
        (is_valid || self.bug.is_on(InjectedBug::UncheckedGuard)).then_some(token)
    }
}
