//! The logger behind the `log` crate: a line on standard error for each record, with the time since the start.
//! A thread of its own writes, so that a log which nobody takes stops no server: lines are dropped then.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

use log::{Level, LevelFilter, Log, Metadata, Record};

/// Lines that may wait to be written.
const WAITING: usize = 256;
/// The longest that the end of the program waits for its last lines.
const LAST: Duration = Duration::from_millis(100);

enum Entry {
    Line(String),
    /// All before it is written once this is dropped.
    Mark(#[expect(dead_code, reason = "its end is the news")] SyncSender<()>),
}

struct Logger {
    start: Instant,
    entries: SyncSender<Entry>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // The runtime beneath logs each socket; only its warnings are ours to read.
        metadata.level() <= Level::Warn || metadata.target().starts_with("tulipgapd")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = self.start.elapsed().as_secs_f64();
        let (level, message) = (record.level(), record.args());
        let _ = self.entries.try_send(Entry::Line(format!("{at:9.3} {level:5} {message}\n")));
    }

    fn flush(&self) {
        let (mark, marked) = sync_channel(0);
        if self.entries.try_send(Entry::Mark(mark)).is_ok() {
            let _ = marked.recv_timeout(LAST);
        }
    }
}

fn write(entries: &Receiver<Entry>) {
    for entry in entries {
        if let Entry::Line(line) = entry {
            // There is nowhere else to say that standard error is gone.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }
}

/// Starts logging, at the level that the word names.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|word| word.parse().ok()).unwrap_or(LevelFilter::Info);
    let (entries, written) = sync_channel(WAITING);
    std::thread::spawn(move || write(&written));
    if log::set_boxed_logger(Box::new(Logger { start: Instant::now(), entries })).is_ok() {
        log::set_max_level(level);
    }
}

/// Lets through so many lines of a kind in all, then every thousandth, so that a peer cannot flood the log.
pub struct Bound(AtomicU64);

impl Bound {
    const ALL: u64 = 20;

    pub const fn new() -> Self {
        Bound(AtomicU64::new(0))
    }

    /// How often it came so far.
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    /// How often it came so far, where this time is to be logged.
    pub fn pass(&self) -> Option<u64> {
        let count = self.0.fetch_add(1, Ordering::Relaxed) + 1;
        (count <= Bound::ALL || count.is_multiple_of(1000)).then_some(count)
    }
}
