//! Reads a file of either format version from its start to its end: intact, torn or damaged, from
//! any stream.

mod error;
mod random_access;

use std::collections::BTreeSet;
use std::io::Read;

use crate::NEWEST_VERSION;
use crate::block::{self, BlockHeader};
use crate::columns;
use crate::dictionary::Dictionary;
use crate::framing::{self, EndMark, FrameReader, Segment, kind};
use crate::index::{BlockEntry, Filter, Index, IndexMetadata};
use crate::metadata::{Gap, Header};
use crate::record::Record;
use crate::varint::ByteReader;

pub use error::{Loss, TraceError};
pub use random_access::Survey;

/// Minimum number of intact bytes of a damaged magic for a file to be accepted as a recording.
const MIN_MATCHING_MAGIC_BYTES: usize = 6;

/// An item of a file.
#[derive(Debug)]
pub enum Item {
    /// The records of one block that the filter matches.
    Records(Vec<Record>),
    /// A gap that the writer recorded.
    Gap(Gap),
    /// A part of the file that could not be read.
    Loss(Loss),
}

/// A dictionary that replaces the one of a file.
struct Renaming {
    dictionary: Dictionary,
    /// The names of the servers in the file.
    original_servers: Vec<String>,
}

/// Reads a file, as an iterator of its [`Item`]s. The reader owns the input and the state of what
/// it has read so far.
pub struct TraceReader<R> {
    frames: FrameReader<R>,
    header: Header,
    dictionary: Dictionary,
    renaming: Option<Renaming>,
    filter: Filter,
    /// Ids of the unknown columns in the blocks so far.
    unknown_columns: BTreeSet<u64>,
    /// The blocks so far, for a file without an index.
    blocks: Index,
    /// The number of records before the next block, according to the blocks so far.
    records_before: u64,
    records_read: u64,
    has_end_mark: bool,
    is_finished: bool,
    /// Items to be yielded before the next segment is read, the next item first.
    pending: Vec<Item>,
}

/// The start of a file, before its blocks.
struct FileStart {
    /// `None` if the header is damaged.
    header: Option<Header>,
    losses: Vec<Item>,
}

impl<R: Read> TraceReader<R> {
    /// Reads the header of a file. A damaged header is a [`Loss`] if intact frames follow it.
    ///
    /// # Errors
    /// [`TraceError`] if the file is not a recording, has a newer format version, has no intact
    /// frame, or cannot be read.
    pub fn open(input: R) -> Result<Self, TraceError> {
        let mut frames = FrameReader::new(input);
        let version = read_version(&mut frames)?;
        let FileStart {
            header,
            losses: mut pending,
        } = read_start(&mut frames)?;
        let header = match header {
            Some(header) if header.version > NEWEST_VERSION => {
                return Err(TraceError::UnsupportedVersion(header.version));
            }
            Some(header) => header,
            None => {
                pending.push(Item::Loss(Loss::DamagedHeader));
                let placeholder = Header::new(version.unwrap_or(NEWEST_VERSION), 0, "?", 0);
                Header {
                    names: Dictionary::default(),
                    file_id: String::new(),
                    ..placeholder
                }
            }
        };
        Ok(TraceReader {
            frames,
            dictionary: header.names.clone(),
            header,
            renaming: None,
            filter: Filter::default(),
            unknown_columns: BTreeSet::new(),
            blocks: Index::default(),
            records_before: 0,
            records_read: 0,
            has_end_mark: false,
            is_finished: false,
            pending,
        })
    }

    /// Yields only the records that a filter matches. The filter does not apply to gaps and losses.
    pub fn with_filter(mut self, filter: Filter) -> Self {
        self.filter = filter;
        self
    }

    /// The header. If it is damaged, its `file_id` and dictionary are empty.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// The dictionary, with the entries that were read so far.
    pub fn dictionary(&self) -> &Dictionary {
        &self.dictionary
    }

    /// Replaces the names of the file by other names with the same indices.
    pub fn rename(&mut self, dictionary: Dictionary) {
        let original_servers = std::mem::replace(&mut self.dictionary, dictionary.clone()).servers;
        self.renaming = Some(Renaming {
            dictionary,
            original_servers,
        });
    }

    /// A gap with the replacement name of its server.
    fn renamed(&self, mut gap: Gap) -> Gap {
        if let Some(renaming) = &self.renaming {
            let index = renaming
                .original_servers
                .iter()
                .position(|server| *server == gap.server);
            let name = index.and_then(|index| renaming.dictionary.servers.get(index));
            gap.server = name.cloned().unwrap_or_default();
        }
        gap
    }

    /// The blocks that were read so far.
    pub(crate) fn blocks(&self) -> &Index {
        &self.blocks
    }

    /// The unknown columns in the blocks so far, by their names in the header.
    pub fn unknown_columns(&self) -> Vec<String> {
        let name = |id: &u64| {
            let info = self
                .header
                .columns
                .iter()
                .find(|column| u64::from(column.id) == *id);
            info.map_or_else(|| format!("column {id}"), |column| column.name.clone())
        };
        self.unknown_columns.iter().map(name).collect()
    }

    fn next_item(&mut self) -> Result<Option<Item>, TraceError> {
        loop {
            if !self.pending.is_empty() {
                return Ok(Some(self.pending.remove(0)));
            }
            if self.is_finished {
                return Ok(None);
            }
            match self.frames.next_segment()? {
                None => {
                    self.is_finished = true;
                    if !self.has_end_mark {
                        self.pending.push(Item::Loss(Loss::MissingEnd));
                    }
                }
                Some(Segment::Skipped {
                    offset,
                    bytes,
                    is_torn,
                }) => {
                    return Ok(Some(Item::Loss(Loss::SkippedBytes {
                        offset,
                        bytes,
                        is_torn,
                    })));
                }
                Some(Segment::Frame {
                    offset,
                    kind,
                    payload,
                }) => {
                    if let Err(error) = self.handle_frame(offset, kind, &payload) {
                        let reason = error.to_string();
                        return Ok(Some(Item::Loss(Loss::InvalidFrame { offset, reason })));
                    }
                }
            }
        }
    }

    fn handle_frame(&mut self, offset: u64, kind: u8, payload: &[u8]) -> Result<(), TraceError> {
        match kind {
            kind::BLOCK => self.handle_block(offset, payload),
            kind::NAMES | kind::INDEX if self.renaming.is_some() => Ok(()),
            kind::NAMES => {
                let more = serde_json::from_slice(payload);
                self.dictionary
                    .extend(more.map_err(|_| TraceError::Invalid("a dictionary"))?)
            }
            kind::GAP => {
                let gap =
                    serde_json::from_slice(payload).map_err(|_| TraceError::Invalid("a gap"))?;
                self.pending.push(Item::Gap(self.renamed(gap)));
                Ok(())
            }
            kind::INDEX => {
                // The index repeats the whole dictionary, with the entries whose frames were lost.
                let (_, IndexMetadata { names, .. }) = Index::decode(payload, offset)?;
                if names.handlers.len() >= self.dictionary.handlers.len() {
                    self.dictionary = names;
                }
                Ok(())
            }
            kind::END => self.handle_end(payload),
            // Later versions of the program may add kinds of frames to a format version.
            _ => Ok(()),
        }
    }

    fn handle_block(&mut self, offset: u64, payload: &[u8]) -> Result<(), TraceError> {
        let length = (framing::FRAME_HEADER_BYTES + payload.len() + framing::CHECKSUM_BYTES) as u64;
        let mut input = ByteReader(payload);
        let block = BlockHeader::read(&mut input)?;
        // A block states the number of records before it. The difference to the number so far is
        // the number of records in lost blocks.
        let missing = block.records_before.saturating_sub(self.records_before);
        if missing > 0 {
            self.pending
                .push(Item::Loss(Loss::MissingRecords { count: missing }));
        }
        self.records_before = block.records_before.saturating_add(block.records as u64);
        let entry = BlockEntry::new(offset, length, &block);
        if self.filter.may_match_block(&entry) {
            let mut records = self.decode_block(&block, input)?;
            records.retain(|record| self.filter.matches(record));
            self.pending.push(Item::Records(records));
        }
        self.blocks.add(entry);
        self.records_read += block.records as u64;
        Ok(())
    }

    fn handle_end(&mut self, payload: &[u8]) -> Result<(), TraceError> {
        self.has_end_mark = true;
        let stated = EndMark::read_records(payload).ok_or(TraceError::Invalid("the end mark"))?;
        let read = self.records_read;
        if stated != read {
            self.pending
                .push(Item::Loss(Loss::RecordCountMismatch { stated, read }));
        }
        Ok(())
    }

    /// Decodes the records of a block. `input` is positioned after the header of the block.
    fn decode_block(
        &mut self,
        block: &BlockHeader,
        mut input: ByteReader,
    ) -> Result<Vec<Record>, TraceError> {
        let encoded = block::read_columns(&mut input, block)?;
        if !encoded
            .iter()
            .any(|column| column.id == u64::from(columns::REACHED))
        {
            return Err(TraceError::Invalid("a block without times"));
        }
        block::decode_records(block, &encoded, &mut self.unknown_columns)
    }
}

impl<R: Read> Iterator for TraceReader<R> {
    type Item = Result<Item, TraceError>;

    fn next(&mut self) -> Option<Self::Item> {
        self.next_item().transpose()
    }
}

/// Reads the format version from the prelude of a file; `None` if the prelude is damaged.
fn read_version<R: Read>(frames: &mut FrameReader<R>) -> Result<Option<u32>, TraceError> {
    let start = frames.peek(framing::PRELUDE_BYTES)?.to_vec();
    match framing::parse_prelude(&start) {
        Some(version) if version > NEWEST_VERSION || version == 0 => {
            Err(TraceError::UnsupportedVersion(version))
        }
        Some(version) => {
            frames.consume(framing::PRELUDE_BYTES);
            Ok(Some(version))
        }
        None => {
            let matching = start
                .iter()
                .zip(framing::MAGIC)
                .filter(|(a, b)| a == b)
                .count();
            if matching < MIN_MATCHING_MAGIC_BYTES {
                Err(TraceError::NotARecording)
            } else {
                Ok(None)
            }
        }
    }
}

/// Reads up to the header. If the first intact frame is not the header, the header is lost.
fn read_start<R: Read>(frames: &mut FrameReader<R>) -> Result<FileStart, TraceError> {
    let mut losses = Vec::new();
    loop {
        match frames.next_segment()?.ok_or(TraceError::MissingHeader)? {
            Segment::Skipped {
                offset,
                bytes,
                is_torn,
            } => {
                losses.push(Item::Loss(Loss::SkippedBytes {
                    offset,
                    bytes,
                    is_torn,
                }));
            }
            Segment::Frame {
                kind: kind::HEADER,
                payload,
                ..
            } => {
                return Ok(FileStart {
                    header: serde_json::from_slice(&payload).ok(),
                    losses,
                });
            }
            Segment::Frame {
                offset,
                kind,
                payload,
            } => {
                frames.put_back(offset, kind, &payload);
                return Ok(FileStart {
                    header: None,
                    losses,
                });
            }
        }
    }
}
