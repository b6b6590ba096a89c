//! Records of synthetic load: arrivals at random, handlers of different work and value, tenants of different share,
//! subjects and edge nodes by a Zipf law, a server of some cores that sheds what would be late, and tries that come
//! again. The same seed gives the same records.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Zipf};

use crate::Micros;
use crate::heads::Names;
use crate::names::{HandlerName, TenantName};
use crate::record::{Outcome, Reason, Record};

/// What is to be made.
#[derive(Clone, Debug)]
pub struct Load {
    pub span: Micros,
    /// First tries a second.
    pub rate: f64,
    pub seed: u64,
    /// When it begins, in Unix time.
    pub start: Micros,
    /// The index of the server in each record.
    pub server: u32,
    pub cores: usize,
}

impl Default for Load {
    fn default() -> Self {
        let start = 1_764_576_000_000_000;
        Load { span: 60_000_000, rate: 190.0, seed: 1, start, server: 0, cores: 12 }
    }
}

const CALLERS: u64 = 24;
const SUBJECTS: f64 = 40_000.0;
/// Of what was shed and not told to stay away, this part comes again.
const AGAIN: f64 = 0.6;
const TRIES_MOST: u32 = 4;

impl Load {
    pub fn names(server: &str) -> Names {
        let handler = |name: &str, target: Micros, timeout: Micros, value, skip_value| HandlerName {
            name: name.to_owned(),
            response_target: target * 1000,
            target_stretch: 0.0,
            client_timeout: timeout * 1000,
            value,
            skip_value,
        };
        Names {
            servers: vec![server.to_owned()],
            handlers: vec![
                handler("preview", 300, 1500, 1.0, 0.6),
                handler("page", 600, 2500, 4.0, 0.5),
                handler("buy", 1200, 6000, 20.0, 0.0),
            ],
            tenants: ["north", "south", "east", "west", "old-town", "harbour"]
                .map(|name| TenantName { name: name.to_owned() })
                .to_vec(),
        }
    }
}

/// A try that is to come.
struct Try {
    record: Record,
    tries: u32,
}

/// Makes the records of a load, in the order in which they are over; each with the time when that is.
pub fn synth(load: &Load, mut out: impl FnMut(Micros, Record)) {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let mut coming: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    let mut tries: std::collections::BTreeMap<u64, Try> = std::collections::BTreeMap::new();
    let mut over: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    let mut ended: std::collections::BTreeMap<u64, Record> = std::collections::BTreeMap::new();
    let mut free = vec![0 as Micros; load.cores.max(1)];
    let (mut count, mut next_first) = (0u64, 0 as Micros);
    let pause = Exp::new(load.rate.max(1e-6)).unwrap_or_else(|_| unreachable!("the rate is above 0"));
    let subjects = Zipf::new(SUBJECTS, 1.05).unwrap_or_else(|_| unreachable!("the law makes sense"));
    let works = [(40.0, 0.5), (55.0, 0.6), (30.0, 0.4)].map(|(middle, spread): (f64, f64)| {
        LogNormal::new(middle.ln(), spread).unwrap_or_else(|_| unreachable!("the law makes sense"))
    });
    loop {
        // The next first try, or a further one that is due sooner.
        let again = coming.peek().map(|Reverse((at, _))| *at);
        let (at, this) = match again {
            Some(at) if at < next_first || next_first >= load.span => {
                let Some(Reverse((_, number))) = coming.pop() else { continue };
                let Some(this) = tries.remove(&number) else { continue };
                (at, this)
            }
            _ if next_first >= load.span => break,
            _ => {
                let at = next_first;
                next_first += (pause.sample(&mut random) * 1e6) as Micros;
                (at, Try { record: first(load, &mut random, &subjects, &works), tries: 1 })
            }
        };
        while let Some(&Reverse((end, number))) = over.peek()
            && end <= at
        {
            over.pop();
            if let Some(record) = ended.remove(&number) {
                out(load.start + end, record);
            }
        }
        let mut record = this.record.clone();
        record.id = random.next_u64();
        // Stamped by edge nodes in whole milliseconds.
        record.reached = load.start + at / 1000 * 1000;
        serve(load, at, &mut record, &mut free, &mut random);
        let end = record.reached - load.start + record.over.unwrap_or(0);
        count += 1;
        if record.outcome == Outcome::Shed
            && !record.no_more
            && this.tries < TRIES_MOST
            && random.random_bool(AGAIN)
        {
            let wait = record.wait.unwrap_or(0) + random.random_range(20_000..400_000);
            let mut further = Record { retry: true, ..this.record };
            further.caller = record.caller;
            tries.insert(count, Try { record: further, tries: this.tries + 1 });
            coming.push(Reverse((end + wait, count)));
        }
        over.push(Reverse((end, count)));
        ended.insert(count, record);
    }
    while let Some(Reverse((end, number))) = over.pop() {
        if let Some(record) = ended.remove(&number) {
            out(load.start + end, record);
        }
    }
}

/// What a client asks for.
fn first(load: &Load, random: &mut ChaCha8Rng, subjects: &Zipf<f64>, works: &[LogNormal<f64>; 3]) -> Record {
    let handler = match random.random_range(0..100) {
        0..55 => 0usize,
        55..92 => 1,
        _ => 2,
    };
    let work = (works[handler].sample(random) * 1e3) as Micros;
    // Hints are rough, in hundredths of a millisecond.
    let hint = (work as f64 * random.random_range(0.7..1.4) / 10.0) as Micros * 10;
    let tenant = [24, 47, 65, 78, 90].iter().filter(|&&to| random.random_range(0..100) >= to).count() as u32;
    let keyed = handler == 2;
    // A subject's number says nothing of how popular it is.
    let subject = subjects.sample(random) as u64;
    Record {
        server: load.server,
        handler: handler as u32,
        tenant: Some(tenant),
        key: keyed.then(|| random.next_u64()),
        subject: (!keyed).then(|| scatter(subject)),
        caller: Some(random.random_range(0..CALLERS)),
        patience: (random.random_range(0..10) < 3)
            .then(|| [1500, 2500, 6000][handler] * 1000 - random.random_range(0..200) * 1000),
        hint: Some(hint),
        work: Some(work),
        ..Record::default()
    }
}

fn scatter(value: u64) -> u64 {
    let mixed = (value ^ value >> 31).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    (mixed ^ mixed >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9)
}

/// What a server of some cores makes of it.
fn serve(load: &Load, at: Micros, record: &mut Record, free: &mut [Micros], random: &mut ChaCha8Rng) {
    let read = at % 1000 + random.random_range(150..2500);
    let stamp = at / 1000 * 1000;
    let now = stamp + read;
    record.read = Some(read);
    record.admitted = Some(read + random.random_range(2..9));
    let work = record.work.take().unwrap_or(0);
    let Some(core) = (0..free.len()).min_by_key(|&core| free[core]) else { return };
    let wait = (free[core] - now).max(0);
    let target = [300_000, 600_000, 1_200_000][record.handler as usize % 3];
    let busy = free.iter().filter(|&&until| until > now).count() as f64 / load.cores.max(1) as f64;
    record.advice = Some(((1.0 - 0.8 * busy) * 20.0).round() / 20.0);
    let shed = if wait + record.hint.unwrap_or(0) > target * 65 / 100 {
        Some(Reason::LATE)
    } else if busy >= 1.0 && record.handler == 0 && random.random_bool(0.1) {
        Some(Reason::SHARE)
    } else {
        None
    };
    if let Some(reason) = shed {
        record.outcome = Outcome::Shed;
        record.reason = reason;
        record.answered = record.admitted.map(|at| at + random.random_range(5..60));
        record.over = record.answered;
        record.no_more = record.retry;
        record.wait = (busy >= 1.0 && wait > target / 2).then_some(250_000);
        record.admitted = None;
        return;
    }
    let run = read + wait + random.random_range(8..40);
    let calls = if record.handler == 2 { 1 } else { u32::from(random.random_bool(0.7)) };
    let call = if calls > 0 { random.random_range(4_000..40_000) } else { 0 };
    record.run = Some(run);
    record.called = (calls > 0).then(|| run + work / 4);
    record.calls = calls;
    record.skipped = u32::from(calls == 0);
    let end = run + work + call;
    free[core] = stamp + end;
    record.work = Some(work);
    record.answered = Some(end + random.random_range(5..60));
    record.over = record.answered;
    if random.random_bool(0.002) {
        (record.outcome, record.reason) = (Outcome::Errored, Reason::RUN_ERRORED);
    } else if random.random_bool(0.001) {
        record.outcome = Outcome::Gone;
    }
}
