//! When an idle server runs a request that its measurements would reject.
//!
//! The prediction (`prediction.rs`) rests on two figures that only runs correct: the slowdown, and
//! the work learnt for a handler. After a hang, for example, they may be so high that every answer
//! is predicted too late. Such a server runs nothing, so it measures nothing that would lower them,
//! and rejects every request although its cores are idle. The failure rate and the admitted
//! fraction may reject all arrivals too, until their windows are over or they have recovered. A
//! server on which nothing has run for [`PROBE_INTERVAL`] therefore admits a request that an
//! average core would answer in time, and learns from its run. The request is a probe, as in the
//! half-open state of a circuit breaker. Only the limit on memory still applies to it.
//!
//! The rule ends with the start of the probe, so it never applies while a request runs, is queued
//! or calls the dependency, and a server that runs requests at least this often is not affected.
//! A run that is given up before its end teaches nothing, so a probe gets no tolerance for a free
//! core. Dependency calls are left out of its prediction, because the time of past calls shows as
//! little of the present. The cost is that a server which really is too slow or fails its runs, or
//! whose dependency is too slow, runs one request in each interval in vain.
//!
//! Source: M. Nygard, "Release It!" (2007), for the circuit breaker.

use std::time::Duration;

use super::prediction::ADMISSION_OBJECTIVE_FRACTION;

/// How long nothing runs before a request may be a probe.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Largest fraction of its handler's latency objective that a probe without an estimate is expected
/// to work: an objective is set so that runs can meet it, whatever was learnt.
const MAX_PROBE_WORK_FRACTION: f64 = 0.3;

/// When the last run started or ended.
#[derive(Default)]
pub(crate) struct IdleProbe {
    /// In seconds for which the process was not stalled; 0 before the first run.
    last_run_at_seconds: f64,
}

/// A request that may be a probe.
pub(crate) struct ProbeRequest {
    /// Seconds since it reached the machine.
    pub(crate) age_seconds: f64,
    /// The work of the request in seconds on an average core, estimated or learnt.
    pub(crate) work_seconds: f64,
    /// The work is learnt from runs of its handler.
    pub(crate) work_is_learnt: bool,
    /// Its latency objective, from its arrival; shorter than that of its handler where its caller
    /// waits for less.
    pub(crate) objective: Duration,
    /// The latency objective of its handler.
    pub(crate) handler_objective: Duration,
}

impl IdleProbe {
    /// Records that a run starts or ends; `awake_seconds` are the seconds for which the process was
    /// not stalled so far.
    pub(crate) fn record_run(&mut self, awake_seconds: f64) {
        self.last_run_at_seconds = awake_seconds;
    }

    /// Whether nothing has run for long enough. A stall of the process does not count, because
    /// nothing could run in it.
    pub(crate) fn is_due(&self, awake_seconds: f64) -> bool {
        awake_seconds - self.last_run_at_seconds >= PROBE_INTERVAL.as_secs_f64()
    }
}

impl ProbeRequest {
    /// Whether an average core would answer the request in time.
    pub(crate) fn meets_objective(&self) -> bool {
        let response_seconds = self.age_seconds + self.core_seconds();
        response_seconds <= self.objective.as_secs_f64() * ADMISSION_OBJECTIVE_FRACTION
    }

    fn core_seconds(&self) -> f64 {
        if self.work_is_learnt {
            let max_seconds = self.handler_objective.as_secs_f64() * MAX_PROBE_WORK_FRACTION;
            self.work_seconds.min(max_seconds)
        } else {
            self.work_seconds
        }
    }
}
