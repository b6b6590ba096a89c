//! Code that copying and merging share: mapping the dictionaries of the sources to the dictionary
//! of the new file, recording damage as gaps, and errors.

use std::io::Write;

use crate::NEWEST_VERSION;
use crate::dictionary::{Dictionary, HandlerInfo, MAX_NAMES, TenantInfo};
use crate::metadata::{Gap, GapReason};
use crate::reader::{Loss, TraceError};
use crate::record::Record;
use crate::writer::{WriteError, Writer};

/// Maximum number of records that a merge buffers of one file.
pub(crate) const MAX_BUFFERED_RECORDS: usize = 1 << 20;

/// Why a file cannot be copied or merged.
#[derive(Debug, thiserror::Error)]
pub enum RewriteError {
    /// A file cannot be read.
    #[error("{name}: {source}")]
    Read {
        /// The caller's name for the file.
        name: String,
        /// The cause.
        source: TraceError,
    },
    /// The new file cannot be written.
    #[error("{0}")]
    Write(#[from] WriteError),
    /// Too many records of a file overlap in time to be sorted in bounded memory.
    #[error(
        "{name}: more than {MAX_BUFFERED_RECORDS} records overlap in time: it cannot be merged in bounded memory"
    )]
    TooManyOverlappingRecords {
        /// The caller's name for the file.
        name: String,
    },
    /// A merge is written in the newest format version only.
    #[error("a merge can only be written in format {NEWEST_VERSION}")]
    UnsupportedVersion,
}

impl RewriteError {
    /// Returns a function that adds the name of a file to an error of reading it.
    pub(crate) fn read(name: &str) -> impl Fn(TraceError) -> RewriteError {
        move |source| RewriteError::Read {
            name: name.to_owned(),
            source,
        }
    }
}

/// Maps the indices of one dictionary to the indices of another.
pub(crate) struct DictionaryMapping {
    servers: Vec<u32>,
    handlers: Vec<u32>,
    tenants: Vec<u32>,
}

impl DictionaryMapping {
    /// Creates the mapping from `names` to the dictionary of `out`, and adds the missing names to
    /// that dictionary.
    pub(crate) fn new<W: Write>(names: &Dictionary, out: &mut Writer<W>) -> Self {
        DictionaryMapping {
            servers: names
                .servers
                .iter()
                .map(|name| out.server_index(name))
                .collect(),
            handlers: names
                .handlers
                .iter()
                .map(|handler| out.handler_index(handler))
                .collect(),
            tenants: names
                .tenants
                .iter()
                .map(|tenant| out.tenant_index(tenant))
                .collect(),
        }
    }

    /// Replaces the indices of a record. `names` may have more entries than when the mapping was
    /// created. An index without an entry in `names` gets a name with its number, such as
    /// `handler-7`, and never the name of another entry.
    pub(crate) fn apply<W: Write>(
        &mut self,
        record: &mut Record,
        names: &Dictionary,
        out: &mut Writer<W>,
    ) {
        record.server = map_index(&mut self.servers, record.server, |index| {
            out.server_index(&names.server(index))
        });
        record.handler = map_index(&mut self.handlers, record.handler, |index| {
            let unnamed = || HandlerInfo {
                name: names.handler(index),
                ..HandlerInfo::default()
            };
            let handler = names.handlers.get(index as usize).cloned();
            out.handler_index(&handler.unwrap_or_else(unnamed))
        });
        record.tenant = record.tenant.map(|tenant| {
            map_index(&mut self.tenants, tenant, |index| {
                out.tenant_index(&TenantInfo {
                    name: names.tenant(index),
                })
            })
        });
    }
}

/// Maps an index. The map grows up to that index.
fn map_index(map: &mut Vec<u32>, index: u32, mut new_index: impl FnMut(u32) -> u32) -> u32 {
    // An index beyond the limit of a dictionary is damage, and must not grow the map to that
    // length.
    let index = index.min(MAX_NAMES as u32);
    while map.len() <= index as usize {
        map.push(new_index(map.len() as u32));
    }
    map[index as usize]
}

/// The gap that a copy or merge writes for a loss of its source; `None` if the loss does not mean
/// missing records.
pub(crate) fn gap_for_loss(loss: &Loss, server: &str) -> Option<Gap> {
    let records = match loss {
        Loss::MissingRecords { count } => Some(*count),
        Loss::SkippedBytes { .. } => None,
        _ => return None,
    };
    let server = server.to_owned();
    Some(Gap {
        reason: GapReason::Damaged,
        records,
        from: 0,
        to: 0,
        server,
        clock_change: 0,
    })
}
