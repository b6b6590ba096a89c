//! The disk interface of the log, and its implementation by a directory.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A set of named files. Only a sync makes an appended record durable; [`replace`](Disk::replace),
/// [`truncate`](Disk::truncate) and [`remove`](Disk::remove) are durable when they return.
///
/// All methods fail with the error of the device or file system.
pub trait Disk {
    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The content of a file; `NotFound` if there is no such file.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Appends to a file, and creates it if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Makes a file's content durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Replaces a file's content atomically and durably: after a crash the file has its old or its
    /// new content.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to this length in bytes, durably.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file, durably.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A directory that one process uses at a time. The directory stays locked until this is dropped.
pub struct Directory {
    path: PathBuf,
    /// The locked file; closing it releases the lock.
    _lock: File,
    /// The file to which the log appends, which stays open.
    open_file: Option<(String, File)>,
}

/// The file that a process locks while it uses the directory.
const LOCK_FILE: &str = "lock";
/// The temporary name of a file's new content, until it is complete and durable.
const TEMPORARY_FILE: &str = "half";

impl Directory {
    /// Opens a directory, or creates it.
    ///
    /// # Errors
    /// The file system's error, or `WouldBlock` if another process uses the directory.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive)
            .map_err(|error| io::Error::new(error.kind(), "another process uses this folder"))?;
        Ok(Directory {
            path: path.to_owned(),
            _lock: lock,
            open_file: None,
        })
    }

    /// Makes the names of the directory's files durable.
    fn sync_directory(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            if is_new {
                self.sync_directory()?;
            }
            self.open_file = Some((name.to_owned(), file));
        }
        self.open_file
            .as_mut()
            .map(|(_, file)| file)
            .ok_or_else(|| io::Error::other("no file is open"))
    }
}

impl Disk for Directory {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK_FILE
                && name != TEMPORARY_FILE
            {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_data()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.path.join(TEMPORARY_FILE);
        let mut file = File::create(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&temporary, self.path.join(name))?;
        self.sync_directory()
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_file = None;
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_file = None;
        fs::remove_file(self.path.join(name))?;
        self.sync_directory()
    }
}
