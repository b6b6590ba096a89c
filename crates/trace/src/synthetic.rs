//! Generates records of synthetic load: Poisson arrivals, handlers with different work and weight,
//! tenants with different shares, Zipf-distributed subjects, a server that rejects requests that
//! would be late, and clients that retry. The same seed gives the same records.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use crate::Micros;
use crate::dictionary::{Dictionary, HandlerInfo, TenantInfo};
use crate::record::{Outcome, Reason, Record};

/// Number of edge nodes.
const CALLERS: u64 = 24;
/// Number of subjects.
const SUBJECTS: f64 = 40_000.0;
/// Exponent of the Zipf distribution of subjects.
const SUBJECT_EXPONENT: f64 = 1.05;
/// Median work in milliseconds, and standard deviation of its logarithm, for each handler.
const HANDLER_WORK: [(f64, f64); 3] = [(40.0, 0.5), (55.0, 0.6), (30.0, 0.4)];
/// Latency objective of each handler, in microseconds.
const LATENCY_OBJECTIVES: [Micros; 3] = [300_000, 600_000, 1_200_000];
/// Client timeout of each handler, in milliseconds.
const CLIENT_TIMEOUTS_MS: [Micros; 3] = [1500, 2500, 6000];
/// Index of the handler whose requests have idempotency keys.
const KEYED_HANDLER: usize = 2;
/// Probability that a client retries a rejected attempt, if it may retry.
const RETRY_PROBABILITY: f64 = 0.6;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// The parameters of the load.
#[derive(Clone, Debug)]
pub struct SyntheticLoad {
    /// The duration of the load.
    pub duration: Micros,
    /// First attempts per second.
    pub rate: f64,
    /// The seed of the random numbers.
    pub seed: u64,
    /// When the load begins, Unix time.
    pub start: Micros,
    /// The index of the server in each record.
    pub server: u32,
    /// Cores of the server.
    pub cores: usize,
}

impl Default for SyntheticLoad {
    fn default() -> Self {
        let start = 1_764_576_000_000_000;
        SyntheticLoad {
            duration: 60_000_000,
            rate: 190.0,
            seed: 1,
            start,
            server: 0,
            cores: 12,
        }
    }
}

impl SyntheticLoad {
    /// The dictionary of the records, with one server, `server`.
    pub fn dictionary(server: &str) -> Dictionary {
        let handler = |name: &str, index: usize, priority_weight, degraded_weight| HandlerInfo {
            name: name.to_owned(),
            latency_objective: LATENCY_OBJECTIVES[index],
            objective_stretch: 0.0,
            client_timeout: CLIENT_TIMEOUTS_MS[index] * 1000,
            priority_weight,
            degraded_weight,
        };
        Dictionary {
            servers: vec![server.to_owned()],
            handlers: vec![
                handler("preview", 0, 1.0, 0.6),
                handler("page", 1, 4.0, 0.5),
                handler("buy", 2, 20.0, 0.0),
            ],
            tenants: ["north", "south", "east", "west", "old-town", "harbour"]
                .map(|name| TenantInfo {
                    name: name.to_owned(),
                })
                .to_vec(),
        }
    }
}

/// An attempt before it is served.
struct PendingAttempt {
    record: Record,
    /// The number of attempts of the request so far, including this one.
    attempts: u32,
}

/// A priority queue of values by time. Values with the same time are ordered by their numbers.
struct Schedule<T> {
    times: BinaryHeap<Reverse<(Micros, u64)>>,
    values: BTreeMap<u64, T>,
}

impl<T> Default for Schedule<T> {
    fn default() -> Self {
        Schedule {
            times: BinaryHeap::new(),
            values: BTreeMap::new(),
        }
    }
}

impl<T> Schedule<T> {
    fn insert(&mut self, at: Micros, number: u64, value: T) {
        self.times.push(Reverse((at, number)));
        self.values.insert(number, value);
    }

    fn next_time(&self) -> Option<Micros> {
        self.times.peek().map(|Reverse((at, _))| *at)
    }

    fn pop(&mut self) -> Option<(Micros, T)> {
        let Reverse((at, number)) = self.times.pop()?;
        Some((at, self.values.remove(&number)?))
    }
}

/// The random distributions of the generator.
struct Distributions {
    interarrival_time: Exp<f64>,
    subject: Zipf<f64>,
    work: [LogNormal<f64>; 3],
}

impl Distributions {
    fn new(rate: f64) -> Self {
        Distributions {
            interarrival_time: Exp::new(rate.max(1e-6))
                .unwrap_or_else(|_| unreachable!("the rate is above 0")),
            subject: Zipf::new(SUBJECTS, SUBJECT_EXPONENT)
                .unwrap_or_else(|_| unreachable!("the parameters are valid")),
            work: HANDLER_WORK.map(|(median, spread)| {
                LogNormal::new(median.ln(), spread)
                    .unwrap_or_else(|_| unreachable!("the parameters are valid"))
            }),
        }
    }
}

/// Generates the records of a load and passes them to `out` in the order in which the attempts are
/// released, each with its release time (Unix time).
pub fn generate_load(load: &SyntheticLoad, mut out: impl FnMut(Micros, Record)) {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let distributions = Distributions::new(load.rate);
    let mut retries: Schedule<PendingAttempt> = Schedule::default();
    let mut released: Schedule<Record> = Schedule::default();
    let mut core_free_at = vec![0 as Micros; load.cores.max(1)];
    let (mut number, mut next_arrival) = (0u64, 0 as Micros);
    loop {
        // The next attempt is a retry if one is due before the next first attempt, or if there are
        // no further first attempts.
        let next_retry = retries
            .next_time()
            .filter(|&at| at < next_arrival || next_arrival >= load.duration);
        let (at, attempt) = if next_retry.is_some() {
            let Some(retry) = retries.pop() else { continue };
            retry
        } else if next_arrival >= load.duration {
            break;
        } else {
            let at = next_arrival;
            next_arrival += (distributions.interarrival_time.sample(&mut random) * 1e6) as Micros;
            let record = first_attempt(load, &mut random, &distributions);
            (
                at,
                PendingAttempt {
                    record,
                    attempts: 1,
                },
            )
        };
        while released.next_time().is_some_and(|end| end <= at) {
            if let Some((end, record)) = released.pop() {
                out(load.start + end, record);
            }
        }
        let mut record = attempt.record.clone();
        record.id = random.next_u64();
        // Edge nodes stamp requests in whole milliseconds.
        record.reached = load.start + at / 1000 * 1000;
        serve(load, at, &mut record, &mut core_free_at, &mut random);
        let end = record.reached - load.start + record.released.unwrap_or(0);
        number += 1;
        if record.outcome == Outcome::Rejected
            && !record.no_retry
            && attempt.attempts < MAX_ATTEMPTS
            && random.random_bool(RETRY_PROBABILITY)
        {
            let pause = record.retry_after.unwrap_or(0) + random.random_range(20_000..400_000);
            let retry = Record {
                is_retry: true,
                ..attempt.record
            };
            let retry = PendingAttempt {
                record: retry,
                attempts: attempt.attempts + 1,
            };
            retries.insert(end + pause, number, retry);
        }
        released.insert(end, number, record);
    }
    while let Some((end, record)) = released.pop() {
        out(load.start + end, record);
    }
}

/// The first attempt of a request, as its client sends it.
fn first_attempt(
    load: &SyntheticLoad,
    random: &mut ChaCha8Rng,
    distributions: &Distributions,
) -> Record {
    let handler = match random.random_range(0..100) {
        0..55 => 0usize,
        55..92 => 1,
        _ => KEYED_HANDLER,
    };
    let work = (distributions.work[handler].sample(random) * 1e3) as Micros;
    // Estimates differ from the work, and are in whole hundredths of a millisecond.
    let estimated_work = (work as f64 * random.random_range(0.7..1.4) / 10.0) as Micros * 10;
    let tenant = [24, 47, 65, 78, 90]
        .iter()
        .filter(|&&to| random.random_range(0..100) >= to)
        .count() as u32;
    let is_keyed = handler == KEYED_HANDLER;
    let subject_rank = distributions.subject.sample(random) as u64;
    Record {
        server: load.server,
        handler: handler as u32,
        tenant: Some(tenant),
        key: is_keyed.then(|| random.next_u64()),
        // The number of a subject must not reveal its popularity.
        subject: (!is_keyed).then(|| mix_bits(subject_rank)),
        caller: Some(random.random_range(0..CALLERS)),
        client_wait: (random.random_range(0..10) < 3)
            .then(|| CLIENT_TIMEOUTS_MS[handler] * 1000 - random.random_range(0..200) * 1000),
        estimated_work: Some(estimated_work),
        work: Some(work),
        ..Record::default()
    }
}

/// Maps numbers one to one to numbers that are spread over 64 bits.
fn mix_bits(value: u64) -> u64 {
    let mixed = (value ^ value >> 31).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

/// Serves an attempt that reaches the server at `at`, and completes its record.
fn serve(
    load: &SyntheticLoad,
    at: Micros,
    record: &mut Record,
    core_free_at: &mut [Micros],
    random: &mut ChaCha8Rng,
) {
    let read = at % 1000 + random.random_range(150..2500);
    let reached = at / 1000 * 1000;
    let now = reached + read;
    record.read = Some(read);
    record.admitted = Some(read + random.random_range(2..9));
    let work = record.work.take().unwrap_or(0);
    let Some(core) = (0..core_free_at.len()).min_by_key(|&core| core_free_at[core]) else {
        return;
    };
    let queue_wait = (core_free_at[core] - now).max(0);
    let objective = LATENCY_OBJECTIVES[record.handler as usize % 3];
    let busy_cores = core_free_at.iter().filter(|&&until| until > now).count();
    let utilization = busy_cores as f64 / load.cores.max(1) as f64;
    record.feedback = Some(((1.0 - 0.8 * utilization) * 20.0).round() / 20.0);
    let rejection = if queue_wait + record.estimated_work.unwrap_or(0) > objective * 65 / 100 {
        Some(Reason::PREDICTED_LATE)
    } else if utilization >= 1.0 && record.handler == 0 && random.random_bool(0.1) {
        Some(Reason::ADMISSION_CONTROL)
    } else {
        None
    };
    if let Some(reason) = rejection {
        record.outcome = Outcome::Rejected;
        record.reason = reason;
        record.answered = record.admitted.map(|at| at + random.random_range(5..60));
        record.released = record.answered;
        record.no_retry = record.is_retry;
        record.retry_after = (utilization >= 1.0 && queue_wait > objective / 2).then_some(250_000);
        record.admitted = None;
        return;
    }
    let started = read + queue_wait + random.random_range(8..40);
    let calls = if record.handler as usize == KEYED_HANDLER {
        1
    } else {
        u32::from(random.random_bool(0.7))
    };
    let call_time = if calls > 0 {
        random.random_range(4_000..40_000)
    } else {
        0
    };
    record.started = Some(started);
    record.first_call = (calls > 0).then(|| started + work / 4);
    record.calls = calls;
    record.skipped_calls = u32::from(calls == 0);
    let end = started + work + call_time;
    core_free_at[core] = reached + end;
    record.work = Some(work);
    record.answered = Some(end + random.random_range(5..60));
    record.released = record.answered;
    if random.random_bool(0.002) {
        (record.outcome, record.reason) = (Outcome::Failed, Reason::RUN_FAILED);
    } else if random.random_bool(0.001) {
        record.outcome = Outcome::Abandoned;
    }
}
