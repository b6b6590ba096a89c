//! Configuration of the controller and its validation. No decision is taken here.

use std::time::Duration;

use crate::event::{HandlerIndex, TenantIndex};

/// Whether the requests of a handler may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// They may run any number of times.
    Idempotent,
    /// They carry an idempotency key, and must run at most once while that key is retained.
    Keyed,
    /// They must never run twice.
    NonIdempotent,
}

/// Whether and how the host can cancel a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Runs cannot be cancelled.
    Unsupported,
    /// A cancelled run loses its progress.
    DiscardsProgress,
    /// A cancelled run is suspended; it keeps its progress and its memory.
    KeepsProgress,
}

/// How callers interpret the value of [`Action::SetFeedback`](crate::Action::SetFeedback).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerFeedback {
    /// Callers receive no feedback.
    None,
    /// Callers send no request here whose priority ranks below the value.
    PriorityThreshold,
    /// Each caller may have this many requests outstanding here.
    ConcurrencyCredit,
    /// A caller whose load balancing selects this server sends its request here with this
    /// probability, and otherwise selects the next server.
    TrafficWeight,
}

/// The service that requests call while they run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Dependency {
    /// Requests call no service.
    None,
    /// One service shared by all servers.
    Shared {
        /// This server's share of the concurrent calls that the service survives, as a mean over
        /// `window`.
        share: f64,
        /// The averaging window of `share`.
        window: Duration,
        /// How long the service may keep working on an abandoned call.
        linger: Duration,
    },
    /// Another tier of servers.
    Tier,
}

/// One kind of request.
#[derive(Clone, Debug)]
pub struct HandlerConfig {
    /// An answer within this time counts with the full priority weight.
    pub latency_objective: Duration,
    /// The latency objective grows by this multiple of a request's own work, but never beyond the
    /// deadline of the request.
    pub objective_stretch: f64,
    /// How long a client waits.
    pub client_timeout: Duration,
    /// The value of an answer within the latency objective, relative to other handlers.
    pub priority_weight: f64,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// For [`Idempotency::Keyed`]: how long after its arrival a request may be duplicated.
    pub key_retention: Duration,
    /// Whether its requests may call the dependency.
    pub calls_dependency: bool,
    /// The fraction of the priority weight that is left when a call is skipped; 0 makes calls
    /// mandatory.
    pub degraded_weight: f64,
}

/// One of the customers that share the fleet.
#[derive(Clone, Debug)]
pub struct TenantConfig {
    /// Its quota in requests per second over all servers.
    pub rate_quota_per_s: f64,
}

/// Everything that a server knows when it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// The kinds of requests, addressed by position.
    pub handlers: Vec<HandlerConfig>,
    /// The tenants, addressed by position.
    pub tenants: Vec<TenantConfig>,
    /// The priority weight of a request beyond its tenant's quota, as a fraction of that of its
    /// handler.
    pub over_quota_weight: f64,
    /// The number of cores.
    pub cores: u32,
    /// The memory limit, in kilobytes.
    pub memory_kb: f64,
    /// The memory of a running request, as a multiple of its memory while queued.
    pub running_memory_factor: f64,
    /// The memory of one remembered idempotency key, in kilobytes.
    pub key_kb: f64,
    /// Whether the process was just started, and is slow until it has warmed up.
    pub starts_cold: bool,
    /// A cold server starts at this fraction of its warm speed, or faster.
    pub cold_speed: f64,
    /// The longest time until a cold server is warm.
    pub warm_up: Duration,
    /// Concurrent runs per core that a warm server survives. The limit is kept at every moment and
    /// not only as a mean over some time.
    pub max_concurrency_per_core: f64,
    /// How long after a request's deadline an answer still counts.
    pub response_slack: Duration,
    /// Requests that arrive later than this after the shutdown notice are not run.
    pub drain_grace: Duration,
    /// The service that requests call while they run.
    pub dependency: Dependency,
    /// Whether and how the host can cancel a run.
    pub cancellation: Cancellation,
    /// How callers are asked to send less.
    pub feedback: CallerFeedback,
    /// The longest retry-after that callers honour; `None` where answers cannot carry one.
    pub max_retry_after: Option<Duration>,
    /// The number of servers like this one at its start, itself included; 0 where it is unknown.
    pub servers: u32,
    /// The number of callers of this server at its start.
    pub callers: u32,
    /// Whether retries and hedged requests are marked as such.
    pub marks_retries: bool,
    /// The idle time after which callers close a connection themselves.
    pub idle_timeout: Duration,
}

/// Why a [`Config`] is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ConfigError {
    /// There is no handler.
    #[error("no handlers are given")]
    NoHandlers,
    /// There is no core.
    #[error("no cores are given")]
    NoCores,
    /// A field is out of range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// A field of a handler is out of range.
    #[error("handler {handler}: {field} is out of range")]
    Handler {
        /// The position of the handler.
        handler: HandlerIndex,
        /// The name of the field.
        field: &'static str,
    },
    /// The quota of a tenant is out of range.
    #[error("tenant {0}: rate_quota_per_s is out of range")]
    Tenant(TenantIndex),
}

/// The longest averaging window of a shared dependency, which bounds the size of the sliding window
/// of the metrics.
const MAX_DEPENDENCY_WINDOW: Duration = Duration::from_secs(600);

impl Config {
    /// Checks that every field is within its range.
    pub fn validate(&self) -> Result<(), ConfigError> {
        if self.handlers.is_empty() {
            return Err(ConfigError::NoHandlers);
        }
        if self.cores == 0 {
            return Err(ConfigError::NoCores);
        }
        for (field, is_valid) in [
            (
                "over_quota_weight",
                (0.0..=1.0).contains(&self.over_quota_weight),
            ),
            ("memory_kb", is_at_least(f64::MIN_POSITIVE, self.memory_kb)),
            (
                "running_memory_factor",
                is_at_least(1.0, self.running_memory_factor),
            ),
            ("key_kb", is_at_least(0.0, self.key_kb)),
            ("idle_timeout", self.idle_timeout > Duration::ZERO),
            (
                "cold_speed",
                self.cold_speed > 0.0 && self.cold_speed <= 1.0,
            ),
            (
                "max_concurrency_per_core",
                is_at_least(1.0, self.max_concurrency_per_core),
            ),
        ] {
            if !is_valid {
                return Err(ConfigError::OutOfRange(field));
            }
        }
        self.dependency.validate()?;
        for (handler, config) in self.handlers.iter().enumerate() {
            config
                .validate()
                .map_err(|field| ConfigError::Handler { handler, field })?;
        }
        match self
            .tenants
            .iter()
            .position(|tenant| !is_at_least(0.0, tenant.rate_quota_per_s))
        {
            Some(tenant) => Err(ConfigError::Tenant(tenant)),
            None => Ok(()),
        }
    }
}

impl Config {
    /// The shortest client timeout of all handlers.
    pub(crate) fn shortest_client_timeout(&self) -> Duration {
        let timeouts = self.handlers.iter().map(|handler| handler.client_timeout);
        timeouts.min().unwrap_or(Duration::MAX)
    }
}

impl Dependency {
    fn validate(&self) -> Result<(), ConfigError> {
        let Dependency::Shared { share, window, .. } = *self else {
            return Ok(());
        };
        let has_share = is_at_least(f64::MIN_POSITIVE, share);
        let has_window = window > Duration::ZERO && window <= MAX_DEPENDENCY_WINDOW;
        if has_share && has_window {
            Ok(())
        } else {
            Err(ConfigError::OutOfRange("dependency"))
        }
    }
}

impl HandlerConfig {
    /// Returns the name of the first field that is out of range as an error.
    fn validate(&self) -> Result<(), &'static str> {
        let checks = [
            ("latency_objective", self.latency_objective > Duration::ZERO),
            (
                "objective_stretch",
                is_at_least(0.0, self.objective_stretch),
            ),
            (
                "client_timeout",
                self.client_timeout >= self.latency_objective,
            ),
            ("priority_weight", is_at_least(0.0, self.priority_weight)),
            (
                "degraded_weight",
                (0.0..=1.0).contains(&self.degraded_weight),
            ),
        ];
        match checks.into_iter().find(|(_, is_valid)| !is_valid) {
            Some((field, _)) => Err(field),
            None => Ok(()),
        }
    }
}

fn is_at_least(minimum: f64, value: f64) -> bool {
    value.is_finite() && value >= minimum
}
