//! The text forms of a record: a JSON line, as in the raw log, or a CSV line. Keys are the names of
//! the format's columns.

use std::borrow::Cow;
use std::io::{self, Write};

use serde::Serialize;
use serde::ser::SerializeMap;
use tulipgap_trace::{COLUMNS, Column, ColumnKind, Dictionary, Record, zigzag_decode};

/// A record with its dictionary, which gives the names for the record's indices.
pub(super) struct NamedRecord<'a> {
    pub(super) record: &'a Record,
    pub(super) names: &'a Dictionary,
}

enum Value<'a> {
    Text(Cow<'a, str>),
    Signed(i64),
    Unsigned(u64),
    Float(f64),
    Flag(bool),
}

impl NamedRecord<'_> {
    /// The value of a column; `None` if the record has none. Ids are written as hex digits.
    fn value(&self, column: &Column) -> Option<Value<'_>> {
        let NamedRecord { record, names } = self;
        let raw = (column.get)(record)?;
        Some(match (column.name, column.kind) {
            ("handler", _) => Value::Text(names.handler(record.handler).into()),
            ("tenant", _) => Value::Text(names.tenant(record.tenant.unwrap_or_default()).into()),
            ("server", _) => Value::Text(names.server(record.server).into()),
            ("outcome", _) => Value::Text(record.outcome.name().into()),
            ("reason", _) => Value::Text(record.reason.name()),
            ("id" | "key" | "subject", _) => Value::Text(format!("{raw:016x}").into()),
            (_, ColumnKind::Signed) => Value::Signed(zigzag_decode(raw)),
            (_, ColumnKind::Float) => Value::Float(f64::from_bits(raw)),
            (_, ColumnKind::Flag) => Value::Flag(raw == 1),
            _ => Value::Unsigned(raw),
        })
    }
}

impl Serialize for NamedRecord<'_> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for column in COLUMNS {
            match self.value(column) {
                None => {}
                Some(Value::Text(text)) => map.serialize_entry(column.name, &text)?,
                Some(Value::Signed(number)) => map.serialize_entry(column.name, &number)?,
                Some(Value::Unsigned(number)) => map.serialize_entry(column.name, &number)?,
                Some(Value::Float(number)) => map.serialize_entry(column.name, &number)?,
                Some(Value::Flag(flag)) => map.serialize_entry(column.name, &flag)?,
            }
        }
        map.end()
    }
}

pub(super) fn write_json_line(out: &mut impl Write, record: &NamedRecord) -> io::Result<()> {
    serde_json::to_writer(&mut *out, record)?;
    out.write_all(b"\n")
}

pub(super) fn write_csv_header(out: &mut impl Write) -> io::Result<()> {
    let names: Vec<&str> = COLUMNS.iter().map(|column| column.name).collect();
    writeln!(out, "{}", names.join(","))
}

pub(super) fn write_csv_line(out: &mut impl Write, record: &NamedRecord) -> io::Result<()> {
    for (position, column) in COLUMNS.iter().enumerate() {
        if position > 0 {
            out.write_all(b",")?;
        }
        match record.value(column) {
            None => {}
            Some(Value::Text(text)) if text.contains([',', '"', '\n', '\r']) => {
                write!(out, "\"{}\"", text.replace('"', "\"\""))?;
            }
            Some(Value::Text(text)) => write!(out, "{text}")?,
            Some(Value::Signed(number)) => write!(out, "{number}")?,
            Some(Value::Unsigned(number)) => write!(out, "{number}")?,
            Some(Value::Float(number)) => write!(out, "{number}")?,
            Some(Value::Flag(flag)) => write!(out, "{}", u8::from(flag))?,
        }
    }
    out.write_all(b"\n")
}
