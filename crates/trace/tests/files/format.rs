//! Records that are written in either format are read back with the same values in all columns of
//! that format. Values that do not fit their column and newer format versions are errors.

use quickcheck::{Arbitrary, Gen, quickcheck};
use tulipgap_trace::{
    BlockConfig, BlockEntry, Filter, HandlerInfo, Index, Outcome, Reason, Record, TraceError,
    Writer,
};

use crate::common::{file, format_1_record, header, open, read_all, records, sorted};

#[derive(Clone, Debug)]
struct ArbitraryRecord(Record);

/// A small value, or one of the widest values.
fn value(g: &mut Gen) -> i64 {
    match u8::arbitrary(g) % 4 {
        0 => i64::arbitrary(g),
        1 => *g.choose(&[i64::MIN, i64::MAX, 0, -1]).unwrap(),
        _ => i64::from(i16::arbitrary(g)),
    }
}

impl Arbitrary for ArbitraryRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut optional = |chance: u8| (u8::arbitrary(g) % 4 < chance).then(|| value(g));
        let [read, admitted, started, first_call, answered, released] =
            [3, 2, 2, 1, 3, 3].map(&mut optional);
        let [client_wait, estimated_work, work, retry_after] = [1, 2, 2, 1].map(&mut optional);
        let [key, subject, caller] =
            [1, 2, 3].map(|chance| optional(chance).map(|value| value as u64));
        ArbitraryRecord(Record {
            server: u32::arbitrary(g),
            handler: u32::arbitrary(g) % 5,
            tenant: Option::arbitrary(g),
            id: u64::arbitrary(g),
            key,
            subject,
            caller,
            is_retry: bool::arbitrary(g),
            reached: value(g),
            read,
            admitted,
            started,
            first_call,
            answered,
            released,
            client_wait,
            estimated_work,
            work,
            outcome: *g.choose(&Outcome::ALL).unwrap(),
            reason: Reason(u8::arbitrary(g)),
            no_retry: bool::arbitrary(g),
            retry_after,
            calls: u32::arbitrary(g),
            skipped_calls: u32::arbitrary(g) % 3,
            feedback: Option::arbitrary(g).filter(|value: &f64| !value.is_nan()),
        })
    }
}

quickcheck! {
    fn every_record_round_trips(records: Vec<ArbitraryRecord>, block: u8) -> bool {
        let records: Vec<Record> = records.into_iter().map(|any| any.0).collect();
        let bytes = file(2, 1, "n1", &records, usize::from(block).max(1));
        let contents = read_all(&bytes).unwrap();
        let indexed = open(&bytes).survey().unwrap();
        assert!(contents.losses.is_empty() && indexed.is_indexed, "{:?}", contents.losses);
        assert_eq!(indexed.index.records(), records.len() as u64);
        // Blocks are in the order in which the records were written; within a block, the records
        // are sorted by their key.
        sorted(contents.records) == sorted(records)
    }

    fn index_lookup_matches_a_linear_scan(
        blocks: Vec<(i16, u8, u8, u8)>,
        bounds: (Option<i16>, Option<i16>, Option<u8>, Option<u8>)
    ) -> bool {
        let mut index = Index::default();
        for (from, length, handlers, outcomes) in blocks {
            let handlers = (0..8).filter(|bit| handlers >> bit & 1 == 1).collect();
            index.add(BlockEntry {
                offset: index.len() as u64 * 100,
                length: 100,
                records: 1,
                from: i64::from(from),
                to: i64::from(from) + i64::from(length),
                handlers,
                outcomes: u32::from(outcomes & 15),
            });
        }
        let wanted = Filter {
            from: bounds.0.map(i64::from),
            to: bounds.1.map(i64::from),
            handlers: bounds.2.map(|handler| [u32::from(handler % 9), 3].into()),
            outcomes: bounds.3.map(|outcome| [Outcome::ALL[usize::from(outcome % 4)]].into()),
        };
        let scan = index.scan(&wanted);
        index.find(&wanted) == scan
    }
}

#[test]
fn format_1_omits_and_names_newer_columns() {
    let recorded = records(2_000_000, 1);
    let bytes = file(1, 1, "n1", &recorded, 100);
    let contents = read_all(&bytes).unwrap();
    assert!(contents.losses.is_empty() && contents.unknown_columns.is_empty());
    assert_eq!(
        sorted(contents.records),
        sorted(recorded.iter().map(format_1_record).collect())
    );
    let writer = Writer::new(Vec::new(), header(1, 1, "n1"), BlockConfig::default()).unwrap();
    assert!(
        writer.omitted_columns().contains(&"work")
            && !writer.omitted_columns().contains(&"reached")
    );
    assert!(bytes.len() < file(2, 1, "n1", &recorded, 100).len());
}

#[test]
fn an_out_of_range_value_is_an_error_naming_its_column() {
    let mut writer = Writer::new(Vec::new(), header(1, 1, "n1"), BlockConfig::default()).unwrap();
    let late = Record {
        answered: Some(3_600_000_000),
        ..Record::default()
    };
    let error = writer.push(late).unwrap_err();
    assert_eq!(
        error.to_string(),
        "answered: 3600000000 does not fit its column of 32 bits"
    );
    let other = Record {
        server: 1,
        ..Record::default()
    };
    assert!(
        writer
            .push(other)
            .unwrap_err()
            .to_string()
            .starts_with("server: 1 ")
    );
    // Other records are still accepted.
    writer.push(Record::default()).unwrap();
    assert_eq!(
        read_all(&writer.finish().unwrap().0).unwrap().records.len(),
        1
    );
}

#[test]
fn names_added_after_the_header_are_read() {
    let mut writer = Writer::new(Vec::new(), header(2, 1, "n1"), BlockConfig::default()).unwrap();
    writer.push(Record::default()).unwrap();
    let late = writer.handler_index(&HandlerInfo {
        name: "late".into(),
        ..HandlerInfo::default()
    });
    writer
        .push(Record {
            handler: late,
            id: 2,
            ..Record::default()
        })
        .unwrap();
    let bytes = writer.finish().unwrap().0;
    let contents = read_all(&bytes).unwrap();
    assert_eq!(contents.names.handler(late), "late");
    let mut trace = open(&bytes);
    trace.survey().unwrap();
    assert_eq!(trace.dictionary().handler(late), "late");
}

/// A later version may write a file with a column whose id this version does not know.
#[test]
fn an_unknown_column_is_skipped_and_named() {
    let recorded = records(1_000_000, 2);
    let mut later = header(2, 1, "n1");
    later
        .columns
        .iter_mut()
        .filter(|column| column.id == 24)
        .for_each(|column| {
            (column.id, column.name) = (99, "mood".into());
        });
    let mut writer = Writer::new(
        Vec::new(),
        later,
        BlockConfig {
            max_records: 50,
            ..BlockConfig::default()
        },
    )
    .unwrap();
    recorded
        .iter()
        .for_each(|record| writer.push(record.clone()).unwrap());
    let (bytes, _) = writer.finish().unwrap();
    let patched = patch_column_id(&bytes, 24, 99);
    let contents = read_all(&patched).unwrap();
    assert_eq!(contents.unknown_columns, ["mood"]);
    let without = |record: &Record| Record {
        retry_after: None,
        ..record.clone()
    };
    assert!(contents.losses.is_empty(), "{:?}", contents.losses);
    assert_eq!(
        sorted(contents.records),
        sorted(recorded.iter().map(without).collect())
    );
}

/// Changes the id of a column in each block, and updates the checksum of the block.
fn patch_column_id(bytes: &[u8], from: u8, to: u8) -> Vec<u8> {
    let mut out = bytes[..16].to_vec();
    let mut rest = &bytes[16..];
    while !rest.is_empty() {
        let length = u32::from_le_bytes(rest[4..8].try_into().unwrap()) as usize;
        let (frame, after) = rest.split_at(12 + length + 4);
        let mut payload = frame[12..12 + length].to_vec();
        if frame[3] == b'B' {
            // The entry of the column: id, kind (signed), presence, prediction, other column,
            // layout.
            let at = payload
                .windows(3)
                .rposition(|w| w[0] == from && w[1] == 1 && w[2] == 1 && from == 24);
            payload[at.unwrap()] = to;
        }
        out.extend_from_slice(&frame[..12]);
        out.extend_from_slice(&payload);
        let check = crc32fast::hash(&[&[frame[3]], &payload[..]].concat());
        out.extend_from_slice(&check.to_le_bytes());
        rest = after;
    }
    out
}

#[test]
fn a_newer_format_version_is_rejected() {
    let mut bytes = file(2, 1, "n1", &records(500_000, 1), 50);
    bytes[8] = 3;
    let check = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&check.to_le_bytes());
    let error = read_all(&bytes).unwrap_err();
    assert_eq!(
        error.to_string(),
        "format 3 is newer than this program, which reads up to 2"
    );
    assert!(matches!(
        read_all(b"GIF89a, and so on and on"),
        Err(TraceError::NotARecording)
    ));
    assert!(matches!(read_all(b""), Err(TraceError::NotARecording)));
}
