//! A block stores up to [`MAX_RECORDS`] records, column by column. Each column states its kind, the
//! prediction and the layout of its values, and its length, so that a reader can skip a column that
//! it does not know or does not need.

mod decode;
mod encode;

use std::collections::BTreeSet;

use crate::columns::Prediction;
use crate::record::Record;
use crate::varint::{ByteReader, write_i64, write_u64};
use crate::{Micros, TraceError};

pub(crate) use decode::{decode_records, read_columns};
pub(crate) use encode::{COMPRESSION_LEVEL, check_value, columns_of, encode};

/// Maximum number of records of a block.
pub(crate) const MAX_RECORDS: usize = 65_536;
/// Maximum number of columns of a block.
const MAX_COLUMNS: usize = 255;
/// Maximum number of distinct values in the table of a column.
const MAX_TABLE_ENTRIES: usize = 4096;
/// Maximum width of a value in planes, in bytes.
const MAX_PLANES: usize = 8;

/// The stored numbers of layouts. A layout is the arrangement of a column's values before
/// compression.
mod layout {
    /// All values are equal.
    pub(super) const CONSTANT: u8 = 0;
    /// One varint for each value.
    pub(super) const VARINTS: u8 = 1;
    /// The lowest bytes of all values, then the next ones, and so on.
    pub(super) const PLANES: u8 = 2;
    /// A table of the distinct values, and planes of positions in it.
    pub(super) const TABLE: u8 = 3;
}

/// The stored numbers of the presence of values in a column.
mod presence {
    /// Each record has a value.
    pub(super) const ALL: u8 = 0;
    /// The first part of the column is a bitmap of the records that have a value.
    pub(super) const BITMAP: u8 = 1;
}

/// The stored numbers of predictions.
mod prediction {
    /// The prediction is 0.
    pub(super) const ZERO: u8 = 0;
    /// The prediction is the value of the previous record that has one.
    pub(super) const PREVIOUS_RECORD: u8 = 1;
    /// The prediction is the value of another column of the same record.
    pub(super) const OTHER_COLUMN: u8 = 2;
}

/// The stored form of a prediction: its number, and the id of the column that it refers to.
fn prediction_bytes(prediction: Prediction) -> [u8; 2] {
    match prediction {
        Prediction::Zero => [prediction::ZERO, 0],
        Prediction::PreviousRecord => [prediction::PREVIOUS_RECORD, 0],
        Prediction::OtherColumn(id) => [prediction::OTHER_COLUMN, id],
    }
}

/// The header of a block, which precedes its columns.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct BlockHeader {
    /// The number of the block in its file, from 0.
    pub(crate) number: u64,
    /// The number of records before the block in the file.
    pub(crate) records_before: u64,
    /// The number of records in the block.
    pub(crate) records: usize,
    /// The earliest `reached` of the records in the block.
    pub(crate) from: Micros,
    /// The latest `reached` of the records in the block.
    pub(crate) to: Micros,
    /// The handlers that occur in the block.
    pub(crate) handlers: BTreeSet<u32>,
    /// The outcomes that occur in the block, a bit for each.
    pub(crate) outcomes: u32,
}

impl BlockHeader {
    pub(crate) fn of(records: &[Record], number: u64, records_before: u64) -> Self {
        BlockHeader {
            number,
            records_before,
            records: records.len(),
            from: records
                .iter()
                .map(|record| record.reached)
                .min()
                .unwrap_or_default(),
            to: records
                .iter()
                .map(|record| record.reached)
                .max()
                .unwrap_or_default(),
            handlers: records.iter().map(|record| record.handler).collect(),
            outcomes: records
                .iter()
                .fold(0, |bits, record| bits | record.outcome.bit()),
        }
    }

    fn write(&self, out: &mut Vec<u8>) {
        write_u64(out, self.number);
        write_u64(out, self.records_before);
        write_u64(out, self.records as u64);
        write_i64(out, self.from);
        write_u64(out, self.to.wrapping_sub(self.from) as u64);
        write_u64(out, self.handlers.len() as u64);
        for &handler in &self.handlers {
            write_u64(out, u64::from(handler));
        }
        write_u64(out, u64::from(self.outcomes));
    }

    pub(crate) fn read(input: &mut ByteReader) -> Result<Self, TraceError> {
        let number = input.read_u64()?;
        let records_before = input.read_u64()?;
        let records = input.read_u64()? as usize;
        check_record_count(records)?;
        let from = input.read_i64()?;
        let to = from.wrapping_add(input.read_u64()? as i64);
        let handler_count = input.read_u64()?;
        if handler_count > records as u64 {
            return Err(TraceError::LimitExceeded {
                quantity: "handlers of a block",
                value: handler_count,
            });
        }
        let mut handlers = BTreeSet::new();
        for _ in 0..handler_count {
            handlers.insert(input.read_u32()?);
        }
        let outcomes = input.read_u32()?;
        Ok(BlockHeader {
            number,
            records_before,
            records,
            from,
            to,
            handlers,
            outcomes,
        })
    }
}

/// Checks the number of records that a file claims for a block.
pub(crate) fn check_record_count(records: usize) -> Result<(), TraceError> {
    if records > MAX_RECORDS {
        return Err(TraceError::LimitExceeded {
            quantity: "records of a block",
            value: records as u64,
        });
    }
    Ok(())
}
