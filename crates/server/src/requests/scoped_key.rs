//! Idempotency keys as they are remembered: of a fixed size, whatever the length of the key that the
//! caller assigned.

use std::hash::{BuildHasher, RandomState};

use super::messages::IncomingRequest;

/// An idempotency key that is scoped to its handler and tenant, as a hash of 128 bits. Callers
/// choose keys, so two tenants may choose the same key, and neither may get the other's result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ScopedKey(u128);

/// Hashes idempotency keys. Its own keys are random, so that no caller can construct two
/// idempotency keys with the same hash.
#[derive(Default)]
pub(super) struct KeyHasher {
    upper: RandomState,
    lower: RandomState,
}

impl KeyHasher {
    /// The scoped key of a request, if it has an idempotency key.
    pub(super) fn scoped_key(&self, incoming: &IncomingRequest) -> Option<ScopedKey> {
        let key = incoming.idempotency_key.as_deref()?;
        let parts = (incoming.handler, incoming.tenant, key);
        let upper = u128::from(self.upper.hash_one(parts));
        let lower = u128::from(self.lower.hash_one(parts));
        Some(ScopedKey(upper << u64::BITS | lower))
    }
}

#[cfg(test)]
impl ScopedKey {
    /// A key for tests of the rules for keys.
    pub(super) fn for_test(number: u128) -> Self {
        ScopedKey(number)
    }
}
