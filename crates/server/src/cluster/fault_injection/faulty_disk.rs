//! A disk that fails on demand.

use std::io;
use std::path::PathBuf;

use tulipgap_write_ahead_log::Disk;

/// While the fault folder contains a file of this name, the disk is full.
const FULL_FILE: &str = "full";
/// If the fault folder contains a file of this name, the next sync removes the file and fails.
const FAILED_SYNC_FILE: &str = "fails";

/// A disk that passes all operations to another, except while a file in the fault folder requests a
/// fault.
pub(crate) struct FaultyDisk<D> {
    disk: D,
    fault_folder: Option<PathBuf>,
}

impl<D: Disk> FaultyDisk<D> {
    /// A disk that passes operations to `disk`. Without a fault folder, it injects no faults.
    pub(crate) fn new(disk: D, fault_folder: Option<PathBuf>) -> Self {
        FaultyDisk { disk, fault_folder }
    }

    fn check_space(&self) -> io::Result<()> {
        let is_full = self
            .fault_folder
            .as_deref()
            .is_some_and(|folder| folder.join(FULL_FILE).exists());
        if is_full {
            Err(io::ErrorKind::StorageFull.into())
        } else {
            Ok(())
        }
    }

    fn check_sync(&self) -> io::Result<()> {
        let Some(folder) = &self.fault_folder else {
            return Ok(());
        };
        let should_fail = std::fs::remove_file(folder.join(FAILED_SYNC_FILE)).is_ok();
        if should_fail {
            Err(io::Error::other("the disk does not answer"))
        } else {
            Ok(())
        }
    }
}

impl<D: Disk> Disk for FaultyDisk<D> {
    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.disk.append(name, bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.check_sync()?;
        self.disk.sync(name)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.check_space()?;
        self.check_sync()?;
        self.disk.replace(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.disk.truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }
}
