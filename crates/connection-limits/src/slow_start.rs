//! Slow start: a server that is warming up accepts a fraction of its capacity.
//!
//! Clients that lose a server connect to its replacement all at once. A cold server that accepted
//! them all would be overloaded before it is warm, fail requests, and be replaced again. So the
//! capacity rises linearly from a fraction at the start to its full value at the end of the
//! warm-up. Each address has an equal share of it, so that the first clients to connect do not take
//! all of it. The trade-off is that clients connect to another server, or wait, while the server is
//! cold.

use std::time::Duration;

/// The fraction of the current capacity below which the equal share of an address is not enforced.
const FAIR_SHARE_FRACTION: f64 = 0.5;

/// The parameters of the slow start.
pub(crate) struct SlowStart {
    /// The fraction of the capacity that is accepted at the start, from 0 to 1.
    pub(crate) cold_start_fraction: f64,
    /// The length of the warm-up; zero for a server that starts warm.
    pub(crate) warm_up: Duration,
}

/// The open connections at the time of a decision on a new one.
pub(crate) struct OpenConnections {
    /// The maximum number of open connections of a warm server.
    pub(crate) capacity: usize,
    /// The number of open connections.
    pub(crate) total: usize,
    /// The number of open connections of the client's address.
    pub(crate) of_address: u32,
    /// The estimated number of addresses with an open connection.
    pub(crate) addresses: f64,
}

impl SlowStart {
    /// Whether one more connection of the address may be accepted at `now`, the time since the
    /// start of the server.
    pub(crate) fn may_accept(&self, now: Duration, open: &OpenConnections) -> bool {
        if now >= self.warm_up {
            return true;
        }
        let capacity = (open.capacity as f64 * self.accepted_fraction(now)).max(1.0);
        let fair_share = (capacity / open.addresses.max(1.0)).max(1.0);
        let total = open.total as f64;
        let has_fair_share = f64::from(open.of_address) >= fair_share;
        let exceeds_fair_share = has_fair_share && total >= capacity * FAIR_SHARE_FRACTION;
        total < capacity && !exceeds_fair_share
    }

    /// The fraction of the capacity that is accepted at this time of the warm-up.
    fn accepted_fraction(&self, now: Duration) -> f64 {
        let progress = now.as_secs_f64() / self.warm_up.as_secs_f64();
        self.cold_start_fraction + (1.0 - self.cold_start_fraction) * progress
    }
}
