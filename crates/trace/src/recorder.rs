//! Passes records from a server to its files. The server adds records to a bounded queue and never
//! waits for the disk; a separate thread writes the files.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_queue::ArrayQueue;

use crate::record::Record;
use crate::rotating_writer::{RecorderConfig, RotatingWriter};
use crate::storage::Storage;
use crate::writer::WriteError;
use crate::{Micros, NEWEST_VERSION};

/// How long the writer's thread sleeps between two polls of the queue. The server does not wake the
/// thread for a record, because each wake-up would cost the server a system call.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum drift of the system clock in microseconds. A larger drift counts as a clock that was
/// set.
const MAX_CLOCK_DRIFT: Micros = 1_000_000;
/// Interval between two checks whether the writer's thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The state that the server and the writer's thread share.
struct Shared {
    queue: ArrayQueue<Record>,
    /// The number of records that the server dropped because the queue was full.
    dropped_records: AtomicU64,
    is_stopping: AtomicBool,
    /// The counts of the writer, which its thread updates.
    missing_records: AtomicU64,
    storage_failures: AtomicU64,
}

/// The status of a recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecorderStatus {
    /// The number of missing records so far, for any reason.
    pub missing_records: u64,
    /// The number of storage failures so far.
    pub storage_failures: u64,
}

/// The interface of a server to its recording. It owns the writer's thread; the thread owns the
/// files.
pub struct Recorder {
    shared: Arc<Shared>,
    start: Instant,
    /// Unix time at `start`.
    start_unix: Micros,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// The current Unix time, in microseconds.
pub fn unix_now() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}

impl Recorder {
    /// Begins a recording. The writer's thread calls `on_error` with errors of the storage and
    /// errors of records that cannot be written.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn start<S: Storage>(
        storage: S,
        mut config: RecorderConfig,
        on_error: impl Fn(&WriteError) + Send + 'static,
    ) -> io::Result<Recorder> {
        config.version = config.version.clamp(1, NEWEST_VERSION);
        let shared = Arc::new(Shared {
            queue: ArrayQueue::new(config.queue_capacity.max(1)),
            dropped_records: AtomicU64::new(0),
            is_stopping: AtomicBool::new(false),
            missing_records: AtomicU64::new(0),
            storage_failures: AtomicU64::new(0),
        });
        let (start, start_unix) = (Instant::now(), unix_now());
        let writer = RotatingWriter::new(storage, config, start_unix, rand::random());
        let mut worker = Worker {
            writer,
            shared: shared.clone(),
            start,
            start_unix,
            noted_dropped_records: 0,
            noted_clock_change: 0,
        };
        let thread = std::thread::Builder::new()
            .name("trace".into())
            .spawn(move || {
                worker.run(&on_error);
                worker.finish(&on_error);
            })?;
        Ok(Recorder {
            shared,
            start,
            start_unix,
            thread: Mutex::new(Some(thread)),
        })
    }

    /// Adds a record, or counts it as missing if the queue is full. It never blocks.
    pub fn record(&self, record: Record) {
        if self.shared.queue.push(record).is_err() {
            self.shared.dropped_records.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The Unix time of an instant by a clock that is never set: the Unix time of the start, plus
    /// the monotonic time since then.
    pub fn unix_time(&self, at: Instant) -> Micros {
        let after = at.saturating_duration_since(self.start).as_micros() as Micros;
        let before = self.start.saturating_duration_since(at).as_micros() as Micros;
        self.start_unix.saturating_add(after).saturating_sub(before)
    }

    /// The status of the recording at the last poll of the writer's thread.
    pub fn status(&self) -> RecorderStatus {
        RecorderStatus {
            missing_records: self.shared.missing_records.load(Ordering::Relaxed),
            storage_failures: self.shared.storage_failures.load(Ordering::Relaxed),
        }
    }

    /// Ends the recording and waits until its last records are written; false if the writer's
    /// thread does not end within the timeout, or panicked.
    pub fn finish(&self, timeout: Duration) -> bool {
        self.shared.is_stopping.store(true, Ordering::Release);
        let Some(thread) = self.thread.lock().ok().and_then(|mut thread| thread.take()) else {
            return true;
        };
        thread.thread().unpark();
        let start = Instant::now();
        while !thread.is_finished() {
            if start.elapsed() >= timeout {
                return false;
            }
            std::thread::sleep(FINISH_POLL_INTERVAL);
        }
        thread.join().is_ok()
    }
}

/// The state of the writer's thread.
struct Worker<S: Storage> {
    writer: RotatingWriter<S>,
    shared: Arc<Shared>,
    start: Instant,
    start_unix: Micros,
    /// The part of [`Shared::dropped_records`] that the writer has noted.
    noted_dropped_records: u64,
    /// The sum of the changes of the system clock that the writer has noted.
    noted_clock_change: Micros,
}

impl<S: Storage> Worker<S> {
    /// Polls the queue until the recording ends.
    fn run(&mut self, on_error: &impl Fn(&WriteError)) {
        self.writer.start();
        loop {
            // The flag is read before the queue is emptied, so that the last records are written.
            let is_stopping = self.shared.is_stopping.load(Ordering::Acquire);
            self.poll(on_error);
            if is_stopping {
                return;
            }
            std::thread::park_timeout(POLL_INTERVAL);
        }
    }

    fn poll(&mut self, on_error: &impl Fn(&WriteError)) {
        while let Some(record) = self.shared.queue.pop() {
            self.writer.record(self.start.elapsed(), record);
        }
        let now = self.start.elapsed();
        let dropped = self.shared.dropped_records.load(Ordering::Relaxed);
        if dropped > self.noted_dropped_records {
            self.writer
                .note_dropped(now, dropped - self.noted_dropped_records);
            self.noted_dropped_records = dropped;
        }
        let change =
            unix_now() - self.start_unix - now.as_micros() as Micros - self.noted_clock_change;
        if change.abs() > MAX_CLOCK_DRIFT {
            self.writer.note_clock_change(now, change);
            self.noted_clock_change += change;
        }
        self.writer.tick(now);
        self.shared
            .missing_records
            .store(self.writer.missing_records(), Ordering::Relaxed);
        self.shared
            .storage_failures
            .store(self.writer.counters().failures, Ordering::Relaxed);
        if let Some(error) = self.writer.take_last_error() {
            on_error(&error);
        }
    }

    fn finish(self, on_error: &impl Fn(&WriteError)) {
        let result = self.writer.finish(self.start.elapsed());
        if let Some(error) = result.last_error {
            on_error(&error);
        }
    }
}
