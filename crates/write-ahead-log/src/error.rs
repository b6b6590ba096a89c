//! Why a log can't be opened or written.

use std::io;

use crate::corruption::Corruption;
use crate::record::MAX_RECORD_BYTES;

/// An error of [`crate::WriteAheadLog`]. After a failed write or sync the log rejects all further
/// writes.
#[derive(Debug, thiserror::Error)]
pub enum LogError {
    /// The directory could not be listed.
    #[error("the folder could not be listed: {0}")]
    List(#[source] io::Error),
    /// A file could not be read or written.
    #[error("{file}: {source}")]
    Io {
        /// The file's name within the directory.
        file: String,
        /// The error of the disk.
        source: io::Error,
    },
    /// An acknowledged record is damaged or missing.
    #[error(
        "{file} is damaged at byte {offset}: {corruption}; it was acknowledged, so it can't be skipped"
    )]
    Corrupt {
        /// The file's name within the directory.
        file: String,
        /// The offset of the damaged record, in bytes from the start of the file.
        offset: usize,
        /// The kind of damage.
        corruption: Corruption,
    },
    /// An earlier write or sync failed, so the content of the disk is unknown. The log must be
    /// opened again.
    #[error("an earlier write or sync failed ({cause}); the content of the disk is unknown")]
    Poisoned {
        /// The earlier failure.
        cause: String,
    },
    /// The payload is longer than a record may be.
    #[error("the record has {0} bytes (at most {MAX_RECORD_BYTES} are allowed)")]
    RecordTooLong(usize),
}

impl LogError {
    pub(crate) fn io(file: &str) -> impl FnOnce(io::Error) -> Self {
        let file = file.to_owned();
        move |source| LogError::Io { file, source }
    }
}
