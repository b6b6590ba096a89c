//! The times at which a client requests, renews and retries, as fractions of the TTL, with jitter.
//!
//! A client renews a lease after a third of its usable TTL and retries after each sixth of the TTL,
//! so three requests (fewer if `max_operation` is long) may fail before an owner that is alive
//! loses its lease. The usable TTL is shorter than the TTL by the maximum clock drift, so that a
//! lease ends at its client before it ends at the voters. Jitter spreads the requests of clients
//! that were disconnected at the same time. The cost: a lease that is held needs three consensus
//! commands per TTL.

use std::time::Duration;

use super::Config;
use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::PERMILLE;

/// Renewals per usable TTL if each gets a response.
const RENEWALS_PER_TTL: u32 = 3;
/// Requests per TTL if none gets a response.
const RETRIES_PER_TTL: u32 = 6;
/// Maximum wait for a response before the client asks the next voter, whatever the TTL.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Requests per TTL by which a queued client keeps its place.
const QUEUE_POLLS_PER_TTL: u32 = 4;

/// Computes the request times of a client. It owns the random state of the jitter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct RenewalSchedule {
    config: Config,
    seed: u64,
    bug: BugSwitch,
}

impl RenewalSchedule {
    pub(super) fn new(config: Config, seed: u64) -> Self {
        RenewalSchedule {
            config,
            seed,
            bug: BugSwitch::default(),
        }
    }

    #[cfg(feature = "injected-bugs")]
    pub(super) fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.bug = BugSwitch::new(bug);
    }

    /// The part of a TTL that a client may use: even if this clock is slow by the maximum drift,
    /// the full TTL has not passed in true time before this part has passed on this clock.
    pub(super) fn usable_ttl(&self, ttl: Duration) -> Duration {
        if self.bug.is_on(InjectedBug::NoClockMargin) {
            return ttl;
        }
        ttl * (PERMILLE - self.config.max_clock_drift_permille) / PERMILLE
    }

    /// Whether an operation may take up to `max_operation`: the renewal must be due before the
    /// guard becomes stale.
    pub(super) fn allows_operation(&self, ttl: Duration, max_operation: Duration) -> bool {
        max_operation <= self.usable_ttl(ttl) / RENEWALS_PER_TTL
    }

    /// When to renew a lease whose TTL is counted from `counted_from`.
    pub(super) fn renew_at(&self, counted_from: Duration, ttl: Duration) -> Duration {
        counted_from + self.usable_ttl(ttl) / RENEWALS_PER_TTL
    }

    /// A random delay of a renewal, which spreads the renewals of many clients: at most
    /// [`Config::jitter_permille`] thousandths of a sixth of the usable TTL.
    pub(super) fn renewal_jitter(&mut self, ttl: Duration) -> Duration {
        let pause = self.usable_ttl(ttl) / RETRIES_PER_TTL;
        self.jitter(pause)
    }

    /// How long to wait for a response before the client asks the next voter.
    pub(super) fn retry_interval(&mut self, ttl: Duration) -> Duration {
        self.with_jitter((ttl / RETRIES_PER_TTL).min(MAX_RETRY_INTERVAL))
    }

    /// How long a client without a slot waits before it requests the lease again.
    pub(super) fn queue_poll_interval(&mut self, ttl: Duration) -> Duration {
        self.with_jitter(ttl / QUEUE_POLLS_PER_TTL)
    }

    pub(super) fn with_jitter(&mut self, pause: Duration) -> Duration {
        pause + self.jitter(pause)
    }

    fn jitter(&mut self, pause: Duration) -> Duration {
        if self.config.jitter_permille == 0 {
            return Duration::ZERO;
        }
        let mut random = fastrand::Rng::with_seed(self.seed);
        let permille = random.u32(0..=self.config.jitter_permille);
        self.seed = random.get_seed();
        pause * permille / PERMILLE
    }
}
