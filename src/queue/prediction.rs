//! Whether a request is likely to be answered within its latency objective.
//!
//! The rule applies on arrival, where a request that would be late is rejected while its caller can
//! still try another server, and on each tick, where a queued request is rejected once it is likely
//! to be late. Without it, an overloaded server works through a queue of requests that are all
//! late: every core is busy and no answer counts. The predicted response time is the sum of the age
//! of the request, its wait for the work that precedes it, its own work and its dependency calls.
//!
//! Requests of higher priority that arrive while the request waits also precede it. That part is
//! estimated from recent arrivals, so that requests of low priority are rejected on arrival and not
//! after a wait. If a core is free and no queued work precedes the request, its run delays no other
//! request, so the predicted response time may exceed its limit by a factor. The cost is that a
//! request may be rejected which would have been in time. `idle_probe.rs` has the exception for a
//! server on which nothing runs.

use std::time::Duration;

use crate::metrics::MEASUREMENT_WINDOW;

/// Fraction of the latency objective within which an answer must be predicted for a request to be
/// admitted. It is below 1 because callers may abandon an attempt before its objective.
pub(super) const ADMISSION_OBJECTIVE_FRACTION: f64 = 0.65;

/// Fraction of the latency objective within which an answer must be predicted for a request to
/// stay queued.
const QUEUED_OBJECTIVE_FRACTION: f64 = 1.0;

/// Fraction of the arriving work of higher priority that is expected to overtake a request while
/// it waits.
const OVERTAKING_FRACTION: f64 = 0.4;

/// Largest fraction of the running limit that overtaking work is assumed to use.
const MAX_OVERTAKING_FRACTION: f64 = 0.6;

/// Factor by which the predicted response time may exceed its limit if a core is free.
const IDLE_CORE_TOLERANCE: f64 = 4.0;

/// The same factor on a degraded server, whose requests another server would answer earlier.
const IDLE_CORE_TOLERANCE_DEGRADED: f64 = 2.0;

/// The state of the server from which the response time is predicted.
pub(crate) struct ServerForecast {
    /// Requests on the cores.
    pub(crate) running: f64,
    /// Requests that may be on the cores at once.
    pub(crate) running_limit: f64,
    /// Seconds on a core for a second of work.
    pub(crate) slowdown: f64,
    /// Mean seconds of work of recent arrivals.
    pub(crate) mean_work_seconds: f64,
    /// Mean seconds of recent dependency calls.
    pub(crate) mean_call_seconds: f64,
    /// Another server would do better.
    pub(crate) is_degraded: bool,
}

/// The properties of a request from which its response time is predicted.
pub(crate) struct RequestForecast {
    /// Seconds since it reached the machine.
    pub(crate) age_seconds: f64,
    /// Its own work in seconds on an average core.
    pub(crate) work_seconds: f64,
    /// Seconds of queued work that precedes it.
    pub(crate) work_seconds_ahead: f64,
    /// The number of recent arrivals at higher priority levels.
    pub(crate) higher_arrivals: f64,
    /// The number of dependency calls that it is expected to make.
    pub(crate) expected_calls: f64,
    /// Its latency objective, from its arrival.
    pub(crate) objective: Duration,
}

impl ServerForecast {
    /// Whether an arrival is likely enough to be in time.
    pub(crate) fn may_admit(&self, request: &RequestForecast) -> bool {
        self.meets_objective(request, ADMISSION_OBJECTIVE_FRACTION)
    }

    /// Whether a queued request is still likely enough to be in time.
    pub(crate) fn may_stay_queued(&self, request: &RequestForecast) -> bool {
        self.meets_objective(request, QUEUED_OBJECTIVE_FRACTION)
    }

    /// Whether a request is likely to be answered within `objective_fraction` of its objective.
    pub(super) fn meets_objective(
        &self,
        request: &RequestForecast,
        objective_fraction: f64,
    ) -> bool {
        let wait_seconds = self.wait_seconds(request);
        let calling_seconds = self.mean_call_seconds * request.expected_calls;
        let response_seconds = request.age_seconds
            + wait_seconds
            + request.work_seconds * self.slowdown
            + calling_seconds;
        let fraction = if wait_seconds == 0.0 {
            objective_fraction * self.idle_core_tolerance()
        } else {
            objective_fraction
        };
        response_seconds <= request.objective.as_secs_f64() * fraction
    }

    /// Seconds until a request enters a core; 0 if a core is free and no queued work precedes the
    /// request.
    fn wait_seconds(&self, request: &RequestForecast) -> f64 {
        if self.running < self.running_limit && request.work_seconds_ahead == 0.0 {
            return 0.0;
        }
        let core_seconds = (request.work_seconds_ahead + self.mean_work_seconds) * self.slowdown;
        let overtaking_fraction = self.overtaking_fraction(request.higher_arrivals);
        core_seconds / self.running_limit / (1.0 - overtaking_fraction)
    }

    /// The fraction of the running limit that arriving work of higher levels is expected to use.
    /// The arrivals may cover up to one bucket of the metrics more than the window by which they
    /// are divided.
    fn overtaking_fraction(&self, higher_arrivals: f64) -> f64 {
        let work = higher_arrivals * self.mean_work_seconds / MEASUREMENT_WINDOW.as_secs_f64();
        let fraction = OVERTAKING_FRACTION * work * self.slowdown / self.running_limit;
        fraction.min(MAX_OVERTAKING_FRACTION)
    }

    fn idle_core_tolerance(&self) -> f64 {
        if self.is_degraded {
            IDLE_CORE_TOLERANCE_DEGRADED
        } else {
            IDLE_CORE_TOLERANCE
        }
    }
}
