//! Writes a file. The writer buffers records until they fill a block, and encodes and writes a
//! whole block at a time.

use std::io::{self, Write};

use zstd::bulk::Compressor;

use crate::block::{self, BlockHeader};
use crate::columns;
use crate::dictionary::{Dictionary, HandlerInfo, TenantInfo};
use crate::framing::{self, EndMark, kind, write_frame};
use crate::index::{BlockEntry, Index};
use crate::metadata::{Gap, Header};
use crate::record::Record;
use crate::{Micros, NEWEST_VERSION};

/// Maximum number of gaps that the index repeats; the file itself has all of them.
const MAX_INDEXED_GAPS: usize = 10_000;

/// Why a file, or a record, cannot be written.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// Writing failed. The file may end in a part of a frame.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A value does not fit its column. The record was rejected; other records can still be
    /// written.
    #[error("{column}: {value} does not fit its column of {bits} bits")]
    ValueOutOfRange {
        /// The name of the column.
        column: &'static str,
        /// The value.
        value: i64,
        /// The maximum width of the column's values in this format version, in bits.
        bits: u32,
    },
    /// The writer does not support the format version.
    #[error("format {0} cannot be written; the supported formats are 1 and 2")]
    UnsupportedVersion(u32),
}

/// The limits at which a block is full.
#[derive(Clone, Copy, Debug)]
pub struct BlockConfig {
    /// The maximum number of records of a block.
    pub max_records: usize,
    /// The maximum time between the first record of a block and any other record of the block. A
    /// record beyond it begins a new block, so that a clock that is set does not cause a block with
    /// a long time span.
    pub max_time_span: Micros,
}

impl Default for BlockConfig {
    fn default() -> Self {
        BlockConfig {
            max_records: 4096,
            max_time_span: 60_000_000,
        }
    }
}

/// Writes one file. The writer owns the output, the records that are not written yet, the
/// dictionary and the index.
pub struct Writer<W> {
    out: W,
    header: Header,
    dictionary: Dictionary,
    /// The number of dictionary entries that are written.
    written_names: WrittenNames,
    config: BlockConfig,
    /// Records that are not written yet.
    buffer: Vec<Record>,
    index: Index,
    gaps: Vec<Gap>,
    compressor: Compressor<'static>,
    bytes: u64,
    /// The number of records that are written.
    records: u64,
}

/// The number of dictionary entries of each kind that are written.
#[derive(Clone, Copy)]
struct WrittenNames {
    servers: usize,
    handlers: usize,
    tenants: usize,
}

impl WrittenNames {
    fn all_of(dictionary: &Dictionary) -> Self {
        WrittenNames {
            servers: dictionary.servers.len(),
            handlers: dictionary.handlers.len(),
            tenants: dictionary.tenants.len(),
        }
    }
}

impl<W: Write> Writer<W> {
    /// Begins a file, with the dictionary of the header.
    ///
    /// # Errors
    /// [`WriteError::UnsupportedVersion`], or [`WriteError::Io`].
    pub fn new(mut out: W, header: Header, config: BlockConfig) -> Result<Self, WriteError> {
        if !(1..=NEWEST_VERSION).contains(&header.version) {
            return Err(WriteError::UnsupportedVersion(header.version));
        }
        out.write_all(&framing::encode_prelude(header.version))?;
        let dictionary = header.names.clone();
        let mut writer = Writer {
            out,
            written_names: WrittenNames::all_of(&dictionary),
            dictionary,
            config: BlockConfig {
                max_records: config.max_records.clamp(1, block::MAX_RECORDS),
                ..config
            },
            buffer: Vec::new(),
            index: Index::default(),
            gaps: Vec::new(),
            compressor: Compressor::new(block::COMPRESSION_LEVEL)?,
            bytes: framing::PRELUDE_BYTES as u64,
            records: 0,
            header,
        };
        let text = serde_json::to_vec(&writer.header).map_err(io::Error::from)?;
        writer.write_frame(kind::HEADER, &text)?;
        Ok(writer)
    }

    /// The header of the file.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The current dictionary.
    pub fn dictionary(&self) -> &Dictionary {
        &self.dictionary
    }

    /// The number of bytes written so far.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// The output.
    pub(crate) fn get_mut(&mut self) -> &mut W {
        &mut self.out
    }

    /// The index of a server. A new server is added to the dictionary.
    pub fn server_index(&mut self, name: &str) -> u32 {
        index_of(
            &mut self.dictionary.servers,
            |known| known == name,
            || name.to_owned(),
        )
    }

    /// The index of a handler. A new handler is added to the dictionary.
    pub fn handler_index(&mut self, handler: &HandlerInfo) -> u32 {
        index_of(
            &mut self.dictionary.handlers,
            |known| known == handler,
            || handler.clone(),
        )
    }

    /// The index of a tenant. A new tenant is added to the dictionary.
    pub fn tenant_index(&mut self, tenant: &TenantInfo) -> u32 {
        index_of(
            &mut self.dictionary.tenants,
            |known| known == tenant,
            || tenant.clone(),
        )
    }

    /// The names of the columns that this format version does not have.
    pub fn omitted_columns(&self) -> Vec<&'static str> {
        (columns::COLUMNS.iter())
            .filter(|column| column.since > self.header.version)
            .map(|column| column.name)
            .collect()
    }

    /// Adds a record.
    ///
    /// # Errors
    /// [`WriteError::ValueOutOfRange`] if a value does not fit its column; the record is rejected.
    /// [`WriteError::Io`] if a full block had to be written first and the write failed.
    pub fn push(&mut self, record: Record) -> Result<(), WriteError> {
        let version = self.header.version;
        for column in columns::of_version(version) {
            block::check_value(column, version, (column.get)(&record))?;
        }
        // Format 1 has no column for the server, so another index than 0 would be lost silently.
        if version == 1 && record.server != 0 {
            let value = i64::from(record.server);
            return Err(WriteError::ValueOutOfRange {
                column: "server",
                value,
                bits: 0,
            });
        }
        let max_time_span = self.config.max_time_span.unsigned_abs();
        let is_far = |first: &Record| first.reached.abs_diff(record.reached) > max_time_span;
        if self.buffer.len() >= self.config.max_records || self.buffer.first().is_some_and(is_far) {
            self.seal()?;
        }
        self.buffer.push(record);
        Ok(())
    }

    /// Writes a gap.
    ///
    /// # Errors
    /// [`WriteError::Io`].
    pub fn write_gap(&mut self, gap: &Gap) -> Result<(), WriteError> {
        self.seal()?;
        let text = serde_json::to_vec(gap).map_err(io::Error::from)?;
        self.write_frame(kind::GAP, &text)?;
        if self.gaps.len() < MAX_INDEXED_GAPS {
            self.gaps.push(gap.clone());
        }
        Ok(())
    }

    /// Writes the buffered records as a block.
    ///
    /// # Errors
    /// [`WriteError::Io`].
    pub fn seal(&mut self) -> Result<(), WriteError> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        self.write_names()?;
        // Sorting by cached keys moves the keys instead of whole records.
        self.buffer.sort_by_cached_key(Record::sort_key);
        let block = BlockHeader::of(&self.buffer, self.index.len() as u64, self.records);
        let columns = block::columns_of(&self.buffer, self.header.version)?;
        let payload = block::encode(&block, &columns, &mut self.compressor)?;
        let offset = self.bytes;
        self.write_frame(kind::BLOCK, &payload)?;
        self.records += self.buffer.len() as u64;
        self.buffer.clear();
        self.index
            .add(BlockEntry::new(offset, self.bytes - offset, &block));
        Ok(())
    }

    /// Ends the file, with an index if the format version has one. Returns the output and the
    /// length of the file.
    ///
    /// # Errors
    /// [`WriteError::Io`].
    pub fn finish(mut self) -> Result<(W, u64), WriteError> {
        self.seal()?;
        self.write_names()?;
        let mut index_offset = 0;
        if self.header.version >= 2 {
            index_offset = self.bytes;
            let payload = self.index.encode(&self.dictionary, &self.gaps)?;
            self.write_frame(kind::INDEX, &payload)?;
        }
        let end = EndMark {
            index_offset,
            blocks: self.index.len() as u64,
            records: self.records,
        };
        self.write_frame(kind::END, &end.encode())?;
        self.out.flush()?;
        Ok((self.out, self.bytes))
    }

    /// Writes the new entries of the dictionary.
    fn write_names(&mut self) -> Result<(), WriteError> {
        let WrittenNames {
            servers,
            handlers,
            tenants,
        } = self.written_names;
        let more = Dictionary {
            servers: self.dictionary.servers[servers..].to_vec(),
            handlers: self.dictionary.handlers[handlers..].to_vec(),
            tenants: self.dictionary.tenants[tenants..].to_vec(),
        };
        if more == Dictionary::default() {
            return Ok(());
        }
        let text = serde_json::to_vec(&more).map_err(io::Error::from)?;
        self.write_frame(kind::NAMES, &text)?;
        self.written_names = WrittenNames::all_of(&self.dictionary);
        Ok(())
    }

    fn write_frame(&mut self, kind: u8, payload: &[u8]) -> Result<(), WriteError> {
        self.bytes += write_frame(&mut self.out, kind, payload)?;
        Ok(())
    }
}

/// The position of an entry in a list. A new entry is added to the list.
fn index_of<T>(
    known: &mut Vec<T>,
    is_same: impl Fn(&T) -> bool,
    new_entry: impl FnOnce() -> T,
) -> u32 {
    let index = known.iter().position(is_same).unwrap_or_else(|| {
        known.push(new_entry());
        known.len() - 1
    });
    index as u32
}
