//! The index of a file: the offsets of its blocks, and a lookup structure that finds the blocks for
//! a filter by time, handler and outcome. The lookup structure is a max-augmented interval tree in
//! an array: blocks are sorted by their earliest record, and a tree over them has the times of the
//! latest records. Finding the blocks that overlap a time span takes logarithmic time, even if one
//! block spans hours because a clock was set. Each handler and outcome has a bitmap of its blocks.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read};

use roaring::RoaringBitmap;
use serde::{Deserialize, Serialize};

use crate::block::{BlockHeader, check_record_count};
use crate::dictionary::Dictionary;
use crate::metadata::Gap;
use crate::record::{Outcome, Record};
use crate::varint::{ByteReader, write_i64, write_u64};
use crate::{Micros, TraceError};

/// The zstd level of an index, which is written once per file and may cost more than a block.
const COMPRESSION_LEVEL: i32 = 5;
/// Maximum unpacked size of an index, in bytes.
const MAX_RAW_BYTES: u64 = 64 * 1024 * 1024;

/// One block of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct BlockEntry {
    /// The offset of the block's frame in the file.
    pub offset: u64,
    /// The length of the block's frame, in bytes.
    pub length: u64,
    /// The number of records in the block.
    pub records: usize,
    /// The earliest `reached` of the records.
    pub from: Micros,
    /// The latest `reached` of the records.
    pub to: Micros,
    /// The handlers that occur in the block.
    pub handlers: BTreeSet<u32>,
    /// The outcomes that occur in the block: a bit for each, by its position in [`Outcome::ALL`].
    pub outcomes: u32,
}

impl BlockEntry {
    pub(crate) fn new(offset: u64, length: u64, block: &BlockHeader) -> Self {
        let BlockHeader {
            records,
            from,
            to,
            outcomes,
            ..
        } = *block;
        BlockEntry {
            offset,
            length,
            records,
            from,
            to,
            handlers: block.handlers.clone(),
            outcomes,
        }
    }
}

/// A filter of records. A field that is `None` does not restrict them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Filter {
    /// Only records that reached the machine at this time or later.
    pub from: Option<Micros>,
    /// Only records that reached the machine before this time.
    pub to: Option<Micros>,
    /// Only records of these handlers.
    pub handlers: Option<BTreeSet<u32>>,
    /// Only records with these outcomes.
    pub outcomes: Option<BTreeSet<Outcome>>,
}

impl Filter {
    /// Whether the filter matches a record.
    pub fn matches(&self, record: &Record) -> bool {
        self.from.is_none_or(|from| record.reached >= from)
            && self.to.is_none_or(|to| record.reached < to)
            && self
                .handlers
                .as_ref()
                .is_none_or(|handlers| handlers.contains(&record.handler))
            && self
                .outcomes
                .as_ref()
                .is_none_or(|outcomes| outcomes.contains(&record.outcome))
    }

    /// Whether the filter may match a record of a block.
    pub(crate) fn may_match_block(&self, block: &BlockEntry) -> bool {
        let has_outcome = |outcome: &Outcome| block.outcomes & outcome.bit() != 0;
        self.from.is_none_or(|from| block.to >= from)
            && self.to.is_none_or(|to| block.from < to)
            && self
                .handlers
                .as_ref()
                .is_none_or(|handlers| !handlers.is_disjoint(&block.handlers))
            && self
                .outcomes
                .as_ref()
                .is_none_or(|outcomes| outcomes.iter().any(has_outcome))
    }

    /// Whether a gap may overlap the time span of the filter. A gap without times always may.
    pub(crate) fn may_match_gap(&self, gap: &Gap) -> bool {
        let overlaps =
            self.from.is_none_or(|from| gap.to >= from) && self.to.is_none_or(|to| gap.from < to);
        gap.to == 0 || overlaps
    }
}

/// The data of earlier frames that an index repeats.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub(crate) struct IndexMetadata {
    pub(crate) names: Dictionary,
    #[serde(default)]
    pub(crate) gaps: Vec<Gap>,
}

/// The blocks of one or more files, in the order in which they were added. The index owns the
/// entries and the lookup structure over them, which is built when it is first needed.
#[derive(Clone, Debug, Default)]
pub struct Index {
    blocks: Vec<BlockEntry>,
    lookup: Option<Lookup>,
}

impl Index {
    /// Adds a block. The lookup structure is rebuilt when it is next needed.
    pub fn add(&mut self, block: BlockEntry) {
        self.blocks.push(block);
        self.lookup = None;
    }

    /// The number of blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// The blocks, in the order in which they were added.
    pub fn blocks(&self) -> &[BlockEntry] {
        &self.blocks
    }

    /// The number of records in all blocks.
    pub fn records(&self) -> u64 {
        self.blocks.iter().map(|block| block.records as u64).sum()
    }

    /// The times of the earliest and the latest record; `None` if there are no blocks.
    pub fn time_span(&self) -> Option<(Micros, Micros)> {
        let from = self.blocks.iter().map(|block| block.from).min()?;
        Some((from, self.blocks.iter().map(|block| block.to).max()?))
    }

    /// Builds the lookup structure of [`Index::find`], unless it is up to date.
    pub fn prepare(&mut self) {
        if self.lookup.is_none() {
            self.lookup = Some(Lookup::new(&self.blocks));
        }
    }

    /// The positions of the blocks that may have matching records, ascending.
    pub fn find(&mut self, filter: &Filter) -> Vec<usize> {
        self.prepare();
        let Some(lookup) = &self.lookup else {
            return Vec::new();
        };
        let mut found: Vec<usize> = lookup
            .find(filter)
            .into_iter()
            .map(|at| at as usize)
            .collect();
        found.sort_unstable();
        found
    }

    /// The same as [`Index::find`], by checking each block.
    pub fn scan(&self, filter: &Filter) -> Vec<usize> {
        let matching =
            |(at, block): (usize, &BlockEntry)| filter.may_match_block(block).then_some(at);
        self.blocks
            .iter()
            .enumerate()
            .filter_map(matching)
            .collect()
    }

    /// Encodes the payload of an index frame.
    pub(crate) fn encode(&self, names: &Dictionary, gaps: &[Gap]) -> io::Result<Vec<u8>> {
        let mut raw = Vec::new();
        let metadata = IndexMetadata {
            names: names.clone(),
            gaps: gaps.to_vec(),
        };
        let text = serde_json::to_vec(&metadata)?;
        write_u64(&mut raw, text.len() as u64);
        raw.extend_from_slice(&text);
        write_u64(&mut raw, self.blocks.len() as u64);
        let (mut previous_end, mut previous_from) = (0, 0);
        for block in &self.blocks {
            // Other frames may lie between two blocks.
            write_u64(&mut raw, block.offset - previous_end);
            write_u64(&mut raw, block.length);
            previous_end = block.offset + block.length;
            write_u64(&mut raw, block.records as u64);
            write_i64(&mut raw, block.from.wrapping_sub(previous_from));
            previous_from = block.from;
            write_u64(&mut raw, block.to.wrapping_sub(block.from) as u64);
            write_u64(&mut raw, u64::from(block.outcomes));
            write_u64(&mut raw, block.handlers.len() as u64);
            for &handler in &block.handlers {
                write_u64(&mut raw, u64::from(handler));
            }
        }
        let mut out = Vec::new();
        write_u64(&mut out, raw.len() as u64);
        out.extend_from_slice(&zstd::bulk::compress(&raw, COMPRESSION_LEVEL)?);
        Ok(out)
    }

    /// Reads the payload of an index frame that begins at `index_offset`. All blocks precede the
    /// index.
    pub(crate) fn decode(
        payload: &[u8],
        index_offset: u64,
    ) -> Result<(Index, IndexMetadata), TraceError> {
        let raw = unpack(payload)?;
        let mut input = ByteReader(&raw);
        let text_length = input.read_u64()?;
        let text = input.read_bytes(usize::try_from(text_length).unwrap_or(usize::MAX))?;
        let metadata =
            serde_json::from_slice(text).map_err(|_| TraceError::Invalid("a dictionary"))?;
        let count = input.read_u64()?;
        let mut index = Index::default();
        let (mut previous_end, mut previous_from) = (0, 0);
        for _ in 0..count {
            let block = read_entry(&mut input, previous_end, previous_from, index_offset)?;
            previous_end = block.offset + block.length;
            previous_from = block.from;
            index.blocks.push(block);
        }
        if input.is_empty() {
            Ok((index, metadata))
        } else {
            Err(TraceError::Invalid("bytes after an index"))
        }
    }
}

/// Unpacks the payload of an index frame.
fn unpack(payload: &[u8]) -> Result<Vec<u8>, TraceError> {
    let mut input = ByteReader(payload);
    let length = input.read_u64()?;
    if length > MAX_RAW_BYTES {
        return Err(TraceError::LimitExceeded {
            quantity: "bytes of an index",
            value: length,
        });
    }
    // The payload is unpacked as a stream, so that a false length does not allocate memory.
    let mut raw = Vec::new();
    let stream = zstd::stream::read::Decoder::new(input.0)?;
    stream
        .take(length)
        .read_to_end(&mut raw)
        .map_err(|_| TraceError::Invalid("a compressed index"))?;
    Ok(raw)
}

/// Reads the entry of a block, which must not reach beyond `index_offset`.
fn read_entry(
    input: &mut ByteReader,
    previous_end: u64,
    previous_from: Micros,
    index_offset: u64,
) -> Result<BlockEntry, TraceError> {
    let offset = previous_end.checked_add(input.read_u64()?);
    let length = input.read_u64()?;
    let ends_before_index = |offset: &u64| {
        offset
            .checked_add(length)
            .is_some_and(|end| end <= index_offset)
    };
    let offset = offset
        .filter(ends_before_index)
        .ok_or(TraceError::Invalid("a block entry in the index"))?;
    let records = input.read_u64()? as usize;
    check_record_count(records)?;
    let from = previous_from.wrapping_add(input.read_i64()?);
    let to = from.wrapping_add(input.read_u64()? as i64);
    let outcomes = input.read_u32()?;
    let mut handlers = BTreeSet::new();
    for _ in 0..input.read_u64()? {
        handlers.insert(input.read_u32()?);
    }
    Ok(BlockEntry {
        offset,
        length,
        records,
        from,
        to,
        handlers,
        outcomes,
    })
}

/// The lookup structure over the blocks, built once for many lookups. A rank is a position in
/// `order`.
#[derive(Clone, Debug)]
struct Lookup {
    /// Positions of the blocks, sorted by their earliest record.
    order: Vec<u32>,
    /// The time of the earliest record of each block, by rank.
    starts: Vec<Micros>,
    /// A tree over the ranks: the time of the latest record under each node. The leaves are the
    /// second half of the array.
    latest: Vec<Micros>,
    /// The number of leaves: the number of blocks, rounded up to a power of two.
    leaves: usize,
    /// Ranks of the blocks with each handler.
    handlers: BTreeMap<u32, RoaringBitmap>,
    /// Ranks of the blocks with each outcome.
    outcomes: [RoaringBitmap; Outcome::ALL.len()],
}

impl Lookup {
    fn new(blocks: &[BlockEntry]) -> Self {
        let mut order: Vec<u32> = (0..blocks.len() as u32).collect();
        order.sort_by_key(|&at| (blocks[at as usize].from, at));
        let leaves = order.len().next_power_of_two();
        let mut latest = vec![Micros::MIN; 2 * leaves];
        let mut handlers: BTreeMap<u32, RoaringBitmap> = BTreeMap::new();
        let mut outcomes: [RoaringBitmap; Outcome::ALL.len()] = Default::default();
        for (rank, &at) in order.iter().enumerate() {
            let block = &blocks[at as usize];
            latest[leaves + rank] = block.to;
            for &handler in &block.handlers {
                handlers.entry(handler).or_default().insert(rank as u32);
            }
            for (bit, ranks) in outcomes.iter_mut().enumerate() {
                if block.outcomes >> bit & 1 == 1 {
                    ranks.insert(rank as u32);
                }
            }
        }
        for node in (1..leaves).rev() {
            latest[node] = latest[2 * node].max(latest[2 * node + 1]);
        }
        let starts = order.iter().map(|&at| blocks[at as usize].from).collect();
        Lookup {
            order,
            starts,
            latest,
            leaves,
            handlers,
            outcomes,
        }
    }

    /// Positions of the blocks that may have matching records, in no particular order.
    fn find(&self, filter: &Filter) -> Vec<u32> {
        let end = filter.to.map_or(self.order.len(), |to| {
            self.starts.partition_point(|&from| from < to)
        });
        let from = filter.from.unwrap_or(Micros::MIN);
        let mut ranks = Vec::new();
        match self.ranks_by_handler_and_outcome(filter) {
            // Few blocks have the requested handlers and outcomes, so each of them is checked.
            Some(named) if named.len() * 8 < end as u64 => {
                let is_late = |&rank: &u32| self.latest[self.leaves + rank as usize] >= from;
                ranks.extend(
                    named
                        .iter()
                        .take_while(|&rank| (rank as usize) < end)
                        .filter(is_late),
                );
            }
            named => {
                self.collect_overlapping(1, 0..self.leaves, end, from, &mut ranks);
                if let Some(named) = named {
                    ranks.retain(|&rank| named.contains(rank));
                }
            }
        }
        ranks
            .into_iter()
            .map(|rank| self.order[rank as usize])
            .collect()
    }

    /// Ranks of the blocks with the handlers and outcomes of the filter; `None` if the filter does
    /// not restrict them.
    fn ranks_by_handler_and_outcome(&self, filter: &Filter) -> Option<RoaringBitmap> {
        let union = |bitmaps: Vec<&RoaringBitmap>| {
            bitmaps
                .into_iter()
                .fold(RoaringBitmap::new(), |all, bitmap| all | bitmap)
        };
        let handlers = (filter.handlers.as_ref()).map(|wanted| {
            union(
                wanted
                    .iter()
                    .filter_map(|handler| self.handlers.get(handler))
                    .collect(),
            )
        });
        let outcomes = (filter.outcomes.as_ref()).map(|wanted| {
            union(
                wanted
                    .iter()
                    .map(|&outcome| &self.outcomes[outcome as usize])
                    .collect(),
            )
        });
        match (handlers, outcomes) {
            (Some(handlers), Some(outcomes)) => Some(handlers & outcomes),
            (handlers, outcomes) => handlers.or(outcomes),
        }
    }

    /// Collects the ranks below `end` whose latest record is at `from` or later, within the node of
    /// the tree that covers `ranks`. The depth of the tree is logarithmic in the number of blocks,
    /// so the recursion is shallow.
    fn collect_overlapping(
        &self,
        node: usize,
        ranks: std::ops::Range<usize>,
        end: usize,
        from: Micros,
        found: &mut Vec<u32>,
    ) {
        if ranks.start >= end || self.latest[node] < from {
            return;
        }
        if ranks.len() == 1 {
            found.push(ranks.start as u32);
            return;
        }
        let middle = ranks.start + ranks.len() / 2;
        self.collect_overlapping(2 * node, ranks.start..middle, end, from, found);
        self.collect_overlapping(2 * node + 1, middle..ranks.end, end, from, found);
    }
}
