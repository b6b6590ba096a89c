//! What the consensus reads of its log, and what is written of it. All of it is in memory too, so it is read without I/O.

use std::collections::BTreeMap;

use protobuf::Message as _;
use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};
use tulipgap_leases::{LeaseStateMachine, Name};

use crate::interface::Unread;

/// What is agreed on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Agreed {
    pub table: LeaseStateMachine,
    /// Who votes, by its number, and its name.
    pub voters: BTreeMap<u64, Name>,
    /// Who is to take whose place, and learns what there is until then.
    pub coming: BTreeMap<u64, (Name, u64)>,
    /// Whose place was taken and who is not out yet.
    pub leaving: Vec<u64>,
}

/// Of each change of who votes.
#[derive(Debug, Serialize, Deserialize)]
pub struct Change {
    pub name: Name,
    pub old: u64,
}

/// One write: what changed.
#[derive(Default, Serialize, Deserialize)]
pub struct Record {
    /// Term, vote, commit.
    pub hard: Option<(u64, u64, u64)>,
    pub entries: Vec<Vec<u8>>,
}

/// All there is.
#[derive(Serialize, Deserialize)]
pub struct Whole {
    hard: (u64, u64, u64),
    snapshot: Vec<u8>,
    trimmed: (u64, u64),
    entries: Vec<Vec<u8>>,
}

#[derive(Default)]
pub struct Store {
    hard: HardState,
    /// Up to and with this entry all is in the snapshot or was trimmed: its index and term.
    trimmed: (u64, u64),
    entries: Vec<Entry>,
    pub snapshot: Snapshot,
}

fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    // Writing to memory fails only where a needed field is missing, and these have none.
    message.write_to_bytes().unwrap_or_default()
}

fn hard(hard: &HardState) -> (u64, u64, u64) {
    (hard.term, hard.vote, hard.commit)
}

fn unread(what: &'static str) -> impl Fn(String) -> Unread {
    move |error| Unread::Bytes(what, error)
}

impl Store {
    /// The same for each of the first voters: who they are, as the first entry.
    pub fn founded(founders: &BTreeMap<Name, u64>) -> Self {
        let voters: BTreeMap<u64, Name> = founders.iter().map(|(name, id)| (*id, name.clone())).collect();
        let agreed = Agreed { voters, ..Agreed::default() };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(postcard::to_stdvec(&agreed).unwrap_or_default().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().set_voters(agreed.voters.keys().copied().collect());
        let mut store = Store::default();
        store.install(snapshot);
        store
    }

    pub fn read(whole: Option<&[u8]>, records: &[Vec<u8>]) -> Result<Option<Self>, Unread> {
        let Some(whole) = whole else {
            return Ok(None);
        };
        let bad = unread("a state");
        let whole: Whole = postcard::from_bytes(whole).map_err(|error| bad(error.to_string()))?;
        let mut store = Store { trimmed: whole.trimmed, ..Store::default() };
        store.set_hard(whole.hard);
        store.snapshot =
            Snapshot::parse_from_bytes(&whole.snapshot).map_err(|error| bad(error.to_string()))?;
        store.append_bytes(&whole.entries)?;
        for record in records {
            let bad = unread("a record");
            let record: Record = postcard::from_bytes(record).map_err(|error| bad(error.to_string()))?;
            store.append_bytes(&record.entries)?;
            if let Some(hard) = record.hard {
                store.set_hard(hard);
            }
        }
        let last = store.last();
        if store.hard.commit > last {
            return Err(bad(format!("entry {} is agreed on and the last is {last}", store.hard.commit)));
        }
        Ok(Some(store))
    }

    fn append_bytes(&mut self, entries: &[Vec<u8>]) -> Result<(), Unread> {
        let bad = unread("an entry");
        let parsed: Result<Vec<Entry>, _> =
            entries.iter().map(|bytes| Entry::parse_from_bytes(bytes)).collect();
        self.append(parsed.map_err(|error| bad(error.to_string()))?).map_err(bad)
    }

    pub fn whole(&self) -> Vec<u8> {
        let whole = Whole {
            hard: hard(&self.hard),
            snapshot: bytes(&self.snapshot),
            trimmed: self.trimmed,
            entries: self.entries.iter().map(bytes).collect(),
        };
        postcard::to_stdvec(&whole).unwrap_or_default()
    }

    pub fn record(hard_state: Option<&HardState>, entries: &[Entry]) -> Vec<u8> {
        let record = Record { hard: hard_state.map(hard), entries: entries.iter().map(bytes).collect() };
        postcard::to_stdvec(&record).unwrap_or_default()
    }

    pub fn set_hard(&mut self, (term, vote, commit): (u64, u64, u64)) {
        (self.hard.term, self.hard.vote, self.hard.commit) = (term, vote, commit);
    }

    pub fn hard(&self) -> (u64, u64, u64) {
        hard(&self.hard)
    }

    pub fn last(&self) -> u64 {
        self.trimmed.0 + self.entries.len() as u64
    }

    /// What does not fit what is there takes the place of all from there on.
    pub fn append(&mut self, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            if entry.index <= self.trimmed.0 || entry.index > self.last() + 1 {
                return Err(format!("entry {} after {}", entry.index, self.last()));
            }
            self.entries.truncate((entry.index - self.trimmed.0 - 1) as usize);
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Another's state in place of all.
    pub fn install(&mut self, snapshot: Snapshot) {
        let (index, term) = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        self.trimmed = (index, term);
        self.entries.clear();
        self.hard.commit = self.hard.commit.max(index);
        self.hard.term = self.hard.term.max(term);
        self.snapshot = snapshot;
    }

    /// A state of one's own, as of that entry; some entries before it stay for those that are a little behind.
    pub fn take(&mut self, index: u64, conf: ConfState, agreed: &Agreed, keep: u64) {
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot::default();
        snapshot.set_data(postcard::to_stdvec(agreed).unwrap_or_default().into());
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(conf);
        self.snapshot = snapshot;
        let to = index.saturating_sub(keep);
        if to > self.trimmed.0
            && let Ok(term) = self.term(to)
        {
            self.entries.drain(..(to - self.trimmed.0) as usize);
            self.trimmed = (to, term);
        }
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let conf = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard.clone(), conf))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.trimmed.0 {
            return Err(StorageError::Compacted.into());
        }
        if high > self.last() + 1 {
            return Err(StorageError::Unavailable.into());
        }
        let at = |index: u64| (index - self.trimmed.0 - 1) as usize;
        let mut entries = self.entries[at(low)..at(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let meta = self.snapshot.get_metadata();
        match index {
            _ if index == self.trimmed.0 => Ok(self.trimmed.1),
            _ if index == meta.index => Ok(meta.term),
            _ if index < self.trimmed.0 => Err(StorageError::Compacted.into()),
            _ => {
                let entry = self.entries.get((index - self.trimmed.0 - 1) as usize);
                entry.map(|entry| entry.term).ok_or_else(|| StorageError::Unavailable.into())
            }
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.trimmed.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        match self.snapshot.get_metadata().index < request_index {
            true => Err(StorageError::SnapshotTemporarilyUnavailable.into()),
            false => Ok(self.snapshot.clone()),
        }
    }
}
