//! Many files to one, in the order of time. Each file gives its blocks by their earliest record, so of each only
//! those are held that overlap; memory does not grow with the length of files.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{Read, Seek, Write};

use crate::heads::{Gap, Why};
use crate::index::Place;
use crate::reader::{Loss, Survey, Trace, TraceError};
use crate::record::Record;
use crate::remake::{HELD_MOST, MergeError, Translation, gap_of};
use crate::writer::Writer;
use crate::{Micros, NEWEST};

/// A file that is to be merged.
pub struct Source<R> {
    /// As it is called in what is said of it.
    pub name: String,
    pub trace: Trace<R>,
    /// What is added to its times.
    pub offset: Micros,
}

/// What a merge did.
#[derive(Debug, Default)]
pub struct Merged {
    pub records: u64,
    /// Files that were given before, by another name.
    pub twice: Vec<(String, String)>,
    /// Records that were the same in everything; one of them was kept.
    pub same: u64,
    pub losses: Vec<(String, Loss)>,
    /// The most records that were held at a time.
    pub held_most: usize,
}

/// The place of a record in the order of the merge; ties go by the order of files.
type Rank = ((Micros, u64, u64, u32), usize);

/// One file, giving its records in order.
struct Ordered<R> {
    source: Source<R>,
    at: usize,
    /// Its blocks by their earliest record, the next one last.
    blocks: Vec<Place>,
    translation: Translation,
    /// Records read and not given, by their order.
    held: BinaryHeap<Reverse<Held>>,
    count: u64,
}

struct Held {
    rank: (Rank, u64),
    record: Record,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        self.rank == other.rank
    }
}
impl Eq for Held {}
impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.rank.cmp(&other.rank)
    }
}

impl<R: Read + Seek> Ordered<R> {
    /// Reads blocks until the first record that is held comes before all that are not read.
    fn ready<W: Write>(
        &mut self,
        out: &mut Writer<W>,
        damaged: &mut Vec<(String, Place, TraceError)>,
    ) -> Result<Option<Rank>, MergeError> {
        while let Some(next) = self.blocks.last() {
            let first = self.held.peek().map(|Reverse(held)| held.record.reached);
            if first.is_some_and(|first| first < next.from.saturating_add(self.source.offset)) {
                break;
            }
            let Some(place) = self.blocks.pop() else { break };
            match self.source.trace.block(&place) {
                Ok(records) => {
                    for mut record in records {
                        self.translation.apply(&mut record, self.source.trace.names(), out);
                        record.reached = record.reached.saturating_add(self.source.offset);
                        self.count += 1;
                        let rank = ((record.place(), self.at), self.count);
                        self.held.push(Reverse(Held { rank, record }));
                    }
                }
                Err(TraceError::Io(error)) => {
                    return Err(MergeError::Read(self.source.name.clone(), error.into()));
                }
                Err(error) => damaged.push((self.source.name.clone(), place, error)),
            }
            if self.held.len() > HELD_MOST {
                return Err(MergeError::Disorder(self.source.name.clone()));
            }
        }
        Ok(self.held.peek().map(|Reverse(held)| held.rank.0))
    }
}

/// Merges files into one; `progress` hears of the records written so far, and of how many there are.
pub fn merge<R: Read + Seek, W: Write>(
    sources: Vec<Source<R>>,
    out: &mut Writer<W>,
    mut progress: impl FnMut(u64, u64),
) -> Result<Merged, MergeError> {
    if out.head().version != NEWEST {
        return Err(MergeError::Version);
    }
    let mut merged = Merged::default();
    let mut files: Vec<Ordered<R>> = Vec::new();
    let mut all = 0;
    for mut source in sources {
        // The same file by its id; a file that lost its header has none.
        let id = source.trace.head().file.clone();
        let same = files.iter().find(|other| !id.is_empty() && other.source.trace.head().file == id);
        if let Some(other) = same {
            merged.twice.push((source.name, other.source.name.clone()));
            continue;
        }
        let Survey { index, gaps, losses, .. } =
            source.trace.survey().map_err(|error| MergeError::Read(source.name.clone(), error))?;
        for loss in losses {
            if let Some(gap) = gap_of(&loss, &source.trace.head().server) {
                out.gap(&gap)?;
            }
            merged.losses.push((source.name.clone(), loss));
        }
        for mut gap in gaps {
            gap.from = gap.from.saturating_add(source.offset);
            gap.to = gap.to.saturating_add(source.offset);
            out.gap(&gap)?;
        }
        all += index.records();
        let translation = Translation::new(source.trace.names(), out);
        let mut blocks = index.places().to_vec();
        blocks.sort_by_key(|place| Reverse((place.from, place.at)));
        let at = files.len();
        files.push(Ordered { source, at, blocks, translation, held: BinaryHeap::new(), count: 0 });
    }

    let mut damaged = Vec::new();
    let mut heads: BinaryHeap<Reverse<Rank>> = BinaryHeap::new();
    for file in &mut files {
        heads.extend(file.ready(out, &mut damaged)?.map(Reverse));
    }
    // Records of one place, among which one that comes again is looked for.
    let mut alike: Vec<Record> = Vec::new();
    while let Some(Reverse((_, at))) = heads.pop() {
        let file = &mut files[at];
        if let Some(Reverse(Held { record, .. })) = file.held.pop() {
            if alike.first().is_some_and(|first| first.place() != record.place()) {
                alike.clear();
            }
            if alike.contains(&record) {
                merged.same += 1;
            } else {
                alike.push(record.clone());
                out.push(record)?;
                merged.records += 1;
                if merged.records.is_multiple_of(8192) {
                    progress(merged.records, all);
                    let held = files.iter().map(|file| file.held.len()).sum();
                    merged.held_most = merged.held_most.max(held);
                }
            }
        }
        heads.extend(files[at].ready(out, &mut damaged)?.map(Reverse));
    }
    for (name, place, error) in damaged {
        let records = Some(place.records as u64);
        out.gap(&Gap {
            why: Why::Damaged,
            records,
            from: place.from,
            to: place.to,
            server: String::new(),
            by: 0,
        })?;
        merged.losses.push((name, Loss::Frame { at: place.at, what: error.to_string() }));
    }
    Ok(merged)
}
