//! The end of a file that is written. Records gather to a block; a block is written whole, or not at all.

use std::io::{self, Write};

use zstd::bulk::Compressor;

use crate::block::{self, Prelude, RECORDS_MOST};
use crate::columns;
use crate::frames::{self, write_frame};
use crate::heads::{Gap, Head, Names};
use crate::index::{Index, Place};
use crate::names::{HandlerName, TenantName};
use crate::record::Record;
use crate::{Micros, NEWEST};

#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{column}: {value} does not fit its column of {bits} bits")]
    Unfit { column: &'static str, value: i64, bits: u32 },
    #[error("format {0} cannot be written: 1 and 2 can")]
    Version(u32),
}

/// Gaps that are told in the index again.
const GAPS_INDEXED: usize = 10_000;

/// When a block is full.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    pub records: usize,
    /// A record that lies so far from the earlier ones of its block begins a new one, so that the index stays
    /// sharp when the clock was set.
    pub apart: Micros,
}

impl Default for Pace {
    fn default() -> Self {
        Pace { records: 4096, apart: 60_000_000 }
    }
}

pub struct Writer<W> {
    out: W,
    head: Head,
    names: Names,
    /// How much of the dictionary stands in the file.
    written: [usize; 3],
    pace: Pace,
    held: Vec<Record>,
    index: Index,
    gaps: Vec<Gap>,
    packer: Compressor<'static>,
    bytes: u64,
    records: u64,
}

impl<W: Write> Writer<W> {
    /// Begins a file. The dictionary of `head` is its first.
    pub fn new(mut out: W, head: Head, pace: Pace) -> Result<Self, WriteError> {
        if !(1..=NEWEST).contains(&head.version) {
            return Err(WriteError::Version(head.version));
        }
        out.write_all(&frames::write_prelude(head.version))?;
        let names = head.names.clone();
        let mut writer = Writer {
            out,
            written: [names.servers.len(), names.handlers.len(), names.tenants.len()],
            names,
            pace: Pace { records: pace.records.clamp(1, RECORDS_MOST), ..pace },
            held: Vec::new(),
            index: Index::default(),
            gaps: Vec::new(),
            packer: Compressor::new(block::LEVEL)?,
            bytes: frames::PRELUDE as u64,
            records: 0,
            head,
        };
        let text = serde_json::to_vec(&writer.head).map_err(io::Error::from)?;
        writer.frame(frames::HEADER, &text)?;
        Ok(writer)
    }

    pub fn head(&self) -> &Head {
        &self.head
    }

    pub fn names(&self) -> &Names {
        &self.names
    }

    /// Bytes in the file, and records taken, those that gather included.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn records(&self) -> u64 {
        self.records + self.held.len() as u64
    }

    /// Records that gather and are not in the file yet.
    pub fn gathering(&self) -> usize {
        self.held.len()
    }

    pub fn get_ref(&self) -> &W {
        &self.out
    }

    pub fn get_mut(&mut self) -> &mut W {
        &mut self.out
    }

    /// The index of a name, which enters the dictionary where it is new.
    pub fn server(&mut self, name: &str) -> u32 {
        place(&mut self.names.servers, |known| known == name, || name.to_owned())
    }

    pub fn handler(&mut self, handler: &HandlerName) -> u32 {
        place(&mut self.names.handlers, |known| known == handler, || handler.clone())
    }

    pub fn tenant(&mut self, tenant: &TenantName) -> u32 {
        place(&mut self.names.tenants, |known| known == tenant, || tenant.clone())
    }

    /// Names of the columns that this format has no place for.
    pub fn left_out(&self) -> Vec<&'static str> {
        (columns::COLUMNS.iter())
            .filter(|column| column.since > self.head.version)
            .map(|column| column.name)
            .collect()
    }

    /// Takes a record; one of which a value does not fit its column is not taken.
    pub fn push(&mut self, record: Record) -> Result<(), WriteError> {
        for column in columns::of_version(self.head.version) {
            block::fits(column, self.head.version, (column.get)(&record))?;
        }
        // Format 1 knows one server alone: a second one would be lost without a word.
        if self.head.version == 1 && record.server != 0 {
            return Err(WriteError::Unfit { column: "server", value: i64::from(record.server), bits: 0 });
        }
        let apart = |first: &Record| first.reached.abs_diff(record.reached) > self.pace.apart.unsigned_abs();
        if self.held.len() >= self.pace.records || self.held.first().is_some_and(apart) {
            self.seal()?;
        }
        self.held.push(record);
        Ok(())
    }

    /// Notes records that are missing.
    pub fn gap(&mut self, gap: &Gap) -> Result<(), WriteError> {
        self.seal()?;
        let text = serde_json::to_vec(gap).map_err(io::Error::from)?;
        self.frame(frames::GAP, &text)?;
        // The file has them all; the index has as many as it can bear.
        if self.gaps.len() < GAPS_INDEXED {
            self.gaps.push(gap.clone());
        }
        Ok(())
    }

    /// Writes what has gathered as a block.
    pub fn seal(&mut self) -> Result<(), WriteError> {
        if self.held.is_empty() {
            return Ok(());
        }
        self.write_names()?;
        // Keys are moved about in the place of records.
        self.held.sort_by_cached_key(Record::place);
        let prelude = Prelude::of(&self.held, self.index.len() as u64, self.records);
        let columns = block::columns_of(&self.held, self.head.version)?;
        let payload = block::encode(&prelude, &columns, &mut self.packer)?;
        let at = self.bytes;
        self.frame(frames::BLOCK, &payload)?;
        self.records += self.held.len() as u64;
        self.held.clear();
        self.index.add(Place::new(at, self.bytes - at, &prelude));
        Ok(())
    }

    /// Ends the file, with its index where the format has one; yields its length, too.
    pub fn finish(mut self) -> Result<(W, u64), WriteError> {
        self.seal()?;
        self.write_names()?;
        let at = self.bytes;
        let indexed = self.head.version >= 2;
        if indexed {
            let payload = self.index.encode(&self.names, &self.gaps).map_err(WriteError::Io)?;
            self.frame(frames::INDEX, &payload)?;
        }
        let mut end = Vec::with_capacity(frames::END_LENGTH);
        for value in [if indexed { at } else { 0 }, self.index.len() as u64, self.records] {
            end.extend_from_slice(&value.to_le_bytes());
        }
        self.frame(frames::END, &end)?;
        self.out.flush()?;
        Ok((self.out, self.bytes))
    }

    fn write_names(&mut self) -> Result<(), WriteError> {
        let [servers, handlers, tenants] = self.written;
        let more = Names {
            servers: self.names.servers[servers..].to_vec(),
            handlers: self.names.handlers[handlers..].to_vec(),
            tenants: self.names.tenants[tenants..].to_vec(),
        };
        if more == Names::default() {
            return Ok(());
        }
        let text = serde_json::to_vec(&more).map_err(io::Error::from)?;
        self.frame(frames::NAMES, &text)?;
        self.written = [self.names.servers.len(), self.names.handlers.len(), self.names.tenants.len()];
        Ok(())
    }

    fn frame(&mut self, kind: u8, payload: &[u8]) -> Result<(), WriteError> {
        self.bytes += write_frame(&mut self.out, kind, payload)?;
        Ok(())
    }
}

fn place<T>(known: &mut Vec<T>, same: impl Fn(&T) -> bool, fresh: impl FnOnce() -> T) -> u32 {
    let at = known.iter().position(same).unwrap_or_else(|| {
        known.push(fresh());
        known.len() - 1
    });
    at as u32
}
