//! Writes records to a sequence of files, by executing the actions of the retention policy on a
//! storage.

use std::io;
use std::time::Duration;

use crate::Micros;
use crate::dictionary::Dictionary;
use crate::metadata::{Gap, GapReason, Header};
use crate::record::Record;
use crate::retention::{Action, Event, RetentionConfig, RetentionPolicy, StoredFile};
use crate::storage::Storage;
use crate::writer::{BlockConfig, WriteError, Writer};

/// Multiplier of the linear congruential generator of file ids, which the caller seeds.
const FILE_ID_FACTOR: u128 = 0x2360_ED05_1FC6_5DA4_4385_DF64_9FCC_F645;

/// The configuration of a recording.
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// The format version.
    pub version: u32,
    /// The name of the server.
    pub server: String,
    /// Handlers and tenants, in the order of their indices in records. Servers are ignored.
    pub names: Dictionary,
    /// The limits of files.
    pub retention: RetentionConfig,
    /// The capacity of the writer's queue, in records.
    pub queue_capacity: usize,
}

/// The counts of a writer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WriterCounters {
    /// The number of records that were received.
    pub received: u64,
    /// The number of files that were opened.
    pub files: u64,
    /// The number of storage failures.
    pub failures: u64,
}

/// The result of a finished [`RotatingWriter`].
pub struct RotationResult<S> {
    /// The storage.
    pub storage: S,
    /// The final counts.
    pub counters: WriterCounters,
    /// The last error, unless it was already taken.
    pub last_error: Option<WriteError>,
}

/// Writes the files of one server. The writer owns the storage and the open file. The caller passes
/// the time since the start, so that a recording of hours can be generated in seconds.
pub struct RotatingWriter<S: Storage> {
    storage: S,
    config: RecorderConfig,
    policy: RetentionPolicy,
    writer: Option<Writer<S::File>>,
    /// Unix time of the start.
    start: Micros,
    next_file_id: u128,
    counters: WriterCounters,
    last_error: Option<WriteError>,
}

impl<S: Storage> RotatingWriter<S> {
    /// Creates a writer that starts at `start`, Unix time. `seed` determines the ids of files.
    pub fn new(storage: S, config: RecorderConfig, start: Micros, seed: u128) -> Self {
        RotatingWriter {
            storage,
            policy: RetentionPolicy::new(config.retention),
            config,
            writer: None,
            start,
            next_file_id: seed,
            counters: WriterCounters::default(),
            last_error: None,
        }
    }

    /// Lists the existing files, so that new files get higher numbers and the oldest files can be
    /// removed.
    pub fn start(&mut self) {
        match self.storage.list() {
            Ok(files) => self.handle_event(Duration::ZERO, Event::FilesFound(files), None),
            Err(error) => self.write_failed(Duration::ZERO, error.into()),
        }
    }

    /// Records an attempt. An error is stored as [`RotatingWriter::last_error`].
    pub fn record(&mut self, now: Duration, record: Record) {
        self.counters.received += 1;
        self.handle_event(now, Event::RecordReceived, Some(record));
    }

    /// Seals the block and rotates the file if they are due.
    pub fn tick(&mut self, now: Duration) {
        self.handle_event(now, Event::Tick, None);
    }

    /// Counts records that were dropped because the queue of the writer was full.
    pub fn note_dropped(&mut self, now: Duration, records: u64) {
        self.handle_event(
            now,
            Event::RecordsDropped {
                reason: GapReason::QueueFull,
                records,
            },
            None,
        );
    }

    /// Notes that the system clock was set by an offset in microseconds.
    pub fn note_clock_change(&mut self, now: Duration, change: Micros) {
        self.handle_event(now, Event::ClockSet { change }, None);
    }

    /// When the next call of [`RotatingWriter::tick`] is due, unless another event comes first.
    pub fn next_deadline(&self) -> Option<Duration> {
        self.policy.next_deadline()
    }

    /// The number of missing records so far, for any reason.
    pub fn missing_records(&self) -> u64 {
        self.policy.total_missing()
    }

    /// The total size of all files, in bytes.
    pub fn bytes(&self) -> u64 {
        self.policy.bytes()
    }

    /// The counts of the writer so far.
    pub fn counters(&self) -> WriterCounters {
        self.counters
    }

    /// The last error, unless it was already taken.
    pub fn last_error(&self) -> Option<&WriteError> {
        self.last_error.as_ref()
    }

    /// Takes the last error.
    pub fn take_last_error(&mut self) -> Option<WriteError> {
        self.last_error.take()
    }

    /// Closes the open file.
    pub fn finish(mut self, now: Duration) -> RotationResult<S> {
        self.handle_event(now, Event::Shutdown, None);
        RotationResult {
            storage: self.storage,
            counters: self.counters,
            last_error: self.last_error,
        }
    }

    fn handle_event(&mut self, now: Duration, event: Event, mut record: Option<Record>) {
        for action in self.policy.handle_event(now, &event) {
            if let Err(error) = self.execute(now, action, &mut record) {
                return self.write_failed(now, error);
            }
        }
    }

    /// Executes one action. `record` is the record of the event, if it has one.
    fn execute(
        &mut self,
        now: Duration,
        action: Action,
        record: &mut Option<Record>,
    ) -> Result<(), WriteError> {
        match action {
            Action::RemoveFile { number } => self.remove_file(now, number),
            Action::OpenFile { number } => self.open_file(now, number)?,
            Action::DropRecord => *record = None,
            Action::AppendRecord => {
                if let Some(record) = record.take() {
                    self.append(now, record)?;
                }
            }
            Action::WriteGap {
                reason,
                records,
                since,
                clock_change,
            } => {
                let (from, to) = (self.unix_time(since), self.unix_time(now));
                let server = self.config.server.clone();
                let gap = Gap {
                    reason,
                    records: Some(records),
                    from,
                    to,
                    server,
                    clock_change,
                };
                if let Some(writer) = &mut self.writer {
                    writer.write_gap(&gap)?;
                }
            }
            Action::SealBlock => {
                if let Some(writer) = &mut self.writer {
                    writer.seal()?;
                    let bytes = writer.bytes();
                    self.storage.sync(writer.get_mut())?;
                    self.handle_event(now, Event::BlockWritten { bytes }, None);
                }
            }
            Action::CloseFile { number } => {
                if let Some(writer) = self.writer.take() {
                    let (mut file, bytes) = writer.finish()?;
                    self.storage.sync(&mut file)?;
                    self.handle_event(now, Event::FileClosed(StoredFile { number, bytes }), None);
                }
            }
        }
        Ok(())
    }

    fn remove_file(&mut self, now: Duration, number: u64) {
        match self.storage.remove(number) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => {
                self.last_error = Some(error.into());
                self.handle_event(now, Event::RemoveFailed { number }, None);
            }
            _ => {}
        }
    }

    fn open_file(&mut self, now: Duration, number: u64) -> Result<(), WriteError> {
        self.next_file_id = self
            .next_file_id
            .wrapping_mul(FILE_ID_FACTOR)
            .wrapping_add(1);
        let RecorderConfig {
            version,
            server,
            names,
            retention,
            ..
        } = &self.config;
        let mut header = Header::new(*version, self.next_file_id, server, self.unix_time(now));
        header.names = Dictionary {
            servers: vec![server.clone()],
            ..names.clone()
        };
        let blocks = BlockConfig {
            max_records: retention.block_records,
            ..BlockConfig::default()
        };
        let file = self.storage.create(number)?;
        self.writer = Some(Writer::new(file, header, blocks)?);
        self.counters.files += 1;
        Ok(())
    }

    fn append(&mut self, now: Duration, record: Record) -> Result<(), WriteError> {
        let Some(writer) = &mut self.writer else {
            return Ok(());
        };
        match writer.push(record) {
            // The record is invalid; the storage works.
            Err(error @ WriteError::ValueOutOfRange { .. }) => {
                self.last_error = Some(error);
                let dropped = Event::RecordsDropped {
                    reason: GapReason::ValueOutOfRange,
                    records: 1,
                };
                self.handle_event(now, dropped, None);
                Ok(())
            }
            result => result,
        }
    }

    fn write_failed(&mut self, now: Duration, error: WriteError) {
        self.last_error = Some(error);
        self.counters.failures += 1;
        self.writer = None;
        self.handle_event(now, Event::WriteFailed, None);
    }

    fn unix_time(&self, at: Duration) -> Micros {
        self.start.saturating_add(at.as_micros() as Micros)
    }
}
