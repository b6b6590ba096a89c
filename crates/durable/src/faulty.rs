//! A disk in memory that fails as it is told to. What is not synced may be lost, in part, at a crash.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::Disk;

/// What is wrong with it now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Nothing more fits; what was begun is there in part.
    pub full: bool,
    /// The next sync fails and what it was to make durable is dropped, as kernels do; the one after succeeds.
    pub sync_fails: bool,
    /// Syncs say that they are done and are not.
    pub sync_lies: bool,
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// So much of it is on the disk.
    synced: usize,
}

#[derive(Debug, Default)]
struct Inner {
    files: BTreeMap<String, File>,
    faults: Faults,
    syncs: u64,
    written: u64,
}

/// Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Faulty(Arc<Mutex<Inner>>);

impl Faulty {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn set(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Syncs and bytes so far.
    pub fn worked(&self) -> (u64, u64) {
        let inner = self.inner();
        (inner.syncs, inner.written)
    }

    /// The machine ends: of what was not synced, a part that `keep` draws (of all its bytes) is there.
    pub fn crash(&self, mut keep: impl FnMut(usize) -> usize) {
        for file in self.inner().files.values_mut() {
            let unsynced = file.bytes.len() - file.synced;
            file.bytes.truncate(file.synced + keep(unsynced).min(unsynced));
            file.synced = file.bytes.len();
        }
    }

    /// All there is, to be put back later.
    pub fn copy(&self) -> BTreeMap<String, Vec<u8>> {
        self.inner().files.iter().map(|(name, file)| (name.clone(), file.bytes.clone())).collect()
    }

    pub fn put_back(&self, copy: BTreeMap<String, Vec<u8>>) {
        let file = |bytes: Vec<u8>| File { synced: bytes.len(), bytes };
        self.inner().files = copy.into_iter().map(|(name, bytes)| (name, file(bytes))).collect();
    }

    /// Turns one bit of a file over.
    pub fn flip(&self, name: &str, bit: usize) {
        if let Some(file) = self.inner().files.get_mut(name)
            && let Some(byte) = file.bytes.get_mut(bit / 8)
        {
            *byte ^= 1 << (bit % 8);
        }
    }
}

impl Disk for Faulty {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let inner = self.inner();
        let file = inner.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        inner.written += bytes.len() as u64;
        let (full, file) = (inner.faults.full, inner.files.entry(name.to_owned()).or_default());
        if full {
            file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.inner();
        inner.syncs += 1;
        let faults = inner.faults;
        inner.faults.sync_fails = false;
        let Some(file) = inner.files.get_mut(name) else { return Ok(()) };
        if faults.sync_fails {
            // The pages are clean from now on, and what was in them is nowhere: it reads as zeros after a crash.
            let synced = file.synced;
            file.bytes[synced..].fill(0);
            file.synced = file.bytes.len();
            return Err(io::Error::other("the disk does not answer"));
        }
        if !faults.sync_lies {
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.inner();
        inner.syncs += 1;
        inner.written += bytes.len() as u64;
        if inner.faults.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if std::mem::take(&mut inner.faults.sync_fails) {
            return Err(io::Error::other("the disk does not answer"));
        }
        let file = File { bytes: bytes.to_vec(), synced: bytes.len() };
        inner.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some(file) = self.inner().files.get_mut(name) {
            file.bytes.truncate(length as usize);
            file.synced = file.bytes.len();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.inner().files.remove(name);
        Ok(())
    }
}
