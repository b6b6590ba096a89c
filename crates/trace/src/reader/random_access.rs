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
    /// The gaps that the writer noted.
    pub gaps: Vec<Gap>,
    /// The losses; empty where the file's own index was used.
    pub losses: Vec<Loss>,
    /// Whether the file's own index was used.
    pub is_indexed: bool,
}

impl<R: Read + Seek> TraceReader<R> {
    /// Finds the blocks and gaps of a file by the index at its end, or else by reading all of it.
    /// The dictionary is complete afterwards.
    ///
    /// # Errors
    /// [`TraceError`] where the file cannot be read at all.
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

    /// Reads the file from its start without the records.
    fn survey_by_reading(&mut self) -> Result<Survey, TraceError> {
        // No block can match, so only the headers of blocks are read.
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

    /// The same file from its start, with the same filters and names.
    ///
    /// # Errors
    /// [`TraceError`] where it cannot be read any more.
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
        // An index is one frame, so no more than the longest frame is read.
        input
            .take((end - index_offset).min(framing::MAX_FRAME_BYTES))
            .read_to_end(&mut bytes)?;
        match framing::parse_frame(&bytes) {
            Some((kind::INDEX, payload)) => Ok(Index::decode(payload, index_offset).ok()),
            _ => Ok(None),
        }
    }

    /// The payload of a block, as long as its entry states and no longer than a frame can be.
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

    /// The records of one block that the filter matches. Gaps between blocks are not detected.
    ///
    /// # Errors
    /// [`TraceError`] where there is no intact block at that offset.
    pub fn read_block(&mut self, entry: &BlockEntry) -> Result<Vec<Record>, TraceError> {
        let payload = self.block_payload(entry)?;
        let mut input = ByteReader(&payload);
        let block = BlockHeader::read(&mut input)?;
        let mut records = self.decode_block(&block, input)?;
        records.retain(|record| self.filter.matches(record));
        Ok(records)
    }

    /// The number of bytes of each column of a block, by its id.
    ///
    /// # Errors
    /// [`TraceError`] where there is no intact block at that offset.
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
