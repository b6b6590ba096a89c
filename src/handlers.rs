//! The profile of each handler: its configuration, and the work and the number of calls learnt from
//! its runs.
//!
//! Predictions need the work of a request and the number of its dependency calls. Without learnt
//! figures, all requests without an estimate would look alike: long requests would be admitted as
//! if their work were average, and would be answered too late. Each successful run therefore moves
//! the means of its handler by a small step. Work is measured in seconds on an average core (the
//! time on a core, divided by the slowdown of this server), so that a slow server raises its
//! slowdown and not the work. The cost is that a learnt figure describes the handler and not the
//! individual request.

#[cfg(test)]
mod tests;

use std::time::Duration;

use crate::config::{Config, Dependency, HandlerConfig, Idempotency};

/// Seconds of work that a request is assumed to need where there is neither an estimate nor a
/// completed run.
pub(crate) const DEFAULT_WORK_SECONDS: f64 = 0.1;

/// Weight of each run in the learnt work and in the learnt number of calls.
const LEARNING_GAIN: f64 = 0.05;

/// Minimum of the learnt work, in seconds, so that predictions never assume requests without work.
const MIN_LEARNT_WORK_SECONDS: f64 = 0.001;

/// Minimum of the estimated work of a request, in seconds: about what reading a request costs. A
/// ratio with the work of requests in its divisor, such as the slowdown, is finite because of it.
const MIN_ESTIMATED_WORK_SECONDS: f64 = 1e-5;

/// Attempts of dependency calls that a run is assumed to make before any run has completed.
const INITIAL_CALLS_PER_RUN: f64 = 1.0;

/// Multiple of the mean work above which a request with learnt work counts as long. It is above 1
/// because a learnt figure belongs to the handler and not to this request.
const LONG_LEARNT_WORK_FACTOR: f64 = 1.25;

/// A run that succeeded.
pub(crate) struct CompletedRun {
    /// Seconds that it took on a core.
    pub(crate) core_seconds: f64,
    /// Attempts of dependency calls that it made.
    pub(crate) calls_made: u32,
    /// The caller gave no estimate of its work.
    pub(crate) work_is_learnt: bool,
    /// The slowdown of the server, as a factor.
    pub(crate) slowdown: f64,
}

/// The properties of a handler that rules use.
pub(crate) struct HandlerProfile {
    /// An answer within this time after the arrival counts with the full priority weight.
    pub(crate) latency_objective: Duration,
    /// Multiple of a request's work by which its latency objective grows.
    pub(crate) objective_stretch: f64,
    /// How long a client waits, unless it states a time itself.
    pub(crate) client_timeout: Duration,
    /// Whether its requests may run more than once.
    pub(crate) idempotency: Idempotency,
    /// How long after its arrival a keyed request may be duplicated.
    pub(crate) key_retention: Duration,
    /// Its calls may be skipped.
    pub(crate) calls_are_optional: bool,
    /// Its requests may call the dependency.
    pub(crate) makes_calls: bool,
    /// The priority level of requests within their tenant's quota; higher levels start first.
    pub(crate) level: usize,
    /// The priority level of requests beyond their tenant's quota.
    pub(crate) over_quota_level: usize,
    /// Seconds of work of a request without an estimate, learnt from runs; from
    /// [`MIN_LEARNT_WORK_SECONDS`] to the latency objective.
    pub(crate) learnt_work_seconds: f64,
    /// Attempts of calls that one of its runs makes, retries included, learnt from runs.
    pub(crate) calls_per_run: f64,
}

impl HandlerProfile {
    /// A profile before any run has completed.
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
            learnt_work_seconds: learnable_work_seconds(
                DEFAULT_WORK_SECONDS,
                handler.latency_objective,
            ),
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

    /// The number of dependency calls that a request is expected to make. For mandatory calls it is
    /// the learnt number. For optional calls it is the dimmer, as if a request made one call with
    /// that probability: the learnt number also counts runs that skipped their calls, so it does
    /// not show how many calls a request makes if it skips none.
    pub(crate) fn expected_calls(&self, dimmer: f64) -> f64 {
        match (self.makes_calls, self.calls_are_optional) {
            (false, _) => 0.0,
            (true, true) => dimmer,
            (true, false) => self.calls_per_run,
        }
    }

    /// Seconds of work that a request is expected to need: the caller's estimate, or the learnt
    /// work where there is none. No run needs less than [`MIN_ESTIMATED_WORK_SECONDS`], so a lower
    /// estimate counts as that.
    pub(crate) fn expected_work_seconds(&self, estimated_work: Option<Duration>) -> f64 {
        estimated_work.map_or(self.learnt_work_seconds, |work| {
            work.as_secs_f64().max(MIN_ESTIMATED_WORK_SECONDS)
        })
    }

    /// Learns from a run that succeeded.
    pub(crate) fn learn(&mut self, run: &CompletedRun) {
        self.calls_per_run += LEARNING_GAIN * (f64::from(run.calls_made) - self.calls_per_run);
        if run.work_is_learnt {
            let work_seconds = run.core_seconds / run.slowdown;
            let learnt = self.learnt_work_seconds
                + LEARNING_GAIN * (work_seconds - self.learnt_work_seconds);
            self.learnt_work_seconds = learnable_work_seconds(learnt, self.latency_objective);
        }
    }
}

/// The learnt work nearest to `seconds` that is within its range. It is at most the latency
/// objective, which is set so that runs can meet it: a request of a handler with a longer work
/// would be rejected also where a core is free, and no run would correct the figure.
fn learnable_work_seconds(seconds: f64, latency_objective: Duration) -> f64 {
    seconds
        .min(latency_objective.as_secs_f64())
        .max(MIN_LEARNT_WORK_SECONDS)
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
/// priority weight among the weights of all handlers, within and beyond a tenant's quota.
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
