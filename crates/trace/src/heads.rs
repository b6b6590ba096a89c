//! What stands in a file beside the records: the header, the dictionary as it grows, and gaps.

use serde::{Deserialize, Serialize};

use crate::columns::{self, Column};
use crate::names::{HandlerName, TenantName};
use crate::{Micros, TraceError};

/// Entries of a dictionary, of each kind.
pub const NAMES_MOST: usize = 100_000;

/// A column as a header names it, so that a reader can say what it passes over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ColumnName {
    pub id: u8,
    pub name: String,
    pub kind: String,
    pub bits: u32,
}

impl ColumnName {
    pub fn new(column: &Column, version: u32) -> Self {
        let (id, name, kind) = (column.id, column.name.to_owned(), column.kind.name().to_owned());
        ColumnName { id, name, kind, bits: column.bits[usize::from(version > 1)] }
    }
}

/// The first frame of a file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Head {
    pub version: u32,
    /// 32 hex digits, new for each file, by which one given twice is known.
    pub file: String,
    /// Who recorded it.
    pub server: String,
    /// When the file was begun.
    pub start: Micros,
    #[serde(default)]
    pub program: String,
    #[serde(default)]
    pub columns: Vec<ColumnName>,
    #[serde(default)]
    pub names: Names,
}

impl Head {
    pub fn new(version: u32, file: u128, server: &str, start: Micros) -> Self {
        Head {
            version,
            file: format!("{file:032x}"),
            server: server.to_owned(),
            start,
            program: concat!("tulipgap ", env!("CARGO_PKG_VERSION")).to_owned(),
            columns: columns::of_version(version).map(|column| ColumnName::new(column, version)).collect(),
            names: Names { servers: vec![server.to_owned()], ..Names::default() },
        }
    }
}

/// The dictionary: what the indices in the records stand for.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Names {
    #[serde(default)]
    pub servers: Vec<String>,
    #[serde(default)]
    pub handlers: Vec<HandlerName>,
    #[serde(default)]
    pub tenants: Vec<TenantName>,
}

impl Names {
    /// The name of a handler; a number where the dictionary was lost.
    pub fn handler(&self, at: u32) -> String {
        self.handlers.get(at as usize).map_or_else(|| format!("handler-{at}"), |h| h.name.clone())
    }

    pub fn tenant(&self, at: u32) -> String {
        self.tenants.get(at as usize).map_or_else(|| format!("tenant-{at}"), |t| t.name.clone())
    }

    pub fn server(&self, at: u32) -> String {
        self.servers.get(at as usize).cloned().unwrap_or_else(|| format!("server-{at}"))
    }

    pub fn add(&mut self, more: Names) -> Result<(), TraceError> {
        self.servers.extend(more.servers);
        self.handlers.extend(more.handlers);
        self.tenants.extend(more.tenants);
        let most = self.servers.len().max(self.handlers.len()).max(self.tenants.len());
        if most > NAMES_MOST { Err(TraceError::Bound("names", most as u64)) } else { Ok(()) }
    }
}

/// Why records are missing, or times cannot be trusted across a place.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Why {
    /// The queue before the writer was full.
    QueueFull,
    /// The disk took nothing.
    Disk,
    /// What stood there could not be read when the file was repaired, cut or merged.
    Damaged,
    /// A value of theirs fitted no column.
    Unfit,
    /// None is missing: the system's clock was set, and times from here on go by the old one.
    ClockSet,
}

/// Records that are known to be missing: how many, and between which times they were handed over.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gap {
    pub why: Why,
    /// `None` where that is not known.
    pub records: Option<u64>,
    pub from: Micros,
    pub to: Micros,
    #[serde(default)]
    pub server: String,
    /// By how much the clock was set, where it was.
    #[serde(default)]
    pub by: Micros,
}
