//! Checks that a file is sound: it is intact, its index agrees with its blocks, and its records
//! have no contradictions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{Read, Seek};

use crate::Micros;
use crate::metadata::Gap;
use crate::reader::{Item, Loss, TraceError, TraceReader};
use crate::record::Record;

/// Maximum number of ids that are kept to find duplicates.
const MAX_TRACKED_IDS: usize = 1 << 20;
/// Maximum time by which a block may end before the latest record so far, in microseconds. A block
/// that ends earlier counts as set back.
const MAX_BACKWARD_STEP: Micros = 60_000_000;

/// The result of [`check()`].
#[derive(Debug, Default)]
pub struct CheckReport {
    /// The number of records that were read.
    pub records: u64,
    /// The number of blocks that were read.
    pub blocks: usize,
    /// The gaps that the writer recorded.
    pub gaps: Vec<Gap>,
    /// The losses: parts that could not be read.
    pub losses: Vec<Loss>,
    /// Unknown columns, which were skipped.
    pub unknown_columns: Vec<String>,
    /// The number of records with times out of order, by the contradiction.
    pub out_of_order_times: BTreeMap<&'static str, u64>,
    /// The number of records with the id of an earlier record of the same server.
    pub duplicate_ids: u64,
    /// The number of blocks that end more than a minute before the latest record so far, which
    /// suggests that the clock was set back.
    pub set_back_blocks: u64,
    /// Whether the index differs from the blocks.
    pub has_wrong_index: bool,
}

impl CheckReport {
    /// Whether the file is sound. Gaps, unknown columns and blocks that are set back are accepted.
    pub fn is_sound(&self) -> bool {
        self.losses.is_empty()
            && self.out_of_order_times.is_empty()
            && self.duplicate_ids == 0
            && !self.has_wrong_index
    }

    fn count_contradictions(&mut self, record: &Record) {
        for (contradiction, is_found) in time_contradictions(record) {
            if is_found {
                *self.out_of_order_times.entry(contradiction).or_default() += 1;
            }
        }
    }
}

/// The ids of the latest records of each server.
#[derive(Default)]
struct RecentIds {
    ids: BTreeSet<(u32, u64)>,
    /// The ids in the order in which they were added.
    order: VecDeque<(u32, u64)>,
}

impl RecentIds {
    /// Adds the id of a record; false if the id is already known.
    fn insert(&mut self, record: &Record) -> bool {
        let id = (record.server, record.id);
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_TRACKED_IDS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
        true
    }
}

/// Reads a whole file and reports damage and contradictions.
///
/// # Errors
/// [`TraceError`] if the file cannot be read at all. Damage is a part of the report.
pub fn check<R: Read + Seek>(mut reader: TraceReader<R>) -> Result<CheckReport, TraceError> {
    let survey = reader.survey()?;
    let mut reader = reader.rewind()?;
    let mut report = CheckReport::default();
    let mut ids = RecentIds::default();
    let mut latest = Micros::MIN;
    for item in reader.by_ref() {
        match item? {
            Item::Gap(gap) => report.gaps.push(gap),
            Item::Loss(loss) => report.losses.push(loss),
            Item::Records(records) => {
                report.blocks += 1;
                report.records += records.len() as u64;
                let to = records
                    .iter()
                    .map(|record| record.reached)
                    .max()
                    .unwrap_or(latest);
                report.set_back_blocks += u64::from(to < latest.saturating_sub(MAX_BACKWARD_STEP));
                latest = latest.max(to);
                for record in &records {
                    report.count_contradictions(record);
                    report.duplicate_ids += u64::from(!ids.insert(record));
                }
            }
        }
    }
    report.unknown_columns = reader.unknown_columns();
    // A damaged block is already reported as a loss, and is missing from the blocks that were read,
    // so the index is compared only without losses.
    report.has_wrong_index = survey.is_indexed
        && report.losses.is_empty()
        && survey.index.blocks() != reader.blocks().blocks();
    Ok(report)
}

/// The contradictions between the times of a record, and whether each was found.
fn time_contradictions(record: &Record) -> [(&'static str, bool); 5] {
    let is_reversed = |first: Option<Micros>, then: Option<Micros>| matches!((first, then), (Some(a), Some(b)) if b < a);
    [
        (
            "read before it reached the machine",
            is_reversed(Some(0), record.read),
        ),
        (
            "admitted before it was read",
            is_reversed(record.read, record.admitted),
        ),
        (
            "run before it was admitted",
            is_reversed(record.admitted, record.started),
        ),
        (
            "answered before it was read",
            is_reversed(record.read, record.answered),
        ),
        (
            "over before it was answered",
            is_reversed(record.answered, record.released),
        ),
    ]
}
