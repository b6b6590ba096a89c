//! Errors of reading a file, and losses: parts of a file that could not be read.

use std::{fmt, io};

use crate::NEWEST_VERSION;

/// Why a file, or a part of it, cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// Reading failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file does not begin with the magic of a recording.
    #[error("this is not a recording of tulipgap")]
    NotARecording,
    /// This program does not know the format version.
    #[error("format {0} is newer than this program, which reads up to {NEWEST_VERSION}")]
    UnsupportedVersion(u32),
    /// There is no intact frame at all.
    #[error("the header is damaged, and no intact frame follows it")]
    MissingHeader,
    /// A part of the file violates the format.
    #[error("{0}: invalid")]
    Invalid(&'static str),
    /// A value is not valid for its column.
    #[error("column {column}: a value is invalid")]
    InvalidValue {
        /// The name of the column.
        column: &'static str,
    },
    /// A number in the file is beyond a limit of the format.
    #[error("{quantity}: {value} is beyond the limit of the format")]
    LimitExceeded {
        /// The quantity that the number states.
        quantity: &'static str,
        /// The number.
        value: u64,
    },
}

/// A part of a file that could not be read or is missing. Offsets and lengths are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Loss {
    /// Bytes that do not form an intact frame were skipped.
    SkippedBytes {
        /// The offset of the first byte.
        offset: u64,
        /// The number of bytes.
        bytes: u64,
        /// Whether the file ends with these bytes.
        is_torn: bool,
    },
    /// A frame is intact by its checksum, but its payload is invalid.
    InvalidFrame {
        /// The offset of the frame.
        offset: u64,
        /// The text of the [`TraceError`].
        reason: String,
    },
    /// Records between two blocks that were read are missing.
    MissingRecords {
        /// The number of missing records.
        count: u64,
    },
    /// The file has no end mark, because its writer crashed or is still writing.
    MissingEnd,
    /// The number of records in the end mark differs from the number that was read.
    RecordCountMismatch {
        /// The number in the end mark.
        stated: u64,
        /// The number that was read.
        read: u64,
    },
    /// The header was damaged. Times and columns are known from the blocks; a name is known only if
    /// a later frame has it.
    DamagedHeader,
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Loss::SkippedBytes {
                offset,
                bytes,
                is_torn: true,
            } => {
                write!(
                    f,
                    "torn off at byte {offset}: the last {bytes} bytes are not a complete block"
                )
            }
            Loss::SkippedBytes { offset, bytes, .. } => {
                write!(f, "damaged at byte {offset}: {bytes} bytes skipped")
            }
            Loss::InvalidFrame { offset, reason } => {
                write!(f, "damaged at byte {offset}: {reason}")
            }
            Loss::MissingRecords { count } => write!(f, "{count} records are lost there"),
            Loss::MissingEnd => {
                write!(
                    f,
                    "no end mark: the recording was cut off, or is still being written"
                )
            }
            Loss::RecordCountMismatch { stated, read } => {
                write!(f, "the end mark states {stated} records, {read} were read")
            }
            Loss::DamagedHeader => {
                write!(
                    f,
                    "the header is damaged: only names that later frames repeat are known"
                )
            }
        }
    }
}
