//! A block: some thousand records, column by column. Each column tells its kind, how its values are predicted and
//! packed, and how long it is, so that a reader can pass over one it does not know or does not want.

use std::borrow::Cow;
use std::collections::BTreeSet;

use integer_encoding::VarInt;
use zstd::bulk::{Compressor, Decompressor};

use crate::columns::{self, Column, Guess, Kind, unzigzag, zigzag};
use crate::record::Record;
use crate::{Micros, TraceError, WriteError};

/// Records of a block, columns of a block, distinct values for which a column gets a table.
pub const RECORDS_MOST: usize = 65_536;
pub const COLUMNS_MOST: usize = 255;
const TABLE_MOST: usize = 4096;
/// Values that are looked at first, to see whether a table is likely to pay.
const SAMPLE: usize = 256;
/// What a packed column may unpack to, for each record and beside that.
const UNPACKED_EACH: usize = 32;
const UNPACKED_LEAST: usize = 64;
/// Higher ones take twice the time for three parts in a thousand of the size.
pub const LEVEL: i32 = 1;
/// How much likelier than by chance two bytes of a part are alike at the least for it to be worth packing.
const UNEVEN: f64 = 1.05;

/// How the values of a column are laid out before they are packed.
const CONSTANT: u8 = 0;
const VARINTS: u8 = 1;
const PLANES: u8 = 2;
const TABLE: u8 = 3;
/// Whether each record has a value.
const ALL: u8 = 0;
const BITMAP: u8 = 1;

/// What stands before the columns of a block.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prelude {
    /// The number of the block in its file, and how many records stand before it.
    pub number: u64,
    pub before: u64,
    pub records: usize,
    /// The earliest and latest `reached`.
    pub from: Micros,
    pub to: Micros,
    pub handlers: BTreeSet<u32>,
    /// A bit for each outcome.
    pub outcomes: u32,
}

impl Prelude {
    pub fn of(records: &[Record], number: u64, before: u64) -> Self {
        Prelude {
            number,
            before,
            records: records.len(),
            from: records.iter().map(|r| r.reached).min().unwrap_or_default(),
            to: records.iter().map(|r| r.reached).max().unwrap_or_default(),
            handlers: records.iter().map(|r| r.handler).collect(),
            outcomes: records.iter().fold(0, |all, r| all | 1 << r.outcome as u32),
        }
    }

    pub fn write(&self, out: &mut Vec<u8>) {
        put(out, self.number);
        put(out, self.before);
        put(out, self.records as u64);
        put(out, zigzag(self.from));
        put(out, self.to.wrapping_sub(self.from) as u64);
        put(out, self.handlers.len() as u64);
        for &handler in &self.handlers {
            put(out, u64::from(handler));
        }
        put(out, u64::from(self.outcomes));
    }

    pub fn read(from: &mut Bytes) -> Result<Self, TraceError> {
        let (number, before, records) = (from.number()?, from.number()?, from.number()? as usize);
        if records > RECORDS_MOST {
            return Err(TraceError::Bound("records of a block", records as u64));
        }
        let start = unzigzag(from.number()?);
        let to = start.wrapping_add(from.number()? as i64);
        let count = from.number()?;
        if count > records as u64 {
            return Err(TraceError::Bound("handlers of a block", count));
        }
        let mut handlers = BTreeSet::new();
        for _ in 0..count {
            handlers.insert(from.number_u32()?);
        }
        let outcomes = from.number_u32()?;
        Ok(Prelude { number, before, records, from: start, to, handlers, outcomes })
    }
}

/// A cursor over bytes that may be of any sense.
pub struct Bytes<'a>(pub &'a [u8]);

impl<'a> Bytes<'a> {
    pub fn number(&mut self) -> Result<u64, TraceError> {
        // A number of more than ten bytes, or beyond 64 bits, is none.
        let (value, used) =
            u64::decode_var(&self.0[..self.0.len().min(10)]).ok_or(TraceError::Senseless("a number"))?;
        self.0 = &self.0[used..];
        Ok(value)
    }

    pub fn number_u32(&mut self) -> Result<u32, TraceError> {
        u32::try_from(self.number()?).map_err(|_| TraceError::Senseless("a number of 32 bits"))
    }

    pub fn byte(&mut self) -> Result<u8, TraceError> {
        Ok(self.some(1)?[0])
    }

    pub fn some(&mut self, count: usize) -> Result<&'a [u8], TraceError> {
        let (some, rest) = self.0.split_at_checked(count).ok_or(TraceError::Senseless("a length"))?;
        self.0 = rest;
        Ok(some)
    }
}

pub fn put(out: &mut Vec<u8>, value: u64) {
    let mut bytes = [0; 10];
    let length = value.encode_var(&mut bytes);
    out.extend_from_slice(&bytes[..length]);
}

/// One column on its way into a file.
pub struct Values {
    pub id: u8,
    pub kind: Kind,
    pub guess: Guess,
    pub values: Vec<Option<u64>>,
}

/// The columns of these records in that format; what does not fit its column is an error that names it.
pub fn columns_of(records: &[Record], version: u32) -> Result<Vec<Values>, WriteError> {
    let mut all = Vec::new();
    for column in columns::of_version(version) {
        let mut values = Vec::with_capacity(records.len());
        for record in records {
            let value = (column.get)(record);
            fits(column, version, value)?;
            values.push(value);
        }
        all.push(Values { id: column.id, kind: column.kind, guess: column.guess, values });
    }
    Ok(all)
}

/// Whether a value is no wider than its column.
pub fn fits(column: &Column, version: u32, value: Option<u64>) -> Result<(), WriteError> {
    let bits = column.bits[usize::from(version > 1)];
    match value {
        Some(value) if bits < 64 && value >> bits != 0 => {
            let shown = if column.kind == Kind::Signed { unzigzag(value) } else { value as i64 };
            Err(WriteError::Unfit { column: column.name, value: shown, bits })
        }
        _ => Ok(()),
    }
}

/// Lays out and packs a block. The packer is kept from block to block, as setting one up costs as much as a part.
pub fn encode(
    prelude: &Prelude,
    columns: &[Values],
    packer: &mut Compressor<'static>,
) -> Result<Vec<u8>, WriteError> {
    let mut out = Vec::with_capacity(prelude.records * 24);
    prelude.write(&mut out);
    put(&mut out, columns.len() as u64);
    let mut bodies = Vec::with_capacity(columns.len());
    for column in columns {
        let guessed = predict(column, columns);
        let (presence, bitmap) = presence(&column.values);
        let present: Vec<u64> = guessed.into_iter().flatten().collect();
        let (layout, laid_out) = lay_out(&present);
        put(&mut out, u64::from(column.id));
        out.push(column.kind.code());
        out.push(presence);
        let (guess, beside) = match column.guess {
            Guess::Zero => (0, 0),
            Guess::Before => (1, 0),
            Guess::Beside(id) => (2, id),
        };
        out.extend_from_slice(&[guess, beside, layout]);
        // Each part by itself: its bytes are alike, and those of another would spoil its code.
        let parts: Vec<Vec<u8>> = bitmap.into_iter().chain(laid_out).collect();
        out.push(parts.len() as u8);
        for raw in parts {
            let packed = if even(&raw) { Vec::new() } else { packer.compress(&raw)? };
            let packs = !packed.is_empty() && packed.len() < raw.len();
            put(&mut out, raw.len() as u64);
            put(&mut out, if packs { packed.len() as u64 } else { 0 });
            bodies.push(if packs { packed } else { raw });
        }
    }
    for body in bodies {
        out.extend_from_slice(&body);
    }
    Ok(out)
}

/// Whether bytes are as good as random, so that packing them would only cost time.
fn even(bytes: &[u8]) -> bool {
    let mut counts = [0u32; 256];
    for &byte in bytes {
        counts[usize::from(byte)] += 1;
    }
    let count = bytes.len() as f64;
    let alike: f64 = counts.iter().map(|&count| f64::from(count) * f64::from(count)).sum();
    alike * 256.0 <= count * count * UNEVEN + count * 256.0
}

/// What is stored instead of the values: how far each is from what it is predicted to be.
fn predict(column: &Values, columns: &[Values]) -> Vec<Option<u64>> {
    let differ = |value: u64, from: u64| zigzag(unzigzag(value).wrapping_sub(unzigzag(from)));
    match column.guess {
        Guess::Zero => column.values.clone(),
        Guess::Before => {
            let mut before = 0;
            let step =
                |value: &Option<u64>| value.map(|value| differ(value, std::mem::replace(&mut before, value)));
            column.values.iter().map(step).collect()
        }
        Guess::Beside(id) => {
            let beside = columns.iter().find(|other| other.id == id);
            let from = |at: usize| beside.and_then(|other| other.values[at]).unwrap_or(0);
            column.values.iter().enumerate().map(|(at, value)| value.map(|v| differ(v, from(at)))).collect()
        }
    }
}

fn presence(values: &[Option<u64>]) -> (u8, Option<Vec<u8>>) {
    if values.iter().all(Option::is_some) {
        return (ALL, None);
    }
    let mut bitmap = vec![0u8; values.len().div_ceil(8)];
    for (at, _) in values.iter().enumerate().filter(|(_, value)| value.is_some()) {
        bitmap[at / 8] |= 1 << (at % 8);
    }
    (BITMAP, Some(bitmap))
}

/// The layout that is likely to pack best, and the parts in it.
fn lay_out(values: &[u64]) -> (u8, Vec<Vec<u8>>) {
    let mut out = Vec::new();
    let Some(&first) = values.first() else { return (CONSTANT, Vec::new()) };
    if values.iter().all(|&value| value == first) {
        put(&mut out, first);
        return (CONSTANT, vec![out]);
    }
    let distinct = |mut values: Vec<u64>| {
        values.sort_unstable();
        values.dedup();
        values
    };
    // Where some of them hardly repeat a table is not made of all.
    let few = distinct(values.iter().step_by(values.len() / SAMPLE + 1).copied().collect());
    let table = if few.len() * 2 <= SAMPLE { distinct(values.to_vec()) } else { Vec::new() };
    if !table.is_empty() && table.len() <= TABLE_MOST && table.len() * 3 <= values.len() {
        put(&mut out, table.len() as u64);
        let mut before = 0;
        for &value in &table {
            put(&mut out, value - before);
            before = value;
        }
        let places: Vec<u64> =
            values.iter().filter_map(|v| table.binary_search(v).ok()).map(|at| at as u64).collect();
        let mut parts = vec![out];
        parts.extend(planes(&places, if table.len() <= 256 { 1 } else { 2 }));
        return (TABLE, parts);
    }
    // Times of one order of magnitude pack best by planes, where the upper ones are nearly alike; small numbers
    // with a few long ones among them do so as varints.
    let bytes = |value: u64| (64 - value.leading_zeros()).div_ceil(8).max(1) as usize;
    let width = values.iter().max().map_or(1, |&most| bytes(most));
    let short = values.iter().filter(|&&value| bytes(value) * 2 < width).count();
    if width <= 2 || short * 8 < values.len() * 7 {
        (PLANES, planes(values, width))
    } else {
        for &value in values {
            put(&mut out, value);
        }
        (VARINTS, vec![out])
    }
}

/// The lowest bytes of all values, then the next ones, and so on.
fn planes(values: &[u64], width: usize) -> Vec<Vec<u8>> {
    (0..width).map(|plane| values.iter().map(|value| (value >> (8 * plane)) as u8).collect()).collect()
}

/// One column as it stands in a block.
#[derive(Clone, Debug)]
pub struct Packed<'a> {
    pub id: u64,
    pub kind: u8,
    presence: u8,
    guess: u8,
    beside: u8,
    layout: u8,
    parts: Vec<Part<'a>>,
}

/// Some bytes of a column: as they are where `packed` is 0.
#[derive(Clone, Copy, Debug)]
struct Part<'a> {
    raw: usize,
    packed: usize,
    body: &'a [u8],
}

impl Packed<'_> {
    /// Its length in the file.
    pub fn stored(&self) -> usize {
        self.parts.iter().map(|part| part.body.len()).sum()
    }
}

/// The columns of a block, still packed.
pub fn packed<'a>(from: &mut Bytes<'a>, prelude: &Prelude) -> Result<Vec<Packed<'a>>, TraceError> {
    let count = from.number()?;
    if count > COLUMNS_MOST as u64 {
        return Err(TraceError::Bound("columns of a block", count));
    }
    let mut all = Vec::new();
    for _ in 0..count {
        let (id, kind, presence) = (from.number()?, from.byte()?, from.byte()?);
        let (guess, beside, layout) = (from.byte()?, from.byte()?, from.byte()?);
        let most = (prelude.records * UNPACKED_EACH + UNPACKED_LEAST) as u64;
        let mut parts = Vec::new();
        for _ in 0..from.byte()? {
            let (raw, packed) = (from.number()?, from.number()?);
            if raw > most {
                return Err(TraceError::Bound("bytes of a column", raw));
            }
            parts.push(Part { raw: raw as usize, packed: packed.min(most + 1) as usize, body: &[] });
        }
        all.push(Packed { id, kind, presence, guess, beside, layout, parts });
    }
    for part in all.iter_mut().flat_map(|column| &mut column.parts) {
        part.body = from.some(if part.packed > 0 { part.packed } else { part.raw })?;
    }
    if from.0.is_empty() { Ok(all) } else { Err(TraceError::Senseless("bytes behind a block")) }
}

/// The bytes of a part.
fn unpacked<'a>(
    part: Option<Part<'a>>,
    unpacker: &mut Decompressor<'static>,
) -> Result<Cow<'a, [u8]>, TraceError> {
    let part = part.ok_or(TraceError::Senseless("the parts of a column"))?;
    if part.packed == 0 {
        return Ok(part.body.into());
    }
    let raw =
        unpacker.decompress(part.body, part.raw).map_err(|_| TraceError::Senseless("a packed column"))?;
    if raw.len() == part.raw { Ok(raw.into()) } else { Err(TraceError::Senseless("the length of a column")) }
}

/// The values of a column as they are stored, still less what they are predicted to be.
fn unpack(
    column: &Packed,
    records: usize,
    unpacker: &mut Decompressor<'static>,
) -> Result<Vec<Option<u64>>, TraceError> {
    let mut parts = column.parts.iter().copied();
    let bitmap = match column.presence {
        ALL => None,
        BITMAP => Some(unpacked(parts.next(), unpacker)?),
        _ => return Err(TraceError::Senseless("which records have a value")),
    };
    if bitmap.as_ref().is_some_and(|bitmap| bitmap.len() != records.div_ceil(8)) {
        return Err(TraceError::Senseless("which records have a value"));
    }
    let has = |at: usize| bitmap.as_ref().is_none_or(|bitmap| bitmap[at / 8] >> (at % 8) & 1 == 1);
    let count = (0..records).filter(|&at| has(at)).count();
    let values = match column.layout {
        CONSTANT if count == 0 => Vec::new(),
        CONSTANT => {
            let bytes = unpacked(parts.next(), unpacker)?;
            vec![Bytes(&bytes).number()?; count]
        }
        VARINTS => {
            let bytes = unpacked(parts.next(), unpacker)?;
            let mut from = Bytes(&bytes);
            let values = (0..count).map(|_| from.number()).collect::<Result<_, _>>()?;
            if !from.0.is_empty() {
                return Err(TraceError::Senseless("bytes behind a column"));
            }
            values
        }
        PLANES => read_planes(&mut parts, count, unpacker)?,
        TABLE => {
            let bytes = unpacked(parts.next(), unpacker)?;
            let mut from = Bytes(&bytes);
            let length = from.number()?;
            if length > TABLE_MOST as u64 {
                return Err(TraceError::Bound("entries of a table", length));
            }
            let mut before = 0u64;
            let mut table = Vec::new();
            for _ in 0..length {
                before = before.wrapping_add(from.number()?);
                table.push(before);
            }
            let places = read_planes(&mut parts, count, unpacker)?;
            let entry = |place: u64| usize::try_from(place).ok().and_then(|place| table.get(place)).copied();
            places
                .into_iter()
                .map(|place| entry(place).ok_or(TraceError::Senseless("a place in a table")))
                .collect::<Result<_, _>>()?
        }
        _ => return Err(TraceError::Senseless("the layout of a column")),
    };
    if parts.next().is_some() {
        return Err(TraceError::Senseless("the parts of a column"));
    }
    let mut values = values.into_iter();
    Ok((0..records).map(|at| if has(at) { values.next() } else { None }).collect())
}

/// Values of which each part that is left is a plane.
fn read_planes<'a>(
    parts: &mut (impl ExactSizeIterator<Item = Part<'a>> + Clone),
    count: usize,
    unpacker: &mut Decompressor<'static>,
) -> Result<Vec<u64>, TraceError> {
    let width = parts.len();
    if !(1..=8).contains(&width) {
        return Err(TraceError::Senseless("the width of a column"));
    }
    let mut values = vec![0u64; count];
    for plane in 0..width {
        let bytes = unpacked(parts.next(), unpacker)?;
        if bytes.len() != count {
            return Err(TraceError::Senseless("the length of a plane"));
        }
        for (value, &byte) in values.iter_mut().zip(bytes.iter()) {
            *value |= u64::from(byte) << (8 * plane);
        }
    }
    Ok(values)
}

/// The records of a block, with the columns that are asked for and those from which they are predicted; ids of
/// columns that are not known go to `unknown`.
pub fn decode(
    prelude: &Prelude,
    columns: &[Packed],
    wanted: &dyn Fn(u8) -> bool,
    unknown: &mut BTreeSet<u64>,
) -> Result<Vec<Record>, TraceError> {
    let mut records = vec![Record::default(); prelude.records];
    let mut whole: Vec<(u64, Vec<Option<u64>>)> = Vec::new();
    let mut unpacker = Decompressor::new()?;
    // What is needed, and what that leans on.
    let mut needed: BTreeSet<u64> = BTreeSet::new();
    for column in columns.iter().rev() {
        let asked = u8::try_from(column.id).is_ok_and(|id| columns::by_id(id).is_some() && wanted(id));
        if asked || needed.contains(&column.id) {
            needed.insert(column.id);
            if column.guess == 2 {
                needed.insert(u64::from(column.beside));
            }
        }
    }
    for column in columns {
        let known = u8::try_from(column.id).ok().and_then(columns::by_id);
        let Some(known) = known else {
            unknown.insert(column.id);
            continue;
        };
        if !needed.contains(&column.id) {
            continue;
        }
        if column.kind != known.kind.code() || whole.iter().any(|(id, _)| *id == column.id) {
            return Err(TraceError::Senseless("a column"));
        }
        let mut values = unpack(column, prelude.records, &mut unpacker)?;
        let sum = |value: u64, from: u64| zigzag(unzigzag(value).wrapping_add(unzigzag(from)));
        match column.guess {
            0 => {}
            1 => {
                let mut before = 0;
                for value in values.iter_mut().flatten() {
                    *value = sum(*value, before);
                    before = *value;
                }
            }
            2 => {
                // It leans on a column that stands before it, or on none.
                let beside = whole.iter().find(|(id, _)| *id == u64::from(column.beside));
                for (at, value) in values.iter_mut().enumerate() {
                    let from = beside.and_then(|(_, other)| other[at]).unwrap_or(0);
                    *value = value.map(|value| sum(value, from));
                }
            }
            _ => return Err(TraceError::Senseless("how a column is predicted")),
        }
        for (record, &value) in records.iter_mut().zip(&values) {
            if value.is_some_and(|value| !(known.set)(record, value)) {
                return Err(TraceError::Value(known.name));
            }
        }
        whole.push((column.id, values));
    }
    Ok(records)
}
