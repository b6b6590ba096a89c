//! The storage of a recorder's files.

use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::retention::StoredFile;

/// The suffix of file names.
const FILE_SUFFIX: &str = ".tgt";
/// Minimum number of digits of the number in a file name.
const MIN_NUMBER_DIGITS: usize = 8;

/// A storage of numbered files. Tests use an implementation in memory.
pub trait Storage: Send + 'static {
    /// A file that is being written.
    type File: Write + Send;

    /// Lists the existing files.
    ///
    /// # Errors
    /// If the files cannot be listed.
    fn list(&mut self) -> io::Result<Vec<StoredFile>>;

    /// Creates a file, which must not exist.
    ///
    /// # Errors
    /// If the file exists or cannot be created.
    fn create(&mut self, number: u64) -> io::Result<Self::File>;

    /// Syncs a file, so that all written bytes are durable.
    ///
    /// # Errors
    /// If the sync fails; which bytes are durable is then unknown.
    fn sync(&mut self, file: &mut Self::File) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// If the file does not exist or cannot be removed.
    fn remove(&mut self, number: u64) -> io::Result<()>;
}

/// A directory with the files of one server.
pub struct DirectoryStorage {
    path: PathBuf,
    /// The name of the server as used in file names.
    server: String,
    is_synced: bool,
}

impl DirectoryStorage {
    /// Creates a storage for the files of `server` in the directory `path`, which is created when
    /// it is needed. Characters of the server's name other than ASCII letters, digits, `-`, `_` and
    /// `.` are replaced by `_` in file names. With `is_synced`, sealed blocks survive a crash of
    /// the machine, and not only of the process.
    pub fn new(path: &Path, server: &str, is_synced: bool) -> Self {
        let file_name_char = |c: char| {
            if c.is_ascii_alphanumeric() || "-_.".contains(c) {
                c
            } else {
                '_'
            }
        };
        let server = server.chars().map(file_name_char).collect();
        DirectoryStorage {
            path: path.to_owned(),
            server,
            is_synced,
        }
    }

    /// The path of a file.
    pub fn file_path(&self, number: u64) -> PathBuf {
        self.path.join(format!(
            "{}-{number:0MIN_NUMBER_DIGITS$}{FILE_SUFFIX}",
            self.server
        ))
    }

    /// The number in the name of a file; `None` if the file does not belong to this storage.
    fn file_number(&self, name: &str) -> Option<u64> {
        let digits = name
            .strip_prefix(&self.server)?
            .strip_prefix('-')?
            .strip_suffix(FILE_SUFFIX)?;
        let is_number =
            digits.len() >= MIN_NUMBER_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit());
        is_number.then(|| digits.parse().ok())?
    }
}

impl Storage for DirectoryStorage {
    type File = File;

    fn list(&mut self) -> io::Result<Vec<StoredFile>> {
        std::fs::create_dir_all(&self.path)?;
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            let entry = entry?;
            if let Some(number) = entry
                .file_name()
                .to_str()
                .and_then(|name| self.file_number(name))
            {
                files.push(StoredFile {
                    number,
                    bytes: entry.metadata()?.len(),
                });
            }
        }
        Ok(files)
    }

    fn create(&mut self, number: u64) -> io::Result<File> {
        std::fs::create_dir_all(&self.path)?;
        OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(self.file_path(number))
    }

    fn sync(&mut self, file: &mut File) -> io::Result<()> {
        if self.is_synced {
            file.sync_data()
        } else {
            Ok(())
        }
    }

    fn remove(&mut self, number: u64) -> io::Result<()> {
        std::fs::remove_file(self.file_path(number))
    }
}
