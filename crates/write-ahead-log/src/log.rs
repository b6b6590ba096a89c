//! The write-ahead log: opening and recovery, appending, snapshots.
//!
//! A directory holds files `log-N` with the records after sequence number N, and a file `state-N`
//! with the snapshot that replaces the records up to sequence number N.

use std::io;

use crate::corruption::Corruption;
use crate::disk::Disk;
use crate::error::LogError;
use crate::record::{self, Decoded, MAX_RECORD_BYTES};
use crate::recovery::{FileContext, scan_records};

/// The prefix of the names of log files, which hold records.
const LOG_PREFIX: &str = "log-";
/// The prefix of the names of snapshot files.
const SNAPSHOT_PREFIX: &str = "state-";
/// The sequence number in files of a single record, which is not part of the sequence of records.
const NO_SEQUENCE: u64 = 0;

/// A bug that tests inject to verify that their checks detect it. Each one is a plausible mistake
/// of an implementation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The log acknowledges a record without a sync.
    SkipSync,
    /// The log retries a failed sync and treats the success of the retry as durability.
    RetryFailedSync,
}

/// The content of the log when it was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The latest snapshot, if one was ever written.
    pub snapshot: Option<Vec<u8>>,
    /// The payloads after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// The number of dropped bytes of a torn last record, which a crash had cut short.
    pub dropped_bytes: usize,
}

/// A log on a disk. It is the only writer of its files.
///
/// Invariants: a payload is durable when [`append`](Self::append) returns `Ok`; sequence numbers
/// have no gap; once a write or sync failed, every further write fails with [`LogError::Poisoned`].
pub struct WriteAheadLog<D: Disk> {
    disk: D,
    /// The sequence number of the last record. A snapshot does not restart the numbering.
    last_sequence: u64,
    /// The file to which records are appended.
    log_file: String,
    /// The failure after which the content of the disk is unknown.
    poisoned_by: Option<String>,
    #[cfg(feature = "injected-bugs")]
    injected_bug: Option<InjectedBug>,
}

impl<D: Disk> WriteAheadLog<D> {
    /// Opens the log on the disk, or starts an empty one.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] if an acknowledged record is damaged or missing; [`LogError::List`]
    /// and [`LogError::Io`] if the disk fails.
    pub fn open(disk: D) -> Result<(Self, Recovered), LogError> {
        let mut log = WriteAheadLog {
            disk,
            last_sequence: 0,
            log_file: log_file_name(0),
            poisoned_by: None,
            #[cfg(feature = "injected-bugs")]
            injected_bug: None,
        };
        let files = log.disk.list().map_err(LogError::List)?;
        let snapshots = sequence_numbers(&files, SNAPSHOT_PREFIX);
        let mut recovered = Recovered::default();
        if let Some(&latest) = snapshots.last() {
            recovered.snapshot = log.read_file(&snapshot_file_name(latest))?;
            log.last_sequence = latest;
            log.log_file = log_file_name(latest);
        }
        let snapshot_sequence = log.last_sequence;
        let logs = sequence_numbers(&files, LOG_PREFIX);
        for (position, &sequence) in logs.iter().enumerate() {
            let context = FileContext {
                is_last: position + 1 == logs.len(),
                snapshot_sequence,
                last_sequence: log.last_sequence,
            };
            log.replay(&log_file_name(sequence), context, &mut recovered)?;
        }
        if let Some(&latest) = logs.last() {
            log.log_file = log_file_name(latest);
        }
        // A crash may occur between the write of a new snapshot and the removal of the old one.
        for outdated in snapshots
            .iter()
            .filter(|&&sequence| sequence < snapshot_sequence)
        {
            log.remove(&snapshot_file_name(*outdated))?;
        }
        Ok((log, recovered))
    }

    /// Makes the log behave as if it had this bug.
    #[cfg(feature = "injected-bugs")]
    pub fn inject_bug(&mut self, bug: Option<InjectedBug>) {
        self.injected_bug = bug;
    }

    #[cfg(feature = "injected-bugs")]
    fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }

    #[cfg(not(feature = "injected-bugs"))]
    fn has_bug(&self, _: InjectedBug) -> bool {
        false
    }

    /// The underlying disk.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Appends one record; it is durable when this returns.
    ///
    /// # Errors
    /// [`LogError::RecordTooLong`] leaves the log unchanged. After any other error the log is
    /// poisoned.
    pub fn append(&mut self, payload: &[u8]) -> Result<(), LogError> {
        self.ensure_not_poisoned()?;
        if payload.len() > MAX_RECORD_BYTES {
            return Err(LogError::RecordTooLong(payload.len()));
        }
        let file = self.log_file.clone();
        let sequence = self.last_sequence + 1;
        let bytes = record::encode(sequence, payload);
        let appended = self.disk.append(&file, &bytes);
        self.poison_on_error(&file, appended)?;
        if !self.has_bug(InjectedBug::SkipSync) {
            self.sync(&file)?;
        }
        self.last_sequence = sequence;
        Ok(())
    }

    /// Writes a snapshot that replaces all previous records; it is durable when this returns.
    ///
    /// # Errors
    /// After any error but [`LogError::List`] the log is poisoned.
    pub fn write_snapshot(&mut self, snapshot: &[u8]) -> Result<(), LogError> {
        self.ensure_not_poisoned()?;
        let old_log = self.log_file.clone();
        let new_snapshot = snapshot_file_name(self.last_sequence);
        let mut outdated = self.disk.list().map_err(LogError::List)?;
        outdated.retain(|name| name.starts_with(SNAPSHOT_PREFIX) && *name != new_snapshot);
        self.write_file(&new_snapshot, snapshot)?;
        self.log_file = log_file_name(self.last_sequence);
        if old_log != self.log_file {
            let exists = self.disk.list().is_ok_and(|names| names.contains(&old_log));
            if exists {
                self.remove(&old_log)?;
            }
        }
        for name in outdated {
            self.remove(&name)?;
        }
        Ok(())
    }

    /// Writes a small file next to the log, and replaces the file's previous content; the new
    /// content is durable when this returns.
    ///
    /// # Errors
    /// After an error the log is poisoned.
    pub fn write_file(&mut self, name: &str, payload: &[u8]) -> Result<(), LogError> {
        self.ensure_not_poisoned()?;
        let replaced = self
            .disk
            .replace(name, &record::encode(NO_SEQUENCE, payload));
        self.poison_on_error(name, replaced)
    }

    /// Reads the payload that [`write_file`](Self::write_file) last wrote to the file with this
    /// name; `None` if there is no such file.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] if the file is not a single valid record, and [`LogError::Io`] if the
    /// disk fails.
    pub fn read_file(&self, name: &str) -> Result<Option<Vec<u8>>, LogError> {
        let bytes = match self.disk.read(name) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(LogError::io(name)(error)),
        };
        match record::decode(&bytes) {
            Decoded::Complete { payload, .. } if record::encoded_len(payload) == bytes.len() => {
                Ok(Some(payload.to_vec()))
            }
            _ => Err(corrupt(name, 0, Corruption::SingleRecord)),
        }
    }

    /// Reads one log file and drops a torn last record.
    fn replay(
        &mut self,
        file: &str,
        context: FileContext,
        recovered: &mut Recovered,
    ) -> Result<(), LogError> {
        let bytes = self.disk.read(file).map_err(LogError::io(file))?;
        let scanned = scan_records(&bytes, context)
            .map_err(|damage| corrupt(file, damage.offset, damage.corruption))?;
        self.last_sequence = scanned.last_sequence;
        recovered.records.extend(scanned.payloads);
        if let Some(offset) = scanned.torn_at {
            recovered.dropped_bytes = bytes.len() - offset;
            self.disk
                .truncate(file, offset as u64)
                .map_err(LogError::io(file))?;
        }
        Ok(())
    }

    fn sync(&mut self, file: &str) -> Result<(), LogError> {
        let mut synced = self.disk.sync(file);
        if synced.is_err() && self.has_bug(InjectedBug::RetryFailedSync) {
            synced = self.disk.sync(file);
        }
        self.poison_on_error(file, synced)
    }

    fn remove(&mut self, name: &str) -> Result<(), LogError> {
        let removed = self.disk.remove(name);
        self.poison_on_error(name, removed)
    }

    fn ensure_not_poisoned(&self) -> Result<(), LogError> {
        match &self.poisoned_by {
            Some(cause) => Err(LogError::Poisoned {
                cause: cause.clone(),
            }),
            None => Ok(()),
        }
    }

    /// Poisons the log if the result is an error. After a failure the content of the disk is
    /// unknown, and a second sync may report success although the data of the first is lost. So the
    /// log rejects writes until it is opened again.
    fn poison_on_error<T>(&mut self, file: &str, result: io::Result<T>) -> Result<T, LogError> {
        result.map_err(|error| {
            self.poisoned_by = Some(format!("{file}: {error}"));
            LogError::io(file)(error)
        })
    }
}

fn corrupt(file: &str, offset: usize, corruption: Corruption) -> LogError {
    LogError::Corrupt {
        file: file.to_owned(),
        offset,
        corruption,
    }
}

/// The sequence numbers in the names of the files with this prefix, in ascending order.
fn sequence_numbers(files: &[String], prefix: &str) -> Vec<u64> {
    let number = |name: &String| name.strip_prefix(prefix)?.parse().ok();
    let mut numbers: Vec<u64> = files.iter().filter_map(number).collect();
    numbers.sort_unstable();
    numbers
}

fn log_file_name(sequence: u64) -> String {
    format!("{LOG_PREFIX}{sequence:020}")
}

fn snapshot_file_name(sequence: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{sequence:020}")
}
