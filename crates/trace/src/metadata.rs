//! The metadata of a file other than its dictionary: the header and the gaps.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::columns::{self, Column};
use crate::dictionary::Dictionary;

/// The description of a column in a header, so that a reader can report which columns it skips.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColumnInfo {
    /// The id of the column.
    pub id: u8,
    /// The name of the column.
    pub name: String,
    /// The name of the column's [`crate::ColumnKind`].
    pub kind: String,
    /// The maximum width of the column's values, in bits.
    pub bits: u32,
}

impl ColumnInfo {
    fn new(column: &Column, version: u32) -> Self {
        let (name, kind) = (column.name.to_owned(), column.kind.name().to_owned());
        ColumnInfo {
            id: column.id,
            name,
            kind,
            bits: column.max_bits(version),
        }
    }
}

/// The first frame of a file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// The format version.
    pub version: u32,
    /// The id of the file, by which a merge detects a file that is given twice: 32 hex digits, new
    /// for each file. An anonymised copy has a hash of the id of its source instead.
    #[serde(rename = "file")]
    pub file_id: String,
    /// The server that recorded the file.
    pub server: String,
    /// When the file was created, Unix time.
    pub start: Micros,
    /// The name and version of the program that wrote the file.
    #[serde(default)]
    pub program: String,
    /// The columns of the blocks.
    #[serde(default)]
    pub columns: Vec<ColumnInfo>,
    /// The dictionary at the creation of the file.
    #[serde(default)]
    pub names: Dictionary,
}

impl Header {
    /// Creates the header of a file that this program writes. Its dictionary has only the server.
    pub fn new(version: u32, file_id: u128, server: &str, start: Micros) -> Self {
        Header {
            version,
            file_id: format!("{file_id:032x}"),
            server: server.to_owned(),
            start,
            program: concat!("tulipgap ", env!("CARGO_PKG_VERSION")).to_owned(),
            columns: columns::of_version(version)
                .map(|column| ColumnInfo::new(column, version))
                .collect(),
            names: Dictionary {
                servers: vec![server.to_owned()],
                ..Dictionary::default()
            },
        }
    }
}

/// Why a file has a gap: records are missing, or times before and after it cannot be compared.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GapReason {
    /// The queue of the writer was full.
    QueueFull,
    /// Writing to the disk failed.
    #[serde(rename = "disk")]
    DiskFailure,
    /// A part of the source could not be read when the file was repaired, copied or merged.
    Damaged,
    /// A value of the record did not fit its column.
    #[serde(rename = "unfit")]
    ValueOutOfRange,
    /// No record is missing. The system clock was set, and the times of later records still follow
    /// the clock as it was before.
    ClockSet,
}

/// Records that are known to be missing, with the time span to which they belong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gap {
    /// Why the records are missing.
    #[serde(rename = "why")]
    pub reason: GapReason,
    /// The number of missing records; `None` if it is unknown.
    pub records: Option<u64>,
    /// The time after which the records are missing, Unix time; 0 if it is unknown.
    pub from: Micros,
    /// The time until which the records are missing, Unix time; 0 if it is unknown.
    pub to: Micros,
    /// The server whose records are missing; empty if it is unknown.
    #[serde(default)]
    pub server: String,
    /// The offset by which the clock was set, for [`GapReason::ClockSet`].
    #[serde(default, rename = "by")]
    pub clock_change: Micros,
}
