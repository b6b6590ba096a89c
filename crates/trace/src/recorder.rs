//! Records on their way from a server to its files. The server adds to a bounded queue and goes on at once, whatever
//! the disk does; a thread of its own carries out what [`Keep`] says.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_queue::ArrayQueue;

use crate::heads::{Gap, Head, Names, Why};
use crate::keep::{Act, Keep, News, Terms};
use crate::record::Record;
use crate::writer::{Pace, WriteError, Writer};
use crate::{Micros, NEWEST};

/// How long the writer's thread sleeps between two looks at the queue. It is never woken: waking it for each
/// record would cost the server a system call each time.
const LOOK: Duration = Duration::from_millis(50);
/// By how much the system's clock may run off before that counts as set.
const CLOCK_SLACK: Micros = 1_000_000;

/// Where files lie. A stand-in takes its place in tests.
pub trait Folder: Send + 'static {
    type File: Write + Send;
    /// Numbers and bytes of the files that are there.
    fn list(&mut self) -> io::Result<Vec<(u64, u64)>>;
    fn create(&mut self, number: u64) -> io::Result<Self::File>;
    /// Has all that was written survive the machine.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;
    fn remove(&mut self, number: u64) -> io::Result<()>;
}

/// A folder of a disk, for the files of one server.
pub struct Disk {
    path: PathBuf,
    server: String,
    sync: bool,
}

impl Disk {
    /// `server` becomes part of the names of files; what has no place there is replaced.
    pub fn new(path: &Path, server: &str, sync: bool) -> Self {
        let fine = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '_' };
        Disk { path: path.to_owned(), server: server.chars().map(fine).collect(), sync }
    }

    pub fn file(&self, number: u64) -> PathBuf {
        self.path.join(format!("{}-{number:08}.tgt", self.server))
    }

    fn number(&self, name: &str) -> Option<u64> {
        let rest = name.strip_prefix(&self.server)?.strip_prefix('-')?.strip_suffix(".tgt")?;
        (rest.len() >= 8 && rest.bytes().all(|b| b.is_ascii_digit())).then(|| rest.parse().ok())?
    }
}

impl Folder for Disk {
    type File = File;

    fn list(&mut self) -> io::Result<Vec<(u64, u64)>> {
        std::fs::create_dir_all(&self.path)?;
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Some(number) = entry.file_name().to_str().and_then(|name| self.number(name)) {
                files.push((number, entry.metadata()?.len()));
            }
        }
        Ok(files)
    }

    fn create(&mut self, number: u64) -> io::Result<File> {
        std::fs::create_dir_all(&self.path)?;
        OpenOptions::new().write(true).create_new(true).open(self.file(number))
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        if self.sync { file.sync_data() } else { Ok(()) }
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        std::fs::remove_file(self.file(number))
    }
}

/// What a recording is told.
#[derive(Clone, Debug)]
pub struct Recording {
    pub version: u32,
    pub server: String,
    pub names: Names,
    pub terms: Terms,
    /// Records that may wait for the writer.
    pub queue: usize,
}

/// Carries out what [`Keep`] decides, on one folder. Time is told, so that a recording of hours is made in seconds.
pub struct Pen<F: Folder> {
    folder: F,
    told: Recording,
    keep: Keep,
    writer: Option<Writer<F::File>>,
    /// Unix time when time was zero.
    zero: Micros,
    ids: u128,
    pub counts: Counts,
    /// The last trouble with the disk.
    pub trouble: Option<String>,
}

/// What became of records.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub came: u64,
    pub files: u64,
    pub failures: u64,
}

impl<F: Folder> Pen<F> {
    /// `id` seeds the ids of files.
    pub fn new(folder: F, told: Recording, zero: Micros, id: u128) -> Self {
        let keep = Keep::new(told.terms);
        let (counts, trouble) = (Counts::default(), None);
        Pen { folder, told, keep, writer: None, zero, ids: id, counts, trouble }
    }

    /// Looks at the files that are there.
    pub fn start(&mut self) {
        match self.folder.list() {
            Ok(files) => self.tell(Duration::ZERO, News::Found(files), None),
            Err(error) => self.failed(Duration::ZERO, &error.into()),
        }
    }

    pub fn record(&mut self, now: Duration, record: Record) {
        self.counts.came += 1;
        self.tell(now, News::Record, Some(record));
    }

    pub fn tell(&mut self, now: Duration, news: News, mut record: Option<Record>) {
        let acts = self.keep.on(now, &news);
        for act in acts {
            if let Err(error) = self.act(now, act, &mut record) {
                return self.failed(now, &error);
            }
        }
    }

    pub fn alarm(&mut self, now: Duration) {
        self.tell(now, News::Alarm, None);
    }

    pub fn due(&self) -> Option<Duration> {
        self.keep.due()
    }

    /// Records that are missing so far, whyever, and bytes of all files.
    pub fn lost(&self) -> u64 {
        self.keep.lost()
    }

    pub fn bytes(&self) -> u64 {
        self.keep.bytes()
    }

    /// Ends the recording.
    pub fn end(mut self, now: Duration) -> (F, Counts, Option<String>) {
        self.tell(now, News::End, None);
        (self.folder, self.counts, self.trouble)
    }

    fn act(&mut self, now: Duration, act: Act, record: &mut Option<Record>) -> Result<(), WriteError> {
        let server = self.told.server.clone();
        match act {
            Act::Remove { number } => match self.folder.remove(number) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => {
                    self.trouble = Some(error.to_string());
                    self.tell(now, News::Stays { number }, None);
                }
                _ => {}
            },
            Act::Open { number } => {
                self.ids = self.ids.wrapping_mul(0x2360_ED05_1FC6_5DA4_4385_DF64_9FCC_F645).wrapping_add(1);
                let mut head = Head::new(self.told.version, self.ids, &server, self.unix(now));
                head.names = Names { servers: vec![server], ..self.told.names.clone() };
                let pace = Pace { records: self.told.terms.records, ..Pace::default() };
                let file = self.folder.create(number)?;
                self.writer = Some(Writer::new(file, head, pace)?);
                self.counts.files += 1;
            }
            Act::Drop => *record = None,
            Act::Take => {
                if let (Some(writer), Some(record)) = (&mut self.writer, record.take()) {
                    match writer.push(record) {
                        Ok(()) => {}
                        // The record is at fault and not the disk.
                        Err(error @ WriteError::Unfit { .. }) => {
                            self.trouble = Some(error.to_string());
                            self.tell(now, News::Lost { why: Why::Unfit, records: 1 }, None);
                        }
                        Err(error) => return Err(error),
                    }
                }
            }
            Act::Note { why, records, since, by } => {
                let (from, to) = (self.unix(since), self.unix(now));
                let records = Some(records);
                if let Some(writer) = &mut self.writer {
                    writer.gap(&Gap { why, records, from, to, server, by })?;
                }
            }
            Act::Seal => {
                if let Some(writer) = &mut self.writer {
                    writer.seal()?;
                    let bytes = writer.bytes();
                    self.folder.sync(writer.get_mut())?;
                    self.tell(now, News::Wrote { bytes }, None);
                }
            }
            Act::Close { number } => {
                if let Some(writer) = self.writer.take() {
                    let (mut file, bytes) = writer.finish()?;
                    self.folder.sync(&mut file)?;
                    self.tell(now, News::Closed { number, bytes }, None);
                }
            }
        }
        Ok(())
    }

    fn failed(&mut self, now: Duration, error: &WriteError) {
        self.trouble = Some(error.to_string());
        self.counts.failures += 1;
        self.writer = None;
        self.tell(now, News::Failed, None);
    }

    fn unix(&self, at: Duration) -> Micros {
        self.zero.saturating_add(at.as_micros() as Micros)
    }
}

/// What server and writer share.
struct Shared {
    queue: ArrayQueue<Record>,
    /// Records that found the queue full.
    lost: AtomicU64,
    stopping: AtomicBool,
    dropped: AtomicU64,
    failures: AtomicU64,
}

/// The server's end of a recording.
pub struct Recorder {
    shared: Arc<Shared>,
    start: Instant,
    zero: Micros,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// The time since the Unix epoch.
pub fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

impl Recorder {
    /// Begins a recording; `told_of` hears what goes wrong with the disk, from the writer's thread.
    pub fn start<F: Folder>(
        folder: F,
        mut told: Recording,
        told_of: impl Fn(&str) + Send + 'static,
    ) -> io::Result<Recorder> {
        told.version = told.version.clamp(1, NEWEST);
        let shared = Arc::new(Shared {
            queue: ArrayQueue::new(told.queue.max(1)),
            lost: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            dropped: AtomicU64::new(0),
            failures: AtomicU64::new(0),
        });
        let (start, zero) = (Instant::now(), unix_now());
        let id = rand::random();
        let pen = Pen::new(folder, told, zero, id);
        let theirs = shared.clone();
        let thread = std::thread::Builder::new()
            .name("trace".into())
            .spawn(move || write(pen, &theirs, start, zero, told_of))?;
        Ok(Recorder { shared, start, zero, thread: Mutex::new(Some(thread)) })
    }

    /// Adds a record, or counts it as lost where the queue is full. Never waits.
    pub fn record(&self, record: Record) {
        if self.shared.queue.push(record).is_err() {
            self.shared.lost.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Unix time by a clock that is never set: that of the recording's start, and what has passed since.
    pub fn unix(&self, at: Instant) -> Micros {
        let since = at.saturating_duration_since(self.start).as_micros() as Micros;
        let before = self.start.saturating_duration_since(at).as_micros() as Micros;
        self.zero.saturating_add(since).saturating_sub(before)
    }

    /// Records that were not written so far, and failures of the disk.
    pub fn dropped(&self) -> (u64, u64) {
        (self.shared.dropped.load(Ordering::Relaxed), self.shared.failures.load(Ordering::Relaxed))
    }

    /// Ends the recording; false where the disk does not let it end in time.
    pub fn finish(&self, within: Duration) -> bool {
        self.shared.stopping.store(true, Ordering::Release);
        let Some(thread) = self.thread.lock().ok().and_then(|mut thread| thread.take()) else { return true };
        thread.thread().unpark();
        let start = Instant::now();
        while !thread.is_finished() {
            if start.elapsed() >= within {
                return false;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        thread.join().is_ok()
    }
}

/// The writer's thread.
fn write<F: Folder>(mut pen: Pen<F>, shared: &Shared, start: Instant, zero: Micros, told_of: impl Fn(&str)) {
    pen.start();
    let (mut lost, mut set) = (0, 0);
    loop {
        let stopping = shared.stopping.load(Ordering::Acquire);
        while let Some(record) = shared.queue.pop() {
            pen.record(start.elapsed(), record);
        }
        let now = start.elapsed();
        let all = shared.lost.load(Ordering::Relaxed);
        if all > lost {
            pen.tell(now, News::Lost { why: Why::QueueFull, records: all - lost }, None);
            lost = all;
        }
        let by = unix_now() - zero - now.as_micros() as Micros - set;
        if by.abs() > CLOCK_SLACK {
            pen.tell(now, News::Clock { by }, None);
            set += by;
        }
        pen.alarm(now);
        shared.dropped.store(pen.lost(), Ordering::Relaxed);
        shared.failures.store(pen.counts.failures, Ordering::Relaxed);
        if let Some(trouble) = pen.trouble.take() {
            told_of(&trouble);
        }
        if stopping {
            break;
        }
        std::thread::park_timeout(LOOK);
    }
    let (_, _, trouble) = pen.end(start.elapsed());
    if let Some(trouble) = trouble {
        told_of(&trouble);
    }
}
