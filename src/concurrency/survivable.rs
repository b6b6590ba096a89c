//! The concurrency that this server survives at its age, and whether one more request may start.
//!
//! Every started request takes memory and threads until it ends, also while it waits for a
//! dependency call. (A request that is answered while it waits for its call is no longer counted,
//! although its run may end later.) When a dependency hangs, started requests accumulate until the
//! server falls over. The rule applies once as many requests are started as the configuration calls
//! survivable, less a safety margin. A server that was just started survives less, because its
//! caches and its compiler are cold, so the limit grows linearly until the server is warm (slow
//! start). The cost is that a cold server leaves requests queued which a warm server would start.
//!
//! One request per core of the survivable concurrency does not depend on the speed of a cold
//! server; only the part beyond it does. Even at the slowest speed, the limit is thus at least the
//! number of cores, less the margin.

use std::time::Duration;

use crate::config::Config;
use crate::limits::USABLE_LIMIT_FRACTION;

/// Number of requests that may always be started, so that a small server still makes progress.
const MIN_STARTED: f64 = 1.0;

/// Limits in started requests.
pub(crate) struct SurvivableConcurrency {
    warm: f64,
    cold: f64,
    /// The age in seconds at which the server is warm; 0 for a warm start.
    warm_at_seconds: f64,
}

impl SurvivableConcurrency {
    /// The limits of a server that starts now.
    pub(crate) fn new(config: &Config) -> Self {
        let cores = f64::from(config.cores);
        let concurrency =
            |speed: f64| cores * (1.0 + (config.max_concurrency_per_core - 1.0) * speed);
        let warm_at_seconds = if config.starts_cold {
            config.warm_up.as_secs_f64()
        } else {
            0.0
        };
        SurvivableConcurrency {
            warm: concurrency(1.0),
            cold: concurrency(config.cold_speed),
            warm_at_seconds,
        }
    }

    /// The concurrency that a warm server survives.
    pub(crate) fn warm(&self) -> f64 {
        self.warm
    }

    /// Whether the server was warm when it started.
    pub(crate) fn started_warm(&self) -> bool {
        self.warm_at_seconds == 0.0
    }

    /// The usable concurrency at this age.
    pub(crate) fn usable(&self, age: Duration) -> f64 {
        self.at(age) * USABLE_LIMIT_FRACTION
    }

    /// Whether one more request may start in addition to the started requests that have not ended.
    pub(crate) fn allows_start(&self, started: usize, age: Duration) -> bool {
        (started + 1) as f64 <= self.usable(age).max(MIN_STARTED)
    }

    fn at(&self, age: Duration) -> f64 {
        let age_seconds = age.as_secs_f64();
        if age_seconds >= self.warm_at_seconds {
            return self.warm;
        }
        self.cold + (self.warm - self.cold) * age_seconds / self.warm_at_seconds
    }
}
