//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record {
            file,
            start: Instant::now(),
        })
    }

    /// Writes a line with the time since the start of the case, in milliseconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1e3;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
        }
    }
}
