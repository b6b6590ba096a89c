//! The write-ahead log: opening and recovery, appending, snapshots.
//!
//! A directory holds `log-N` files with records and a `snapshot` in a file `state-N`, where N is
//! the sequence number of the last record before the file began.

use std::io;

use crate::corruption::Corruption;
use crate::disk::Disk;
use crate::error::LogError;
use crate::record::{self, Decoded, MAX_RECORD_BYTES};
use crate::recovery::{FilePlace, scan_records};

/// What the names of files with records begin with.
const LOG_PREFIX: &str = "log-";
/// What the names of snapshots begin with.
const SNAPSHOT_PREFIX: &str = "state-";
/// The sequence number in files of a single record, which have no place in the sequence.
const NO_SEQUENCE: u64 = 0;

/// A bug that tests inject to show that their checks can fail. Each stands for a mistake that is
/// easily made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// A record is acknowledged before it is synced.
    SkipSync,
    /// A failed sync is retried, and its success is taken for durability.
    RetryFailedSync,
}

/// What was on the disk when the log was opened.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The latest snapshot, where one was ever written.
    pub snapshot: Option<Vec<u8>>,
    /// The payloads after the snapshot, in order.
    pub records: Vec<Vec<u8>>,
    /// Bytes of a last record that a crash had cut short and that were dropped.
    pub dropped_bytes: usize,
}

/// A log on a disk. It is the only writer of its files.
///
/// Invariants: a payload is durable when [`append`](Self::append) returns `Ok`; sequence numbers
/// have no gap; once a write or sync failed, every further write fails with [`LogError::Poisoned`].
pub struct WriteAheadLog<D: Disk> {
    disk: D,
    /// The sequence number of the last record. A snapshot does not restart the numbers.
    last_sequence: u64,
    /// The file that records are appended to.
    log_file: String,
    /// The failure after which nothing on the disk is certain.
    poisoned_by: Option<String>,
    #[cfg(feature = "injected-bugs")]
    injected_bug: Option<InjectedBug>,
}

impl<D: Disk> WriteAheadLog<D> {
    /// Opens what is on the disk, or begins an empty log.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] where an acknowledged record is damaged or missing; [`LogError::List`]
    /// and [`LogError::Io`] where the disk fails.
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
            let place = FilePlace {
                is_last: position + 1 == logs.len(),
                snapshot_sequence,
                last_sequence: log.last_sequence,
            };
            log.replay(&log_file_name(sequence), place, &mut recovered)?;
        }
        if let Some(&latest) = logs.last() {
            log.log_file = log_file_name(latest);
        }
        // A crash may come between a new snapshot and the removal of what it replaces.
        for outdated in snapshots
            .iter()
            .filter(|&&sequence| sequence < snapshot_sequence)
        {
            log.remove(&snapshot_file_name(*outdated))?;
        }
        Ok((log, recovered))
    }

    /// Makes the log behave as though it had that bug.
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

    /// The disk beneath.
    pub fn disk(&self) -> &D {
        &self.disk
    }

    /// Appends one record; it is durable when this returns.
    ///
    /// # Errors
    /// [`LogError::RecordTooLong`] leaves the log as it was. After any other error the log is
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

    /// Writes a snapshot that replaces all records so far; it is durable when this returns.
    ///
    /// # Errors
    /// After an error the log is poisoned, but for a listing that failed.
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

    /// Writes a small file beside the log, in place of what it held; it is durable when this
    /// returns.
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

    /// What [`write_file`](Self::write_file) last wrote under that name; `None` where it never did.
    ///
    /// # Errors
    /// [`LogError::Corrupt`] where the file holds something else.
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

    /// Reads one log file and drops a last record that was cut short.
    fn replay(
        &mut self,
        file: &str,
        place: FilePlace,
        recovered: &mut Recovered,
    ) -> Result<(), LogError> {
        let bytes = self.disk.read(file).map_err(LogError::io(file))?;
        let scanned = scan_records(&bytes, place)
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

    /// After a failure the content of the disk is unknown, and a second sync may report success
    /// although the data of the first is lost. So nothing more is written until the log is opened
    /// again.
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

/// The numbers of the files with that prefix, in rising order.
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
