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
    /// The format version is newer than this program.
    #[error("format {0} is newer than this program, which reads up to {NEWEST_VERSION}")]
    UnsupportedVersion(u32),
    /// There is no intact frame at all.
    #[error("the header is damaged, and no intact frame follows it")]
    MissingHeader,
    /// A part of the file violates the format.
    #[error("{0}: invalid")]
    Invalid(&'static str),
    /// A value of a column is not one that the column can have.
    #[error("column {column}: a value is invalid")]
    InvalidValue {
        /// The name of the column.
        column: &'static str,
    },
    /// A number in the file is beyond a limit of the format.
    #[error("{what}: {value} is beyond the limit of the format")]
    LimitExceeded {
        /// What the number counts.
        what: &'static str,
        /// The number.
        value: u64,
    },
}

/// A part of a file that could not be read or is missing. Offsets and lengths are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Loss {
    /// Bytes that are no intact frame were skipped.
    SkippedBytes {
        /// The offset of the first one.
        offset: u64,
        /// Their number.
        bytes: u64,
        /// Whether the file ends in them.
        is_torn: bool,
    },
    /// A frame is intact by its checksum, but its payload is invalid.
    InvalidFrame {
        /// Its offset.
        offset: u64,
        /// The text of the [`TraceError`].
        reason: String,
    },
    /// Records between two blocks that were read are missing.
    MissingRecords {
        /// Their number.
        count: u64,
    },
    /// The file has no end mark: its writer died, or is still writing.
    MissingEnd,
    /// The end mark states another number of records than was read.
    RecordCountMismatch {
        /// The number in the end mark.
        stated: u64,
        /// The number that was read.
        read: u64,
    },
    /// The header was damaged. Times and columns are known from the blocks, names only as far as
    /// later frames have them.
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
                    "torn off at byte {offset}: the last {bytes} bytes are no whole block"
                )
            }
            Loss::SkippedBytes { offset, bytes, .. } => {
                write!(f, "damaged at byte {offset}: {bytes} bytes passed over")
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
                write!(f, "the file tells of {stated} records, {read} were read")
            }
            Loss::DamagedHeader => {
                write!(
                    f,
                    "the header is damaged: names are known only as far as they came again"
                )
            }
        }
    }
}
