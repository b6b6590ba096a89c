//! Duplicates of a request that may run only once, and how long its key is remembered.
//!
//! A caller that received no answer sends the request again with the same idempotency key. If the
//! request ran again, its effect would happen twice. A duplicate is therefore coalesced with the
//! first request: it waits for the result of the first and is neither run nor rejected, because a
//! rejection would claim that the request had no effect. The key is remembered from the time that
//! the request is read until the retention and a margin have passed since its arrival. The cost is
//! the memory of a key.

use std::time::Duration;

use crate::action::Reason;
use crate::handlers::HandlerProfile;
use crate::metrics::BUCKET_WIDTH;

/// Time for which a key is kept beyond its retention: a duplicate that arrived within the retention
/// may be read later.
const KEY_RETENTION_MARGIN: Duration = BUCKET_WIDTH;

/// Whether an arrival waits for the result of the request that it duplicates.
pub(crate) fn must_coalesce(is_duplicate: bool, handler: &HandlerProfile) -> bool {
    is_duplicate && !handler.is_idempotent()
}

/// Why a duplicate fails at once; `None` if it is coalesced. A duplicate is never rejected.
pub(crate) fn coalescing_failure(is_terminating: bool, memory_is_exceeded: bool) -> Option<Reason> {
    if is_terminating {
        Some(Reason::Terminating)
    } else {
        memory_is_exceeded.then_some(Reason::MemoryLimit)
    }
}

/// When the key of a request that arrived at `arrived_at` is forgotten.
pub(crate) fn key_expiry(arrived_at: Duration, key_retention: Duration, now: Duration) -> Duration {
    arrived_at
        .saturating_add(key_retention)
        .saturating_add(KEY_RETENTION_MARGIN)
        .max(now)
}
