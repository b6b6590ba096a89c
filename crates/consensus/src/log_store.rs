//! The consensus log and hard state. Both are in memory, so that `raft` reads them without I/O;
//! this module encodes their changes for the write-ahead log.

use std::cell::Cell;
use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use tulipgap_leases::Name;

use crate::error::LoadError;
use crate::peer_message::VoterId;
use crate::replicated_state::ReplicatedState;

/// The index of the bootstrap snapshot, after which the log of every initial voter begins.
const BOOTSTRAP_INDEX: u64 = 1;
/// The term of the bootstrap snapshot.
const BOOTSTRAP_TERM: u64 = 1;

/// Raft's hard state, as stored.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct StoredHardState {
    term: u64,
    vote: u64,
    commit: u64,
}

impl From<&HardState> for StoredHardState {
    fn from(state: &HardState) -> Self {
        StoredHardState {
            term: state.term,
            vote: state.vote,
            commit: state.commit,
        }
    }
}

impl From<StoredHardState> for HardState {
    fn from(stored: StoredHardState) -> Self {
        HardState {
            term: stored.term,
            vote: stored.vote,
            commit: stored.commit,
            ..HardState::default()
        }
    }
}

/// The index and term of an entry.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
struct EntryId {
    index: u64,
    term: u64,
}

/// One record of the write-ahead log: a change of the hard state and the entries.
#[derive(Default, Serialize, Deserialize)]
struct StoredChange {
    hard_state: Option<StoredHardState>,
    entries: Vec<Vec<u8>>,
}

/// A snapshot of the write-ahead log: the complete consensus log and hard state.
#[derive(Serialize, Deserialize)]
struct StoredLog {
    hard_state: StoredHardState,
    snapshot: Vec<u8>,
    compacted: EntryId,
    entries: Vec<Vec<u8>>,
}

/// The consensus log of one voter, owned by the `RawNode` of the crate `raft`.
///
/// Invariant: the indexes of `entries` are contiguous and begin after `compacted`.
#[derive(Default)]
pub(crate) struct LogStore {
    hard_state: HardState,
    /// The last entry that was removed from the log. The snapshot covers it.
    compacted: EntryId,
    entries: Vec<Entry>,
    snapshot: Snapshot,
    /// Whether a follower needs a newer snapshot than the latest one. A `Cell`, since the consensus
    /// requests snapshots through a shared reference.
    is_snapshot_requested: Cell<bool>,
}

/// Whether the member list of a snapshot contains this voter or learner. A receiver ignores a
/// snapshot that does not list it.
fn lists_member(snapshot: &Snapshot, id: u64) -> bool {
    let membership = snapshot.get_metadata().get_conf_state();
    let members = membership.get_voters().iter();
    let members = members.chain(membership.get_learners());
    members.copied().any(|member| member == id)
}

fn encode_message(message: &impl protobuf::Message) -> Vec<u8> {
    // Writing to memory fails only if a required field is missing, and these messages have none.
    message.write_to_bytes().unwrap_or_default()
}

/// The content of a snapshot.
pub(crate) struct SnapshotContent<'a> {
    /// The index of the last applied entry.
    pub(crate) index: u64,
    /// The voters and learners, as the consensus has them.
    pub(crate) membership: ConfState,
    pub(crate) state: &'a ReplicatedState,
}

impl SnapshotContent<'_> {
    /// `term` is the term of the entry at [`Self::index`].
    fn encode(self, term: u64) -> Snapshot {
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.state.encode().into());
        let metadata = snapshot.mut_metadata();
        (metadata.index, metadata.term) = (self.index, term);
        metadata.set_conf_state(self.membership);
        snapshot
    }
}

impl LogStore {
    /// The log that every initial voter begins with: a snapshot as of entry 1 that lists the
    /// initial voters.
    pub(crate) fn bootstrapped(initial_voters: &BTreeMap<Name, VoterId>) -> Self {
        let voters: BTreeMap<VoterId, Name> = initial_voters
            .iter()
            .map(|(name, id)| (*id, name.clone()))
            .collect();
        let mut membership = ConfState::default();
        membership.set_voters(voters.keys().map(|id| id.0).collect());
        let state = ReplicatedState {
            voters,
            ..ReplicatedState::default()
        };
        let mut store = LogStore::default();
        let content = SnapshotContent {
            index: BOOTSTRAP_INDEX,
            membership,
            state: &state,
        };
        store.install_snapshot(content.encode(BOOTSTRAP_TERM));
        store
    }

    /// Decodes the snapshot and records that the write-ahead log recovered. Returns `None` if there
    /// is no snapshot: the voter has no consensus log yet.
    pub(crate) fn decode(
        stored_log: Option<&[u8]>,
        changes: &[Vec<u8>],
    ) -> Result<Option<Self>, LoadError> {
        let Some(stored_log) = stored_log else {
            return Ok(None);
        };
        let stored: StoredLog =
            postcard::from_bytes(stored_log).map_err(|source| LoadError::Decode {
                item: "a snapshot",
                source,
            })?;
        let snapshot = Snapshot::parse_from_bytes(&stored.snapshot).map_err(|source| {
            LoadError::DecodeRaft {
                item: "a snapshot",
                source,
            }
        })?;
        let hard_state = stored.hard_state.into();
        let mut store = LogStore {
            hard_state,
            compacted: stored.compacted,
            entries: Vec::new(),
            snapshot,
            is_snapshot_requested: Cell::default(),
        };
        store.append_encoded(&stored.entries)?;
        for change in changes {
            store.apply_change(change)?;
        }
        let (commit, last) = (store.hard_state.commit, store.last_entry());
        if commit > last {
            return Err(LoadError::CommitBeyondLog { commit, last });
        }
        Ok(Some(store))
    }

    fn apply_change(&mut self, change: &[u8]) -> Result<(), LoadError> {
        let change: StoredChange =
            postcard::from_bytes(change).map_err(|source| LoadError::Decode {
                item: "a record",
                source,
            })?;
        self.append_encoded(&change.entries)?;
        if let Some(hard_state) = change.hard_state {
            self.hard_state = hard_state.into();
        }
        Ok(())
    }

    fn append_encoded(&mut self, entries: &[Vec<u8>]) -> Result<(), LoadError> {
        let decoded: Result<Vec<Entry>, _> = entries
            .iter()
            .map(|bytes| Entry::parse_from_bytes(bytes))
            .collect();
        self.append(decoded.map_err(|source| LoadError::DecodeRaft {
            item: "an entry",
            source,
        })?)
    }

    /// Encodes the complete log and hard state, for a snapshot of the write-ahead log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let stored = StoredLog {
            hard_state: (&self.hard_state).into(),
            snapshot: encode_message(&self.snapshot),
            compacted: self.compacted,
            entries: self.entries.iter().map(encode_message).collect(),
        };
        postcard::to_stdvec(&stored).unwrap_or_default()
    }

    /// Encodes a change, for a record of the write-ahead log.
    pub(crate) fn encode_change(hard_state: Option<&HardState>, entries: &[Entry]) -> Vec<u8> {
        let change = StoredChange {
            hard_state: hard_state.map(StoredHardState::from),
            entries: entries.iter().map(encode_message).collect(),
        };
        postcard::to_stdvec(&change).unwrap_or_default()
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
    }

    pub(crate) fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    pub(crate) fn term(&self) -> u64 {
        self.hard_state.term
    }

    pub(crate) fn latest_snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    fn last_entry(&self) -> u64 {
        self.compacted.index + self.entries.len() as u64
    }

    /// The position of an entry in `entries`. The entry must be after `compacted`.
    fn position(&self, index: u64) -> usize {
        (index - self.compacted.index - 1) as usize
    }

    /// Appends entries. An entry with the index of an existing one replaces it and all later ones.
    pub(crate) fn append(&mut self, entries: Vec<Entry>) -> Result<(), LoadError> {
        for entry in entries {
            let last = self.last_entry();
            if entry.index <= self.compacted.index || entry.index > last + 1 {
                return Err(LoadError::EntryOutOfOrder {
                    index: entry.index,
                    last,
                });
            }
            self.entries.truncate(self.position(entry.index));
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Replaces the whole log with a snapshot: the leader's, or the one of bootstrap.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        let (index, term) = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        self.compacted = EntryId { index, term };
        self.entries.clear();
        self.hard_state.commit = self.hard_state.commit.max(index);
        self.hard_state.term = self.hard_state.term.max(term);
        self.snapshot = snapshot;
    }

    /// Whether a follower has needed a newer snapshot than the latest one since the last call.
    pub(crate) fn take_snapshot_request(&self) -> bool {
        self.is_snapshot_requested.take()
    }

    /// Stores a snapshot and removes the entries that it covers, except the last `kept_entries`.
    pub(crate) fn compact(&mut self, content: SnapshotContent<'_>, kept_entries: u64) {
        let index = content.index;
        let Ok(term) = Storage::term(self, index) else {
            return;
        };
        self.snapshot = content.encode(term);
        let last_removed = index.saturating_sub(kept_entries);
        if last_removed > self.compacted.index
            && let Ok(term) = Storage::term(self, last_removed)
        {
            self.entries.drain(..=self.position(last_removed));
            self.compacted = EntryId {
                index: last_removed,
                term,
            };
        }
    }
}

impl Storage for LogStore {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf_state = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard_state.clone(), conf_state))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.index {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last_entry() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let mut entries = self.entries[self.position(low)..self.position(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let metadata = self.snapshot.get_metadata();
        match index {
            _ if index == self.compacted.index => Ok(self.compacted.term),
            _ if index == metadata.index => Ok(metadata.term),
            _ if index < self.compacted.index => Err(StorageError::Compacted.into()),
            _ => {
                let entry = self.entries.get(self.position(index));
                entry
                    .map(|entry| entry.term)
                    .ok_or_else(|| StorageError::Unavailable.into())
            }
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.index + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let is_too_old = self.snapshot.get_metadata().index < request_index;
        if is_too_old || !lists_member(&self.snapshot, to) {
            self.is_snapshot_requested.set(true);
            return Err(StorageError::SnapshotTemporarilyUnavailable.into());
        }
        Ok(self.snapshot.clone())
    }
}
