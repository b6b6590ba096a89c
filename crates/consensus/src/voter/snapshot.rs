//! When a snapshot of the replicated state is taken (Raft, section 7): a log that grows without
//! bound would fill the disk and make each start longer.

/// Entries that stay in the log after a snapshot, for voters that are a little behind: those get
/// the entries and not the complete state.
pub(super) const KEPT_ENTRIES: u64 = 200;

/// The entries between two snapshots.
pub(super) struct SnapshotSchedule {
    interval_entries: u64,
    /// The entry of the latest snapshot.
    last_index: u64,
}

impl SnapshotSchedule {
    /// `interval_entries` entries are applied between two snapshots.
    pub(super) fn new(interval_entries: u64) -> Self {
        SnapshotSchedule {
            interval_entries,
            last_index: 0,
        }
    }

    /// A snapshot as of that entry was taken or received.
    pub(super) fn record(&mut self, index: u64) {
        self.last_index = index;
    }

    /// Whether a snapshot is to be taken once the entry of that index is applied.
    pub(super) fn is_due(&self, applied_index: u64) -> bool {
        applied_index >= self.last_index + self.interval_entries
    }
}
