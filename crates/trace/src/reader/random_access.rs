//! Random access to a seekable file: its index, and single blocks.

use std::io::{Read, Seek, SeekFrom};

use super::{Item, Loss, TraceError, TraceReader};
use crate::Micros;
use crate::block::{self, BlockHeader};
use crate::framing::{self, EndMark, kind};
use crate::index::{BlockEntry, Filter, Index, IndexMetadata};
use crate::metadata::Gap;
use crate::record::Record;
use crate::varint::ByteReader;

/// The result of [`TraceReader::survey`].
#[derive(Debug, Default)]
pub struct Survey {
    /// The blocks of the file.
    pub index: Index,
    /// The gaps that the writer recorded.
    pub gaps: Vec<Gap>,
    /// The losses; empty if the index of the file was used.
    pub losses: Vec<Loss>,
    /// Whether the index of the file was used.
    pub is_indexed: bool,
}

impl<R: Read + Seek> TraceReader<R> {
    /// Finds the blocks and gaps of a file from the index at its end, or by reading the whole file
    /// if it has no usable index. The dictionary is complete afterwards.
    ///
    /// # Errors
    /// [`TraceError`] if the file cannot be read at all.
    pub fn survey(&mut self) -> Result<Survey, TraceError> {
        let mut survey = match self.index_at_end()? {
            Some((index, IndexMetadata { names, gaps })) => {
                self.dictionary = names;
                Survey {
                    index,
                    gaps,
                    losses: Vec::new(),
                    is_indexed: true,
                }
            }
            None => self.survey_by_reading()?,
        };
        if let Some(renaming) = &self.renaming {
            self.dictionary = renaming.dictionary.clone();
        }
        survey.gaps = survey
            .gaps
            .into_iter()
            .map(|gap| self.renamed(gap))
            .collect();
        Ok(survey)
    }

    /// Surveys the file by reading it from its start, without decoding the records.
    fn survey_by_reading(&mut self) -> Result<Survey, TraceError> {
        // No block can match this filter, so only the headers of blocks are decoded.
        let nothing = Filter {
            from: Some(Micros::MAX),
            to: Some(Micros::MIN),
            ..Filter::default()
        };
        let input = self.frames.input();
        input.seek(SeekFrom::Start(0))?;
        let mut reader = TraceReader::open(input)?.with_filter(nothing);
        let mut survey = Survey::default();
        for item in reader.by_ref() {
            match item? {
                Item::Gap(gap) => survey.gaps.push(gap),
                Item::Loss(loss) => survey.losses.push(loss),
                Item::Records(_) => {}
            }
        }
        survey.index = std::mem::take(&mut reader.blocks);
        let dictionary = std::mem::take(&mut reader.dictionary);
        drop(reader);
        self.dictionary = dictionary;
        Ok(survey)
    }

    /// Returns a reader of the same file from its start, with the same filter and names.
    ///
    /// # Errors
    /// [`TraceError`] if the file can no longer be read.
    pub fn rewind(self) -> Result<TraceReader<R>, TraceError> {
        let mut input = self.frames.into_input();
        input.seek(SeekFrom::Start(0))?;
        let fresh = TraceReader::open(input)?;
        let dictionary = match &self.renaming {
            Some(renaming) => renaming.dictionary.clone(),
            None => fresh.dictionary,
        };
        Ok(TraceReader {
            filter: self.filter,
            renaming: self.renaming,
            dictionary,
            ..fresh
        })
    }

    /// Reads the index that the end mark refers to; `None` if there is no intact one.
    fn index_at_end(&mut self) -> Result<Option<(Index, IndexMetadata)>, TraceError> {
        let input = self.frames.input();
        let length = input.seek(SeekFrom::End(0))?;
        let Some(end) = length.checked_sub(EndMark::FRAME_BYTES as u64) else {
            return Ok(None);
        };
        let mut bytes = [0; EndMark::FRAME_BYTES];
        input.seek(SeekFrom::Start(end))?;
        input.read_exact(&mut bytes)?;
        let Some((kind::END, payload)) = framing::parse_frame(&bytes) else {
            return Ok(None);
        };
        let index_offset = EndMark::read_index_offset(payload).unwrap_or(0);
        if index_offset == 0 || index_offset >= end {
            return Ok(None);
        }
        input.seek(SeekFrom::Start(index_offset))?;
        let mut bytes = Vec::new();
        // An index is one frame, so at most the maximum length of a frame is read.
        input
            .take((end - index_offset).min(framing::MAX_FRAME_BYTES))
            .read_to_end(&mut bytes)?;
        match framing::parse_frame(&bytes) {
            Some((kind::INDEX, payload)) => Ok(Index::decode(payload, index_offset).ok()),
            _ => Ok(None),
        }
    }

    /// Reads the payload of a block. An entry that states more than the maximum length of a frame
    /// is an error.
    fn block_payload(&mut self, entry: &BlockEntry) -> Result<Vec<u8>, TraceError> {
        let damaged = TraceError::Invalid("a block");
        if entry.length > framing::MAX_FRAME_BYTES {
            return Err(damaged);
        }
        let input = self.frames.input();
        input.seek(SeekFrom::Start(entry.offset))?;
        let mut bytes = Vec::new();
        input.take(entry.length).read_to_end(&mut bytes)?;
        match framing::parse_frame(&bytes) {
            Some((kind::BLOCK, _)) => {
                bytes.truncate(bytes.len() - framing::CHECKSUM_BYTES);
                Ok(bytes.split_off(framing::FRAME_HEADER_BYTES))
            }
            _ => Err(damaged),
        }
    }

    /// Reads the records of one block that the filter matches. Missing records between blocks are
    /// not detected.
    ///
    /// # Errors
    /// [`TraceError`] if there is no intact block at the offset of the entry.
    pub fn read_block(&mut self, entry: &BlockEntry) -> Result<Vec<Record>, TraceError> {
        let payload = self.block_payload(entry)?;
        let mut input = ByteReader(&payload);
        let block = BlockHeader::read(&mut input)?;
        let mut records = self.decode_block(&block, input)?;
        records.retain(|record| self.filter.matches(record));
        Ok(records)
    }

    /// The stored size of each column of a block in bytes, with the id of the column.
    ///
    /// # Errors
    /// [`TraceError`] if there is no intact block at the offset of the entry.
    pub fn column_sizes(&mut self, entry: &BlockEntry) -> Result<Vec<(u64, usize)>, TraceError> {
        let payload = self.block_payload(entry)?;
        let mut input = ByteReader(&payload);
        let block = BlockHeader::read(&mut input)?;
        let columns = block::read_columns(&mut input, &block)?;
        Ok(columns
            .iter()
            .map(|column| (column.id, column.stored_bytes()))
            .collect())
    }
}
