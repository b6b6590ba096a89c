//! The tokens that a client has released and must not accept again.
//!
//! A grant may be duplicated or late. If the client accepted a grant after it had sent the release,
//! the client would rely on the slot while the release frees it at the voters, and two owners would
//! act at the same time.

use std::collections::BTreeMap;

use crate::protocol::{FencingToken, Name};

/// Maximum number of leases whose released tokens are stored individually.
const MAX_RELEASED_LEASES: usize = 4096;

/// The latest released token of each lease. Beyond [`MAX_RELEASED_LEASES`], the maximum of the
/// stored tokens replaces them and applies to all leases. This is safe: tokens increase across all
/// leases, so the maximum only rejects more grants.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReleasedTokens {
    by_lease: BTreeMap<Name, FencingToken>,
    /// The maximum of the tokens that are no longer stored individually.
    max_evicted: FencingToken,
}

impl ReleasedTokens {
    pub(super) fn insert(&mut self, lease: &Name, token: FencingToken) {
        if self.by_lease.len() >= MAX_RELEASED_LEASES && !self.by_lease.contains_key(lease) {
            let tokens = std::mem::take(&mut self.by_lease).into_values();
            self.max_evicted = tokens.fold(self.max_evicted, FencingToken::max);
        }
        let latest = self.by_lease.entry(lease.clone()).or_default();
        *latest = token.max(*latest);
    }

    /// The latest token of a lease that must be rejected, like all tokens before it.
    pub(super) fn latest(&self, lease: &str) -> FencingToken {
        self.by_lease
            .get(lease)
            .copied()
            .unwrap_or_default()
            .max(self.max_evicted)
    }
}
