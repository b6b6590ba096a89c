//! Measures the time to record a minute of records, and the time to find the blocks of a filter by
//! the index and by a linear scan.

use std::io;
use std::time::Duration;

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput};
use tulipgap_trace::{
    BlockEntry, Filter, Index, Micros, Record, Recorder, RecorderConfig, RetentionConfig,
    RotatingWriter, Storage, StoredFile, SyntheticLoad, generate_load,
};

const SECOND: Micros = 1_000_000;

/// A storage that discards all writes.
struct NullStorage;

impl Storage for NullStorage {
    type File = io::Sink;

    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        Ok(Vec::new())
    }

    fn create(&mut self, _: u64) -> io::Result<io::Sink> {
        Ok(io::sink())
    }

    fn sync(&mut self, _: &mut io::Sink) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}

fn load(duration: Micros) -> Vec<(Micros, Record)> {
    let mut all = Vec::new();
    let load = SyntheticLoad {
        duration,
        ..SyntheticLoad::default()
    };
    generate_load(&load, |released, record| {
        all.push((released - load.start, record))
    });
    all
}

fn recording() -> RecorderConfig {
    let retention = RetentionConfig {
        block_records: 4096,
        seal_after: Duration::from_secs(5),
        rotate_bytes: 1 << 40,
        rotate_after: Duration::from_secs(1 << 30),
        keep_bytes: 1 << 50,
    };
    RecorderConfig {
        version: 2,
        server: "n1".into(),
        names: SyntheticLoad::dictionary("n1"),
        retention,
        queue_capacity: 1 << 16,
    }
}

fn records(c: &mut Criterion) {
    let timed_records = load(60 * SECOND);
    let mut group = c.benchmark_group("a minute of records");
    group.throughput(Throughput::Elements(timed_records.len() as u64));
    group.bench_function("buffered, encoded and written", |b| {
        b.iter_batched(
            || timed_records.clone(),
            |timed_records| {
                let mut writer = RotatingWriter::new(
                    NullStorage,
                    recording(),
                    SyntheticLoad::default().start,
                    1,
                );
                for (at, record) in timed_records {
                    writer.record(Duration::from_micros(at as u64), record);
                }
                writer.finish(Duration::from_secs(61)).counters
            },
            BatchSize::LargeInput,
        );
    });
    // The work of the server's thread, which only adds records to the queue.
    group.bench_function("added to the queue by the server", |b| {
        b.iter_batched(
            || {
                (
                    timed_records.clone(),
                    Recorder::start(NullStorage, recording(), |_| {}).unwrap(),
                )
            },
            |(timed_records, recorder)| {
                for (_, record) in timed_records {
                    recorder.record(record);
                }
                recorder
            },
            BatchSize::PerIteration,
        );
    });
    group.finish();
}

/// An index of blocks of five seconds, for the files of several servers in sequence. One handler
/// and some outcomes are rare.
fn index_of(servers: usize, hours: usize) -> Index {
    let mut index = Index::default();
    for server in 0..servers {
        for block in 0..hours * 720 {
            let from = (block as Micros * 5 + server as Micros % 5) * SECOND;
            let rare = (block * 31 + server).is_multiple_of(97);
            index.add(BlockEntry {
                offset: index.len() as u64 * 30_000,
                length: 30_000,
                records: 950,
                from: from - SECOND,
                to: from + 5 * SECOND,
                handlers: if rare {
                    [0, 1, 2, 9].into()
                } else {
                    [0, 1, 2].into()
                },
                outcomes: if rare { 15 } else { 3 },
            });
        }
    }
    index
}

fn lookup(c: &mut Criterion) {
    for (name, servers, hours) in [("an hour", 1, 1), ("a day of 20 servers", 20, 24)] {
        let mut index = index_of(servers, hours);
        index.prepare();
        let (from, to) = (37 * 60 * SECOND, 38 * 60 * SECOND);
        let minute = Filter {
            from: Some(from),
            to: Some(to),
            ..Filter::default()
        };
        let rare = Filter {
            handlers: Some([9].into()),
            ..Filter::default()
        };
        let both = Filter {
            handlers: Some([9].into()),
            ..minute.clone()
        };
        let mut group = c.benchmark_group(name);
        for (filter_name, filter) in [
            ("a minute", minute),
            ("a rare handler", rare),
            ("both", both),
        ] {
            assert_eq!(index.find(&filter), index.scan(&filter));
            group.bench_function(BenchmarkId::new("index", filter_name), |b| {
                b.iter(|| index.find(&filter))
            });
            group.bench_function(BenchmarkId::new("scan", filter_name), |b| {
                b.iter(|| index.scan(&filter))
            });
        }
        group.bench_function("building the index", |b| {
            b.iter_batched(
                || index.clone(),
                |mut index| {
                    // Adding a block makes the lookup structure outdated.
                    index.add(index.blocks()[0].clone());
                    index.prepare();
                    index
                },
                BatchSize::LargeInput,
            );
        });
        group.finish();
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    records(&mut criterion);
    lookup(&mut criterion);
    criterion.final_summary();
}
