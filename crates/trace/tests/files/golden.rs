//! Recordings that version 0.1.0 wrote. Every later version must read the same values from them.
//!
//! Each recording `golden/NAME.tgt` has an export `golden/NAME.jsonl`, which is the output of
//! `tulipgap trace export` of version 0.1.0. `format-1.tgt` is a recording of synthetic load in
//! format 1. `format-2.tgt` is a merge of the files of two servers in format 2. One of these files
//! was repaired after damage, so the merge has gaps.

use serde_json::{Map, Value, json};
use tulipgap_trace::{
    COLUMNS, ColumnKind, Dictionary, GapReason, Outcome, Record, SyntheticLoad, check,
};

use crate::common::{Contents, open, read_all};

/// A record as the export of version 0.1.0 prints it, according to the table of columns.
fn exported(record: &Record, names: &Dictionary) -> Value {
    let mut row = Map::new();
    for column in COLUMNS {
        let Some(raw) = (column.get)(record) else {
            continue;
        };
        let signed = (raw >> 1) as i64 ^ -((raw & 1) as i64);
        let value = match (column.name, column.kind) {
            ("handler", _) => json!(names.handler(record.handler)),
            ("tenant", _) => json!(names.tenant(record.tenant.unwrap())),
            ("server", _) => json!(names.server(record.server)),
            ("outcome", _) => json!(record.outcome.name()),
            ("reason", _) => json!(record.reason.name()),
            ("id" | "key" | "subject", _) => json!(format!("{raw:016x}")),
            (_, ColumnKind::Signed) => json!(signed),
            (_, ColumnKind::Float) => json!(f64::from_bits(raw)),
            (_, ColumnKind::Flag) => json!(raw == 1),
            _ => json!(raw),
        };
        row.insert(column.name.to_owned(), value);
    }
    Value::Object(row)
}

fn assert_same_records(recording: &[u8], export: &str) -> Contents {
    let contents = read_all(recording).unwrap();
    assert!(
        contents.losses.is_empty() && contents.unknown_columns.is_empty(),
        "{:?} {:?}",
        contents.losses,
        contents.unknown_columns
    );
    let expected: Vec<Value> = export
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(contents.records.len(), expected.len());
    for (record, expected) in contents.records.iter().zip(&expected) {
        assert_eq!(exported(record, &contents.names), *expected);
    }
    contents
}

#[test]
fn a_recording_in_format_1_of_version_0_1_0_reads_back_the_same_values() {
    let recording = include_bytes!("golden/format-1.tgt");
    let contents = assert_same_records(recording, include_str!("golden/format-1.jsonl"));
    assert_eq!(contents.names, SyntheticLoad::dictionary("south-1"));
    let survey = open(recording).survey().unwrap();
    assert!(!survey.is_indexed, "format 1 has no index");
}

#[test]
fn a_recording_in_format_2_of_version_0_1_0_reads_back_the_same_values() {
    let recording = include_bytes!("golden/format-2.tgt");
    let contents = assert_same_records(recording, include_str!("golden/format-2.jsonl"));
    assert_eq!(contents.names.servers, ["north-1", "north-2"]);
    assert_eq!(
        contents.names.handlers,
        SyntheticLoad::dictionary("north-1").handlers
    );
    for outcome in Outcome::ALL {
        assert!(
            contents
                .records
                .iter()
                .any(|record| record.outcome == outcome),
            "{}",
            outcome.name()
        );
    }
    let survey = open(recording).survey().unwrap();
    assert!(survey.is_indexed);
    assert_eq!(survey.gaps, contents.gaps);
    assert_eq!(survey.index.records() as usize, contents.records.len());
    let [uncounted, counted] = &contents.gaps[..] else {
        panic!("two gaps: {:?}", contents.gaps)
    };
    assert_eq!(
        (uncounted.reason, uncounted.records),
        (GapReason::Damaged, None)
    );
    assert_eq!(
        (counted.reason, counted.server.as_str()),
        (GapReason::Damaged, "north-1")
    );
    assert!(counted.records.is_some_and(|records| records > 0));
    assert!(check(open(recording)).unwrap().is_sound());
}
