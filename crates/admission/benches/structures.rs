//! The structures against plain ones, at 512, 10,000 and 1,000,000 entries: what one event costs, and what a look at
//! everything does.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use tulipgap_admission::*;

const SIZES: [usize; 3] = [512, 10_000, 1_000_000];

fn us(span: u64) -> Duration {
    Duration::from_micros(span)
}

fn deadlines(c: &mut Criterion) {
    let mut group = c.benchmark_group("a deadline moved, and time passed");
    for size in SIZES {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut wheel = Wheel::new(Duration::from_millis(10));
        let mut tree = BTreeSet::new();
        let mut at: Vec<Duration> = (0..size).map(|_| us(rng.u64(2_000_000..4_000_000))).collect();
        for (index, &at) in at.iter().enumerate() {
            wheel.set(index, at);
            tree.insert((at, index));
        }
        let (mut now, mut due) = (Duration::ZERO, Vec::new());
        group.bench_function(BenchmarkId::new("wheel", size), |b| {
            b.iter(|| {
                now += us(1);
                wheel.set(rng.usize(..size), now + us(2_000_000));
                wheel.advance(now, &mut due);
                due.drain(..).for_each(|index| wheel.set(index, now + us(2_000_000)));
            });
        });
        let mut now = Duration::ZERO;
        group.bench_function(BenchmarkId::new("ordered set", size), |b| {
            b.iter(|| {
                now += us(1);
                let index = rng.usize(..size);
                tree.remove(&(at[index], index));
                at[index] = now + us(2_000_000);
                tree.insert((at[index], index));
                while let Some(&(first, index)) = tree.first().filter(|(first, _)| *first <= now) {
                    tree.remove(&(first, index));
                    at[index] = now + us(2_000_000);
                    tree.insert((at[index], index));
                }
            });
        });
        // As the sweep over all connections did, twice a second.
        group.bench_function(BenchmarkId::new("look at all, once", size), |b| {
            b.iter(|| at.iter().filter(|&&at| at <= now).count());
        });
    }
    group.finish();
}

fn eviction(c: &mut Criterion) {
    let mut group = c.benchmark_group("one used, and the one used longest ago found");
    for size in SIZES {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut queues = Queues::new(5);
        let mut used: Vec<u64> = (0..size as u64).collect();
        (0..size).for_each(|index| queues.put(index, 3));
        let mut now = size as u64;
        group.bench_function(BenchmarkId::new("queues", size), |b| {
            b.iter(|| {
                queues.put(rng.usize(..size), 3);
                queues.first(3)
            });
        });
        group.bench_function(BenchmarkId::new("look at all", size), |b| {
            b.iter(|| {
                now += 1;
                used[rng.usize(..size)] = now;
                used.iter().enumerate().min_by_key(|(_, used)| **used).map(|(index, _)| index)
            });
        });
    }
    group.finish();
}

fn addresses(c: &mut Criterion) {
    let mut group = c.benchmark_group("an address counted in and out");
    for size in SIZES {
        let key = |number: usize| Prefix::address(Ipv4Addr::from(number as u32 ^ 0x0A00_0000).into());
        let mut counts = Counts::new(size, 7);
        let mut map: HashMap<Prefix, u32> = HashMap::with_capacity(size);
        for number in 0..size - 1 {
            counts.add(key(number));
            map.insert(key(number), 1);
        }
        let mut next = size;
        group.bench_function(BenchmarkId::new("counts", size), |b| {
            b.iter(|| {
                next += 1;
                counts.add(key(next));
                counts.remove(key(next));
                counts.get(key(next % size))
            });
        });
        group.bench_function(BenchmarkId::new("hash map", size), |b| {
            b.iter(|| {
                next += 1;
                *map.entry(key(next)).or_default() += 1;
                map.remove(&key(next));
                map.get(&key(next % size)).copied()
            });
        });
    }
    group.finish();
}

/// A newcomer refused while that many connections are open, and one let in and closed.
fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("a connection");
    for size in SIZES {
        let terms = Terms {
            descriptors: size + 10,
            reserves: vec![(Part::Own, 4)],
            caps: Some(
                [Cap { open: 2, rate: u32::MAX / 4 }; 3].map(|cap| Cap { open: cap.open * 1000, ..cap }),
            ),
            when_full: WhenFull::Refuse,
            listed: Vec::new(),
            half_life: Duration::from_secs(600),
            message: Duration::from_secs(3600),
            idle: Duration::from_secs(3600),
            cold_part: 1.0,
            warm_up: Duration::ZERO,
        };
        let mut admission = Admission::new(terms, 1).unwrap();
        let (mut acts, mut now) = (Vec::new(), Duration::ZERO);
        let address = |number: usize| Ipv4Addr::from((number as u32).wrapping_mul(2_654_435_761)).into();
        for conn in 0..size {
            acts.clear();
            admission.on(now, News::Came { conn, address: address(conn) }, &mut acts);
            admission.on(now, News::Opened { conn }, &mut acts);
        }
        let mut number = size;
        group.bench_function(BenchmarkId::new("let in and closed", size), |b| {
            b.iter(|| {
                number += 1;
                now += us(1);
                acts.clear();
                admission.on(now, News::Came { conn: size, address: address(number) }, &mut acts);
                if matches!(acts[0], Act::Let { .. }) {
                    admission.on(now, News::Closed { conn: size }, &mut acts);
                }
                acts.len()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, deadlines, eviction, addresses, decisions);
criterion_main!(benches);
