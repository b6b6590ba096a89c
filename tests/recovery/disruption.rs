//! Disruptions of a server, sampled from a seed.

use std::time::Duration;

use fastrand::Rng;
use tulipgap::Gauges;

/// What disrupts a server while it gets its ordinary traffic.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The executor takes requests, and ends and cancels none.
    Hang,
    /// Runs take this many times longer.
    SlowRuns(f64),
    /// Runs fail at their end.
    FailingRuns,
    /// The executor loses all runs at the beginning, and starts none.
    ExecutorLost,
    /// The dependency takes calls and does not reply.
    SilentCalls,
    /// Calls take this many times longer.
    SlowCalls(f64),
    /// The dependency rejects all calls.
    RejectedCalls,
    /// Callers disconnect after this time.
    CallersGiveUp(Duration),
    /// This many times as many requests arrive, and reading them takes the cores.
    Burst(f64),
    /// The process does not run.
    Stall,
    /// No request arrives.
    Quiet,
    /// One client sends requests with these fields.
    OddArrivals(OddFields),
    /// The gauges have values at the edges of their range.
    OddGauges,
}

/// Fields of requests at the edges of their ranges, each where it is not an ordinary one.
#[derive(Clone, Debug)]
pub(crate) struct OddFields {
    /// Nobody else sends requests.
    pub(crate) is_alone: bool,
    pub(crate) estimated_work: Option<Duration>,
    pub(crate) age: Option<Duration>,
    pub(crate) client_wait: Option<Duration>,
    pub(crate) queued_kb: Option<f64>,
    pub(crate) is_retry: bool,
}

impl OddFields {
    fn sample(rng: &mut Rng) -> Self {
        OddFields {
            is_alone: rng.bool(),
            estimated_work: rng.bool().then(|| odd_duration(rng)),
            age: rng.bool().then(|| odd_duration(rng)),
            client_wait: rng.bool().then(|| odd_duration(rng)),
            queued_kb: rng.bool().then(|| odd_number(rng)),
            is_retry: rng.bool(),
        }
    }
}

/// A fault, and how long it lasts.
#[derive(Clone, Debug)]
pub(crate) struct Disruption {
    pub(crate) fault: Fault,
    pub(crate) length: Duration,
}

const MAX_LENGTH_SECONDS: f64 = 23.0;
const MAX_STALL_SECONDS: f64 = 5.0;

impl Disruption {
    /// Samples a disruption.
    pub(crate) fn sample(rng: &mut Rng) -> Self {
        let fault = match rng.u8(..13) {
            0 => Fault::Hang,
            1 => Fault::SlowRuns(2.0 + 18.0 * rng.f64()),
            2 => Fault::FailingRuns,
            3 => Fault::ExecutorLost,
            4 => Fault::SilentCalls,
            5 => Fault::SlowCalls(2.0 + 48.0 * rng.f64()),
            6 => Fault::RejectedCalls,
            7 => Fault::CallersGiveUp(Duration::from_millis(rng.u64(1..500))),
            8 => Fault::Burst(2.0 + 18.0 * rng.f64()),
            9 => Fault::Stall,
            10 => Fault::Quiet,
            11 => Fault::OddArrivals(OddFields::sample(rng)),
            _ => Fault::OddGauges,
        };
        let max_seconds = match fault {
            Fault::Stall => MAX_STALL_SECONDS,
            _ => MAX_LENGTH_SECONDS,
        };
        Disruption {
            fault,
            length: Duration::from_secs_f64(max_seconds * rng.f64()),
        }
    }
}

/// A duration at the edge of a range: zero, below a tick, far beyond any client timeout.
fn odd_duration(rng: &mut Rng) -> Duration {
    rng.choice([
        Duration::ZERO,
        Duration::from_nanos(1),
        Duration::from_micros(1),
        Duration::from_micros(10),
        Duration::from_millis(1),
        Duration::from_millis(100),
        Duration::from_secs(10),
        Duration::from_secs(3_600),
        Duration::MAX,
    ])
    .expect("the list is not empty")
}

/// A number at the edge of the range of a gauge or of a size.
fn odd_number(rng: &mut Rng) -> f64 {
    rng.choice([
        0.0,
        -1.0,
        1e-9,
        1.0,
        50.0,
        1e300,
        f64::INFINITY,
        f64::NEG_INFINITY,
        f64::NAN,
    ])
    .expect("the list is not empty")
}

/// Gauges of which each is absent or odd.
pub(crate) fn odd_gauges(rng: &mut Rng) -> Gauges {
    let mut gauge = || rng.bool().then(|| odd_number(rng));
    Gauges {
        busy_fraction: gauge(),
        runnable: gauge(),
        open_connections: gauge(),
    }
}
