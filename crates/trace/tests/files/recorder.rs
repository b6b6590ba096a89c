//! The recorder: limits on files, disk failures and queue overflow.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use tulipgap_trace::{
    DirectoryStorage, Gap, GapReason, Loss, Record, Recorder, RecorderConfig, RetentionConfig,
    RotatingWriter, Storage, StoredFile, SyntheticLoad,
};

use crate::common::{names, read_all, records, sorted};

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn retention() -> RetentionConfig {
    RetentionConfig {
        block_records: 64,
        seal_after: ms(500),
        rotate_bytes: 20_000,
        rotate_after: Duration::from_secs(3600),
        keep_bytes: 2 * 1024 * 1024 + 120_000,
    }
}

/// A storage in memory that can be full or slow, or fail to remove files.
#[derive(Clone, Default)]
struct MemoryStorage(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<u64, Vec<u8>>,
    /// The number of bytes that the storage still accepts; `None` if it has no limit.
    free_bytes: Option<usize>,
    /// The duration of a write.
    pause: Duration,
    /// The maximum total size of the files so far.
    max_bytes: usize,
    /// The numbers of files that cannot be removed.
    unremovable: Vec<u64>,
}

struct MemoryFile(MemoryStorage, u64);

impl Write for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let pause = self.0.0.lock().unwrap().pause;
        std::thread::sleep(pause);
        let mut state = self.0.0.lock().unwrap();
        let accepted = state
            .free_bytes
            .map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        if accepted == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.free_bytes = state.free_bytes.map(|free_bytes| free_bytes - accepted);
        state
            .files
            .entry(self.1)
            .or_default()
            .extend_from_slice(&bytes[..accepted]);
        state.max_bytes = state
            .max_bytes
            .max(state.files.values().map(Vec::len).sum());
        Ok(accepted)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Storage for MemoryStorage {
    type File = MemoryFile;

    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        let stored = |(&number, bytes): (&u64, &Vec<u8>)| StoredFile {
            number,
            bytes: bytes.len() as u64,
        };
        Ok(self.0.lock().unwrap().files.iter().map(stored).collect())
    }

    fn create(&mut self, number: u64) -> io::Result<MemoryFile> {
        let mut state = self.0.lock().unwrap();
        assert!(
            state.files.insert(number, Vec::new()).is_none(),
            "no file is overwritten"
        );
        Ok(MemoryFile(self.clone(), number))
    }

    fn sync(&mut self, _: &mut MemoryFile) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.unremovable.contains(&number) {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        state
            .files
            .remove(&number)
            .map(drop)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

fn recording(queue_capacity: usize) -> RecorderConfig {
    RecorderConfig {
        version: 2,
        server: "n1".into(),
        names: names(),
        retention: retention(),
        queue_capacity,
    }
}

fn writer(storage: &MemoryStorage) -> RotatingWriter<MemoryStorage> {
    let mut writer = RotatingWriter::new(
        storage.clone(),
        recording(1),
        SyntheticLoad::default().start,
        1,
    );
    writer.start();
    writer
}

fn contents(storage: &MemoryStorage) -> (Vec<Record>, Vec<Gap>) {
    let (mut records, mut gaps) = (Vec::new(), Vec::new());
    for bytes in storage.0.lock().unwrap().files.values() {
        if let Ok(file_contents) = read_all(bytes) {
            records.extend(file_contents.records);
            gaps.extend(file_contents.gaps);
        }
    }
    (records, gaps)
}

#[test]
fn files_rotate_and_the_oldest_are_removed() {
    let storage = MemoryStorage::default();
    let mut writer = writer(&storage);
    let recorded = records(60_000_000, 1);
    for (at, record) in recorded.iter().enumerate() {
        writer.record(ms(at as u64 * 5), record.clone());
    }
    writer.finish(ms(1_000_000));
    let state = storage.0.lock().unwrap();
    assert!(
        state.max_bytes as u64 <= retention().keep_bytes,
        "{}",
        state.max_bytes
    );
    assert!(!state.files.contains_key(&1), "the oldest file is removed");
    assert!(state.files.len() > 2);
    assert!(
        state
            .files
            .values()
            .all(|bytes| read_all(bytes).unwrap().losses.is_empty())
    );
    // The last records are kept, without a gap.
    drop(state);
    let (records, gaps) = contents(&storage);
    assert!(gaps.is_empty());
    assert_eq!(
        sorted(records.clone()),
        sorted(recorded[recorded.len() - records.len()..].to_vec())
    );
}

#[test]
fn a_block_is_sealed_by_its_deadline() {
    let storage = MemoryStorage::default();
    let mut writer = writer(&storage);
    writer.record(ms(0), Record::default());
    writer.tick(ms(499));
    assert!(contents(&storage).0.is_empty());
    assert_eq!(writer.next_deadline(), Some(ms(500)));
    writer.tick(ms(500));
    assert_eq!(contents(&storage).0.len(), 1);
}

/// The disk is temporarily full. The recorder drops and counts records, retries the disk with a
/// growing backoff instead of for each record, and writes a gap to the next file.
#[test]
fn records_dropped_on_a_full_disk_are_counted_and_noted_as_gaps() {
    let storage = MemoryStorage::default();
    storage.0.lock().unwrap().free_bytes = Some(9_000);
    let mut config = recording(1);
    config.retention.keep_bytes = 64 * 1024 * 1024;
    let mut writer =
        RotatingWriter::new(storage.clone(), config, SyntheticLoad::default().start, 1);
    writer.start();
    let recorded = records(20_000_000, 1);
    let mut full_until = None;
    for (at, record) in recorded.iter().enumerate() {
        let now = ms(at as u64 * 5);
        if writer.last_error().is_some() && full_until.is_none() {
            full_until = Some(at + 1000);
        }
        if full_until == Some(at) {
            storage.0.lock().unwrap().free_bytes = None;
        }
        writer.record(now, record.clone());
    }
    let (received, missing) = (writer.counters().received, writer.missing_records());
    assert!(full_until.is_some() && missing > 500, "{missing}");
    // The disk is retried with a growing backoff, not for each record.
    assert!(
        writer.counters().failures < 10,
        "{}",
        writer.counters().failures
    );
    writer.finish(ms(1_000_000));
    let (records, gaps) = contents(&storage);
    assert_eq!(
        records.len() as u64 + missing,
        received,
        "each record is stored, or counted as missing"
    );
    let noted: u64 = gaps
        .iter()
        .filter(|gap| gap.reason == GapReason::DiskFailure)
        .filter_map(|gap| gap.records)
        .sum();
    assert_eq!(noted, missing);
    assert!(
        gaps.iter()
            .all(|gap| gap.from <= gap.to && gap.from >= SyntheticLoad::default().start)
    );
}

/// An old file cannot be removed. Its bytes no longer count, so that the recording continues
/// instead of trying to remove files in a loop.
#[test]
fn a_file_that_cannot_be_removed_does_not_stop_the_recording() {
    let storage = MemoryStorage::default();
    storage.0.lock().unwrap().unremovable = vec![1];
    let mut writer = writer(&storage);
    let recorded = records(60_000_000, 1);
    for (at, record) in recorded.iter().enumerate() {
        writer.record(ms(at as u64 * 5), record.clone());
    }
    assert_eq!(writer.missing_records(), 0);
    assert!(storage.0.lock().unwrap().files.contains_key(&1));
}

/// The system clock is set during a recording, whose times follow a clock that is never set. A gap
/// without records marks the change.
#[test]
fn a_clock_change_is_noted_as_a_gap() {
    let storage = MemoryStorage::default();
    let mut writer = writer(&storage);
    writer.record(ms(0), Record::default());
    writer.note_clock_change(ms(100), -3_600_000_000);
    writer.finish(ms(200));
    let (_, gaps) = contents(&storage);
    assert!(
        matches!(
            gaps[..],
            [Gap {
                reason: GapReason::ClockSet,
                clock_change: -3_600_000_000,
                records: Some(0),
                ..
            }]
        ),
        "{gaps:?}"
    );
}

/// One record has a value that does not fit its column. The recorder counts the record as missing
/// and does not treat the error as a storage failure: other records are still written.
#[test]
fn an_out_of_range_record_is_counted_and_others_are_kept() {
    let storage = MemoryStorage::default();
    let config = RecorderConfig {
        version: 1,
        ..recording(1)
    };
    let mut writer =
        RotatingWriter::new(storage.clone(), config, SyntheticLoad::default().start, 1);
    writer.start();
    writer.record(
        ms(0),
        Record {
            answered: Some(i64::MAX),
            ..Record::default()
        },
    );
    writer.record(ms(1), Record::default());
    assert!(
        writer
            .last_error()
            .is_some_and(|error| error.to_string().starts_with("answered: "))
    );
    writer.finish(ms(200));
    let (records, gaps) = contents(&storage);
    assert_eq!(
        (records.len(), gaps[0].reason, gaps[0].records),
        (1, GapReason::ValueOutOfRange, Some(1))
    );
}

/// A write to the disk takes 100 ms. The server must never wait for it: records are added to a
/// bounded queue, and records that do not fit into the queue are dropped and counted.
#[test]
fn a_slow_disk_never_blocks_the_server_and_queue_overflow_is_counted() {
    let storage = MemoryStorage::default();
    storage.0.lock().unwrap().pause = ms(100);
    let recorder = Recorder::start(storage.clone(), recording(100), |_| {}).unwrap();
    let recorded = records(20_000_000, 1);
    let start = Instant::now();
    for record in &recorded {
        recorder.record(record.clone());
    }
    // A write takes 100 ms, and none of them blocks the caller.
    assert!(start.elapsed() < ms(2000), "{:?}", start.elapsed());
    // Once the storage is fast again, the recorder writes gaps for all missing records.
    storage.0.lock().unwrap().pause = Duration::ZERO;
    let start = Instant::now();
    while recorder.status().missing_records == 0 && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(ms(10));
    }
    assert!(recorder.finish(Duration::from_secs(30)));
    let (records, gaps) = contents(&storage);
    let noted: u64 = gaps
        .iter()
        .filter(|gap| gap.reason == GapReason::QueueFull)
        .filter_map(|gap| gap.records)
        .sum();
    assert!(noted > 0);
    assert_eq!(records.len() as u64 + noted, recorded.len() as u64);
}

/// The process was killed and restarts with the same directory. It opens a new file with the next
/// number, and the records of the killed process stay readable.
#[test]
fn recording_resumes_in_an_existing_directory() {
    let folder = tempfile::tempdir().unwrap();
    let storage = || DirectoryStorage::new(folder.path(), "n/1", false);
    for _ in 0..2 {
        let mut writer = RotatingWriter::new(
            storage(),
            recording(1),
            SyntheticLoad::default().start,
            rand::random(),
        );
        writer.start();
        writer.record(ms(0), Record::default());
        writer.tick(ms(600));
        // The writer is dropped without finishing the file, as when the process is killed.
    }
    assert!(storage().file_path(1).ends_with("n_1-00000001.tgt"));
    for number in [1, 2] {
        let file_contents = read_all(&std::fs::read(storage().file_path(number)).unwrap()).unwrap();
        assert_eq!(
            (file_contents.records.len(), &file_contents.losses[..]),
            (1, &[Loss::MissingEnd][..])
        );
    }
}

static POOL: LazyLock<Vec<Record>> = LazyLock::new(|| records(5_000_000, 7));

quickcheck! {
    /// The files stay within the size limit for any sequence of records, ticks and disk failures.
    fn total_size_never_exceeds_the_limit(steps: Vec<(u8, u16)>, small: bool) -> bool {
        let storage = MemoryStorage::default();
        let mut writer = writer(&storage);
        let mut now = Duration::ZERO;
        let mut pool = POOL.iter().cloned().cycle();
        for (action, span) in steps {
            now += ms(u64::from(span) / 16);
            match action % 8 {
                0 => storage.0.lock().unwrap().free_bytes = small.then_some(usize::from(span)),
                1 => storage.0.lock().unwrap().free_bytes = None,
                2 => writer.tick(now),
                _ => (0..span / 256).for_each(|_| writer.record(now, pool.next().unwrap())),
            }
            assert!(writer.bytes() <= retention().keep_bytes);
        }
        storage.0.lock().unwrap().free_bytes = None;
        let received = writer.counters().received;
        writer.finish(now);
        let max_bytes = storage.0.lock().unwrap().max_bytes as u64;
        assert!(received == 0 || max_bytes <= retention().keep_bytes);
        true
    }
}
