//! Duplicates of a request that may run only once, and how long its key is remembered.
//!
//! A caller that lost its answer sends the request again under the same idempotency key. If it ran
//! again, its effect would happen twice. A duplicate is therefore coalesced with the first: it
//! waits for that result and is neither run nor rejected, because a rejection would say that
//! nothing happened. The key is remembered from the time that the request is read until its
//! retention has passed since its arrival, and a little longer. The price is the memory of a key.

use std::time::Duration;

use crate::handlers::HandlerProfile;
use crate::metrics::BUCKET_WIDTH;

/// Time by which a key is kept longer than a duplicate may come: a duplicate that arrived in time
/// may be read later.
const KEY_RETENTION_MARGIN: Duration = BUCKET_WIDTH;

/// Whether an arrival waits for the result of the request that it duplicates.
pub(crate) fn must_coalesce(is_duplicate: bool, handler: &HandlerProfile) -> bool {
    is_duplicate && !handler.is_idempotent()
}

/// When the key of a request that arrived then is forgotten.
pub(crate) fn key_expiry(arrived_at: Duration, key_retention: Duration, now: Duration) -> Duration {
    arrived_at
        .saturating_add(key_retention)
        .saturating_add(KEY_RETENTION_MARGIN)
        .max(now)
}
