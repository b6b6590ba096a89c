//! What the controller knows of each handler, and what it learns from the handler's runs.
//!
//! Predictions need the work of a request and the number of its dependency calls. Where callers
//! state no estimate, all requests would look alike: a handler of slow requests would be admitted
//! as if it were the mean, and its requests would be answered too late. Each run that succeeds
//! therefore moves the handler's mean a little. Work is measured in seconds on an average core
//! (the time on a core, divided by the slowdown of this server), so that a slow server raises its
//! slowdown and not the work. The price: a learnt figure describes the handler, not the request.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::config::{Config, Dependency, HandlerConfig, Idempotency};

/// Seconds of work of a request without an estimate, before any run has shown more.
pub(crate) const DEFAULT_WORK_SECONDS: f64 = 0.1;

/// Fraction by which each run moves the learnt work and the learnt number of calls.
const LEARNING_GAIN: f64 = 0.05;

/// Least seconds of work that are learnt, so that predictions never rest on nothing.
const MIN_LEARNT_WORK_SECONDS: f64 = 0.001;

/// Attempts of calls that a run makes, before any run has shown more.
const INITIAL_CALLS_PER_RUN: f64 = 1.0;

/// Multiple of the mean work from which a request with learnt work counts as long. It is above 1
/// because a learnt figure belongs to the handler and not to this request.
const LONG_LEARNT_WORK_FACTOR: f64 = 1.25;

/// A run that succeeded.
pub(crate) struct CompletedRun {
    /// Seconds that it took on a core.
    pub(crate) core_seconds: f64,
    /// Attempts of dependency calls that it made.
    pub(crate) calls_made: u32,
    /// Its work was not stated by the caller.
    pub(crate) work_is_learnt: bool,
    /// The slowdown of the server, as a factor.
    pub(crate) slowdown: f64,
}

/// What rules need to know of a handler.
pub(crate) struct HandlerProfile {
    /// An answer within this time after the arrival counts with the full priority weight.
    pub(crate) latency_objective: Duration,
    /// Multiple of a request's work by which its latency objective grows.
    pub(crate) objective_stretch: f64,
    /// How long a client waits that does not say so itself.
    pub(crate) client_timeout: Duration,
    /// Whether its requests may run more than once.
    pub(crate) idempotency: Idempotency,
    /// How long after its arrival a keyed request may be duplicated.
    pub(crate) key_retention: Duration,
    /// Its calls may be skipped.
    pub(crate) calls_are_optional: bool,
    /// Its requests may call the dependency.
    pub(crate) makes_calls: bool,
    /// The priority level of requests within their tenant's quota; higher levels go first.
    pub(crate) level: usize,
    /// The priority level of requests beyond it.
    pub(crate) over_quota_level: usize,
    /// Seconds of work of a request that brings no estimate, learnt from runs.
    pub(crate) learnt_work_seconds: f64,
    /// Attempts of calls that one of its runs makes, retries included, learnt from runs.
    pub(crate) calls_per_run: f64,
}

impl HandlerProfile {
    /// A profile with nothing learnt yet.
    fn new(handler: &HandlerConfig, config: &Config, weights: &[f64]) -> Self {
        let level = |weight: f64| weights.partition_point(|&other| other < weight);
        HandlerProfile {
            latency_objective: handler.latency_objective,
            objective_stretch: handler.objective_stretch,
            client_timeout: handler.client_timeout,
            idempotency: handler.idempotency,
            key_retention: handler.key_retention,
            calls_are_optional: handler.degraded_weight > 0.0,
            makes_calls: handler.calls_dependency && config.dependency != Dependency::None,
            level: level(handler.priority_weight),
            over_quota_level: level(handler.priority_weight * config.over_quota_weight),
            learnt_work_seconds: DEFAULT_WORK_SECONDS,
            calls_per_run: INITIAL_CALLS_PER_RUN,
        }
    }

    /// Whether its requests may run any number of times.
    pub(crate) fn is_idempotent(&self) -> bool {
        self.idempotency == Idempotency::Idempotent
    }

    /// Whether its requests carry an idempotency key.
    pub(crate) fn is_keyed(&self) -> bool {
        self.idempotency == Idempotency::Keyed
    }

    /// The number of dependency calls that a request is expected to make. Whatever callers state,
    /// it is the learnt number where calls are mandatory. Where they are optional it is the
    /// dimmer, as if a request made one call with that probability: the learnt number counts runs
    /// that skipped their calls too, so it says nothing of a request that makes them.
    pub(crate) fn expected_calls(&self, dimmer: f64) -> f64 {
        match (self.makes_calls, self.calls_are_optional) {
            (false, _) => 0.0,
            (true, true) => dimmer,
            (true, false) => self.calls_per_run,
        }
    }

    /// Learns from a run that succeeded.
    pub(crate) fn learn(&mut self, run: &CompletedRun) {
        self.calls_per_run += LEARNING_GAIN * (f64::from(run.calls_made) - self.calls_per_run);
        if run.work_is_learnt {
            let work_seconds = run.core_seconds / run.slowdown;
            let learnt = self.learnt_work_seconds
                + LEARNING_GAIN * (work_seconds - self.learnt_work_seconds);
            self.learnt_work_seconds = learnt.max(MIN_LEARNT_WORK_SECONDS);
        }
    }
}

/// Whether a request belongs to the queue of long requests.
pub(crate) fn is_long(work_seconds: f64, work_is_learnt: bool, mean_work_seconds: f64) -> bool {
    let factor = if work_is_learnt {
        LONG_LEARNT_WORK_FACTOR
    } else {
        1.0
    };
    work_seconds > mean_work_seconds * factor
}

/// The profiles of all handlers, and the number of priority levels. A level is the rank of a
/// priority weight among all of them, within and beyond a tenant's quota.
pub(crate) fn handler_profiles(config: &Config) -> (Vec<HandlerProfile>, usize) {
    let mut weights: Vec<f64> = config
        .handlers
        .iter()
        .map(|handler| handler.priority_weight)
        .collect();
    weights.extend(
        config
            .handlers
            .iter()
            .map(|handler| handler.priority_weight * config.over_quota_weight),
    );
    weights.sort_by(f64::total_cmp);
    weights.dedup();
    let profile = |handler| HandlerProfile::new(handler, config, &weights);
    (config.handlers.iter().map(profile).collect(), weights.len())
}
