//! Records each request, if a recording is configured: this module turns the trace that the request
//! registry keeps of a request into a record. Records that the recorder cannot write are dropped
//! and counted; serving never waits for the disk.

use std::path::Path;
use std::time::{Duration, Instant};

use tulipgap::{Config, Reason as ControllerReason};
use tulipgap_config::TraceConfig;
use tulipgap_settings::Names;
use tulipgap_trace::{
    Dictionary, DirectoryStorage, HandlerInfo, Micros, Outcome, Reason, Record, Recorder,
    RecorderConfig, RetentionConfig, TenantInfo,
};

use crate::log::LogLimit;
use crate::requests::{IncomingRequest, Response};

/// How long the program waits at its end until the last records are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

static DISK_FAILURES: LogLimit = LogLimit::new();

/// The properties of a request that only the recording needs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TraceContext {
    pub(crate) number: u64,
    pub(crate) key: Option<u64>,
    pub(crate) subject: Option<u64>,
    pub(crate) caller: Option<u64>,
    /// When the request was read.
    pub(crate) read: Instant,
}

/// The properties and times of a request that are known so far.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    context: TraceContext,
    handler: usize,
    tenant: Option<usize>,
    is_retry: bool,
    client_wait: Option<Duration>,
    estimated_work: Option<Duration>,
    /// When the request was registered.
    registered: Instant,
    /// The time from the arrival of the request at the machine to its registration.
    age: Duration,
    pub(crate) admitted: Option<Instant>,
    pub(crate) started: Option<Instant>,
    pub(crate) first_call_at: Option<Instant>,
    answered: Option<Instant>,
    pub(crate) work: Option<Duration>,
    outcome: Outcome,
    reason: Reason,
    no_retry: bool,
    retry_after: Option<Duration>,
    pub(crate) calls: u32,
    pub(crate) skipped_calls: u32,
    feedback: Option<f64>,
}

impl RequestTrace {
    /// The trace of a request that is registered now.
    pub(crate) fn new(context: TraceContext, incoming: &IncomingRequest) -> Self {
        RequestTrace {
            context,
            handler: incoming.handler,
            tenant: incoming.tenant,
            is_retry: incoming.is_retry,
            client_wait: incoming.client_wait,
            estimated_work: incoming.estimated_work,
            registered: Instant::now(),
            age: incoming.age,
            admitted: None,
            started: None,
            first_call_at: None,
            answered: None,
            work: None,
            outcome: Outcome::Failed,
            reason: Reason::NONE,
            no_retry: false,
            retry_after: None,
            calls: 0,
            skipped_calls: 0,
            feedback: None,
        }
    }

    /// Records a rejection that was made before the controller decided on the request.
    pub(crate) fn record_rejection(&mut self, reason: Reason, now: Instant) {
        (self.outcome, self.reason, self.answered) = (Outcome::Rejected, reason, Some(now));
    }

    /// Records the final response, which is not sent if the caller is gone.
    pub(crate) fn record_response(
        &mut self,
        response: &Response,
        is_caller_gone: bool,
        reason: Reason,
        feedback: Option<f64>,
        now: Option<Instant>,
    ) {
        (self.answered, self.reason, self.feedback) = (now, reason, feedback);
        self.outcome = match response {
            _ if is_caller_gone => Outcome::Abandoned,
            Response::Completed(_) => Outcome::Completed,
            Response::Rejected { .. } => Outcome::Rejected,
            Response::Failed => Outcome::Failed,
        };
        if let Response::Rejected {
            retry_after,
            retry_other_server,
        } = *response
        {
            (self.retry_after, self.no_retry) = (retry_after, !retry_other_server);
        }
    }
}

/// Maps a reason of the controller to the reason in a recording.
pub(crate) fn recorded_reason(reason: ControllerReason) -> Reason {
    match reason {
        ControllerReason::MemoryLimit => Reason::MEMORY_LIMIT,
        ControllerReason::HighFailureRate => Reason::HIGH_FAILURE_RATE,
        ControllerReason::AdmissionControl => Reason::ADMISSION_CONTROL,
        ControllerReason::PredictedLate => Reason::PREDICTED_LATE,
        ControllerReason::Overtaken => Reason::OVERTAKEN,
        ControllerReason::ObjectiveMissed => Reason::OBJECTIVE_MISSED,
        ControllerReason::DeadlineNear => Reason::DEADLINE_NEAR,
        ControllerReason::Draining => Reason::DRAINING,
        ControllerReason::Terminating => Reason::TERMINATING,
        ControllerReason::CallFailed => Reason::CALL_FAILED,
        ControllerReason::Cancelled => Reason::CANCELLED,
    }
}

/// The recorder of this process.
pub(crate) struct Tracer {
    recorder: Recorder,
}

impl Tracer {
    /// Starts a recording of the named server in the configured folder.
    pub(crate) fn start(
        tracing: &TraceConfig,
        server: &str,
        config: &Config,
        names: &Names,
    ) -> std::io::Result<Tracer> {
        let recording = RecorderConfig {
            version: tracing.format,
            server: server.to_owned(),
            names: dictionary(config, names),
            retention: RetentionConfig {
                block_records: tracing.block as usize,
                seal_after: tracing.seal_after,
                rotate_bytes: tracing.rotate_size.0,
                rotate_after: tracing.rotate_after,
                keep_bytes: tracing.keep_size.0,
            },
            queue_capacity: tracing.queue as usize,
        };
        let storage = DirectoryStorage::new(Path::new(&tracing.folder), server, tracing.sync);
        let recorder = Recorder::start(storage, recording, |error| {
            if let Some(count) = DISK_FAILURES.count_event() {
                log::warn!("recording failed error=\"{error}\" count={count}");
            }
        })?;
        Ok(Tracer { recorder })
    }

    /// Logs how many records are missing so far, and how often the disk has failed.
    pub(crate) fn log_summary(&self) {
        let status = self.recorder.status();
        let (missing, failures) = (status.missing_records, status.storage_failures);
        log::info!("recording summary missing_records={missing} storage_failures={failures}");
    }

    /// Ends the recording, after the last records are written or [`FLUSH_TIMEOUT`] has passed.
    pub(crate) fn finish(&self) {
        if !self.recorder.finish(FLUSH_TIMEOUT) {
            log::warn!("recording not ended reason=flush_timeout");
        }
    }

    /// Records a request that was released at `released`.
    pub(crate) fn record(&self, trace: &RequestTrace, released: Instant) {
        self.recorder
            .record(record(trace, released, |at| self.recorder.unix_time(at)));
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

fn record(trace: &RequestTrace, released: Instant, unix: impl Fn(Instant) -> Micros) -> Record {
    let age = micros(trace.age);
    let since = |at: Instant| match at.checked_duration_since(trace.registered) {
        Some(after) => age.saturating_add(micros(after)),
        None => age.saturating_sub(micros(trace.registered.saturating_duration_since(at))),
    };
    Record {
        server: 0,
        handler: trace.handler as u32,
        tenant: trace.tenant.map(|tenant| tenant as u32),
        id: trace.context.number,
        key: trace.context.key,
        subject: trace.context.subject,
        caller: trace.context.caller,
        is_retry: trace.is_retry,
        reached: unix(trace.registered).saturating_sub(age),
        read: Some(since(trace.context.read)),
        admitted: trace.admitted.map(since),
        started: trace.started.map(since),
        first_call: trace.first_call_at.map(since),
        answered: trace.answered.map(since),
        released: Some(since(released)),
        client_wait: trace.client_wait.map(micros),
        estimated_work: trace.estimated_work.map(micros),
        work: trace.work.map(micros),
        outcome: trace.outcome,
        reason: trace.reason,
        no_retry: trace.no_retry,
        retry_after: trace.retry_after.map(micros),
        calls: trace.calls,
        skipped_calls: trace.skipped_calls,
        feedback: trace.feedback,
    }
}

/// The handlers and tenants, with the properties that a summary needs, in the order of their
/// indices.
fn dictionary(config: &Config, names: &Names) -> Dictionary {
    let named = |all: &std::collections::HashMap<String, usize>, at: usize| {
        all.iter()
            .find(|(_, index)| **index == at)
            .map_or_else(String::new, |(name, _)| name.clone())
    };
    let handlers = config
        .handlers
        .iter()
        .enumerate()
        .map(|(at, handler)| HandlerInfo {
            name: named(&names.handlers, at),
            latency_objective: micros(handler.latency_objective),
            objective_stretch: handler.objective_stretch,
            client_timeout: micros(handler.client_timeout),
            priority_weight: handler.priority_weight,
            degraded_weight: handler.degraded_weight,
        });
    let tenants = (0..config.tenants.len()).map(|at| TenantInfo {
        name: named(&names.tenants, at),
    });
    Dictionary {
        servers: Vec::new(),
        handlers: handlers.collect(),
        tenants: tenants.collect(),
    }
}
