//! What every file that is made from others needs: names put into its dictionary, damage told on, and what can go
//! wrong. Cutting and merging both stand on this.

use std::io::Write;

use crate::NEWEST;
use crate::heads::{Gap, NAMES_MOST, Names, Why};
use crate::names::{HandlerName, TenantName};
use crate::reader::{Loss, TraceError};
use crate::record::Record;
use crate::writer::{WriteError, Writer};

/// Records that one file may have out of order at once, at the most.
pub const HELD_MOST: usize = 1 << 20;

#[derive(Debug, thiserror::Error)]
pub enum MergeError {
    #[error("{0}: {1}")]
    Read(String, TraceError),
    #[error("{0}")]
    Write(#[from] WriteError),
    #[error("{0}: more than {HELD_MOST} records overlap in time: it cannot be merged in bounded memory")]
    Disorder(String),
    #[error("a merge is written in format {NEWEST}")]
    Version,
}

/// From the dictionary of one file to that of another.
pub struct Translation {
    servers: Vec<u32>,
    handlers: Vec<u32>,
    tenants: Vec<u32>,
}

impl Translation {
    /// Names that the other file does not have enter its dictionary.
    pub fn new<W: Write>(names: &Names, out: &mut Writer<W>) -> Self {
        Translation {
            servers: names.servers.iter().map(|name| out.server(name)).collect(),
            handlers: names.handlers.iter().map(|handler| out.handler(handler)).collect(),
            tenants: names.tenants.iter().map(|tenant| out.tenant(tenant)).collect(),
        }
    }

    /// Puts a record's indices into the other dictionary's. Names come as a dictionary grows; what no dictionary
    /// has gets a name that says so, and is never taken for another's.
    pub fn apply<W: Write>(&mut self, record: &mut Record, names: &Names, out: &mut Writer<W>) {
        record.server = place(&mut self.servers, record.server, |at| out.server(&names.server(at)));
        record.handler = place(&mut self.handlers, record.handler, |at| {
            let lost = || HandlerName { name: names.handler(at), ..HandlerName::default() };
            out.handler(&names.handlers.get(at as usize).cloned().unwrap_or_else(lost))
        });
        record.tenant = record.tenant.map(|tenant| {
            place(&mut self.tenants, tenant, |at| out.tenant(&TenantName { name: names.tenant(at) }))
        });
    }
}

/// Where an index leads, by a map that grows with what is asked of it.
fn place(map: &mut Vec<u32>, at: u32, mut fresh: impl FnMut(u32) -> u32) -> u32 {
    // An index beyond all dictionaries is damage; it does not get a map of that size.
    let at = at.min(NAMES_MOST as u32);
    while map.len() <= at as usize {
        map.push(fresh(map.len() as u32));
    }
    map[at as usize]
}

/// What a file that is made from a damaged one tells of the damage.
pub fn gap_of(loss: &Loss, server: &str) -> Option<Gap> {
    let records = match loss {
        Loss::Records { count } => Some(*count),
        Loss::Bytes { .. } => None,
        _ => return None,
    };
    Some(Gap { why: Why::Damaged, records, from: 0, to: 0, server: server.to_owned(), by: 0 })
}
