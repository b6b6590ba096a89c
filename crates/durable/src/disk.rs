//! What a journal asks of a disk, and the real one: a folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Files by name, in one place. Nothing is durable before it is synced, but for what is replaced.
pub trait Disk {
    fn names(&self) -> io::Result<Vec<String>>;
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Adds to the end of a file, which is made where there is none.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// The whole file at once, durable: afterwards it is the new one, after a crash the old or the new one.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to that length, durable.
    fn cut(&mut self, name: &str, length: u64) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// A folder that one process uses at a time.
pub struct Folder {
    path: PathBuf,
    /// Held until the process ends.
    _lock: File,
    open: Option<(String, File)>,
}

const LOCK: &str = "lock";
const HALF: &str = "half";

impl Folder {
    /// Opens it, or makes it; an error where another process has it.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(path.join(LOCK))?;
        let whole = rustix::fs::FlockOperation::NonBlockingLockExclusive;
        rustix::fs::flock(&lock, whole)
            .map_err(|error| io::Error::new(error.kind(), "another process uses this folder"))?;
        Ok(Folder { path: path.to_owned(), _lock: lock, open: None })
    }

    fn sync_names(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn opened(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.path.join(name);
            let fresh = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            if fresh {
                self.sync_names()?;
            }
            self.open = Some((name.to_owned(), file));
        }
        self.open.as_mut().map(|(_, file)| file).ok_or_else(|| io::Error::other("no file is open"))
    }
}

impl Disk for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string()
                && name != LOCK
                && name != HALF
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
        self.opened(name)?.write_all(bytes)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.opened(name)?.sync_data()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let half = self.path.join(HALF);
        let mut file = File::create(&half)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        fs::rename(&half, self.path.join(name))?;
        self.sync_names()
    }

    fn cut(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open = None;
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open = None;
        fs::remove_file(self.path.join(name))?;
        self.sync_names()
    }
}
