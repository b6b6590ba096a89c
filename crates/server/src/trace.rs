//! The recording of what happens to each req, where it is configured: from what the gate saw of it to a record. What
//! the recorder cannot write is dropped and counted; serving never waits for it.

use std::path::Path;
use std::time::{Duration, Instant};

use tulipgap::{Config, Reason as Why};
use tulipgap_config::Tracing;
use tulipgap_settings::Names;
use tulipgap_trace::{
    Disk, HandlerName, Micros, Names as Dictionary, Outcome, Reason, Record, Recorder, Recording, TenantName,
    Terms,
};

use crate::log::Bound;

/// How long the end of the program waits for the last records.
const LAST: Duration = Duration::from_millis(500);

static TROUBLE: Bound = Bound::new();

/// What a door knows of a req beside what is decided by.
#[derive(Clone, Copy, Debug)]
pub struct Traced {
    pub number: u64,
    pub key: Option<u64>,
    pub subject: Option<u64>,
    pub caller: Option<u64>,
    /// When it was read.
    pub read: Instant,
}

/// What the gate saw of a req so far.
#[derive(Debug)]
pub struct Life {
    pub traced: Traced,
    pub handler: usize,
    pub tenant: Option<usize>,
    pub retry: bool,
    pub patience: Option<Duration>,
    pub hint: Option<Duration>,
    /// When it entered, and how long before that it had reached the machine.
    pub entered: Instant,
    pub age: Duration,
    pub admitted: Option<Instant>,
    pub run: Option<Instant>,
    pub called: Option<Instant>,
    pub answered: Option<Instant>,
    pub work: Option<Duration>,
    pub outcome: Outcome,
    pub reason: Reason,
    pub no_more: bool,
    pub wait: Option<Duration>,
    pub calls: u32,
    pub skipped: u32,
    pub advice: Option<f64>,
}

/// The name in a recording of a reason of the module.
pub fn reason(why: Why) -> Reason {
    match why {
        Why::MemoryLimit => Reason::MEMORY,
        Why::HighFailureRate => Reason::FAILING,
        Why::AdmissionControl => Reason::SHARE,
        Why::PredictedLate => Reason::LATE,
        Why::Overtaken => Reason::OVERTAKEN,
        Why::ObjectiveMissed => Reason::MISSED,
        Why::DeadlineNear => Reason::DUE,
        Why::Draining => Reason::DRAINING,
        Why::Terminating => Reason::STOPPING,
        Why::CallFailed => Reason::CALL_FAILED,
        Why::Cancelled => Reason::STOPPED,
    }
}

pub struct Tracer {
    recorder: Recorder,
}

impl Tracer {
    /// Begins a recording in that folder, for a server of that name.
    pub fn start(told: &Tracing, server: &str, given: &Config, names: &Names) -> std::io::Result<Tracer> {
        let recording = Recording {
            version: told.format,
            server: server.to_owned(),
            names: dictionary(given, names),
            terms: Terms {
                records: told.block as usize,
                seal_after: told.seal_after,
                rotate_bytes: told.rotate_size.0,
                rotate_after: told.rotate_after,
                keep_bytes: told.keep_size.0,
            },
            queue: told.queue as usize,
        };
        let disk = Disk::new(Path::new(&told.folder), server, told.sync);
        let recorder = Recorder::start(disk, recording, |trouble| {
            if let Some(count) = TROUBLE.pass() {
                log::warn!("trace: {trouble} ({count} so far)");
            }
        })?;
        Ok(Tracer { recorder })
    }

    /// Records missing so far, and failures of the disk, for the log.
    pub fn told(&self) -> String {
        let (missing, failures) = self.recorder.dropped();
        format!("trace: {missing} records missing, {failures} failures of the disk")
    }

    /// Ends the recording.
    pub fn finish(&self) {
        if !self.recorder.finish(LAST) {
            log::warn!("trace: the disk does not let it end");
        }
    }

    /// Records a req that is over now.
    pub fn record(&self, life: &Life, over: Instant) {
        self.recorder.record(record(life, over, |at| self.recorder.unix(at)));
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

fn record(life: &Life, over: Instant, unix: impl Fn(Instant) -> Micros) -> Record {
    let age = micros(life.age);
    let since = |at: Instant| match at.checked_duration_since(life.entered) {
        Some(after) => age.saturating_add(micros(after)),
        None => age.saturating_sub(micros(life.entered.saturating_duration_since(at))),
    };
    Record {
        server: 0,
        handler: life.handler as u32,
        tenant: life.tenant.map(|tenant| tenant as u32),
        id: life.traced.number,
        key: life.traced.key,
        subject: life.traced.subject,
        caller: life.traced.caller,
        retry: life.retry,
        reached: unix(life.entered).saturating_sub(age),
        read: Some(since(life.traced.read)),
        admitted: life.admitted.map(since),
        run: life.run.map(since),
        called: life.called.map(since),
        answered: life.answered.map(since),
        over: Some(since(over)),
        patience: life.patience.map(micros),
        hint: life.hint.map(micros),
        work: life.work.map(micros),
        outcome: life.outcome,
        reason: life.reason,
        no_more: life.no_more,
        wait: life.wait.map(micros),
        calls: life.calls,
        skipped: life.skipped,
        advice: life.advice,
    }
}

/// Handlers and tenants with what a summary needs of them, in the order of their indices.
fn dictionary(given: &Config, names: &Names) -> Dictionary {
    let named = |all: &std::collections::HashMap<String, usize>, at: usize| {
        all.iter().find(|(_, place)| **place == at).map_or_else(String::new, |(name, _)| name.clone())
    };
    let handlers = given.handlers.iter().enumerate().map(|(at, handler)| HandlerName {
        name: named(&names.handlers, at),
        response_target: micros(handler.latency_objective),
        target_stretch: handler.objective_stretch,
        client_timeout: micros(handler.client_timeout),
        value: handler.priority_weight,
        skip_value: handler.degraded_weight,
    });
    let tenants = (0..given.tenants.len()).map(|at| TenantName { name: named(&names.tenants, at) });
    Dictionary { servers: Vec::new(), handlers: handlers.collect(), tenants: tenants.collect() }
}
