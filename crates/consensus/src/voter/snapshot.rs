//! Decides when a voter takes a snapshot of the replicated state (Raft, section 7), and when the
//! leader resends one.
//!
//! Without snapshots the log would grow without bound, fill the disk and slow down each start. A
//! follower whose next entry is no longer in the log gets the snapshot. Until the follower confirms
//! it, the consensus sends the follower no entries, and the message may be lost; so the leader
//! resends a snapshot that is not confirmed within an election timeout. The cost: a snapshot whose
//! transfer takes longer is sent twice.

use std::collections::BTreeMap;

/// Entries that stay in the log after a snapshot, so that followers with a small lag get entries
/// instead of the complete state.
pub(super) const KEPT_ENTRIES: u64 = 200;

/// The schedule of snapshots by the number of applied entries.
pub(super) struct SnapshotSchedule {
    interval_entries: u64,
    /// The index of the latest snapshot.
    last_index: u64,
}

impl SnapshotSchedule {
    /// Creates a schedule with `interval_entries` applied entries between two snapshots.
    pub(super) fn new(interval_entries: u64) -> Self {
        SnapshotSchedule {
            interval_entries,
            last_index: 0,
        }
    }

    /// Records that a snapshot as of this entry was taken or received.
    pub(super) fn record(&mut self, index: u64) {
        self.last_index = index;
    }

    /// Whether a snapshot is due after the entry with this index was applied.
    pub(super) fn is_due(&self, applied_index: u64) -> bool {
        applied_index >= self.last_index + self.interval_entries
    }
}

/// The age of each snapshot in flight, which its receiver has not confirmed.
#[derive(Default)]
pub(super) struct SnapshotTransfers {
    /// Ticks since the snapshot was sent, by the receiver's id.
    ticks: BTreeMap<u64, usize>,
}

impl SnapshotTransfers {
    /// Advances by one tick. `receivers` are the ids with a snapshot in flight. Returns the ids to
    /// which the snapshot must be resent, since they have not confirmed it within `timeout_ticks`.
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
