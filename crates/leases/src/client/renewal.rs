//! When a client requests, renews and retries, as parts of the TTL, with jitter.
//!
//! A lease is renewed after a third of its usable TTL and retried after each sixth of the TTL, so
//! three requests may fail before an owner that is alive loses its lease. The usable TTL is shorter
//! than the TTL by as much as this clock may be slow: the lease ends here before it does for the
//! voters. Jitter spreads clients that were all cut off at once. The price: a lease that is held
//! costs three commands of the consensus in each TTL.

use std::time::Duration;

use super::Config;
use crate::injected_bug::{BugSwitch, InjectedBug};
use crate::protocol::PERMILLE;

/// Renewals in a usable TTL where each is answered.
const RENEWALS_PER_TTL: u32 = 3;
/// Requests in a TTL where none is answered.
const RETRIES_PER_TTL: u32 = 6;
/// The longest wait for a response before the next voter is asked, whatever the TTL.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Requests in a TTL by which a queued client keeps its place.
const QUEUE_POLLS_PER_TTL: u32 = 4;

/// Computes a client's times. It owns the random source of the jitter.
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

    /// The part of a TTL that has certainly not passed on any other clock before it has on this
    /// one.
    pub(super) fn usable_ttl(&self, ttl: Duration) -> Duration {
        if self.bug.is_on(InjectedBug::NoClockMargin) {
            return ttl;
        }
        ttl * (PERMILLE - self.config.max_clock_drift_permille) / PERMILLE
    }

    /// Whether a step may take as long as `max_step`: a renewal must come before the guard is
    /// stale.
    pub(super) fn allows_step(&self, ttl: Duration, max_step: Duration) -> bool {
        max_step <= self.usable_ttl(ttl) / RENEWALS_PER_TTL
    }

    /// When to renew a TTL that is counted from `counted_from`.
    pub(super) fn renew_at(&self, counted_from: Duration, ttl: Duration) -> Duration {
        counted_from + self.usable_ttl(ttl) / RENEWALS_PER_TTL
    }

    /// A random delay of a renewal, which spreads those of many clients: up to the jitter's
    /// fraction of the usable TTL divided by [`RETRIES_PER_TTL`].
    pub(super) fn renewal_jitter(&mut self, ttl: Duration) -> Duration {
        let pause = self.usable_ttl(ttl) / RETRIES_PER_TTL;
        self.jitter(pause)
    }

    /// How long to wait for a response before the next voter is asked.
    pub(super) fn retry_interval(&mut self, ttl: Duration) -> Duration {
        self.with_jitter((ttl / RETRIES_PER_TTL).min(MAX_RETRY_INTERVAL))
    }

    /// How long a client that waits for a slot does so before it requests again.
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
