//! Records as text: JSON lines, as the raw log has them, or CSV.

use std::io::{self, Write};

use serde::Serialize;
use serde::ser::SerializeMap;
use tulipgap_trace::{COLUMNS, Kind, Names, Record};

/// A record with its names in the place of indices, and ids as hex digits.
pub struct Told<'a> {
    pub record: &'a Record,
    pub names: &'a Names,
}

enum Value<'a> {
    Word(std::borrow::Cow<'a, str>),
    Number(i64),
    Count(u64),
    Part(f64),
    Flag(bool),
}

impl Told<'_> {
    /// The value of a column as it is told.
    fn value(&self, name: &str, kind: Kind, raw: u64) -> Value<'_> {
        let Told { record, names } = self;
        let signed = (raw >> 1) as i64 ^ -((raw & 1) as i64);
        match (name, kind) {
            ("handler", _) => Value::Word(names.handler(record.handler).into()),
            ("tenant", _) => Value::Word(names.tenant(record.tenant.unwrap_or_default()).into()),
            ("server", _) => Value::Word(names.server(record.server).into()),
            ("outcome", _) => Value::Word(record.outcome.name().into()),
            ("reason", _) => Value::Word(record.reason.name()),
            ("id" | "key" | "subject", _) => Value::Word(format!("{raw:016x}").into()),
            (_, Kind::Signed) => Value::Number(signed),
            (_, Kind::Float) => Value::Part(f64::from_bits(raw)),
            (_, Kind::Flag) => Value::Flag(raw == 1),
            _ => Value::Count(raw),
        }
    }
}

impl Serialize for Told<'_> {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for column in COLUMNS {
            let Some(raw) = (column.get)(self.record) else { continue };
            match self.value(column.name, column.kind, raw) {
                Value::Word(word) => map.serialize_entry(column.name, &word)?,
                Value::Number(number) => map.serialize_entry(column.name, &number)?,
                Value::Count(count) => map.serialize_entry(column.name, &count)?,
                Value::Part(part) => map.serialize_entry(column.name, &part)?,
                Value::Flag(flag) => map.serialize_entry(column.name, &flag)?,
            }
        }
        map.end()
    }
}

pub fn json_line(out: &mut impl Write, told: &Told) -> io::Result<()> {
    serde_json::to_writer(&mut *out, told)?;
    out.write_all(b"\n")
}

pub fn csv_head(out: &mut impl Write) -> io::Result<()> {
    let names: Vec<&str> = COLUMNS.iter().map(|column| column.name).collect();
    writeln!(out, "{}", names.join(","))
}

pub fn csv_line(out: &mut impl Write, told: &Told) -> io::Result<()> {
    for (at, column) in COLUMNS.iter().enumerate() {
        if at > 0 {
            out.write_all(b",")?;
        }
        let Some(raw) = (column.get)(told.record) else { continue };
        match told.value(column.name, column.kind, raw) {
            Value::Word(word) if word.contains([',', '"', '\n', '\r']) => {
                write!(out, "\"{}\"", word.replace('"', "\"\""))?;
            }
            Value::Word(word) => write!(out, "{word}")?,
            Value::Number(number) => write!(out, "{number}")?,
            Value::Count(count) => write!(out, "{count}")?,
            Value::Part(part) => write!(out, "{part}")?,
            Value::Flag(flag) => write!(out, "{}", u8::from(flag))?,
        }
    }
    out.write_all(b"\n")
}
