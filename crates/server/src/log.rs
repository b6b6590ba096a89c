//! The logger behind the `log` crate: a line on standard error for each record, with the time since the start.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use log::{Level, LevelFilter, Log, Metadata, Record};

struct Logger {
    start: Instant,
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
        // One write a line, so that lines do not mix. A log that nobody takes must not stop the server.
        let _ = std::io::stderr().write_all(format!("{at:9.3} {level:5} {message}\n").as_bytes());
    }

    fn flush(&self) {}
}

/// Starts logging, at the level that the word names.
pub fn start(level: Option<&str>) {
    let level = level.and_then(|word| word.parse().ok()).unwrap_or(LevelFilter::Info);
    if log::set_boxed_logger(Box::new(Logger { start: Instant::now() })).is_ok() {
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
