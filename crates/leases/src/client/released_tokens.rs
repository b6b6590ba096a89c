//! The tokens that a client has released and must not accept again.
//!
//! A grant may be repeated or late. Accepted after its release was sent, it would be relied on here
//! while the release frees its slot at the voters, and two owners would act at once.

use std::collections::BTreeMap;

use crate::protocol::{FencingToken, Name};

/// Leases whose released tokens are kept apart, at most.
const MAX_RELEASED_LEASES: usize = 4096;

/// The latest released token of each lease. Beyond [`MAX_RELEASED_LEASES`] one bound stands for
/// all, which is safe: tokens grow over all leases, so it only rejects more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReleasedTokens {
    by_lease: BTreeMap<Name, FencingToken>,
    /// At least the token of each lease that is no longer kept apart.
    bound: FencingToken,
}

impl ReleasedTokens {
    pub(super) fn insert(&mut self, lease: &Name, token: FencingToken) {
        if self.by_lease.len() >= MAX_RELEASED_LEASES && !self.by_lease.contains_key(lease) {
            let tokens = std::mem::take(&mut self.by_lease).into_values();
            self.bound = tokens.fold(self.bound, FencingToken::max);
        }
        let latest = self.by_lease.entry(lease.clone()).or_default();
        *latest = token.max(*latest);
    }

    /// No token of that lease up to this one may be accepted.
    pub(super) fn latest(&self, lease: &str) -> FencingToken {
        self.by_lease
            .get(lease)
            .copied()
            .unwrap_or_default()
            .max(self.bound)
    }
}
