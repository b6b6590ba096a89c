//! The configuration that the unit tests of the rules share.

use std::time::Duration;

use crate::config::{CallerFeedback, Cancellation, Config, Dependency, HandlerConfig, Idempotency};

/// A handler with an objective of one second and no dependency calls.
pub(crate) fn handler(idempotency: Idempotency) -> HandlerConfig {
    HandlerConfig {
        latency_objective: Duration::from_secs(1),
        objective_stretch: 0.0,
        client_timeout: Duration::from_secs(3),
        priority_weight: 1.0,
        idempotency,
        key_retention: Duration::from_secs(2),
        calls_dependency: false,
        degraded_weight: 0.0,
    }
}

/// Two cores, one handler, no dependency, and no feedback.
pub(crate) fn config() -> Config {
    Config {
        handlers: vec![handler(Idempotency::Idempotent)],
        tenants: vec![],
        over_quota_weight: 0.1,
        cores: 2,
        memory_kb: 10_000.0,
        running_memory_factor: 4.0,
        key_kb: 1.0,
        starts_cold: false,
        cold_speed: 0.25,
        warm_up: Duration::from_secs(10),
        max_concurrency_per_core: 4.0,
        response_slack: Duration::from_millis(60),
        drain_grace: Duration::from_secs(1),
        dependency: Dependency::None,
        cancellation: Cancellation::Unsupported,
        feedback: CallerFeedback::None,
        max_retry_after: Some(Duration::from_secs(1)),
        servers: 0,
        callers: 4,
        marks_retries: true,
        idle_timeout: Duration::from_secs(15),
    }
}
