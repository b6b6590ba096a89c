//! Encodes records as the payload of a block: chooses the layout of each column, and compresses its
//! parts.

use zstd::bulk::Compressor;

use super::{BlockHeader, MAX_TABLE_ENTRIES, layout, prediction_bytes, presence};
use crate::WriteError;
use crate::columns::{self, Column, ColumnKind, Prediction};
use crate::record::Record;
use crate::varint::{write_u64, zigzag_decode, zigzag_encode};

/// The zstd level of a block. Higher levels take more time and save almost no space.
pub(crate) const COMPRESSION_LEVEL: i32 = 1;
/// Number of values that are sampled to decide whether a table of distinct values is built.
const TABLE_SAMPLE_SIZE: usize = 256;
/// Minimum ratio of the frequency of equal pairs of bytes in a part to their frequency in random
/// bytes; a part below this ratio is stored uncompressed.
const MIN_BYTE_SKEW: f64 = 1.05;
/// Initial capacity of a block's buffer, in bytes per record.
const ESTIMATED_RECORD_BYTES: usize = 24;

/// One column of a block before it is encoded.
pub(crate) struct ColumnValues {
    id: u8,
    kind: ColumnKind,
    prediction: Prediction,
    values: Vec<Option<u64>>,
}

/// Builds the columns of records in a format version.
///
/// # Errors
/// [`WriteError::ValueOutOfRange`], with the name of the column that a value does not fit.
pub(crate) fn columns_of(
    records: &[Record],
    version: u32,
) -> Result<Vec<ColumnValues>, WriteError> {
    let mut all = Vec::new();
    for column in columns::of_version(version) {
        let mut values = Vec::with_capacity(records.len());
        for record in records {
            let value = (column.get)(record);
            check_value(column, version, value)?;
            values.push(value);
        }
        all.push(ColumnValues {
            id: column.id,
            kind: column.kind,
            prediction: column.prediction,
            values,
        });
    }
    Ok(all)
}

/// Checks that a value is no wider than its column.
pub(crate) fn check_value(
    column: &Column,
    version: u32,
    value: Option<u64>,
) -> Result<(), WriteError> {
    let bits = column.max_bits(version);
    match value {
        Some(value) if bits < 64 && value >> bits != 0 => {
            let value = if column.kind == ColumnKind::Signed {
                zigzag_decode(value)
            } else {
                value as i64
            };
            Err(WriteError::ValueOutOfRange {
                column: column.name,
                value,
                bits,
            })
        }
        _ => Ok(()),
    }
}

/// Encodes the payload of a block. The caller reuses the compressor for all blocks, because setting
/// one up takes as long as compressing a part.
pub(crate) fn encode(
    header: &BlockHeader,
    columns: &[ColumnValues],
    compressor: &mut Compressor<'static>,
) -> Result<Vec<u8>, WriteError> {
    let mut out = Vec::with_capacity(header.records * ESTIMATED_RECORD_BYTES);
    header.write(&mut out);
    write_u64(&mut out, columns.len() as u64);
    let mut bodies = Vec::with_capacity(columns.len());
    for column in columns {
        let differences = differences(column, columns);
        let (presence, bitmap) = presence_of(&column.values);
        let present: Vec<u64> = differences.into_iter().flatten().collect();
        let laid_out = lay_out(&present);
        write_u64(&mut out, u64::from(column.id));
        out.extend_from_slice(&[column.kind.code(), presence]);
        out.extend_from_slice(&prediction_bytes(column.prediction));
        out.push(laid_out.layout);
        // Each part is compressed separately, because it compresses worse together with other
        // parts.
        let parts: Vec<Vec<u8>> = bitmap.into_iter().chain(laid_out.parts).collect();
        out.push(parts.len() as u8);
        for raw in parts {
            let compressed = if is_uniform(&raw) {
                Vec::new()
            } else {
                compressor.compress(&raw)?
            };
            let is_compressed = !compressed.is_empty() && compressed.len() < raw.len();
            write_u64(&mut out, raw.len() as u64);
            write_u64(
                &mut out,
                if is_compressed {
                    compressed.len() as u64
                } else {
                    0
                },
            );
            bodies.push(if is_compressed { compressed } else { raw });
        }
    }
    for body in bodies {
        out.extend_from_slice(&body);
    }
    Ok(out)
}

/// Whether the bytes are so close to random that compressing them costs time and saves no space.
fn is_uniform(bytes: &[u8]) -> bool {
    let mut counts = [0u32; 256];
    for &byte in bytes {
        counts[usize::from(byte)] += 1;
    }
    let count = bytes.len() as f64;
    let equal_pairs: f64 = counts
        .iter()
        .map(|&count| f64::from(count) * f64::from(count))
        .sum();
    equal_pairs * 256.0 <= count * count * MIN_BYTE_SKEW + count * 256.0
}

/// The difference of each value to its prediction.
fn differences(column: &ColumnValues, columns: &[ColumnValues]) -> Vec<Option<u64>> {
    match column.prediction {
        Prediction::Zero => column.values.clone(),
        Prediction::PreviousRecord => {
            let mut previous = 0;
            let step = |value: &Option<u64>| {
                value.map(|value| difference(value, std::mem::replace(&mut previous, value)))
            };
            column.values.iter().map(step).collect()
        }
        Prediction::OtherColumn(id) => {
            let other = columns.iter().find(|other| other.id == id);
            let predicted = |at: usize| other.and_then(|other| other.values[at]).unwrap_or(0);
            let step = |(at, value): (usize, &Option<u64>)| {
                value.map(|value| difference(value, predicted(at)))
            };
            column.values.iter().enumerate().map(step).collect()
        }
    }
}

/// The difference of two numbers in zigzag form, in that form.
fn difference(value: u64, predicted: u64) -> u64 {
    zigzag_encode(zigzag_decode(value).wrapping_sub(zigzag_decode(predicted)))
}

/// The stored number of the presence of values, and a bitmap if some records have no value.
fn presence_of(values: &[Option<u64>]) -> (u8, Option<Vec<u8>>) {
    if values.iter().all(Option::is_some) {
        return (presence::ALL, None);
    }
    let mut bitmap = vec![0u8; values.len().div_ceil(8)];
    for (at, _) in values
        .iter()
        .enumerate()
        .filter(|(_, value)| value.is_some())
    {
        bitmap[at / 8] |= 1 << (at % 8);
    }
    (presence::BITMAP, Some(bitmap))
}

/// The values of a column in one of the layouts.
struct LaidOut {
    layout: u8,
    parts: Vec<Vec<u8>>,
}

/// Chooses the layout that is likely to compress best, and applies it.
fn lay_out(values: &[u64]) -> LaidOut {
    let Some(&first) = values.first() else {
        return LaidOut {
            layout: layout::CONSTANT,
            parts: Vec::new(),
        };
    };
    if values.iter().all(|&value| value == first) {
        return LaidOut {
            layout: layout::CONSTANT,
            parts: vec![varints(&[first])],
        };
    }
    if let Some(table) = table_of(values) {
        return LaidOut {
            layout: layout::TABLE,
            parts: table_parts(values, &table),
        };
    }
    // Times of one order of magnitude compress best as planes, because the upper planes are nearly
    // constant. Small numbers with a few large ones among them compress best as varints.
    let width = values
        .iter()
        .max()
        .map_or(1, |&longest| byte_width(longest));
    let short = values
        .iter()
        .filter(|&&value| byte_width(value) * 2 < width)
        .count();
    if width <= 2 || short * 8 < values.len() * 7 {
        LaidOut {
            layout: layout::PLANES,
            parts: planes(values, width),
        }
    } else {
        LaidOut {
            layout: layout::VARINTS,
            parts: vec![varints(values)],
        }
    }
}

/// The length of a value in bytes without its leading zero bytes.
fn byte_width(value: u64) -> usize {
    (64 - value.leading_zeros()).div_ceil(8).max(1) as usize
}

fn varints(values: &[u64]) -> Vec<u8> {
    let mut out = Vec::new();
    for &value in values {
        write_u64(&mut out, value);
    }
    out
}

/// The distinct values in ascending order; `None` if a table of them would not save space.
fn table_of(values: &[u64]) -> Option<Vec<u64>> {
    // No table is built if the values of a sample rarely repeat.
    let sample = values
        .iter()
        .step_by(values.len() / TABLE_SAMPLE_SIZE + 1)
        .copied()
        .collect();
    if distinct(sample).len() * 2 > TABLE_SAMPLE_SIZE {
        return None;
    }
    let table = distinct(values.to_vec());
    (table.len() <= MAX_TABLE_ENTRIES && table.len() * 3 <= values.len()).then_some(table)
}

fn distinct(mut values: Vec<u64>) -> Vec<u64> {
    values.sort_unstable();
    values.dedup();
    values
}

/// Encodes the table, with each entry as the difference to the previous one, and the positions of
/// the values in the table as planes.
fn table_parts(values: &[u64], table: &[u64]) -> Vec<Vec<u8>> {
    let mut entries = varints(&[table.len() as u64]);
    let mut previous = 0;
    for &value in table {
        write_u64(&mut entries, value - previous);
        previous = value;
    }
    let positions: Vec<u64> = (values.iter())
        .filter_map(|value| table.binary_search(value).ok())
        .map(|position| position as u64)
        .collect();
    let width = if table.len() <= 256 { 1 } else { 2 };
    std::iter::once(entries)
        .chain(planes(&positions, width))
        .collect()
}

/// Splits values into planes: the lowest bytes of all values, then the next ones, and so on.
fn planes(values: &[u64], width: usize) -> Vec<Vec<u8>> {
    (0..width)
        .map(|plane| {
            values
                .iter()
                .map(|value| (value >> (8 * plane)) as u8)
                .collect()
        })
        .collect()
}
