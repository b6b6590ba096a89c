//! The logger of the `log` crate: it writes one line to standard error for each record, with the
//! time since the start in seconds.
//!
//! A dedicated thread writes the lines from a bounded queue. It guards against a standard error
//! that is not read, such as a full pipe: a server that wrote its lines itself would block at the
//! next line and stop answering. Here the writing thread blocks, the queue fills, and further lines
//! are dropped while the server keeps running. Dropped lines are not counted, so a gap shows only
//! in the times of the lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// The maximum number of lines that are queued for writing.
const MAX_QUEUED_LINES: usize = 256;
/// How long the program waits at its end until the last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(20);

enum Entry {
    Line(String),
    /// The writer drops the sender after it has written all earlier lines.
    Flush(#[expect(dead_code, reason = "dropping it is the signal")] SyncSender<()>),
}

struct Logger {
    start: Instant,
    entries: SyncSender<Entry>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The runtime `may` logs each socket; only warnings and errors of other crates are logged.
        metadata.level() <= Level::Warn || metadata.target().starts_with("tulipgapd")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = self.start.elapsed().as_secs_f64();
        let (level, message) = (record.level(), record.args());
        let _ = self
            .entries
            .try_send(Entry::Line(format!("{at:9.3} {level:5} {message}\n")));
    }

    fn flush(&self) {
        let (done, flushed) = sync_channel(0);
        if self.entries.try_send(Entry::Flush(done)).is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write(entries: &Receiver<Entry>) {
    for entry in entries {
        if let Entry::Line(line) = entry {
            // There is no other place to report a failed write to standard error.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }
}

/// Starts logging at the named level, or at info if the name is missing or unknown.
pub(crate) fn start(level: Option<&str>) {
    let level = level
        .and_then(|word| word.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let (entries, written) = sync_channel(MAX_QUEUED_LINES);
    std::thread::spawn(move || write(&written));
    if log::set_boxed_logger(Box::new(Logger {
        start: Instant::now(),
        entries,
    }))
    .is_ok()
    {
        log::set_max_level(level);
    }
}

/// Limits the log lines of one kind to the first 20 and then every thousandth, so that a peer
/// cannot flood the log.
///
/// Lines that share a `LogLimit` are of one kind: usually one message, with all its reasons. The
/// count is never reset. When one kind of fault recurs after its first 20 lines, it is therefore
/// not logged until the count reaches the next multiple of 1,000; until then only the counts of the
/// summaries show it.
pub(crate) struct LogLimit(AtomicU64);

impl LogLimit {
    /// The number of first events that are all logged.
    const INITIAL_LINES: u64 = 20;
    /// After the first events, one in this number is logged.
    const EVENTS_PER_LINE: u64 = 1000;

    /// A limit for one kind of line, with a count of 0.
    pub(crate) const fn new() -> Self {
        LogLimit(AtomicU64::new(0))
    }

    /// The number of events so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts an event, and returns the count if the event is to be logged.
    pub(crate) fn count_event(&self) -> Option<u64> {
        let count = self.0.fetch_add(1, Ordering::Relaxed) + 1;
        (count <= LogLimit::INITIAL_LINES || count.is_multiple_of(LogLimit::EVENTS_PER_LINE))
            .then_some(count)
    }
}
