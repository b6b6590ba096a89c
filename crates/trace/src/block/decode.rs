//! Decodes the payload of a block into records. Whatever the payload claims, memory is bounded by
//! the number of records and the limits of the format.

use std::borrow::Cow;
use std::collections::BTreeSet;

use zstd::bulk::Decompressor;

use super::{
    BlockHeader, MAX_COLUMNS, MAX_PLANES, MAX_TABLE_ENTRIES, layout, prediction, presence,
};
use crate::TraceError;
use crate::columns;
use crate::record::Record;
use crate::varint::{ByteReader, zigzag_decode, zigzag_encode};

/// Maximum unpacked size of a part, in bytes for each record of the block.
const MAX_PART_BYTES_PER_RECORD: usize = 32;
/// Number of bytes by which the unpacked size of a part may exceed the bytes for each record.
const MAX_PART_EXTRA_BYTES: usize = 64;

/// One encoded column of a block.
#[derive(Clone, Debug)]
pub(crate) struct EncodedColumn<'a> {
    pub(crate) id: u64,
    kind: u8,
    presence: u8,
    prediction: u8,
    other_column: u8,
    layout: u8,
    parts: Vec<Part<'a>>,
}

/// A part of an encoded column, which is compressed separately from the other parts.
#[derive(Clone, Copy, Debug)]
struct Part<'a> {
    raw_length: usize,
    /// 0 if the part is not compressed.
    compressed_length: usize,
    body: &'a [u8],
}

impl EncodedColumn<'_> {
    /// The number of bytes that the values of the column take in the file.
    pub(crate) fn stored_bytes(&self) -> usize {
        self.parts.iter().map(|part| part.body.len()).sum()
    }
}

/// Reads the columns of a block without decoding them. `input` is positioned after the header of
/// the block.
pub(crate) fn read_columns<'a>(
    input: &mut ByteReader<'a>,
    header: &BlockHeader,
) -> Result<Vec<EncodedColumn<'a>>, TraceError> {
    let count = input.read_u64()?;
    if count > MAX_COLUMNS as u64 {
        return Err(TraceError::LimitExceeded {
            quantity: "columns of a block",
            value: count,
        });
    }
    let max_part_bytes = (header.records * MAX_PART_BYTES_PER_RECORD + MAX_PART_EXTRA_BYTES) as u64;
    let mut all = Vec::new();
    for _ in 0..count {
        all.push(read_column_entry(input, max_part_bytes)?);
    }
    for part in all.iter_mut().flat_map(|column| &mut column.parts) {
        let length = if part.compressed_length > 0 {
            part.compressed_length
        } else {
            part.raw_length
        };
        part.body = input.read_bytes(length)?;
    }
    if input.is_empty() {
        Ok(all)
    } else {
        Err(TraceError::Invalid("bytes after a block"))
    }
}

/// Reads the description of a column. The descriptions of all columns precede their parts.
fn read_column_entry<'a>(
    input: &mut ByteReader<'a>,
    max_part_bytes: u64,
) -> Result<EncodedColumn<'a>, TraceError> {
    let mut column = EncodedColumn {
        id: input.read_u64()?,
        kind: input.read_byte()?,
        presence: input.read_byte()?,
        prediction: input.read_byte()?,
        other_column: input.read_byte()?,
        layout: input.read_byte()?,
        parts: Vec::new(),
    };
    for _ in 0..input.read_byte()? {
        let raw_length = input.read_u64()?;
        let compressed_length = input.read_u64()?;
        if raw_length > max_part_bytes {
            return Err(TraceError::LimitExceeded {
                quantity: "bytes of a column",
                value: raw_length,
            });
        }
        column.parts.push(Part {
            raw_length: raw_length as usize,
            compressed_length: compressed_length.min(max_part_bytes + 1) as usize,
            body: &[],
        });
    }
    Ok(column)
}

/// The unread parts of one column, with their decompressor.
struct PartReader<'a, 'd> {
    parts: std::vec::IntoIter<Part<'a>>,
    decompressor: &'d mut Decompressor<'static>,
}

impl<'a> PartReader<'a, '_> {
    /// Returns the unpacked bytes of the next part.
    fn next(&mut self) -> Result<Cow<'a, [u8]>, TraceError> {
        let part = self
            .parts
            .next()
            .ok_or(TraceError::Invalid("the parts of a column"))?;
        if part.compressed_length == 0 {
            return Ok(part.body.into());
        }
        let raw = self
            .decompressor
            .decompress(part.body, part.raw_length)
            .map_err(|_| TraceError::Invalid("a compressed column"))?;
        if raw.len() != part.raw_length {
            return Err(TraceError::Invalid("the length of a column"));
        }
        Ok(raw.into())
    }

    fn is_empty(&self) -> bool {
        self.parts.len() == 0
    }

    /// Decodes values from their planes, which are the remaining parts.
    fn planes(&mut self, count: usize) -> Result<Vec<u64>, TraceError> {
        let width = self.parts.len();
        if !(1..=MAX_PLANES).contains(&width) {
            return Err(TraceError::Invalid("the width of a column"));
        }
        let mut values = vec![0u64; count];
        for plane in 0..width {
            let bytes = self.next()?;
            if bytes.len() != count {
                return Err(TraceError::Invalid("the length of a plane"));
            }
            for (value, &byte) in values.iter_mut().zip(bytes.iter()) {
                *value |= u64::from(byte) << (8 * plane);
            }
        }
        Ok(values)
    }

    fn constant(&mut self, count: usize) -> Result<Vec<u64>, TraceError> {
        if count == 0 {
            return Ok(Vec::new());
        }
        let bytes = self.next()?;
        Ok(vec![ByteReader(&bytes).read_u64()?; count])
    }

    fn varints(&mut self, count: usize) -> Result<Vec<u64>, TraceError> {
        let bytes = self.next()?;
        let mut input = ByteReader(&bytes);
        let values = (0..count)
            .map(|_| input.read_u64())
            .collect::<Result<_, _>>()?;
        if input.is_empty() {
            Ok(values)
        } else {
            Err(TraceError::Invalid("bytes after a column"))
        }
    }

    fn table(&mut self, count: usize) -> Result<Vec<u64>, TraceError> {
        let bytes = self.next()?;
        let mut input = ByteReader(&bytes);
        let entries = input.read_u64()?;
        if entries > MAX_TABLE_ENTRIES as u64 {
            return Err(TraceError::LimitExceeded {
                quantity: "entries of a table",
                value: entries,
            });
        }
        let mut previous = 0u64;
        let mut table = Vec::new();
        for _ in 0..entries {
            previous = previous.wrapping_add(input.read_u64()?);
            table.push(previous);
        }
        let entry = |position: u64| {
            let entry = usize::try_from(position)
                .ok()
                .and_then(|position| table.get(position))
                .copied();
            entry.ok_or(TraceError::Invalid("a position in a table"))
        };
        self.planes(count)?.into_iter().map(entry).collect()
    }
}

/// Decodes the stored differences of a column's values to their predictions.
fn read_differences(
    column: &EncodedColumn,
    records: usize,
    decompressor: &mut Decompressor<'static>,
) -> Result<Vec<Option<u64>>, TraceError> {
    let mut parts = PartReader {
        parts: column.parts.clone().into_iter(),
        decompressor,
    };
    let bitmap = match column.presence {
        presence::ALL => None,
        presence::BITMAP => Some(parts.next()?),
        _ => return Err(TraceError::Invalid("the presence of a column's values")),
    };
    if bitmap
        .as_ref()
        .is_some_and(|bitmap| bitmap.len() != records.div_ceil(8))
    {
        return Err(TraceError::Invalid("the presence of a column's values"));
    }
    let has_value = |at: usize| {
        bitmap
            .as_ref()
            .is_none_or(|bitmap| bitmap[at / 8] >> (at % 8) & 1 == 1)
    };
    let count = (0..records).filter(|&at| has_value(at)).count();
    let values = match column.layout {
        layout::CONSTANT => parts.constant(count)?,
        layout::VARINTS => parts.varints(count)?,
        layout::PLANES => parts.planes(count)?,
        layout::TABLE => parts.table(count)?,
        _ => return Err(TraceError::Invalid("the layout of a column")),
    };
    if !parts.is_empty() {
        return Err(TraceError::Invalid("the parts of a column"));
    }
    let mut values = values.into_iter();
    Ok((0..records)
        .map(|at| if has_value(at) { values.next() } else { None })
        .collect())
}

/// A column after decoding.
struct DecodedColumn {
    id: u64,
    values: Vec<Option<u64>>,
}

/// Decodes the records of a block. Ids of unknown columns are added to `unknown`.
pub(crate) fn decode_records(
    header: &BlockHeader,
    columns: &[EncodedColumn],
    unknown: &mut BTreeSet<u64>,
) -> Result<Vec<Record>, TraceError> {
    let mut records = vec![Record::default(); header.records];
    let mut decoded: Vec<DecodedColumn> = Vec::new();
    let mut decompressor = Decompressor::new()?;
    for column in columns {
        let Some(known) = u8::try_from(column.id).ok().and_then(columns::by_id) else {
            unknown.insert(column.id);
            continue;
        };
        if column.kind != known.kind.code() || decoded.iter().any(|other| other.id == column.id) {
            return Err(TraceError::Invalid("a column"));
        }
        let mut values = read_differences(column, header.records, &mut decompressor)?;
        add_predictions(column, &mut values, &decoded)?;
        for (record, &value) in records.iter_mut().zip(&values) {
            if value.is_some_and(|value| !(known.set)(record, value)) {
                return Err(TraceError::InvalidValue { column: known.name });
            }
        }
        decoded.push(DecodedColumn {
            id: column.id,
            values,
        });
    }
    Ok(records)
}

/// Turns differences into values by adding the predictions of the column.
fn add_predictions(
    column: &EncodedColumn,
    values: &mut [Option<u64>],
    decoded: &[DecodedColumn],
) -> Result<(), TraceError> {
    match column.prediction {
        prediction::ZERO => {}
        prediction::PREVIOUS_RECORD => {
            let mut previous = 0;
            for value in values.iter_mut().flatten() {
                *value = sum(*value, previous);
                previous = *value;
            }
        }
        prediction::OTHER_COLUMN => {
            // A prediction refers to a preceding column. Without that column it is 0.
            let other = decoded
                .iter()
                .find(|other| other.id == u64::from(column.other_column));
            for (at, value) in values.iter_mut().enumerate() {
                let predicted = other.and_then(|other| other.values[at]).unwrap_or(0);
                *value = value.map(|value| sum(value, predicted));
            }
        }
        _ => return Err(TraceError::Invalid("the prediction of a column")),
    }
    Ok(())
}

/// The sum of two numbers in zigzag form, in that form.
fn sum(difference: u64, predicted: u64) -> u64 {
    zigzag_encode(zigzag_decode(difference).wrapping_add(zigzag_decode(predicted)))
}
