//! Passes records from a server to its files. The server adds to a bounded queue and never waits
//! for the disk; a thread of its own writes the files.

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

/// How long the writer's thread sleeps before it polls the queue again. It is never woken: a
/// wake-up for each record would cost the server a system call each time.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum drift of the system's clock in microseconds; a larger one counts as a clock that was
/// set.
const MAX_CLOCK_DRIFT: Micros = 1_000_000;
/// Pause between two checks whether the writer's thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The counts that server and writer share.
struct Shared {
    queue: ArrayQueue<Record>,
    /// Records that were dropped because the queue was full; counted by the server.
    rejected_by_queue: AtomicU64,
    is_stopping: AtomicBool,
    /// The writer's counts, stored by its thread.
    missing_records: AtomicU64,
    storage_failures: AtomicU64,
}

/// The status of a recording.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RecorderStatus {
    /// Missing records so far, for any reason.
    pub missing_records: u64,
    /// Failures of the storage so far.
    pub storage_failures: u64,
}

/// The server's end of a recording. It owns the thread that writes; the thread owns the files.
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
    /// Begins a recording. `on_error` is called from the writer's thread with errors of the
    /// storage, and of records that cannot be written.
    ///
    /// # Errors
    /// Where the thread cannot be started.
    pub fn start<S: Storage>(
        storage: S,
        mut config: RecorderConfig,
        on_error: impl Fn(&WriteError) + Send + 'static,
    ) -> io::Result<Recorder> {
        config.version = config.version.clamp(1, NEWEST_VERSION);
        let shared = Arc::new(Shared {
            queue: ArrayQueue::new(config.queue_capacity.max(1)),
            rejected_by_queue: AtomicU64::new(0),
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
            noted_rejections: 0,
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

    /// Adds a record, or counts it as missing where the queue is full. It never blocks.
    pub fn record(&self, record: Record) {
        if self.shared.queue.push(record).is_err() {
            self.shared
                .rejected_by_queue
                .fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Unix time by a clock that is never set: that of the start, and the time that has passed
    /// since.
    pub fn unix_time(&self, at: Instant) -> Micros {
        let after = at.saturating_duration_since(self.start).as_micros() as Micros;
        let before = self.start.saturating_duration_since(at).as_micros() as Micros;
        self.start_unix.saturating_add(after).saturating_sub(before)
    }

    /// The status of the recording, as of the writer's last poll.
    pub fn status(&self) -> RecorderStatus {
        RecorderStatus {
            missing_records: self.shared.missing_records.load(Ordering::Relaxed),
            storage_failures: self.shared.storage_failures.load(Ordering::Relaxed),
        }
    }

    /// Ends the recording and waits for its last records; false where the storage does not let it
    /// end in time.
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
    /// How many of the queue's rejections are noted.
    noted_rejections: u64,
    /// By how much the system's clock was set, as far as it is noted.
    noted_clock_change: Micros,
}

impl<S: Storage> Worker<S> {
    /// Polls the queue until the recording is ended.
    fn run(&mut self, on_error: &impl Fn(&WriteError)) {
        self.writer.start();
        loop {
            // Read before the queue is emptied, so that the last records are written.
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
        let rejections = self.shared.rejected_by_queue.load(Ordering::Relaxed);
        if rejections > self.noted_rejections {
            self.writer
                .note_dropped(now, rejections - self.noted_rejections);
            self.noted_rejections = rejections;
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
