//! The cost of an operation on the limiter's data structures and on equivalent ones of the standard
//! library, and of a decision of the limiter, with 512, 10,000 and 1,000,000 entries.

use std::collections::{BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use tulipgap_connection_limits::{
    Action, Config, ConnectionId, ConnectionLimit, DescriptorOwner, Event, FullPolicy, Limiter,
    LinkedQueues, NetworkCounts, NetworkLimits, NetworkPrefix, Reservation, TimerWheel,
};

const SIZES: [usize; 3] = [512, 10_000, 1_000_000];

fn us(span: u64) -> Duration {
    Duration::from_micros(span)
}

fn deadlines(c: &mut Criterion) {
    let mut group = c.benchmark_group("move a deadline and advance the time");
    for size in SIZES {
        let mut rng = fastrand::Rng::with_seed(1);
        let mut wheel = TimerWheel::new(Duration::from_millis(10));
        let mut tree = BTreeSet::new();
        let mut at: Vec<Duration> = (0..size)
            .map(|_| us(rng.u64(2_000_000..4_000_000)))
            .collect();
        for (index, &at) in at.iter().enumerate() {
            wheel.set(index, at);
            tree.insert((at, index));
        }
        let (mut now, mut expired) = (Duration::ZERO, Vec::new());
        group.bench_function(BenchmarkId::new("wheel", size), |b| {
            b.iter(|| {
                now += us(1);
                wheel.set(rng.usize(..size), now + us(2_000_000));
                wheel.advance(now, &mut expired);
                expired
                    .drain(..)
                    .for_each(|index| wheel.set(index, now + us(2_000_000)));
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
        // A scan of the deadlines of all connections.
        group.bench_function(BenchmarkId::new("scan all", size), |b| {
            b.iter(|| at.iter().filter(|&&at| at <= now).count());
        });
    }
    group.finish();
}

fn eviction(c: &mut Criterion) {
    let mut group = c.benchmark_group("use an entry and find the least recently used");
    for size in SIZES {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut queues = LinkedQueues::new(5);
        let mut used: Vec<u64> = (0..size as u64).collect();
        (0..size).for_each(|index| queues.push_back(index, 3));
        let mut now = size as u64;
        group.bench_function(BenchmarkId::new("queues", size), |b| {
            b.iter(|| {
                queues.push_back(rng.usize(..size), 3);
                queues.front(3)
            });
        });
        group.bench_function(BenchmarkId::new("scan all", size), |b| {
            b.iter(|| {
                now += 1;
                used[rng.usize(..size)] = now;
                used.iter()
                    .enumerate()
                    .min_by_key(|(_, used)| **used)
                    .map(|(index, _)| index)
            });
        });
    }
    group.finish();
}

fn addresses(c: &mut Criterion) {
    let mut group = c.benchmark_group("increment and decrement the count of an address");
    for size in SIZES {
        let key = |number: usize| {
            NetworkPrefix::of_address(Ipv4Addr::from(number as u32 ^ 0x0A00_0000).into())
        };
        let mut counts = NetworkCounts::new(size, 7);
        let mut map: HashMap<NetworkPrefix, u32> = HashMap::with_capacity(size);
        for number in 0..size - 1 {
            counts.increment(key(number));
            map.insert(key(number), 1);
        }
        let mut next = size;
        group.bench_function(BenchmarkId::new("counts", size), |b| {
            b.iter(|| {
                next += 1;
                counts.increment(key(next));
                counts.decrement(key(next));
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

/// Accepts and closes a connection while this number of others are open.
fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decide on a connection");
    for size in SIZES {
        let limit = ConnectionLimit {
            max_connections: 2000,
            max_rate: u32::MAX / 4,
        };
        let config = Config {
            max_descriptors: size + 10,
            reservations: vec![Reservation {
                owner: DescriptorOwner::Process,
                descriptors: 4,
            }],
            network_limits: Some(NetworkLimits {
                address: limit,
                network: limit,
                wide_network: limit,
            }),
            full_policy: FullPolicy::Reject,
            trusted_networks: Vec::new(),
            reputation_half_life: Duration::from_secs(600),
            message_timeout: Duration::from_secs(3600),
            idle_timeout: Duration::from_secs(3600),
            cold_start_fraction: 1.0,
            warm_up: Duration::ZERO,
        };
        let mut limiter = Limiter::new(config, 1).unwrap();
        let (mut actions, mut now) = (Vec::new(), Duration::ZERO);
        let address =
            |number: usize| Ipv4Addr::from((number as u32).wrapping_mul(2_654_435_761)).into();
        for index in 0..size {
            let connection = ConnectionId(index);
            actions.clear();
            let accepted = Event::Accepted {
                connection,
                address: address(index),
            };
            limiter.handle_event(now, accepted, &mut actions);
            limiter.handle_event(now, Event::RequestStarted { connection }, &mut actions);
        }
        let connection = ConnectionId(size);
        let mut number = size;
        group.bench_function(BenchmarkId::new("accept and close", size), |b| {
            b.iter(|| {
                number += 1;
                now += us(1);
                actions.clear();
                let accepted = Event::Accepted {
                    connection,
                    address: address(number),
                };
                limiter.handle_event(now, accepted, &mut actions);
                if matches!(actions[0], Action::Serve { .. }) {
                    limiter.handle_event(now, Event::Closed { connection }, &mut actions);
                }
                actions.len()
            });
        });
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    deadlines(&mut criterion);
    eviction(&mut criterion);
    addresses(&mut criterion);
    decisions(&mut criterion);
    criterion.final_summary();
}
