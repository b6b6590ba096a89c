//! Files made of files: merged, anonymised, summed up.

use std::io::Cursor;

use tulipgap_trace::*;

use crate::common::*;

fn source(name: &str, bytes: &[u8]) -> Source<Cursor<Vec<u8>>> {
    Source { name: name.into(), trace: open(bytes), offset: 0 }
}

fn merged(sources: Vec<Source<Cursor<Vec<u8>>>>) -> (Merged, Read) {
    let mut head = Head::new(2, 99, "merged", 0);
    head.names = Names::default();
    let mut out = Writer::new(Vec::new(), head, Pace { records: 128, ..Pace::default() }).unwrap();
    let done = merge(sources, &mut out, |_, _| {}).unwrap();
    (done, read(&out.finish().unwrap().0).unwrap())
}

#[test]
fn formats_1_and_2_merge_in_the_order_of_time() {
    let (one, two) = (records(3_000_000, 1), records(3_000_000, 2));
    let sources = || vec![source("a", &file(1, 1, "n1", &one, 50)), source("b", &file(2, 2, "n2", &two, 77))];
    let (done, back) = merged(sources());
    assert_eq!((done.records as usize, done.same), (one.len() + two.len(), 0));
    assert!(back.records.is_sorted_by_key(|record| record.reached));
    let of = |server: &str| -> Vec<Record> {
        (back.records.iter())
            .filter(|record| back.names.server(record.server) == server)
            .map(|record| Record { server: 0, ..record.clone() })
            .collect()
    };
    assert_eq!(sorted(of("n1")), sorted(one.iter().map(lean).collect()));
    assert_eq!(sorted(of("n2")), sorted(two.clone()));
    // Reproducible, also in the order of files where all else is the same.
    assert_eq!(merged(sources()).1.records, back.records);
}

#[test]
fn a_dictionary_in_another_order_is_translated() {
    let some = records(500_000, 4);
    let mut other = head(2, 5, "n2");
    other.names.handlers.reverse();
    other.names.tenants.rotate_left(2);
    let mut writer = Writer::new(Vec::new(), other, Pace::default()).unwrap();
    for record in &some {
        let mirrored = Record {
            handler: 2 - record.handler,
            tenant: record.tenant.map(|t| (t + 4) % 6),
            ..record.clone()
        };
        writer.push(mirrored).unwrap();
    }
    let (bytes, _) = writer.finish().unwrap();
    let (_, back) = merged(vec![source("a", &file(2, 1, "n1", &some, 50)), source("b", &bytes)]);
    for record in &back.records {
        let first = some.iter().find(|other| other.id == record.id).unwrap();
        assert_eq!(back.names.handler(record.handler), names().handler(first.handler));
        assert_eq!(back.names.tenant(record.tenant.unwrap()), names().tenant(first.tenant.unwrap()));
    }
    assert_eq!(back.names.handlers.len(), 3);
}

#[test]
fn a_file_given_twice_is_noticed_and_counted_once() {
    let some = records(1_000_000, 1);
    let bytes = file(2, 1, "n1", &some, 50);
    let (done, back) = merged(vec![source("a", &bytes), source("a again", &bytes)]);
    assert_eq!(done.twice, [("a again".to_owned(), "a".to_owned())]);
    assert_eq!(back.records.len(), some.len());
    // A cut of it is another file; its records are the same ones all the same.
    let (done, back) = merged(vec![source("a", &bytes), source("cut", &file(2, 8, "n1", &some[..40], 50))]);
    assert_eq!((done.same, back.records.len()), (40, some.len()));
}

#[test]
fn two_servers_that_used_one_id_keep_both_records() {
    let one = Record { id: 7, reached: 1000, answered: Some(5), ..Record::default() };
    let two = Record { calls: 3, ..one.clone() };
    let sources = || {
        vec![
            source("a", &file(2, 1, "n1", std::slice::from_ref(&one), 50)),
            source("b", &file(2, 2, "n2", std::slice::from_ref(&two), 50)),
        ]
    };
    let (done, back) = merged(sources());
    assert_eq!((done.records, done.same), (2, 0));
    assert_eq!(back.records.iter().map(|record| record.calls).collect::<Vec<_>>(), [0, 3]);
}

#[test]
fn what_a_merge_holds_does_not_grow_with_the_files() {
    let held = |span: Micros| {
        let sources: Vec<_> = (0..4)
            .map(|at| source("some", &file(2, at.into(), &format!("n{at}"), &records(span, at), 256)))
            .collect();
        merged(sources).0
    };
    let (short, long) = (held(60_000_000), held(240_000_000));
    assert!(long.records > 3 * short.records);
    assert!(long.held_most <= short.held_most * 3 / 2, "{} then {}", short.held_most, long.held_most);
}

#[test]
fn a_block_damaged_under_an_index_is_a_gap_in_what_is_merged() {
    let some = records(1_000_000, 1);
    let mut bytes = file(2, 1, "n1", &some, 50);
    let place = open(&bytes).survey().unwrap().index.places()[1].clone();
    bytes[place.at as usize + 100] ^= 1;
    let (done, back) = merged(vec![source("a", &bytes)]);
    assert_eq!(done.losses.len(), 1);
    assert_eq!(back.records.len(), some.len() - 50);
    assert!(back.gaps.iter().any(|gap| gap.records == Some(50) && gap.from == place.from));
}

/// Three servers of which two have clocks that run off; tries go from each to each.
#[test]
fn clocks_are_estimated_from_tries_at_several_servers() {
    let truth = [0, 90_000_000, -2_500_000];
    let mut all = Vec::new();
    for number in 0..600u64 {
        let reached = number as Micros * 50_000;
        let (first, then) = (number % 3, (number / 3) % 3);
        let key = Some(number);
        let took = 1000 + (number as Micros * 7919) % 30_000;
        let pause = 2000 + (number as Micros * 104_729) % 90_000;
        let answered = Some(took);
        let at = |server: u64, reached: Micros, retry| Record {
            id: number * 2 + u64::from(retry),
            server: server as u32,
            reached: reached - truth[server as usize],
            key,
            retry,
            answered,
            ..Record::default()
        };
        all.push(at(first, reached, false));
        all.push(at(then, reached + took + pause, true));
    }
    let clocks = estimate(sorted(all.clone()).into_iter(), &[0, 1, 2]);
    for (clock, truth) in clocks.iter().zip(truth) {
        let off = (clock.offset.unwrap() - truth).abs();
        assert!(off <= clock.within && clock.within < 20_000, "{clock:?}, {truth}");
    }
    // Tries in one direction alone bound it on one side, which is no estimate.
    all.retain(|record| record.server != 2 || record.retry);
    assert_eq!(estimate(all.into_iter(), &[0, 1, 2])[2].offset, None);
}

const KEY: &[u8] = b"0123456789abcdef00112233445566778899aabbccddeeff1032547698badcfe";

#[test]
fn nothing_of_what_was_hidden_is_left_and_joins_still_hold() {
    let key = Key::new(KEY).unwrap();
    let some: Vec<Record> = records(2_000_000, 6)
        .into_iter()
        .map(|record| Record { caller: record.caller.map(|caller| 0x5EC2_E700_0000 + caller), ..record })
        .collect();
    let bytes = file(2, 1, "secret-server", &some, 64);
    let hidden = |bytes: &[u8]| {
        let mut out = Vec::new();
        let all = Hiding { tenants: true, servers: true, handlers: false };
        anonymise(open(bytes), &key, all, &mut out).unwrap();
        out
    };
    let out = hidden(&bytes);
    let back = read(&out).unwrap();
    assert!(back.losses.is_empty() && back.records.len() == some.len());
    let old = |value: fn(&Record) -> Option<u64>| {
        some.iter().filter_map(value).collect::<std::collections::HashSet<_>>()
    };
    for value in [|r: &Record| Some(r.id), |r: &Record| r.key, |r: &Record| r.subject, |r: &Record| r.caller]
    {
        let old = old(value);
        assert!(back.records.iter().filter_map(value).all(|value| !old.contains(&value)));
    }
    // Nor anywhere in the bytes: names in the dictionary and the index, once unpacked.
    let index = out.windows(4).rposition(|w| w[..3] == [0xF7, b't', b'g'] && w[3] == b'I').unwrap();
    let unpacked = zstd::stream::decode_all(&out[index + 12 + 2..]).unwrap_or_default();
    for text in ["secret-server", "harbour", &open(&bytes).head().file] {
        assert!(!out.windows(text.len()).any(|w| w == text.as_bytes()), "{text}");
        assert!(!unpacked.windows(text.len()).any(|w| w == text.as_bytes()), "{text}");
    }
    // One key, one hash: files made apart still join.
    let again = read(&hidden(&file(2, 2, "secret-server", &some, 64))).unwrap();
    assert_eq!(sorted(again.records), sorted(back.records.clone()));
    let other = Key::new(b"fedcba9876543210ffeeddccbbaa99887766554433221100cd1032547698bafe").unwrap();
    let mut out = Vec::new();
    anonymise(open(&bytes), &other, Hiding::default(), &mut out).unwrap();
    assert_ne!(sorted(read(&out).unwrap().records), sorted(back.records));
}

#[test]
fn weak_keys_are_refused() {
    assert_eq!(Key::new(b"secret").err(), Some(KeyError::Short(6)));
    assert_eq!(Key::new(&[7; 64]).err(), Some(KeyError::Weak(1)));
    assert!(matches!(Key::new(b"passwordpasswordpasswordpassword").err(), Some(KeyError::Weak(_))));
    assert!(Key::new(KEY).is_ok());
}

#[test]
fn further_tries_count_as_part_of_the_first() {
    let names = names();
    let shed = |id, key, reached| Record {
        id,
        key,
        reached,
        handler: 2,
        outcome: Outcome::Shed,
        reason: Reason::LATE,
        answered: Some(100),
        ..Record::default()
    };
    let done = |id, key, reached, answered| Record {
        outcome: Outcome::Done,
        reason: Reason::NONE,
        answered: Some(answered),
        ..shed(id, key, reached)
    };
    let mut summary = Summary::new(true);
    for record in [
        shed(1, Some(1), 0),
        Record { retry: true, ..done(2, Some(1), 200_000, 300_000) },
        // Answered from memory once more: worth nothing more.
        Record { retry: true, ..done(3, Some(1), 900_000, 100) },
        done(4, Some(2), 1_000_000, 5_000_000),
        Record { skipped: 1, handler: 0, ..done(5, None, 61_000_000, 1000) },
        Record { retry: true, ..shed(6, None, 62_000_000) },
    ] {
        summary.add(&record, &names);
    }
    let all = &summary.all;
    assert_eq!((all.asked, all.again, all.stray, all.done_in_target, all.done_late), (3, 2, 1, 3, 1));
    assert_eq!(all.shed["late"], 2);
    // 20 of 20 + 20 + 1, and 0.6 for the poorer preview.
    assert!((all.service().unwrap() - 20.6 / 41.0).abs() < 1e-9);
    let minutes = summary.rows().into_iter().filter(|row| row.group.minute.is_some()).count();
    assert_eq!(minutes, 2);
}
