//! Files that are torn, damaged, hostile or not finished.

use std::collections::HashSet;
use std::io::Cursor;

use quickcheck::quickcheck;
use tulipgap_trace::{
    BlockConfig, BlockEntry, Filter, GapReason, Loss, MergeSource, Micros, Record, SyntheticLoad,
    TraceError, TraceReader, Writer, check, copy, merge, stream,
};

use crate::common::{file, header, open, read_all, records, sorted};

const BLOCK: usize = 20;

fn small(version: u32) -> (Vec<Record>, Vec<u8>) {
    let recorded = records(600_000, 3);
    let bytes = file(version, 1, "n1", &recorded, BLOCK);
    (recorded, bytes)
}

/// Where the frames of a complete file end, with their kinds.
fn frames(bytes: &[u8]) -> Vec<(usize, u8)> {
    let (mut at, mut ends) = (16, Vec::new());
    while at < bytes.len() {
        let length = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().unwrap()) as usize;
        ends.push((at + 12 + length + 4, bytes[at + 3]));
        at = ends.last().unwrap().0;
    }
    ends
}

/// A server that is killed leaves a file that ends anywhere. Whatever the last byte is, all
/// complete blocks are read, and the loss is reported.
#[test]
fn truncation_at_any_byte_yields_all_complete_blocks_and_reports_the_loss() {
    for version in [1, 2] {
        let (recorded, bytes) = small(version);
        let whole = read_all(&bytes).unwrap();
        assert!(whole.losses.is_empty() && whole.records.len() == recorded.len());
        let ends = frames(&bytes);
        for cut in 0..bytes.len() {
            let back = match read_all(&bytes[..cut]) {
                Ok(back) => back,
                // Not even the header is intact.
                Err(TraceError::NotARecording | TraceError::MissingHeader) if cut < ends[0].0 => {
                    continue;
                }
                Err(error) => panic!("cut at {cut}: {error}"),
            };
            let blocks = ends
                .iter()
                .filter(|(end, kind)| *kind == b'B' && *end <= cut)
                .count();
            let expected = (blocks * BLOCK).min(recorded.len());
            assert_eq!(back.records[..], whole.records[..expected], "cut at {cut}");
            assert!(!back.losses.is_empty(), "cut at {cut}: the loss is said");
            let torn = back
                .losses
                .iter()
                .any(|loss| matches!(loss, Loss::SkippedBytes { is_torn: true, .. }));
            assert_eq!(
                torn,
                cut > 16 && !ends.iter().any(|(end, _)| *end == cut),
                "cut at {cut}"
            );
        }
    }
}

quickcheck! {
    fn a_flipped_bit_loses_at_most_one_block_and_yields_no_false_record(at: usize, bit: u8) -> bool {
        let (recorded, mut bytes) = small(2);
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        let Ok(back) = read_all(&bytes) else {
            // The magic of the file, or its version, is damaged.
            return at < 16;
        };
        let known: HashSet<u64> = recorded.iter().map(|record| record.id).collect();
        assert!(back.records.iter().all(|record| known.contains(&record.id)));
        for record in &back.records {
            assert!(recorded.contains(record), "not one of ours: {record:?}");
        }
        assert!(!back.losses.is_empty(), "byte {at}");
        back.records.len() + BLOCK >= recorded.len()
    }

    fn random_bytes_are_rejected_without_panic(noise: Vec<u8>, with_head: bool) -> bool {
        let mut bytes = noise;
        if with_head {
            let (_, whole) = small(2);
            bytes = [&whole[..400], &bytes[..]].concat();
        }
        // Reading ends, whatever the bytes are.
        read_all(&bytes).is_err() || with_head
    }

    fn an_invalid_block_with_a_valid_checksum_is_skipped_without_panic(noise: Vec<u8>, at: usize, cut: usize) -> bool {
        let (_, bytes) = small(2);
        let ends = frames(&bytes);
        let (start, end) = (ends[0].0, ends[1].0);
        let mut payload = bytes[start + 12..end - 4].to_vec();
        let at = at % payload.len();
        for (offset, byte) in noise.iter().enumerate().take(payload.len() - at) {
            payload[at + offset] ^= byte;
        }
        payload.truncate(payload.len() - cut % payload.len().min(40));
        let hostile = [&bytes[..start], &frame(b'B', &payload), &bytes[end..]].concat();
        let back = read_all(&hostile).unwrap();
        back.records.len() + BLOCK >= 60
    }
}

/// A frame with valid checksums, whatever its payload is.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![0xF7, b't', b'g', kind];
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let check = crc32fast::hash(&out);
    out.extend_from_slice(&check.to_le_bytes());
    out.extend_from_slice(payload);
    out.extend_from_slice(&crc32fast::hash(&[&[kind], payload].concat()).to_le_bytes());
    out
}

/// A hostile file claims frames of gigabytes and blocks with records or handlers without end, under
/// valid checksums. Nothing is allocated for a claim: the frames are losses, and all intact blocks
/// are read.
#[test]
fn claimed_lengths_beyond_the_limits_allocate_no_memory() {
    let (recorded, bytes) = small(2);
    let ends = frames(&bytes);
    // Headers of a frame of 4 GB, and of the longest frame, without their payloads before the
    // second block.
    let mut hostile = bytes[..ends[1].0].to_vec();
    for length in [u32::MAX, 8 * 1024 * 1024] {
        let mut head = vec![0xF7, b't', b'g', b'B'];
        head.extend_from_slice(&length.to_le_bytes());
        let check = crc32fast::hash(&head);
        head.extend_from_slice(&check.to_le_bytes());
        hostile.extend_from_slice(&head);
    }
    hostile.extend_from_slice(&bytes[ends[1].0..]);
    let back = read_all(&hostile).unwrap();
    assert_eq!(back.records.len(), recorded.len());
    assert!(
        matches!(
            back.losses[..],
            [Loss::SkippedBytes {
                bytes: 24,
                is_torn: false,
                ..
            }]
        ),
        "{:?}",
        back.losses
    );
    // Invalid counts within a block with a valid checksum.
    let claims = [
        // Records without end, all of one time; handlers without end; records without their times.
        &[
            0, 0, 255, 255, 255, 255, 15, 0, 0, 0, 1, 1, 1, 1, 0, 0, 0, 0, 1, 1, 0, 0,
        ][..],
        &[0, 0, 255, 255, 3, 0, 0, 255, 255, 255, 255, 15],
        &[0, 0, 255, 255, 3, 0, 0, 0, 1, 0],
    ];
    for claim in claims {
        let hostile = [
            &bytes[..ends[0].0],
            &frame(b'B', claim),
            &bytes[ends[0].0..],
        ]
        .concat();
        let back = read_all(&hostile).unwrap();
        assert_eq!(back.records.len(), recorded.len());
        assert!(
            matches!(back.losses[..], [Loss::InvalidFrame { .. }]),
            "{:?}",
            back.losses
        );
    }
}

/// A recording is read while its server still writes it, so it has neither an index nor an end
/// mark. All complete blocks can be read and selected by time.
#[test]
fn a_file_still_being_written_is_readable_up_to_its_last_block() {
    let (recorded, bytes) = small(2);
    let ends = frames(&bytes);
    let growing = &bytes[..ends[2].0];
    let back = read_all(growing).unwrap();
    assert_eq!(
        (back.records.len(), &back.losses[..]),
        (2 * BLOCK, &[Loss::MissingEnd][..])
    );
    // Also by time, without an index.
    let mut trace = open(growing);
    let survey = trace.survey().unwrap();
    assert!(!survey.is_indexed && survey.index.len() == 2);
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    let from = sorted(recorded.clone())[5].reached;
    let wanted = Filter {
        from: Some(from),
        ..Filter::default()
    };
    let done = copy(open(growing), &wanted, &mut out, |_| {}).unwrap();
    let expected = back
        .records
        .iter()
        .filter(|record| record.reached >= from)
        .count();
    assert_eq!(done.records, expected as u64);
}

/// A block in the middle of a file is damaged. Each block states how many records precede it, so
/// the number of missing records is known and can be marked as a gap.
#[test]
fn missing_records_between_blocks_are_counted() {
    let (recorded, mut bytes) = small(2);
    let ends = frames(&bytes);
    let middle = (ends[1].0 + ends[2].0) / 2;
    bytes[middle] ^= 0xFF;
    let back = read_all(&bytes).unwrap();
    assert_eq!(back.records.len(), recorded.len() - BLOCK);
    assert!(
        back.losses.contains(&Loss::MissingRecords {
            count: BLOCK as u64
        }),
        "{:?}",
        back.losses
    );
    // After a repair it is sound, and has the gap.
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    stream(open(&bytes), &Filter::default(), &mut out, |_| {}).unwrap();
    let repaired = out.finish().unwrap().0;
    let found = check(open(&repaired)).unwrap();
    assert!(found.is_sound(), "{found:?}");
    assert!(
        found
            .gaps
            .iter()
            .any(|gap| gap.records == Some(BLOCK as u64) && gap.reason == GapReason::Damaged)
    );
    // A copy by the index of the damaged file reports it, too.
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    let done = copy(open(&bytes), &Filter::default(), &mut out, |_| {}).unwrap();
    assert_eq!(done.records as usize, recorded.len() - BLOCK);
    assert!(done.losses.contains(&Loss::MissingRecords {
        count: BLOCK as u64
    }));
}

/// The header with the dictionary is damaged. Records are kept, and the index repeats the names.
/// Without the index the names are numbers, and never those of another file in a merge.
#[test]
fn a_damaged_header_keeps_records_and_restores_names_from_the_index() {
    let (recorded, mut bytes) = small(2);
    bytes[40] ^= 1;
    let back = read_all(&bytes).unwrap();
    assert_eq!(back.records.len(), recorded.len());
    assert!(back.losses.contains(&Loss::DamagedHeader));
    // The index has the names again.
    assert_eq!(back.names.handler(0), "preview");
    // Without the index they are numbers, and never names of other files, also after a merge.
    let end = frames(&bytes)[4].0;
    let lost = TraceReader::open(Cursor::new(bytes[..end].to_vec())).unwrap();
    let other = open(&file(2, 7, "n2", &records(300_000, 9), BLOCK));
    let mut out = Writer::new(Vec::new(), header(2, 9, "out"), BlockConfig::default()).unwrap();
    let sources = [("other", other), ("lost", lost)].map(|(name, reader)| MergeSource {
        name: name.into(),
        reader,
        offset: 0,
    });
    merge(sources.into(), &mut out, |_, _| {}).unwrap();
    assert!(
        out.dictionary()
            .handlers
            .iter()
            .any(|handler| handler.name == "handler-1"),
        "{:?}",
        out.dictionary()
    );
}

/// A server recorded times that contradict each other. A reader must not change them, and `check`
/// reports them.
#[test]
fn out_of_order_times_are_preserved_and_reported() {
    let reversed = Record {
        read: Some(500),
        answered: Some(-200),
        released: Some(-300),
        ..Record::default()
    };
    let bytes = file(2, 1, "n1", std::slice::from_ref(&reversed), 10);
    assert_eq!(read_all(&bytes).unwrap().records, [reversed]);
    let found = check(open(&bytes)).unwrap();
    assert!(!found.is_sound());
    assert_eq!(found.out_of_order_times["answered before it was read"], 1);
}

/// The system's clock is set back by an hour in the middle of a recording. Without a new block, one
/// block would span the hour, and finding records by time would read everything.
#[test]
fn a_clock_set_back_starts_a_new_block() {
    const HOUR: Micros = 3_600_000_000;
    let recorded = records(4_000_000, 5);
    let half = recorded.len() / 2;
    let set: Vec<Record> = (recorded.iter().enumerate())
        .map(|(at, record)| Record {
            reached: record.reached - if at < half { 0 } else { HOUR },
            ..record.clone()
        })
        .collect();
    let bytes = file(2, 1, "n1", &set, 64);
    let mut trace = open(&bytes);
    let mut index = trace.survey().unwrap().index;
    assert!(
        index
            .blocks()
            .iter()
            .all(|place| place.to - place.from < HOUR / 2),
        "no block spans the hour"
    );
    let (from, to) = (
        set[half].reached - 1_000_000,
        SyntheticLoad::default().start - HOUR / 2,
    );
    let wanted = Filter {
        from: Some(from),
        to: Some(to),
        ..Filter::default()
    };
    assert!(
        index.find(&wanted).len() < index.len(),
        "the first half is not read"
    );
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    let done = copy(open(&bytes), &wanted, &mut out, |_| {}).unwrap();
    assert_eq!(
        done.records as usize,
        set.iter().filter(|record| wanted.matches(record)).count()
    );
    assert!(check(open(&bytes)).unwrap().set_back_blocks > 0);
}

/// A file that counts the bytes that are read of it.
struct Counted(Cursor<Vec<u8>>, std::rc::Rc<std::cell::Cell<usize>>);

impl std::io::Read for Counted {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let read = self.0.read(bytes)?;
        self.1.set(self.1.get() + read);
        Ok(read)
    }
}

impl std::io::Seek for Counted {
    fn seek(&mut self, to: std::io::SeekFrom) -> std::io::Result<u64> {
        self.0.seek(to)
    }
}

/// A damaged index states a block of a terabyte. No frame is that long, so the entry is rejected
/// before anything is read or allocated.
#[test]
fn a_block_entry_longer_than_a_frame_is_rejected_unread() {
    let (_, mut bytes) = small(2);
    let place = open(&bytes).survey().unwrap().index.blocks()[0].clone();
    bytes.resize(bytes.len() + 20 * 1024 * 1024, 0);
    let count = std::rc::Rc::default();
    let mut trace =
        TraceReader::open(Counted(Cursor::new(bytes), std::rc::Rc::clone(&count))).unwrap();
    assert!(trace.read_block(&place).is_ok() && trace.column_sizes(&place).is_ok());
    let before = count.get();
    let hostile = BlockEntry {
        length: 1 << 40,
        ..place
    };
    assert!(trace.read_block(&hostile).is_err() && trace.column_sizes(&hostile).is_err());
    assert_eq!(count.get(), before, "nothing is read by such a length");
}
