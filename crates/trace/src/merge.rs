//! Merges files into one, in time order. The merge reads the blocks of each file in the order of
//! their earliest records, so only blocks that overlap are in memory, and memory does not grow with
//! the length of the files.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::io::{Read, Seek, Write};

use crate::index::BlockEntry;
use crate::metadata::{Gap, GapReason};
use crate::reader::{Loss, Survey, TraceError, TraceReader};
use crate::record::{Record, SortKey};
use crate::rewrite::{DictionaryMapping, MAX_BUFFERED_RECORDS, RewriteError, gap_for_loss};
use crate::writer::Writer;
use crate::{Micros, NEWEST_VERSION};

/// Number of records between two reports of progress.
const PROGRESS_INTERVAL: u64 = 8192;

/// A file to be merged.
pub struct MergeSource<R> {
    /// The name of the file in errors and in the summary.
    pub name: String,
    /// The file.
    pub reader: TraceReader<R>,
    /// The offset that is added to the times of the file, in microseconds.
    pub offset: Micros,
}

/// A source that is the same file as an earlier one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DuplicateFile {
    /// The name of the source that was ignored.
    pub name: String,
    /// The name of the earlier source.
    pub first: String,
}

/// A part of a source that could not be read.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceLoss {
    /// The name of the source.
    pub name: String,
    /// The part that could not be read.
    pub loss: Loss,
}

/// The result of a merge.
#[derive(Debug, Default)]
pub struct MergeSummary {
    /// The number of records that were written.
    pub records: u64,
    /// Sources that were ignored.
    pub duplicate_files: Vec<DuplicateFile>,
    /// The number of records that were omitted because an equal one was written.
    pub duplicate_records: u64,
    /// The parts of the sources that could not be read.
    pub losses: Vec<SourceLoss>,
    /// The maximum number of records that were in memory at a time.
    pub max_buffered_records: usize,
}

/// The order of a record in a merge: its sort key, then the position of its file.
type MergeKey = (SortKey, usize);

/// One source, which yields its records in order.
struct SortedSource<R> {
    source: MergeSource<R>,
    /// The position of the source among the sources.
    position: usize,
    /// The blocks that are not read yet, sorted by their earliest records, the next block last.
    blocks: Vec<BlockEntry>,
    mapping: DictionaryMapping,
    /// Records that were read and are not yielded yet.
    buffer: BinaryHeap<Reverse<BufferedRecord>>,
    records_read: u64,
}

struct BufferedRecord {
    key: MergeKey,
    /// The number of the record in its file, which orders records with equal keys.
    number: u64,
    record: Record,
}

impl BufferedRecord {
    fn order(&self) -> (MergeKey, u64) {
        (self.key, self.number)
    }
}

impl PartialEq for BufferedRecord {
    fn eq(&self, other: &Self) -> bool {
        self.order() == other.order()
    }
}
impl Eq for BufferedRecord {}
impl PartialOrd for BufferedRecord {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for BufferedRecord {
    fn cmp(&self, other: &Self) -> Ordering {
        self.order().cmp(&other.order())
    }
}

/// A block that the index has but that could not be read.
struct DamagedBlock {
    source_name: String,
    block: BlockEntry,
    error: TraceError,
}

impl<R: Read + Seek> SortedSource<R> {
    /// Reads blocks until the first buffered record comes before all unread records. Returns the
    /// key of that record; `None` if the source is exhausted.
    fn fill<W: Write>(
        &mut self,
        out: &mut Writer<W>,
        damaged: &mut Vec<DamagedBlock>,
    ) -> Result<Option<MergeKey>, RewriteError> {
        while let Some(next) = self.blocks.last() {
            let first = self
                .buffer
                .peek()
                .map(|Reverse(first)| first.record.reached);
            if first.is_some_and(|first| first < next.from.saturating_add(self.source.offset)) {
                break;
            }
            let Some(block) = self.blocks.pop() else {
                break;
            };
            match self.source.reader.read_block(&block) {
                Ok(records) => records
                    .into_iter()
                    .for_each(|record| self.buffer_record(record, out)),
                Err(error @ TraceError::Io(_)) => {
                    return Err(RewriteError::read(&self.source.name)(error));
                }
                Err(error) => {
                    damaged.push(DamagedBlock {
                        source_name: self.source.name.clone(),
                        block,
                        error,
                    });
                }
            }
            if self.buffer.len() > MAX_BUFFERED_RECORDS {
                return Err(RewriteError::TooManyOverlappingRecords {
                    name: self.source.name.clone(),
                });
            }
        }
        Ok(self.buffer.peek().map(|Reverse(first)| first.key))
    }

    fn buffer_record<W: Write>(&mut self, mut record: Record, out: &mut Writer<W>) {
        self.mapping
            .apply(&mut record, self.source.reader.dictionary(), out);
        record.reached = record.reached.saturating_add(self.source.offset);
        self.records_read += 1;
        let key = (record.sort_key(), self.position);
        self.buffer.push(Reverse(BufferedRecord {
            key,
            number: self.records_read,
            record,
        }));
    }
}

/// Merges files into one. `progress` is called at intervals with the number of records written so
/// far and the total.
///
/// # Errors
/// [`RewriteError::UnsupportedVersion`] if `out` does not have the newest format version;
/// [`RewriteError::TooManyOverlappingRecords`]; [`RewriteError::Read`] or [`RewriteError::Write`].
pub fn merge<R: Read + Seek, W: Write>(
    sources: Vec<MergeSource<R>>,
    out: &mut Writer<W>,
    progress: impl FnMut(u64, u64),
) -> Result<MergeSummary, RewriteError> {
    if out.header().version != NEWEST_VERSION {
        return Err(RewriteError::UnsupportedVersion);
    }
    let mut summary = MergeSummary::default();
    let mut sorted = Vec::new();
    let mut total_records = 0;
    for source in sources {
        if let Some(first) = find_same_file(&source, &sorted) {
            summary.duplicate_files.push(DuplicateFile {
                name: source.name,
                first,
            });
            continue;
        }
        let (source, records) = prepare_source(source, sorted.len(), out, &mut summary)?;
        total_records += records;
        sorted.push(source);
    }
    let damaged = merge_records(sorted, out, total_records, &mut summary, progress)?;
    for DamagedBlock {
        source_name,
        block,
        error,
    } in damaged
    {
        out.write_gap(&Gap {
            reason: GapReason::Damaged,
            records: Some(block.records as u64),
            from: block.from,
            to: block.to,
            server: String::new(),
            clock_change: 0,
        })?;
        let loss = Loss::InvalidFrame {
            offset: block.offset,
            reason: error.to_string(),
        };
        summary.losses.push(SourceLoss {
            name: source_name,
            loss,
        });
    }
    Ok(summary)
}

/// The name of an earlier source with the same file id in its header. A source with a damaged
/// header has no file id, and is never the same as another one.
fn find_same_file<R>(source: &MergeSource<R>, earlier: &[SortedSource<R>]) -> Option<String>
where
    R: Read,
{
    let file_id = &source.reader.header().file_id;
    let is_same = |other: &&SortedSource<R>| other.source.reader.header().file_id == *file_id;
    let first = earlier
        .iter()
        .find(|other| !file_id.is_empty() && is_same(other))?;
    Some(first.source.name.clone())
}

/// Surveys a source, and writes its gaps and losses. Returns it with the number of its records.
fn prepare_source<R: Read + Seek, W: Write>(
    mut source: MergeSource<R>,
    position: usize,
    out: &mut Writer<W>,
    summary: &mut MergeSummary,
) -> Result<(SortedSource<R>, u64), RewriteError> {
    let survey = source
        .reader
        .survey()
        .map_err(RewriteError::read(&source.name))?;
    let Survey {
        index,
        gaps,
        losses,
        ..
    } = survey;
    for loss in losses {
        if let Some(gap) = gap_for_loss(&loss, &source.reader.header().server) {
            out.write_gap(&gap)?;
        }
        summary.losses.push(SourceLoss {
            name: source.name.clone(),
            loss,
        });
    }
    for mut gap in gaps {
        gap.from = gap.from.saturating_add(source.offset);
        gap.to = gap.to.saturating_add(source.offset);
        out.write_gap(&gap)?;
    }
    let mapping = DictionaryMapping::new(source.reader.dictionary(), out);
    let mut blocks = index.blocks().to_vec();
    blocks.sort_by_key(|block| Reverse((block.from, block.offset)));
    let buffer = BinaryHeap::new();
    let sorted = SortedSource {
        source,
        position,
        blocks,
        mapping,
        buffer,
        records_read: 0,
    };
    Ok((sorted, index.records()))
}

/// Writes the records of all sources in order, and omits records that are equal to a written one.
fn merge_records<R: Read + Seek, W: Write>(
    mut sources: Vec<SortedSource<R>>,
    out: &mut Writer<W>,
    total_records: u64,
    summary: &mut MergeSummary,
    mut progress: impl FnMut(u64, u64),
) -> Result<Vec<DamagedBlock>, RewriteError> {
    let mut damaged = Vec::new();
    let mut first_keys: BinaryHeap<Reverse<MergeKey>> = BinaryHeap::new();
    for source in &mut sources {
        first_keys.extend(source.fill(out, &mut damaged)?.map(Reverse));
    }
    // The last written records with one sort key. Only these can be equal to the next record.
    let mut same_key: Vec<Record> = Vec::new();
    while let Some(Reverse((_, position))) = first_keys.pop() {
        if let Some(Reverse(BufferedRecord { record, .. })) = sources[position].buffer.pop() {
            if same_key
                .first()
                .is_some_and(|first| first.sort_key() != record.sort_key())
            {
                same_key.clear();
            }
            if same_key.contains(&record) {
                summary.duplicate_records += 1;
            } else {
                same_key.push(record.clone());
                out.push(record)?;
                summary.records += 1;
                if summary.records.is_multiple_of(PROGRESS_INTERVAL) {
                    progress(summary.records, total_records);
                    let buffered = sources.iter().map(|source| source.buffer.len()).sum();
                    summary.max_buffered_records = summary.max_buffered_records.max(buffered);
                }
            }
        }
        first_keys.extend(sources[position].fill(out, &mut damaged)?.map(Reverse));
    }
    Ok(damaged)
}
