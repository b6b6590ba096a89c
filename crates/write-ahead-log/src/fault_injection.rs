//! A disk in memory that fails on demand, for tests and simulation.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::disk::Disk;

/// The current faults of a [`FaultyDisk`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskFaults {
    /// The disk is full: an append fails after a part of it was written, and a replacement fails
    /// without effect.
    pub is_full: bool,
    /// The next sync fails and drops the unsynced data, as kernels do; the sync after it succeeds.
    pub next_sync_fails: bool,
    /// A sync reports success but makes nothing durable.
    pub ignores_syncs: bool,
}

/// How much a [`FaultyDisk`] was used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskUsage {
    /// The number of syncs, including the syncs of replaced files.
    pub syncs: u64,
    /// The number of bytes passed to writes, including writes that failed.
    pub written_bytes: u64,
}

#[derive(Clone, Debug, Default)]
struct File {
    bytes: Vec<u8>,
    /// The length of the prefix that survives a crash.
    synced_bytes: usize,
}

impl File {
    fn synced(bytes: Vec<u8>) -> Self {
        File {
            synced_bytes: bytes.len(),
            bytes,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, File>,
    faults: DiskFaults,
    usage: DiskUsage,
}

/// A disk in memory. Clones share the files, which survive a simulated crash except for unsynced
/// bytes, of which any part may be lost.
#[derive(Clone, Debug, Default)]
pub struct FaultyDisk(Arc<Mutex<State>>);

impl FaultyDisk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the faults of all further operations.
    pub fn set_faults(&self, faults: DiskFaults) {
        self.state().faults = faults;
    }

    /// The number of syncs and of bytes written so far.
    pub fn usage(&self) -> DiskUsage {
        self.state().usage
    }

    /// Simulates a crash of the machine. For each file `surviving_bytes` takes the number of
    /// unsynced bytes and returns how many of them survive.
    pub fn crash(&self, mut surviving_bytes: impl FnMut(usize) -> usize) {
        for file in self.state().files.values_mut() {
            let unsynced = file.bytes.len() - file.synced_bytes;
            file.bytes
                .truncate(file.synced_bytes + surviving_bytes(unsynced).min(unsynced));
            file.synced_bytes = file.bytes.len();
        }
    }

    /// A copy of all files, by name.
    pub fn copy_files(&self) -> BTreeMap<String, Vec<u8>> {
        self.state()
            .files
            .iter()
            .map(|(name, file)| (name.clone(), file.bytes.clone()))
            .collect()
    }

    /// Replaces all files, as if a backup were restored.
    pub fn restore_files(&self, files: BTreeMap<String, Vec<u8>>) {
        self.state().files = files
            .into_iter()
            .map(|(name, bytes)| (name, File::synced(bytes)))
            .collect();
    }

    /// Flips one bit of a file, counted from the start of the file. A bit beyond the end is
    /// ignored.
    pub fn flip_bit(&self, name: &str, bit: usize) {
        if let Some(file) = self.state().files.get_mut(name)
            && let Some(byte) = file.bytes.get_mut(bit / 8)
        {
            *byte ^= 1 << (bit % 8);
        }
    }
}

fn failed_sync() -> io::Error {
    io::Error::other("the disk does not answer")
}

impl Disk for FaultyDisk {
    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().files.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.state();
        let file = state.files.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(file.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.usage.written_bytes += bytes.len() as u64;
        let is_full = state.faults.is_full;
        let file = state.files.entry(name.to_owned()).or_default();
        if is_full {
            file.bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        file.bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.usage.syncs += 1;
        let faults = state.faults;
        state.faults.next_sync_fails = false;
        let Some(file) = state.files.get_mut(name) else {
            return Ok(());
        };
        if faults.next_sync_fails {
            // As in a kernel, the pages count as clean from now on although their content is lost.
            // After a crash they read as zeros.
            let synced_bytes = file.synced_bytes;
            file.bytes[synced_bytes..].fill(0);
            file.synced_bytes = file.bytes.len();
            return Err(failed_sync());
        }
        if !faults.ignores_syncs {
            file.synced_bytes = file.bytes.len();
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.state();
        state.usage.syncs += 1;
        state.usage.written_bytes += bytes.len() as u64;
        if state.faults.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        if std::mem::take(&mut state.faults.next_sync_fails) {
            return Err(failed_sync());
        }
        state
            .files
            .insert(name.to_owned(), File::synced(bytes.to_vec()));
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some(file) = self.state().files.get_mut(name) {
            file.bytes.truncate(length as usize);
            file.synced_bytes = file.bytes.len();
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.state().files.remove(name);
        Ok(())
    }
}
