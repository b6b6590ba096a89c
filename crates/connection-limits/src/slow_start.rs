//! Slow start: a server that is warming up accepts a fraction of its connections.
//!
//! Clients that lose a server connect to its replacement all at once. A cold server that accepted
//! them all would be overloaded before it is warm, fail requests, and be replaced again. So the
//! capacity rises linearly from a fraction at the start to all of it at the end of the warm-up.
//! Within it each address has an equal share, so that those that connect first do not take all. The
//! price is that clients connect elsewhere, or wait, while the server is cold.

use std::time::Duration;

/// The fraction of the present capacity below which an address is not held to its equal share.
const FAIR_SHARE_FRACTION: f64 = 0.5;

/// The parameters of the slow start.
pub(crate) struct SlowStart {
    /// The fraction of the capacity that is accepted at the start, from 0 to 1.
    pub(crate) cold_start_fraction: f64,
    /// How long the server warms up; zero for a warm one.
    pub(crate) warm_up: Duration,
}

/// The connections that a new one is weighed against.
pub(crate) struct OpenConnections {
    /// The most connections that a warm server has.
    pub(crate) capacity: usize,
    /// All open connections.
    pub(crate) total: usize,
    /// The open connections of the client's address.
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

    /// The fraction of the capacity that is accepted during the warm-up.
    fn accepted_fraction(&self, now: Duration) -> f64 {
        let progress = now.as_secs_f64() / self.warm_up.as_secs_f64();
        self.cold_start_fraction + (1.0 - self.cold_start_fraction) * progress
    }
}
