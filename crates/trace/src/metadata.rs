//! The metadata of a file beside its dictionary: the header, and gaps.

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::columns::{self, Column};
use crate::dictionary::Dictionary;

/// A column as a header names it, so that a reader can say which columns it skips.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColumnInfo {
    /// The id of the column.
    pub id: u8,
    /// The name of the column.
    pub name: String,
    /// The name of its [`crate::ColumnKind`].
    pub kind: String,
    /// The maximum width of its values, in bits.
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
    /// The id of the file: 32 hex digits, new for each file, by which a merge detects a file given
    /// twice.
    #[serde(rename = "file")]
    pub file_id: String,
    /// The server that recorded it.
    pub server: String,
    /// When the file was created, Unix time.
    pub start: Micros,
    /// The program that wrote it, and its version.
    #[serde(default)]
    pub program: String,
    /// The columns of its blocks.
    #[serde(default)]
    pub columns: Vec<ColumnInfo>,
    /// The dictionary at the creation of the file.
    #[serde(default)]
    pub names: Dictionary,
}

impl Header {
    /// The header of a file that this program writes, with the server alone in its dictionary.
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

/// Why records are missing, or times cannot be compared across a place.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum GapReason {
    /// The queue before the writer was full.
    QueueFull,
    /// Writing to the disk failed.
    #[serde(rename = "disk")]
    DiskFailure,
    /// A part of the source could not be read when the file was repaired, copied or merged.
    Damaged,
    /// A value of the record did not fit its column.
    #[serde(rename = "unfit")]
    ValueOutOfRange,
    /// No record is missing: the system's clock was set, and times from here on still go by the old
    /// one.
    ClockSet,
}

/// Records that are known to be missing, and between which times they were handed over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gap {
    /// Why they are missing.
    #[serde(rename = "why")]
    pub reason: GapReason,
    /// The number of missing records; `None` where it is unknown.
    pub records: Option<u64>,
    /// The time after which they are missing, Unix time; 0 where it is unknown.
    pub from: Micros,
    /// The time until which they are missing, Unix time; 0 where it is unknown.
    pub to: Micros,
    /// The server whose records are missing; empty where it is unknown.
    #[serde(default)]
    pub server: String,
    /// By how much the clock was set, for [`GapReason::ClockSet`].
    #[serde(default, rename = "by")]
    pub clock_change: Micros,
}
