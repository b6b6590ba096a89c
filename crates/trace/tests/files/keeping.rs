//! The recorder: bounds of files, disks that fail, queues that run over.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::{Arc, LazyLock, Mutex};
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use tulipgap_trace::*;

use crate::common::*;

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn terms() -> Terms {
    Terms {
        records: 64,
        seal_after: ms(500),
        rotate_bytes: 20_000,
        rotate_after: Duration::from_secs(3600),
        keep_bytes: 2 * 1024 * 1024 + 120_000,
    }
}

/// A disk in memory that can be full, slow or gone.
#[derive(Clone, Default)]
struct Standin(Arc<Mutex<State>>);

#[derive(Default)]
struct State {
    files: BTreeMap<u64, Vec<u8>>,
    /// Bytes that it still takes; `None`: all.
    room: Option<usize>,
    pause: Duration,
    most: usize,
    stuck: Vec<u64>,
}

struct StandinFile(Standin, u64);

impl Write for StandinFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let pause = self.0.0.lock().unwrap().pause;
        std::thread::sleep(pause);
        let mut state = self.0.0.lock().unwrap();
        let taken = state.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if taken == 0 && !bytes.is_empty() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.room = state.room.map(|room| room - taken);
        state.files.entry(self.1).or_default().extend_from_slice(&bytes[..taken]);
        state.most = state.most.max(state.files.values().map(Vec::len).sum());
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Folder for Standin {
    type File = StandinFile;

    fn list(&mut self) -> io::Result<Vec<(u64, u64)>> {
        Ok(self.0.lock().unwrap().files.iter().map(|(&n, bytes)| (n, bytes.len() as u64)).collect())
    }

    fn create(&mut self, number: u64) -> io::Result<StandinFile> {
        let mut state = self.0.lock().unwrap();
        assert!(state.files.insert(number, Vec::new()).is_none(), "no file is written over");
        Ok(StandinFile(self.clone(), number))
    }

    fn sync(&mut self, _: &mut StandinFile) -> io::Result<()> {
        Ok(())
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if state.stuck.contains(&number) {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        state.files.remove(&number).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

fn recording(queue: usize) -> Recording {
    Recording { version: 2, server: "n1".into(), names: names(), terms: terms(), queue }
}

fn pen(disk: &Standin) -> Pen<Standin> {
    let mut pen = Pen::new(disk.clone(), recording(1), Load::default().start, 1);
    pen.start();
    pen
}

fn all_of(disk: &Standin) -> (Vec<Record>, Vec<Gap>) {
    let (mut records, mut gaps) = (Vec::new(), Vec::new());
    for bytes in disk.0.lock().unwrap().files.values() {
        if let Ok(back) = read(bytes) {
            records.extend(back.records);
            gaps.extend(back.gaps);
        }
    }
    (records, gaps)
}

#[test]
fn files_rotate_and_the_oldest_go() {
    let disk = Standin::default();
    let mut pen = pen(&disk);
    let some = records(60_000_000, 1);
    for (at, record) in some.iter().enumerate() {
        pen.record(ms(at as u64 * 5), record.clone());
    }
    pen.end(ms(1_000_000));
    let state = disk.0.lock().unwrap();
    assert!(state.most as u64 <= terms().keep_bytes, "{}", state.most);
    assert!(!state.files.contains_key(&1), "the oldest went");
    assert!(state.files.len() > 2);
    assert!(state.files.values().all(|bytes| read(bytes).unwrap().losses.is_empty()));
    // What is left is the end of it, without a hole.
    drop(state);
    let (records, gaps) = all_of(&disk);
    assert!(gaps.is_empty());
    assert_eq!(sorted(records.clone()), sorted(some[some.len() - records.len()..].to_vec()));
}

#[test]
fn a_block_is_whole_on_disk_in_time() {
    let disk = Standin::default();
    let mut pen = pen(&disk);
    pen.record(ms(0), Record::default());
    pen.alarm(ms(499));
    assert!(all_of(&disk).0.is_empty());
    assert_eq!(pen.due(), Some(ms(500)));
    pen.alarm(ms(500));
    assert_eq!(all_of(&disk).0.len(), 1);
}

#[test]
fn a_full_disk_costs_records_that_are_counted_and_noted_and_serving_nothing() {
    let disk = Standin::default();
    disk.0.lock().unwrap().room = Some(9_000);
    let mut told = recording(1);
    told.terms.keep_bytes = 64 * 1024 * 1024;
    let mut pen = Pen::new(disk.clone(), told, Load::default().start, 1);
    pen.start();
    let some = records(20_000_000, 1);
    let mut full_until = None;
    for (at, record) in some.iter().enumerate() {
        let now = ms(at as u64 * 5);
        if pen.trouble.is_some() && full_until.is_none() {
            full_until = Some(at + 1000);
        }
        if full_until == Some(at) {
            disk.0.lock().unwrap().room = None;
        }
        pen.record(now, record.clone());
    }
    let (came, lost) = (pen.counts.came, pen.lost());
    assert!(full_until.is_some() && lost > 500, "{lost}");
    // Tried again at longer and longer intervals, not with each record.
    assert!(pen.counts.failures < 10, "{}", pen.counts.failures);
    pen.end(ms(1_000_000));
    let (records, gaps) = all_of(&disk);
    assert_eq!(records.len() as u64 + lost, came, "each record is there, or counted as missing");
    let noted: u64 = gaps.iter().filter(|gap| gap.why == Why::Disk).filter_map(|gap| gap.records).sum();
    assert_eq!(noted, lost);
    assert!(gaps.iter().all(|gap| gap.from <= gap.to && gap.from >= Load::default().start));
}

#[test]
fn a_file_that_cannot_be_removed_does_not_stop_the_recording() {
    let disk = Standin::default();
    disk.0.lock().unwrap().stuck = vec![1];
    let mut pen = pen(&disk);
    let some = records(60_000_000, 1);
    for (at, record) in some.iter().enumerate() {
        pen.record(ms(at as u64 * 5), record.clone());
    }
    assert_eq!(pen.lost(), 0);
    assert!(disk.0.lock().unwrap().files.contains_key(&1));
}

#[test]
fn a_clock_that_is_set_is_noted() {
    let disk = Standin::default();
    let mut pen = pen(&disk);
    pen.record(ms(0), Record::default());
    pen.tell(ms(100), News::Clock { by: -3_600_000_000 }, None);
    pen.end(ms(200));
    let (_, gaps) = all_of(&disk);
    assert!(
        matches!(gaps[..], [Gap { why: Why::ClockSet, by: -3_600_000_000, records: Some(0), .. }]),
        "{gaps:?}"
    );
}

#[test]
fn a_record_that_fits_no_column_is_counted_and_the_others_are_kept() {
    let disk = Standin::default();
    let told = Recording { version: 1, ..recording(1) };
    let mut pen = Pen::new(disk.clone(), told, Load::default().start, 1);
    pen.start();
    pen.record(ms(0), Record { answered: Some(i64::MAX), ..Record::default() });
    pen.record(ms(1), Record::default());
    assert!(pen.trouble.as_deref().is_some_and(|trouble| trouble.starts_with("answered: ")));
    pen.end(ms(200));
    let (records, gaps) = all_of(&disk);
    assert_eq!((records.len(), gaps[0].why, gaps[0].records), (1, Why::Unfit, Some(1)));
}

#[test]
fn a_slow_disk_stalls_nobody_and_what_finds_the_queue_full_is_counted() {
    let disk = Standin::default();
    disk.0.lock().unwrap().pause = ms(100);
    let recorder = Recorder::start(disk.clone(), recording(100), |_| {}).unwrap();
    let some = records(20_000_000, 1);
    let start = Instant::now();
    for record in &some {
        recorder.record(record.clone());
    }
    // Each write takes 100 ms; all of this took none.
    assert!(start.elapsed() < ms(2000), "{:?}", start.elapsed());
    // Once the disk is quick again all that is missing is noted.
    disk.0.lock().unwrap().pause = Duration::ZERO;
    let start = Instant::now();
    while recorder.dropped().0 == 0 && start.elapsed() < Duration::from_secs(30) {
        std::thread::sleep(ms(10));
    }
    assert!(recorder.finish(Duration::from_secs(30)));
    let (records, gaps) = all_of(&disk);
    let noted: u64 = gaps.iter().filter(|gap| gap.why == Why::QueueFull).filter_map(|gap| gap.records).sum();
    assert!(noted > 0);
    assert_eq!(records.len() as u64 + noted, some.len() as u64);
}

#[test]
fn a_folder_is_taken_up_where_an_earlier_recording_left_it() {
    let folder = tempfile::tempdir().unwrap();
    let disk = || Disk::new(folder.path(), "n/1", false);
    for _ in 0..2 {
        let mut pen = Pen::new(disk(), recording(1), Load::default().start, rand::random());
        pen.start();
        pen.record(ms(0), Record::default());
        pen.alarm(ms(600));
        // Gone without an end, as when it is killed.
    }
    assert!(disk().file(1).ends_with("n_1-00000001.tgt"));
    for number in [1, 2] {
        let back = read(&std::fs::read(disk().file(number)).unwrap()).unwrap();
        assert_eq!((back.records.len(), &back.losses[..]), (1, &[Loss::NoEnd][..]));
    }
}

static POOL: LazyLock<Vec<Record>> = LazyLock::new(|| records(5_000_000, 7));

quickcheck! {
    /// Whatever comes, in whatever order: files stay within their bound, and each record is taken or missed.
    fn files_never_pass_their_bound(steps: Vec<(u8, u16)>, small: bool) -> bool {
        let disk = Standin::default();
        let mut pen = pen(&disk);
        let mut now = Duration::ZERO;
        let mut pool = POOL.iter().cloned().cycle();
        for (what, span) in steps {
            now += ms(u64::from(span) / 16);
            match what % 8 {
                0 => disk.0.lock().unwrap().room = small.then_some(usize::from(span)),
                1 => disk.0.lock().unwrap().room = None,
                2 => pen.alarm(now),
                _ => (0..span / 256).for_each(|_| pen.record(now, pool.next().unwrap())),
            }
            assert!(pen.bytes() <= terms().keep_bytes);
        }
        disk.0.lock().unwrap().room = None;
        let came = pen.counts.came;
        let (_, _, _) = pen.end(now);
        let most = disk.0.lock().unwrap().most as u64;
        assert!(came == 0 || most <= terms().keep_bytes);
        true
    }
}
