//! What all stand-ins of a case share: the clock, the record, and the state of each request that the
//! edge node has sent.

use std::collections::HashMap;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Rejected,
    Crashed,
    Exception,
}

/// One try of a request, from the view of the edge node, the kernel and the store.
#[derive(Clone, Debug, Default)]
pub struct Try {
    pub class: String,
    pub key: String,
    pub body: Vec<u8>,
    /// When its last byte was written.
    pub sent_at: Option<Instant>,
    /// When its answer is due, slack included.
    pub due_at: Option<Instant>,
    pub answers: Vec<(Instant, Answer)>,
    /// The connection was ended by the backend without an answer.
    pub cut: bool,
    pub cut_at: Option<Instant>,
    /// Writing it failed, so nothing is owed.
    pub failed_to_send: bool,
    /// How often a run of it was begun.
    pub runs: u32,
    /// When its first run was begun.
    pub run_at: Option<Instant>,
    /// How often its result differed from what its run made.
    pub wrong: u32,
    /// The calls of it that the store carried out.
    pub calls: u32,
    pub result: Option<Vec<u8>>,
    pub retry_after: Option<u64>,
}

impl Try {
    /// The request needs no run any more.
    pub fn is_over(&self) -> bool {
        !self.answers.is_empty()
    }
}

pub struct World {
    pub start: Instant,
    pub tries: Mutex<HashMap<String, Try>>,
    record: Mutex<std::io::BufWriter<std::fs::File>>,
    random: Mutex<u64>,
}

pub type Shared = Arc<World>;

impl World {
    pub fn new(record: &std::path::Path, seed: u64) -> Shared {
        let file = std::fs::File::create(record).expect("record.txt can be written");
        Arc::new(World {
            start: Instant::now(),
            tries: Mutex::default(),
            record: Mutex::new(std::io::BufWriter::new(file)),
            random: Mutex::new(seed | 1),
        })
    }

    /// Writes a line to the record, with the seconds since the start.
    pub fn note(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{at:10.4} {}", text.as_ref());
    }

    pub fn flush(&self) {
        let _ = self.record.lock().unwrap().flush();
    }

    /// A random number below `below`.
    pub fn random(&self, below: u64) -> u64 {
        let mut state = self.random.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) % below.max(1)
    }

    pub fn with<T>(&self, id: &str, change: impl FnOnce(&mut Try) -> T) -> Option<T> {
        self.tries.lock().unwrap().get_mut(id).map(change)
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}
