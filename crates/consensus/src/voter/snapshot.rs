//! When a snapshot of the replicated state is taken (Raft, section 7), and when one is sent again.
//!
//! A log that grows without bound would fill the disk and make each start longer. A follower whose
//! next entry is no longer in the log gets the snapshot. The consensus then sends it nothing else
//! until it confirms, and the message may be lost; so one that is not confirmed within an election
//! timeout is sent again. The price: a transfer that takes longer is sent twice.

use std::collections::BTreeMap;

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

/// For how long each follower has been sent a snapshot that it has not confirmed.
#[derive(Default)]
pub(super) struct SnapshotTransfers {
    /// Ticks since it was sent, by the id of its receiver.
    ticks: BTreeMap<u64, usize>,
}

impl SnapshotTransfers {
    /// One tick has passed. `receivers` have a snapshot under way; returns those to whom it is sent
    /// again, as they have not confirmed it for `timeout_ticks`.
    pub(super) fn tick(&mut self, receivers: Vec<u64>, timeout_ticks: usize) -> Vec<u64> {
        self.ticks.retain(|id, _| receivers.contains(id));
        for id in receivers {
            *self.ticks.entry(id).or_default() += 1;
        }
        let stalled = self
            .ticks
            .extract_if(.., |_, ticks| *ticks >= timeout_ticks);
        stalled.map(|(id, _)| id).collect()
    }
}
