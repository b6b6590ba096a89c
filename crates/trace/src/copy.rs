//! Copies a file: the records that a filter matches, or all intact records.

use std::io::{Read, Seek, Write};

use crate::index::{BlockEntry, Filter};
use crate::metadata::Gap;
use crate::reader::{Item, Loss, Survey, TraceError, TraceReader};
use crate::record::Record;
use crate::rewrite::{DictionaryMapping, RewriteError, gap_for_loss};
use crate::writer::Writer;

/// The name of the source in errors.
const SOURCE_NAME: &str = "input";

/// The result of a copy.
#[derive(Debug, Default)]
pub struct CopySummary {
    /// The number of records that were copied.
    pub records: u64,
    /// The losses of the source.
    pub losses: Vec<Loss>,
    /// The unknown columns of the source.
    pub unknown_columns: Vec<String>,
}

/// A copy in progress: the output and the result so far.
struct Copy<'a, W, F> {
    out: &'a mut Writer<W>,
    mapping: DictionaryMapping,
    change: F,
    summary: CopySummary,
}

impl<W: Write, F: FnMut(&mut Record)> Copy<'_, W, F> {
    fn push<R: Read>(
        &mut self,
        records: Vec<Record>,
        source: &TraceReader<R>,
    ) -> Result<(), RewriteError> {
        for mut record in records {
            self.mapping
                .apply(&mut record, source.dictionary(), self.out);
            (self.change)(&mut record);
            self.out.push(record)?;
            self.summary.records += 1;
        }
        Ok(())
    }

    /// Adds a loss to the summary, and writes a gap to the output if the loss means missing
    /// records.
    fn note_loss(&mut self, loss: Loss, server: &str) -> Result<(), RewriteError> {
        if let Some(gap) = gap_for_loss(&loss, server) {
            self.out.write_gap(&gap)?;
        }
        self.summary.losses.push(loss);
        Ok(())
    }

    /// Adds the losses of an indexed block that cannot be read to the summary, and writes a gap
    /// with the times of the block in the index.
    fn note_damaged_block(
        &mut self,
        block: &BlockEntry,
        error: &TraceError,
        server: &str,
    ) -> Result<(), RewriteError> {
        let frame = Loss::InvalidFrame {
            offset: block.offset,
            reason: error.to_string(),
        };
        let records = Loss::MissingRecords {
            count: block.records as u64,
        };
        for loss in [frame, records] {
            if let Some(gap) = gap_for_loss(&loss, server) {
                self.out.write_gap(&Gap {
                    from: block.from,
                    to: block.to,
                    ..gap
                })?;
            }
            self.summary.losses.push(loss);
        }
        Ok(())
    }
}

/// Copies the records that a filter matches, after `change` has modified each of them. If the
/// source has an index, only the blocks that may match are read; a source that was cut off is read
/// as far as it is intact.
///
/// # Errors
/// [`RewriteError::Read`] or [`RewriteError::Write`]. Damage is not an error but a [`Loss`].
pub fn copy<R: Read + Seek, W: Write>(
    mut source: TraceReader<R>,
    filter: &Filter,
    out: &mut Writer<W>,
    change: impl FnMut(&mut Record),
) -> Result<CopySummary, RewriteError> {
    let survey = source.survey().map_err(RewriteError::read(SOURCE_NAME))?;
    copy_surveyed(source, survey, filter, out, change)
}

/// The same as [`copy()`], for a file that was already surveyed.
///
/// # Errors
/// As [`copy()`].
pub fn copy_surveyed<R: Read + Seek, W: Write>(
    source: TraceReader<R>,
    Survey {
        mut index,
        gaps,
        losses,
        is_indexed,
    }: Survey,
    filter: &Filter,
    out: &mut Writer<W>,
    change: impl FnMut(&mut Record),
) -> Result<CopySummary, RewriteError> {
    if !is_indexed {
        let source = source.rewind().map_err(RewriteError::read(SOURCE_NAME))?;
        return stream(source, filter, out, change);
    }
    for gap in gaps.iter().filter(|gap| filter.may_match_gap(gap)) {
        out.write_gap(gap)?;
    }
    let mut source = source.with_filter(filter.clone());
    let mapping = DictionaryMapping::new(source.dictionary(), out);
    let mut copy = Copy {
        out,
        mapping,
        change,
        summary: CopySummary {
            losses,
            ..CopySummary::default()
        },
    };
    for at in index.find(filter) {
        let block = &index.blocks()[at];
        match source.read_block(block) {
            Ok(records) => copy.push(records, &source)?,
            Err(error @ TraceError::Io(_)) => return Err(RewriteError::read(SOURCE_NAME)(error)),
            Err(error) => copy.note_damaged_block(block, &error, &source.header().server)?,
        }
    }
    copy.summary.unknown_columns = source.unknown_columns();
    Ok(copy.summary)
}

/// The same as [`copy()`], but reads the source from its first byte to its last. For a source that
/// is not seekable or has no index.
///
/// # Errors
/// As [`copy()`].
pub fn stream<R: Read, W: Write>(
    source: TraceReader<R>,
    filter: &Filter,
    out: &mut Writer<W>,
    change: impl FnMut(&mut Record),
) -> Result<CopySummary, RewriteError> {
    let mut source = source.with_filter(filter.clone());
    let mapping = DictionaryMapping::new(source.dictionary(), out);
    let mut copy = Copy {
        out,
        mapping,
        change,
        summary: CopySummary::default(),
    };
    while let Some(item) = source.next() {
        match item.map_err(RewriteError::read(SOURCE_NAME))? {
            Item::Records(records) => copy.push(records, &source)?,
            Item::Gap(gap) if filter.may_match_gap(&gap) => copy.out.write_gap(&gap)?,
            Item::Gap(_) => {}
            Item::Loss(loss) => copy.note_loss(loss, &source.header().server)?,
        }
    }
    copy.summary.unknown_columns = source.unknown_columns();
    Ok(copy.summary)
}
