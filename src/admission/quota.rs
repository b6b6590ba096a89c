//! Whether a request is beyond its tenant's quota, and so ranks below everything within one.
//!
//! One tenant that sends far more than agreed would otherwise fill the queue, and the others'
//! requests would be late. Each tenant has a token bucket, filled by its fraction of every admitted
//! request and emptied by its own. It counts fractions of what is admitted here and not a rate,
//! because one server may see far more of a tenant than the others do.
//!
//! Token buckets walk at random, so an empty one proves nothing: while arrivals stay within what
//! all tenants may send to one server, nobody is over quota, because a low rank would reject what
//! there is capacity for. Beyond that, as large a part of the requests counts as over quota as
//! there is excess. The price: one tenant that floods a fleet which the others leave idle is cut
//! too.

use std::time::Duration;

use crate::config::Config;
use crate::event::TenantIndex;

/// Requests by which a tenant may exceed its quota of what is admitted, or fall short of it.
const BURST_TOKENS: f64 = 5.0;

/// Tokens that a tenant starts with.
const INITIAL_TOKENS: f64 = 1.0;

/// Tokens below which a tenant is over its quota where the number of servers is unknown.
const THRESHOLD_TOKENS_OF_UNKNOWN_FLEET: f64 = 1.0;

/// Range of a bucket's level, in bursts: from one burst short of the quota to one beyond it.
const BUCKET_RANGE_BURSTS: f64 = 2.0;

/// Window over which arrivals are compared with the quotas of all tenants.
pub(crate) const QUOTA_WINDOW: Duration = Duration::from_secs(5);

/// Shortest time that a rate is taken over, on a server that has just started.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(1);

/// A tenant's quota on this server.
struct TokenBucket {
    /// The tenant's fraction of all quotas.
    fraction: f64,
    /// Within [`BURST_TOKENS`] of 0.
    tokens: f64,
}

/// What arrived in [`QUOTA_WINDOW`].
pub(crate) struct RecentArrivals {
    /// All requests.
    pub(crate) requests: f64,
    /// Those that are marked as retries.
    pub(crate) retries: f64,
    /// The time since the start of the process.
    pub(crate) age: Duration,
}

impl RecentArrivals {
    /// The sums cover up to one bucket of the metrics more than the window that divides them, so
    /// the rate may be up to a twentieth too high on a server older than the window.
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
    /// Quotas of which nothing is spent.
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

    /// The tokens below which a tenant is over its quota: those of the emptiest bucket while
    /// arrivals stay within the quotas, and more the further they exceed them.
    ///
    /// Bucket levels are taken to be spread evenly from `-BURST_TOKENS` to `BURST_TOKENS`. The part
    /// of them below a threshold `t` is then `(t + BURST_TOKENS) / (2 * BURST_TOKENS)`. It is to be
    /// the excess as a part of the arrivals, `1 - quota / rate`, which gives the threshold.
    fn threshold_tokens(&self, arrivals: &RecentArrivals) -> f64 {
        let Some(quota) = self.server_quota_per_second else {
            return THRESHOLD_TOKENS_OF_UNKNOWN_FLEET;
        };
        let rate = arrivals.first_attempts_per_second();
        BURST_TOKENS * (1.0 - BUCKET_RANGE_BURSTS * quota / rate.max(quota))
    }

    /// A request of this tenant was admitted.
    pub(crate) fn charge(&mut self, tenant: Option<TenantIndex>) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            let spent = f64::from(u8::from(tenant == Some(index)));
            bucket.tokens =
                (bucket.tokens + bucket.fraction - spent).clamp(-BURST_TOKENS, BURST_TOKENS);
        }
    }
}
