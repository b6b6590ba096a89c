//! Settings of a server and the ordinary traffic that it can serve, sampled from a seed.

use std::time::Duration;

use fastrand::Rng;
use tulipgap::{
    CallerFeedback, Cancellation, Config, Dependency, HandlerConfig, Idempotency, TenantConfig,
};

/// Fraction of the cores that ordinary traffic takes.
const ORDINARY_LOAD: f64 = 0.4;

/// The memory of an ordinary request while it is queued, in kilobytes.
pub(crate) const REQUEST_KB: f64 = 20.0;

/// How callers estimate the work of their requests.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Estimates {
    /// They give none.
    Absent,
    /// They are off by this factor at most.
    Rough(f64),
}

/// A server and its ordinary traffic.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// What the server knows when it starts.
    pub(crate) config: Config,
    /// Mean work of a request, by handler.
    pub(crate) mean_work: Vec<Duration>,
    /// Mean duration of a dependency call.
    pub(crate) mean_call: Duration,
    /// How callers estimate the work of requests.
    pub(crate) estimates: Estimates,
    /// Seconds on a core for a second of work.
    pub(crate) machine_slowdown: f64,
}

fn between(rng: &mut Rng, low: f64, high: f64) -> f64 {
    low + (high - low) * rng.f64()
}

/// A number whose logarithm is uniform.
fn log_between(rng: &mut Rng, low: f64, high: f64) -> f64 {
    between(rng, low.ln(), high.ln()).exp()
}

impl Settings {
    /// Samples settings under which the ordinary traffic can be served.
    pub(crate) fn sample(rng: &mut Rng) -> Self {
        let cores = rng.u32(1..=8);
        let machine_slowdown = between(rng, 0.7, 1.5);
        let mean_work: Vec<Duration> = (0..rng.usize(1..=3))
            .map(|_| Duration::from_secs_f64(log_between(rng, 0.002, 0.3)))
            .collect();
        let has_calls = rng.bool();
        let longest_work = mean_work.iter().max().copied().unwrap_or_default();
        let mean_call = longest_work.mul_f64(between(rng, 0.1, 0.5));
        let handlers: Vec<HandlerConfig> = mean_work
            .iter()
            .map(|work| {
                let own = work.mul_f64(between(rng, 4.0, 12.0) * machine_slowdown);
                let call = if has_calls {
                    mean_call * 4
                } else {
                    Duration::ZERO
                };
                sample_handler(rng, own + call, has_calls)
            })
            .collect();
        let mut settings = Settings {
            config: sample_config(rng, cores, handlers),
            mean_work,
            mean_call,
            estimates: if rng.bool() {
                Estimates::Rough(between(rng, 1.0, 1.5))
            } else {
                Estimates::Absent
            },
            machine_slowdown,
        };
        settings.config.dependency = match (has_calls, rng.bool()) {
            (false, _) => Dependency::None,
            (true, true) => Dependency::Tier,
            (true, false) => settings.shared_dependency(),
        };
        settings
    }

    /// A shared dependency of which this server's share is ample for its ordinary traffic.
    fn shared_dependency(&self) -> Dependency {
        let calls_in_flight = self.requests_per_second() * self.mean_call.as_secs_f64();
        Dependency::Shared {
            share: 10.0 + 20.0 * calls_in_flight,
            window: Duration::from_secs(5),
            linger: Duration::from_millis(200),
        }
    }

    /// Requests per second of the ordinary traffic, over all handlers alike.
    pub(crate) fn requests_per_second(&self) -> f64 {
        let work_seconds: f64 = self.mean_work.iter().map(Duration::as_secs_f64).sum();
        let mean_seconds = work_seconds / self.mean_work.len() as f64;
        ORDINARY_LOAD * f64::from(self.config.cores) / (mean_seconds * self.machine_slowdown)
    }
}

fn sample_handler(rng: &mut Rng, objective: Duration, calls_dependency: bool) -> HandlerConfig {
    HandlerConfig {
        latency_objective: objective,
        objective_stretch: 0.0,
        client_timeout: objective.mul_f64(between(rng, 1.5, 4.0)),
        priority_weight: between(rng, 0.5, 5.0),
        idempotency: rng
            .choice([
                Idempotency::Idempotent,
                Idempotency::Keyed,
                Idempotency::NonIdempotent,
            ])
            .expect("the list is not empty"),
        key_retention: Duration::from_secs(2),
        calls_dependency,
        degraded_weight: if rng.bool() { 0.5 } else { 0.0 },
    }
}

fn sample_config(rng: &mut Rng, cores: u32, handlers: Vec<HandlerConfig>) -> Config {
    let tenants = if rng.bool() { 3 } else { 0 };
    Config {
        handlers,
        tenants: (0..tenants)
            .map(|_| TenantConfig {
                rate_quota_per_s: between(rng, 1.0, 100.0),
            })
            .collect(),
        over_quota_weight: 0.1,
        cores,
        memory_kb: 200_000.0,
        running_memory_factor: between(rng, 1.0, 8.0),
        key_kb: 1.0,
        starts_cold: rng.u8(..4) == 0,
        cold_speed: between(rng, 0.2, 1.0),
        warm_up: Duration::from_secs(10),
        max_concurrency_per_core: between(rng, 4.0, 16.0),
        response_slack: Duration::from_millis(rng.u64(8..=80)),
        drain_grace: Duration::from_secs(1),
        dependency: Dependency::None,
        cancellation: rng
            .choice([
                Cancellation::Unsupported,
                Cancellation::DiscardsProgress,
                Cancellation::KeepsProgress,
            ])
            .expect("the list is not empty"),
        feedback: rng
            .choice([
                CallerFeedback::None,
                CallerFeedback::TrafficWeight,
                CallerFeedback::PriorityThreshold,
                CallerFeedback::ConcurrencyCredit,
            ])
            .expect("the list is not empty"),
        max_retry_after: rng.bool().then(|| Duration::from_secs(1)),
        servers: rng.u32(0..10),
        callers: rng.u32(1..50),
        marks_retries: rng.bool(),
        idle_timeout: Duration::from_secs(15),
    }
}
