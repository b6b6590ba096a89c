//! Merged, anonymised and summarised files, and clock offsets.

use std::io::Cursor;

use tulipgap_trace::{
    BlockConfig, Dictionary, DuplicateFile, HashKey, Header, HiddenNames, KeyError, MergeSource,
    MergeSummary, Micros, Outcome, Reason, Record, Summary, Writer, anonymise,
    estimate_clock_offsets, merge,
};

use crate::common::{
    Contents, file, format_1_record, header, names, open, read_all, records, sorted,
};

fn source(name: &str, bytes: &[u8]) -> MergeSource<Cursor<Vec<u8>>> {
    MergeSource {
        name: name.into(),
        reader: open(bytes),
        offset: 0,
    }
}

fn merged(sources: Vec<MergeSource<Cursor<Vec<u8>>>>) -> (MergeSummary, Contents) {
    let mut head = Header::new(2, 99, "merged", 0);
    head.names = Dictionary::default();
    let mut out = Writer::new(
        Vec::new(),
        head,
        BlockConfig {
            max_records: 128,
            ..BlockConfig::default()
        },
    )
    .unwrap();
    let summary = merge(sources, &mut out, |_, _| {}).unwrap();
    (summary, read_all(&out.finish().unwrap().0).unwrap())
}

#[test]
fn files_of_both_formats_merge_in_time_order() {
    let (one, two) = (records(3_000_000, 1), records(3_000_000, 2));
    let sources = || {
        vec![
            source("a", &file(1, 1, "n1", &one, 50)),
            source("b", &file(2, 2, "n2", &two, 77)),
        ]
    };
    let (summary, contents) = merged(sources());
    assert_eq!(
        (summary.records as usize, summary.duplicate_records),
        (one.len() + two.len(), 0)
    );
    assert!(contents.records.is_sorted_by_key(|record| record.reached));
    let of = |server: &str| -> Vec<Record> {
        (contents.records.iter())
            .filter(|record| contents.names.server(record.server) == server)
            .map(|record| Record {
                server: 0,
                ..record.clone()
            })
            .collect()
    };
    assert_eq!(
        sorted(of("n1")),
        sorted(one.iter().map(format_1_record).collect())
    );
    assert_eq!(sorted(of("n2")), sorted(two.clone()));
    // The merge is reproducible: records with equal sort keys are in the order of the files.
    assert_eq!(merged(sources()).1.records, contents.records);
}

#[test]
fn dictionaries_in_another_order_are_mapped() {
    let recorded = records(500_000, 4);
    let mut other = header(2, 5, "n2");
    other.names.handlers.reverse();
    other.names.tenants.rotate_left(2);
    let mut writer = Writer::new(Vec::new(), other, BlockConfig::default()).unwrap();
    for record in &recorded {
        let mirrored = Record {
            handler: 2 - record.handler,
            tenant: record.tenant.map(|t| (t + 4) % 6),
            ..record.clone()
        };
        writer.push(mirrored).unwrap();
    }
    let (bytes, _) = writer.finish().unwrap();
    let (_, contents) = merged(vec![
        source("a", &file(2, 1, "n1", &recorded, 50)),
        source("b", &bytes),
    ]);
    for record in &contents.records {
        let first = recorded.iter().find(|other| other.id == record.id).unwrap();
        assert_eq!(
            contents.names.handler(record.handler),
            names().handler(first.handler)
        );
        assert_eq!(
            contents.names.tenant(record.tenant.unwrap()),
            names().tenant(first.tenant.unwrap())
        );
    }
    assert_eq!(contents.names.handlers.len(), 3);
}

#[test]
fn a_duplicate_file_is_merged_once() {
    let recorded = records(1_000_000, 1);
    let bytes = file(2, 1, "n1", &recorded, 50);
    let (summary, contents) = merged(vec![source("a", &bytes), source("a again", &bytes)]);
    assert_eq!(
        summary.duplicate_files,
        [DuplicateFile {
            name: "a again".to_owned(),
            first: "a".to_owned()
        }]
    );
    assert_eq!(contents.records.len(), recorded.len());
    // A part of the file has another file id, and its records are duplicates.
    let (summary, contents) = merged(vec![
        source("a", &bytes),
        source("cut", &file(2, 8, "n1", &recorded[..40], 50)),
    ]);
    assert_eq!(
        (summary.duplicate_records, contents.records.len()),
        (40, recorded.len())
    );
}

#[test]
fn records_with_equal_ids_of_two_servers_are_both_kept() {
    let one = Record {
        id: 7,
        reached: 1000,
        answered: Some(5),
        ..Record::default()
    };
    let two = Record {
        calls: 3,
        ..one.clone()
    };
    let sources = || {
        vec![
            source("a", &file(2, 1, "n1", std::slice::from_ref(&one), 50)),
            source("b", &file(2, 2, "n2", std::slice::from_ref(&two), 50)),
        ]
    };
    let (summary, contents) = merged(sources());
    assert_eq!((summary.records, summary.duplicate_records), (2, 0));
    assert_eq!(
        contents
            .records
            .iter()
            .map(|record| record.calls)
            .collect::<Vec<_>>(),
        [0, 3]
    );
}

#[test]
fn merge_memory_does_not_grow_with_file_length() {
    let merge_of_length = |span: Micros| {
        let sources: Vec<_> = (0..4)
            .map(|at| {
                source(
                    "some",
                    &file(2, at.into(), &format!("n{at}"), &records(span, at), 256),
                )
            })
            .collect();
        merged(sources).0
    };
    let (short, long) = (merge_of_length(60_000_000), merge_of_length(240_000_000));
    assert!(long.records > 3 * short.records);
    assert!(
        long.max_buffered_records <= short.max_buffered_records * 3 / 2,
        "{} then {}",
        short.max_buffered_records,
        long.max_buffered_records
    );
}

#[test]
fn a_damaged_indexed_block_becomes_a_gap_in_the_merge() {
    let recorded = records(1_000_000, 1);
    let mut bytes = file(2, 1, "n1", &recorded, 50);
    let block = open(&bytes).survey().unwrap().index.blocks()[1].clone();
    bytes[block.offset as usize + 100] ^= 1;
    let (summary, contents) = merged(vec![source("a", &bytes)]);
    assert_eq!(summary.losses.len(), 1);
    assert_eq!(contents.records.len(), recorded.len() - 50);
    assert!(
        contents
            .gaps
            .iter()
            .any(|gap| gap.records == Some(50) && gap.from == block.from)
    );
}

/// Two of three servers have wrong clocks. There are retries from each server to each other one.
#[test]
fn clock_offsets_are_estimated_from_retries_across_servers() {
    let truth = [0, 90_000_000, -2_500_000];
    let mut all = Vec::new();
    for number in 0..600u64 {
        let reached = number as Micros * 50_000;
        let (first, then) = (number % 3, (number / 3) % 3);
        let key = Some(number);
        let took = 1000 + (number as Micros * 7919) % 30_000;
        let pause = 2000 + (number as Micros * 104_729) % 90_000;
        let answered = Some(took);
        let at = |server: u64, reached: Micros, is_retry| Record {
            id: number * 2 + u64::from(is_retry),
            server: server as u32,
            reached: reached - truth[server as usize],
            key,
            is_retry,
            answered,
            ..Record::default()
        };
        all.push(at(first, reached, false));
        all.push(at(then, reached + took + pause, true));
    }
    let clocks = estimate_clock_offsets(sorted(all.clone()).into_iter(), &[0, 1, 2]);
    for (clock, truth) in clocks.iter().zip(truth) {
        let off = (clock.offset.unwrap() - truth).abs();
        assert!(
            off <= clock.uncertainty && clock.uncertainty < 20_000,
            "{clock:?}, {truth}"
        );
    }
    // Retries in only one direction bound the offset on one side, which gives no estimate.
    all.retain(|record| record.server != 2 || record.is_retry);
    assert_eq!(
        estimate_clock_offsets(all.into_iter(), &[0, 1, 2])[2].offset,
        None
    );
}

const KEY: &[u8] = b"0123456789abcdef00112233445566778899aabbccddeeff1032547698badcfe";

#[test]
fn anonymised_copies_hide_values_and_still_correlate() {
    let key = HashKey::new(KEY).unwrap();
    let recorded: Vec<Record> = records(2_000_000, 6)
        .into_iter()
        .map(|record| Record {
            caller: record.caller.map(|caller| 0x5EC2_E700_0000 + caller),
            ..record
        })
        .collect();
    let bytes = file(2, 1, "secret-server", &recorded, 64);
    let hidden = |bytes: &[u8]| {
        let mut out = Vec::new();
        let all = HiddenNames {
            tenants: true,
            servers: true,
            handlers: false,
        };
        anonymise(open(bytes), &key, all, &mut out).unwrap();
        out
    };
    let out = hidden(&bytes);
    let contents = read_all(&out).unwrap();
    assert!(contents.losses.is_empty() && contents.records.len() == recorded.len());
    let old = |value: fn(&Record) -> Option<u64>| {
        recorded
            .iter()
            .filter_map(value)
            .collect::<std::collections::HashSet<_>>()
    };
    for value in [
        |r: &Record| Some(r.id),
        |r: &Record| r.key,
        |r: &Record| r.subject,
        |r: &Record| r.caller,
    ] {
        let old = old(value);
        assert!(
            contents
                .records
                .iter()
                .filter_map(value)
                .all(|value| !old.contains(&value))
        );
    }
    // The bytes of the file and of the unpacked index must not contain the names either.
    let index = out
        .windows(4)
        .rposition(|w| w[..3] == [0xF7, b't', b'g'] && w[3] == b'I')
        .unwrap();
    let unpacked = zstd::stream::decode_all(&out[index + 12 + 2..]).unwrap_or_default();
    for text in ["secret-server", "harbour", &open(&bytes).header().file_id] {
        assert!(
            !out.windows(text.len()).any(|w| w == text.as_bytes()),
            "{text}"
        );
        assert!(
            !unpacked.windows(text.len()).any(|w| w == text.as_bytes()),
            "{text}"
        );
    }
    // The same key gives the same hashes, so that separate copies can be correlated.
    let again = read_all(&hidden(&file(2, 2, "secret-server", &recorded, 64))).unwrap();
    assert_eq!(sorted(again.records), sorted(contents.records.clone()));
    let other =
        HashKey::new(b"fedcba9876543210ffeeddccbbaa99887766554433221100cd1032547698bafe").unwrap();
    let mut out = Vec::new();
    anonymise(open(&bytes), &other, HiddenNames::default(), &mut out).unwrap();
    assert_ne!(
        sorted(read_all(&out).unwrap().records),
        sorted(contents.records)
    );
}

#[test]
fn weak_keys_are_rejected() {
    assert_eq!(HashKey::new(b"secret").err(), Some(KeyError::TooShort(6)));
    assert_eq!(
        HashKey::new(&[7; 64]).err(),
        Some(KeyError::TooFewDistinctBytes(1))
    );
    assert!(matches!(
        HashKey::new(b"passwordpasswordpasswordpassword").err(),
        Some(KeyError::TooFewDistinctBytes(_))
    ));
    assert!(HashKey::new(KEY).is_ok());
}

#[test]
fn retries_count_as_part_of_their_first_attempt() {
    let names = names();
    let rejected = |id, key, reached| Record {
        id,
        key,
        reached,
        handler: 2,
        outcome: Outcome::Rejected,
        reason: Reason::PREDICTED_LATE,
        answered: Some(100),
        ..Record::default()
    };
    let completed = |id, key, reached, answered| Record {
        outcome: Outcome::Completed,
        reason: Reason::NONE,
        answered: Some(answered),
        ..rejected(id, key, reached)
    };
    let mut summary = Summary::new(true);
    for record in [
        rejected(1, Some(1), 0),
        Record {
            is_retry: true,
            ..completed(2, Some(1), 200_000, 300_000)
        },
        // This retry is completed a second time, and adds no weight.
        Record {
            is_retry: true,
            ..completed(3, Some(1), 900_000, 100)
        },
        completed(4, Some(2), 1_000_000, 5_000_000),
        Record {
            skipped_calls: 1,
            handler: 0,
            ..completed(5, None, 61_000_000, 1000)
        },
        Record {
            is_retry: true,
            ..rejected(6, None, 62_000_000)
        },
    ] {
        summary.add(&record, &names);
    }
    let all = summary.total();
    assert_eq!(
        (
            all.requests,
            all.retries,
            all.orphan_retries,
            all.completed_in_time,
            all.completed_late
        ),
        (3, 2, 1, 3, 1)
    );
    assert_eq!(all.rejected_by_reason["late"], 2);
    // 20 of a weight of 20 + 20 + 1 is answered in time, plus 0.6 for the degraded preview.
    assert!((all.service_level().unwrap() - 20.6 / 41.0).abs() < 1e-9);
    let minutes = summary
        .rows()
        .into_iter()
        .filter(|row| row.group.minute.is_some())
        .count();
    assert_eq!(minutes, 2);
}
