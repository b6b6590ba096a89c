//! The logger behind the `log` crate: a line on standard error for each record, with the time since
//! the start in seconds.
//!
//! A thread writes the lines, which wait for it in a queue of bounded length. The failure this
//! guards against is a standard error that nobody reads, such as a full pipe: a server that wrote
//! its lines itself would stop answering at its next line. Here the thread blocks, the queue fills,
//! and further lines are dropped while the server goes on. The price: dropped lines are counted
//! nowhere, so a gap shows only in the times of the lines.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Lines that may wait to be written.
const MAX_WAITING_LINES: usize = 256;
/// How long the end of the program waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(20);

enum Entry {
    Line(String),
    /// Everything before it is written once the sender is dropped.
    Flush(#[expect(dead_code, reason = "dropping it is the signal")] SyncSender<()>),
}

struct Logger {
    start: Instant,
    entries: SyncSender<Entry>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The runtime logs each socket; only its warnings are of interest here.
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
            // An error of standard error can be reported nowhere.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }
}

/// Starts logging at the level of this name.
pub(crate) fn start(level: Option<&str>) {
    let level = level
        .and_then(|word| word.parse().ok())
        .unwrap_or(LevelFilter::Info);
    let (entries, written) = sync_channel(MAX_WAITING_LINES);
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
/// Lines are of one kind where they share a `LogLimit`: usually one message, with all its reasons.
/// The count goes on for the life of the process. The price: when one kind of fault begins anew
/// after its first 20 lines, nothing is logged until the count reaches the next multiple of 1,000;
/// the counts of the summaries show it meanwhile.
pub(crate) struct LogLimit(AtomicU64);

impl LogLimit {
    /// The first lines of a kind, which are all logged.
    const FIRST: u64 = 20;
    /// After the first lines, one in this many is logged.
    const INTERVAL: u64 = 1000;

    /// A limit for one kind of line, which has not occurred yet.
    pub(crate) const fn new() -> Self {
        LogLimit(AtomicU64::new(0))
    }

    /// The number of events so far.
    pub(crate) fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts an event, and returns the count if the event is to be logged.
    pub(crate) fn pass(&self) -> Option<u64> {
        let count = self.0.fetch_add(1, Ordering::Relaxed) + 1;
        (count <= LogLimit::FIRST || count.is_multiple_of(LogLimit::INTERVAL)).then_some(count)
    }
}
