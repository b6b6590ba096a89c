//! Whether the caller of a rejected request should try another server.
//!
//! While few arrivals are retries and most arrivals are admitted, other servers still admit the
//! requests that this server rejects. Otherwise the fleet is full, and one more attempt only costs
//! a read: in a retry storm every server reads every request and none answers it. Unmarked retries
//! cannot be counted; then only a server that is draining or failing refers requests to other
//! servers. The cost is that the only full server of a fleet refers no requests to other servers,
//! although these have capacity.
//!
//! The rule applies to arrivals that are rejected for memory, failure rate, admitted fraction or
//! predicted response time, and to queued requests that were overtaken. For all other rejections
//! the controller has a fixed answer:
//!
//! - An arrival that a draining server may no longer run is referred to another server, even if its
//!   tenant is over its quota, it has little time left or it is a retry.
//! - A request that has missed its objective, that is answered just before its deadline or the
//!   termination of the process, or whose call failed, is not referred to another server.
//!
//! Compare the retry budgets in "Handling Overload" of Google's "Site Reliability Engineering".

use std::time::Duration;

/// Fraction of arrivals that are retries, above which the fleet counts as full.
const MAX_RETRY_FRACTION: f64 = 0.1;

/// Fraction of arrivals that are rejected, above which the fleet counts as full.
const MAX_REJECTED_FRACTION: f64 = 0.5;

/// Retries or rejections that are tolerated beyond the fraction, because few requests may arrive in
/// a window.
const TOLERATED_REQUESTS: f64 = 1.0;

/// Divisor of the latency objective that gives the time which must be left for another attempt.
const MIN_TIME_LEFT_DIVISOR: u32 = 2;

/// The request that is rejected.
pub(crate) struct RejectedRequest {
    /// Its tenant is over its quota.
    pub(crate) is_over_quota: bool,
    /// It is marked as a retry or a hedged request.
    pub(crate) is_retry: bool,
    /// Its latency objective, counted from its arrival.
    pub(crate) objective: Duration,
    /// The time that is left until its latency objective.
    pub(crate) time_left: Duration,
}

/// The state of this server.
pub(crate) struct ServerState {
    /// The shutdown notice has come.
    pub(crate) is_draining: bool,
    /// Runs on this server fail often.
    pub(crate) is_failing: bool,
    /// The server is draining, failing or far slower than usual, so another would do better.
    pub(crate) is_degraded: bool,
}

/// Recent arrivals, from which the load of the fleet is estimated.
pub(crate) struct FleetSample {
    /// Retries and hedged requests are marked as such.
    pub(crate) retries_are_marked: bool,
    /// Requests that arrived recently.
    pub(crate) arrived: f64,
    /// Recent arrivals that are marked as retries.
    pub(crate) retries: f64,
    /// Recent arrivals that were rejected on arrival.
    pub(crate) rejected: f64,
}

impl FleetSample {
    fn has_capacity(&self) -> bool {
        let is_rare =
            |count: f64, fraction: f64| count <= fraction * self.arrived + TOLERATED_REQUESTS;
        is_rare(self.retries, MAX_RETRY_FRACTION) && is_rare(self.rejected, MAX_REJECTED_FRACTION)
    }
}

impl RejectedRequest {
    /// Whether its caller should try another server.
    pub(crate) fn should_retry_other_server(
        &self,
        server: &ServerState,
        fleet: &FleetSample,
    ) -> bool {
        let has_time_left = self.objective / MIN_TIME_LEFT_DIVISOR < self.time_left;
        if self.is_over_quota || self.is_retry || !has_time_left {
            return false;
        }
        let is_impaired = server.is_draining || server.is_failing;
        is_impaired || fleet.retries_are_marked && (server.is_degraded || fleet.has_capacity())
    }
}
