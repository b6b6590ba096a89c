//! Whether a request is beyond its tenant's quota, which lowers its priority.
//!
//! A tenant that sends far more requests than agreed would otherwise fill the queue, and the
//! requests of other tenants would be late. Each tenant has a token bucket, which every admitted
//! request fills by the tenant's fraction of all quotas. Each admitted request of the tenant itself
//! takes one token out. The bucket counts fractions of the admitted requests and not a rate,
//! because one server may receive far more of a tenant's traffic than other servers do.
//!
//! The level of a token bucket follows a random walk, so an empty bucket alone proves nothing.
//! While arrivals stay within the quotas of all tenants for one server, no tenant is over quota,
//! because a low priority would reject requests for which there is capacity. Beyond that, the part
//! of the requests that counts as over quota equals the excess part of the arrivals. The cost is
//! that a tenant which floods a fleet that the other tenants leave idle is also cut.

use std::time::Duration;

use crate::config::Config;
use crate::event::TenantIndex;

/// Requests by which a tenant may exceed its fraction of the admitted requests, or fall short of
/// it.
const BURST_TOKENS: f64 = 5.0;

/// Tokens that a tenant starts with.
const INITIAL_TOKENS: f64 = 1.0;

/// Tokens below which a tenant is over its quota where the number of servers is unknown.
const THRESHOLD_TOKENS_OF_UNKNOWN_FLEET: f64 = 1.0;

/// Range of a bucket's level, in bursts: from one burst short of the quota to one beyond it.
const BUCKET_RANGE_BURSTS: f64 = 2.0;

/// Window over which arrivals are compared with the quotas of all tenants.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Shortest window over which a rate is computed, on a server that has just started.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(1);

/// The token bucket of a tenant on this server.
struct TokenBucket {
    /// The tenant's fraction of all quotas.
    fraction: f64,
    /// Within [`BURST_TOKENS`] of 0.
    tokens: f64,
}

/// The arrivals in [`QUOTA_WINDOW`].
pub(crate) struct RecentArrivals {
    /// All requests.
    pub(crate) requests: f64,
    /// Requests that are marked as retries.
    pub(crate) retries: f64,
    /// The time since the start of the process.
    pub(crate) age: Duration,
}

impl RecentArrivals {
    /// The rate of arrivals that are not retries. The sums cover up to one bucket of the metrics
    /// more than the window by which they are divided, so the rate may be up to a twentieth too
    /// high on a server that is older than the window.
    fn first_attempts_per_second(&self) -> f64 {
        let window = QUOTA_WINDOW.min(self.age).max(MIN_RATE_WINDOW);
        (self.requests - self.retries) / window.as_secs_f64()
    }
}

/// The quotas of all tenants.
pub(crate) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
    /// Requests per second that all tenants together may send to one server, where that is known.
    server_quota_per_second: Option<f64>,
}

impl TenantQuotas {
    /// Quotas before any request was admitted.
    pub(crate) fn new(config: &Config) -> Self {
        let rates: f64 = config
            .tenants
            .iter()
            .map(|tenant| tenant.rate_quota_per_s)
            .sum();
        let bucket = |rate: f64| TokenBucket {
            fraction: rate / rates.max(f64::MIN_POSITIVE),
            tokens: INITIAL_TOKENS,
        };
        let quota_is_known = config.servers > 0 && rates > 0.0;
        TenantQuotas {
            buckets: config
                .tenants
                .iter()
                .map(|tenant| bucket(tenant.rate_quota_per_s))
                .collect(),
            server_quota_per_second: quota_is_known.then(|| rates / f64::from(config.servers)),
        }
    }

    /// Whether the next request of this tenant is beyond its quota.
    pub(crate) fn is_over_quota(
        &self,
        tenant: Option<TenantIndex>,
        arrivals: &RecentArrivals,
    ) -> bool {
        tenant
            .and_then(|tenant| self.buckets.get(tenant))
            .is_some_and(|bucket| bucket.tokens < self.threshold_tokens(arrivals))
    }

    /// The number of tokens below which a tenant is over its quota. While arrivals stay within the
    /// quotas, this is the lowest level of a bucket, so no tenant is below it. It rises the further
    /// arrivals exceed the quotas.
    ///
    /// Bucket levels are assumed to be spread evenly from `-BURST_TOKENS` to `BURST_TOKENS`. The
    /// part of them below a threshold `t` is then `(t + BURST_TOKENS) / (2 * BURST_TOKENS)`. This
    /// part must equal the excess as a part of the arrivals, `1 - quota / rate`, which gives the
    /// threshold.
    fn threshold_tokens(&self, arrivals: &RecentArrivals) -> f64 {
        let Some(quota) = self.server_quota_per_second else {
            return THRESHOLD_TOKENS_OF_UNKNOWN_FLEET;
        };
        let rate = arrivals.first_attempts_per_second();
        BURST_TOKENS * (1.0 - BUCKET_RANGE_BURSTS * quota / rate.max(quota))
    }

    /// Records that a request of this tenant was admitted.
    pub(crate) fn charge(&mut self, tenant: Option<TenantIndex>) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let spent = f64::from(u8::from(tenant == Some(index)));
            bucket.tokens =
                (bucket.tokens + bucket.fraction - spent).clamp(-BURST_TOKENS, BURST_TOKENS);
        }
    }
}
