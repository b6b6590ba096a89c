//! The rotation and retention of a recorder's files: when a block is sealed, a file opened or
//! closed, an old file removed, a record dropped. The policy is a state machine without I/O and
//! without a clock. It takes [`Event`]s and returns [`Action`]s; the same events give the same
//! actions.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Micros;
use crate::metadata::GapReason;

/// Number of bytes by which a file may exceed `rotate_bytes`: its last block, names, gaps and the
/// index.
const ROTATION_SLACK_BYTES: u64 = 2 * 1024 * 1024;
/// The part of [`ROTATION_SLACK_BYTES`] that is reserved for the index and the end mark.
const INDEX_SLACK_BYTES: u64 = ROTATION_SLACK_BYTES / 2;
/// Backoff after the first disk failure.
const INITIAL_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff between two attempts on a failing disk.
const MAX_RETRY_BACKOFF: Duration = Duration::from_secs(30);

/// The limits of a recording.
#[derive(Clone, Copy, Debug)]
pub struct RetentionConfig {
    /// The maximum number of records of a block.
    pub block_records: usize,
    /// The maximum time from the first record of a block until the block is sealed.
    pub seal_after: Duration,
    /// The size in bytes at which a file is closed.
    pub rotate_bytes: u64,
    /// The age at which a file is closed.
    pub rotate_after: Duration,
    /// The maximum size of all files together in bytes; the oldest files are removed first.
    pub keep_bytes: u64,
}

/// A file of a recording.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// The number of the file; later files have higher numbers.
    pub number: u64,
    /// The length of the file.
    pub bytes: u64,
}

/// An input of the policy.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The files that existed at the start.
    FilesFound(Vec<StoredFile>),
    /// A record was received.
    RecordReceived,
    /// A block was sealed; the file now has `bytes` bytes.
    BlockWritten { bytes: u64 },
    /// An action that writes failed. The records that are not in the file yet are lost.
    WriteFailed,
    /// A file was closed.
    FileClosed(StoredFile),
    /// A file could not be removed.
    RemoveFailed { number: u64 },
    /// Records were dropped before they reached the writer.
    RecordsDropped { reason: GapReason, records: u64 },
    /// The system clock was set by an offset in microseconds.
    ClockSet { change: Micros },
    /// Time has passed.
    Tick,
    /// The recording ends.
    Shutdown,
}

/// An output of the policy. The caller executes the actions of a list in order.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Action {
    /// Remove a file.
    RemoveFile { number: u64 },
    /// Open a new file.
    OpenFile { number: u64 },
    /// Append the received record to the buffered block.
    AppendRecord,
    /// Drop the received record.
    DropRecord,
    /// Write a gap for the records that have been missing since the time `since`.
    WriteGap {
        reason: GapReason,
        records: u64,
        since: Duration,
        clock_change: Micros,
    },
    /// Seal the buffered block, and sync the file.
    SealBlock,
    /// Close the file.
    CloseFile { number: u64 },
}

/// The missing records, or the clock change, of one reason that are not yet in the file as a gap.
#[derive(Clone, Copy)]
struct UnwrittenGap {
    records: u64,
    since: Duration,
    clock_change: Micros,
}

impl UnwrittenGap {
    fn is_empty(&self) -> bool {
        self.records == 0 && self.clock_change == 0
    }
}

/// A gap of an [`Action::WriteGap`] that is not yet known to be in the file.
struct PendingGap {
    reason: GapReason,
    records: u64,
    clock_change: Micros,
}

/// The file that is being written.
struct OpenFile {
    number: u64,
    opened: Duration,
    bytes: u64,
    /// The number of records in the buffered block.
    buffered_records: usize,
    /// When the buffered block is due to be sealed.
    seal_at: Duration,
    pending_gaps: Vec<PendingGap>,
}

/// Decides on the files of one recorder. The policy owns the numbers and sizes of the files;
/// [`crate::RotatingWriter`] owns the files.
pub(crate) struct RetentionPolicy {
    config: RetentionConfig,
    /// The sizes of the closed files in bytes, by number.
    closed_files: BTreeMap<u64, u64>,
    next_number: u64,
    open_file: Option<OpenFile>,
    missing: BTreeMap<GapReason, UnwrittenGap>,
    /// No file is opened before this time.
    retry_at: Duration,
    retry_backoff: Duration,
    /// The last time at which no record was missing.
    last_complete_at: Duration,
    total_missing: u64,
}

impl RetentionPolicy {
    pub(crate) fn new(config: RetentionConfig) -> Self {
        RetentionPolicy {
            config,
            closed_files: BTreeMap::new(),
            next_number: 1,
            open_file: None,
            missing: BTreeMap::new(),
            retry_at: Duration::ZERO,
            retry_backoff: INITIAL_RETRY_BACKOFF,
            last_complete_at: Duration::ZERO,
            total_missing: 0,
        }
    }

    /// Handles an event, and returns the actions to carry out.
    pub(crate) fn handle_event(&mut self, now: Duration, event: &Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::FilesFound(files) => {
                self.closed_files
                    .extend(files.iter().map(|file| (file.number, file.bytes)));
                let last = self.closed_files.keys().next_back();
                self.next_number = last.map_or(1, |last| last.saturating_add(1));
            }
            Event::RecordReceived => self.record_received(now, &mut actions),
            Event::BlockWritten { bytes } => self.block_written(now, *bytes, &mut actions),
            Event::WriteFailed => self.write_failed(now),
            Event::FileClosed(file) => {
                self.closed_files.insert(file.number, file.bytes);
            }
            Event::RemoveFailed { number } => {
                // The file counts as 0 bytes from now on, so that a file that cannot be removed
                // does not cause removals in a loop.
                self.closed_files.entry(*number).or_insert(0);
            }
            Event::RecordsDropped { reason, records } => {
                self.add_missing(now, *reason, *records, 0)
            }
            Event::ClockSet { change } => self.add_missing(now, GapReason::ClockSet, 0, *change),
            Event::Tick => self.tick(now, &mut actions),
            Event::Shutdown => {
                if let Some(number) = self.open_file.as_ref().map(|file| file.number) {
                    self.write_gaps(&mut actions);
                    actions.extend([Action::SealBlock, Action::CloseFile { number }]);
                }
            }
        }
        actions
    }

    /// When the next [`Event::Tick`] is due, unless another event comes first.
    pub(crate) fn next_deadline(&self) -> Option<Duration> {
        let file = self.open_file.as_ref()?;
        let rotate_at = self.rotate_at(file);
        Some(if file.buffered_records > 0 {
            file.seal_at.min(rotate_at)
        } else {
            rotate_at
        })
    }

    /// The number of missing records so far, for any reason.
    pub(crate) fn total_missing(&self) -> u64 {
        self.total_missing
    }

    /// The total size of all files in bytes, as far as it is known.
    pub(crate) fn bytes(&self) -> u64 {
        self.closed_bytes() + self.open_file.as_ref().map_or(0, |file| file.bytes)
    }

    fn closed_bytes(&self) -> u64 {
        self.closed_files.values().sum()
    }

    fn rotate_at(&self, file: &OpenFile) -> Duration {
        file.opened.saturating_add(self.config.rotate_after)
    }

    fn record_received(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if self.open_file.is_none() {
            if now < self.retry_at {
                self.add_missing(now, GapReason::DiskFailure, 1, 0);
                actions.push(Action::DropRecord);
                return;
            }
            self.open_file(now, actions);
        }
        let RetentionConfig {
            seal_after,
            block_records,
            ..
        } = self.config;
        let Some(file) = self.open_file.as_mut() else {
            return;
        };
        actions.push(Action::AppendRecord);
        file.buffered_records += 1;
        if file.buffered_records == 1 {
            file.seal_at = now.saturating_add(seal_after);
        }
        if file.buffered_records >= block_records || now >= file.seal_at {
            actions.push(Action::SealBlock);
        }
    }

    /// Opens a file, after removing enough of the oldest files for it to grow to its maximum size.
    fn open_file(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let max_file_bytes = self
            .config
            .rotate_bytes
            .saturating_add(ROTATION_SLACK_BYTES);
        while self.closed_bytes().saturating_add(max_file_bytes) > self.config.keep_bytes {
            let Some((number, _)) = self.closed_files.pop_first() else {
                break;
            };
            actions.push(Action::RemoveFile { number });
        }
        let number = self.next_number;
        self.next_number += 1;
        actions.push(Action::OpenFile { number });
        self.open_file = Some(OpenFile {
            number,
            opened: now,
            bytes: 0,
            buffered_records: 0,
            seal_at: Duration::MAX,
            pending_gaps: Vec::new(),
        });
        self.write_gaps(actions);
    }

    fn block_written(&mut self, now: Duration, bytes: u64, actions: &mut Vec<Action>) {
        let Some(file) = self.open_file.as_mut() else {
            return;
        };
        (file.bytes, file.buffered_records) = (bytes, 0);
        for gap in file.pending_gaps.drain(..) {
            // More records may be missing since the gap was issued.
            if let Some(missing) = self.missing.get_mut(&gap.reason) {
                missing.records -= gap.records;
                missing.clock_change -= gap.clock_change;
            }
        }
        self.missing.retain(|_, missing| !missing.is_empty());
        self.retry_backoff = INITIAL_RETRY_BACKOFF;
        let is_old = now >= file.opened.saturating_add(self.config.rotate_after);
        if bytes >= self.config.rotate_bytes || is_old {
            self.close_file(actions);
        }
    }

    fn close_file(&mut self, actions: &mut Vec<Action>) {
        if let Some(file) = self.open_file.take() {
            // The size of the index is not known before the file is closed.
            self.closed_files
                .insert(file.number, file.bytes.saturating_add(INDEX_SLACK_BYTES));
            actions.push(Action::CloseFile {
                number: file.number,
            });
        }
    }

    /// Handles a write to the disk that failed or was incomplete. The file is left as it is, and
    /// the next file is opened after a backoff, so that a full, slow or missing disk does not cost
    /// an attempt for each record. Records are dropped until then.
    fn write_failed(&mut self, now: Duration) {
        if let Some(file) = self.open_file.take() {
            self.closed_files.insert(file.number, file.bytes);
            self.add_missing(now, GapReason::DiskFailure, file.buffered_records as u64, 0);
        }
        self.retry_at = now.saturating_add(self.retry_backoff);
        self.retry_backoff = (self.retry_backoff * 2).min(MAX_RETRY_BACKOFF);
    }

    fn tick(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let Some(file) = self.open_file.as_ref() else {
            return;
        };
        let is_old = now >= self.rotate_at(file);
        let is_seal_due = file.buffered_records > 0 && now >= file.seal_at;
        if !self.missing.is_empty() && file.pending_gaps.is_empty() {
            self.write_gaps(actions);
        }
        if is_seal_due || is_old || !actions.is_empty() {
            actions.push(Action::SealBlock);
        }
        if self.missing.is_empty() {
            self.last_complete_at = now;
        }
    }

    fn add_missing(
        &mut self,
        now: Duration,
        reason: GapReason,
        records: u64,
        clock_change: Micros,
    ) {
        if records == 0 && clock_change == 0 {
            return;
        }
        let none = UnwrittenGap {
            records: 0,
            since: self.last_complete_at.min(now),
            clock_change: 0,
        };
        let missing = self.missing.entry(reason).or_insert(none);
        missing.records += records;
        missing.clock_change += clock_change;
        self.total_missing += records;
    }

    /// Issues gaps for all missing records and clock changes. Both count as missing until the file
    /// is known to have their gap.
    fn write_gaps(&mut self, actions: &mut Vec<Action>) {
        let Some(file) = self.open_file.as_mut() else {
            return;
        };
        for (
            &reason,
            &UnwrittenGap {
                mut records,
                since,
                mut clock_change,
            },
        ) in &self.missing
        {
            for pending in file
                .pending_gaps
                .iter()
                .filter(|pending| pending.reason == reason)
            {
                records -= pending.records;
                clock_change -= pending.clock_change;
            }
            if records > 0 || clock_change != 0 {
                actions.push(Action::WriteGap {
                    reason,
                    records,
                    since,
                    clock_change,
                });
                file.pending_gaps.push(PendingGap {
                    reason,
                    records,
                    clock_change,
                });
            }
        }
    }
}
