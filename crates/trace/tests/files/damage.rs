//! Files that are torn, damaged, malicious or not finished.

use std::collections::HashSet;
use std::io::Cursor;

use quickcheck::quickcheck;
use tulipgap_trace::{
    BlockConfig, BlockEntry, Filter, GapReason, Loss, MergeSource, Micros, Record, SyntheticLoad,
    TraceError, TraceReader, Writer, check, copy, merge, stream,
};

use crate::common::{file, header, open, read_all, records, sorted};

const BLOCK: usize = 20;

fn small_file(version: u32) -> (Vec<Record>, Vec<u8>) {
    let recorded = records(600_000, 3);
    let bytes = file(version, 1, "n1", &recorded, BLOCK);
    (recorded, bytes)
}

/// The end offsets and kinds of the frames of a complete file.
fn frame_ends(bytes: &[u8]) -> Vec<(usize, u8)> {
    let (mut at, mut ends) = (16, Vec::new());
    while at < bytes.len() {
        let length = u32::from_le_bytes(bytes[at + 4..at + 8].try_into().unwrap()) as usize;
        ends.push((at + 12 + length + 4, bytes[at + 3]));
        at = ends.last().unwrap().0;
    }
    ends
}

/// A server that is killed leaves a file that is cut off at any byte. All complete blocks must be
/// read, and the loss must be reported.
#[test]
fn truncation_at_any_byte_yields_all_complete_blocks_and_reports_the_loss() {
    for version in [1, 2] {
        let (recorded, bytes) = small_file(version);
        let whole = read_all(&bytes).unwrap();
        assert!(whole.losses.is_empty() && whole.records.len() == recorded.len());
        let ends = frame_ends(&bytes);
        for cut in 0..bytes.len() {
            let contents = match read_all(&bytes[..cut]) {
                Ok(contents) => contents,
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
            assert_eq!(
                contents.records[..],
                whole.records[..expected],
                "cut at {cut}"
            );
            assert!(
                !contents.losses.is_empty(),
                "cut at {cut}: the loss is reported"
            );
            let torn = contents
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
        let (recorded, mut bytes) = small_file(2);
        let at = at % bytes.len();
        bytes[at] ^= 1 << (bit % 8);
        let Ok(contents) = read_all(&bytes) else {
            // The magic of the file, or its version, is damaged.
            return at < 16;
        };
        let known: HashSet<u64> = recorded.iter().map(|record| record.id).collect();
        assert!(contents.records.iter().all(|record| known.contains(&record.id)));
        for record in &contents.records {
            assert!(recorded.contains(record), "a record that was not written: {record:?}");
        }
        assert!(!contents.losses.is_empty(), "byte {at}");
        contents.records.len() + BLOCK >= recorded.len()
    }

    fn random_bytes_are_rejected_without_panic(random_bytes: Vec<u8>, with_intact_start: bool) -> bool {
        let mut bytes = random_bytes;
        if with_intact_start {
            let (_, whole) = small_file(2);
            bytes = [&whole[..400], &bytes[..]].concat();
        }
        // Reading terminates for any bytes.
        read_all(&bytes).is_err() || with_intact_start
    }

    fn an_invalid_block_with_a_valid_checksum_is_skipped_without_panic(random_bytes: Vec<u8>, at: usize, cut: usize) -> bool {
        let (_, bytes) = small_file(2);
        let ends = frame_ends(&bytes);
        let (start, end) = (ends[0].0, ends[1].0);
        let mut payload = bytes[start + 12..end - 4].to_vec();
        let at = at % payload.len();
        for (offset, byte) in random_bytes.iter().enumerate().take(payload.len() - at) {
            payload[at + offset] ^= byte;
        }
        payload.truncate(payload.len() - cut % payload.len().min(40));
        let hostile = [&bytes[..start], &frame(b'B', &payload), &bytes[end..]].concat();
        let contents = read_all(&hostile).unwrap();
        contents.records.len() + BLOCK >= 60
    }
}

/// A frame with valid checksums and any payload.
fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = vec![0xF7, b't', b'g', kind];
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    let check = crc32fast::hash(&out);
    out.extend_from_slice(&check.to_le_bytes());
    out.extend_from_slice(payload);
    out.extend_from_slice(&crc32fast::hash(&[&[kind], payload].concat()).to_le_bytes());
    out
}

/// A malicious file claims frames of gigabytes, and blocks with billions of records or handlers,
/// with valid checksums. The reader must not allocate memory for these claims: the frames are
/// losses, and all intact blocks are read.
#[test]
fn claimed_lengths_beyond_the_limits_allocate_no_memory() {
    let (recorded, bytes) = small_file(2);
    let ends = frame_ends(&bytes);
    // The header of a frame of 4 GB and the header of a frame of maximum length, without their
    // payloads, before the second block.
    let mut hostile = bytes[..ends[1].0].to_vec();
    for length in [u32::MAX, 8 * 1024 * 1024] {
        let mut head = vec![0xF7, b't', b'g', b'B'];
        head.extend_from_slice(&length.to_le_bytes());
        let check = crc32fast::hash(&head);
        head.extend_from_slice(&check.to_le_bytes());
        hostile.extend_from_slice(&head);
    }
    hostile.extend_from_slice(&bytes[ends[1].0..]);
    let contents = read_all(&hostile).unwrap();
    assert_eq!(contents.records.len(), recorded.len());
    assert!(
        matches!(
            contents.losses[..],
            [Loss::SkippedBytes {
                bytes: 24,
                is_torn: false,
                ..
            }]
        ),
        "{:?}",
        contents.losses
    );
    // Invalid counts within a block with a valid checksum.
    let claims = [
        // Billions of records with the same time; billions of handlers; records without times.
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
        let contents = read_all(&hostile).unwrap();
        assert_eq!(contents.records.len(), recorded.len());
        assert!(
            matches!(contents.losses[..], [Loss::InvalidFrame { .. }]),
            "{:?}",
            contents.losses
        );
    }
}

/// A recording is read while its server still writes it, so it has neither an index nor an end
/// mark. All complete blocks can be read and selected by time.
#[test]
fn a_file_still_being_written_is_readable_up_to_its_last_block() {
    let (recorded, bytes) = small_file(2);
    let ends = frame_ends(&bytes);
    let growing = &bytes[..ends[2].0];
    let contents = read_all(growing).unwrap();
    assert_eq!(
        (contents.records.len(), &contents.losses[..]),
        (2 * BLOCK, &[Loss::MissingEnd][..])
    );
    // The file can also be filtered by time without an index.
    let mut trace = open(growing);
    let survey = trace.survey().unwrap();
    assert!(!survey.is_indexed && survey.index.len() == 2);
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    let from = sorted(recorded.clone())[5].reached;
    let wanted = Filter {
        from: Some(from),
        ..Filter::default()
    };
    let summary = copy(open(growing), &wanted, &mut out, |_| {}).unwrap();
    let expected = contents
        .records
        .iter()
        .filter(|record| record.reached >= from)
        .count();
    assert_eq!(summary.records, expected as u64);
}

/// A block in the middle of a file is damaged. Each block states how many records precede it, so
/// the number of missing records is known and can be marked as a gap.
#[test]
fn missing_records_between_blocks_are_counted() {
    let (recorded, mut bytes) = small_file(2);
    let ends = frame_ends(&bytes);
    let middle = (ends[1].0 + ends[2].0) / 2;
    bytes[middle] ^= 0xFF;
    let contents = read_all(&bytes).unwrap();
    assert_eq!(contents.records.len(), recorded.len() - BLOCK);
    assert!(
        contents.losses.contains(&Loss::MissingRecords {
            count: BLOCK as u64
        }),
        "{:?}",
        contents.losses
    );
    // The repaired file is sound and has the gap.
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    stream(open(&bytes), &Filter::default(), &mut out, |_| {}).unwrap();
    let repaired = out.finish().unwrap().0;
    let report = check(open(&repaired)).unwrap();
    assert!(report.is_sound(), "{report:?}");
    assert!(
        report
            .gaps
            .iter()
            .any(|gap| gap.records == Some(BLOCK as u64) && gap.reason == GapReason::Damaged)
    );
    // A copy that uses the index of the damaged file also reports the missing records.
    let mut out = Writer::new(Vec::new(), header(2, 9, "n1"), BlockConfig::default()).unwrap();
    let summary = copy(open(&bytes), &Filter::default(), &mut out, |_| {}).unwrap();
    assert_eq!(summary.records as usize, recorded.len() - BLOCK);
    assert!(summary.losses.contains(&Loss::MissingRecords {
        count: BLOCK as u64
    }));
}

/// The header with the dictionary is damaged. The records are kept, and the index restores the
/// names. Without the index, the names are numbered, and a merge must not replace them by names of
/// another file.
#[test]
fn a_damaged_header_keeps_records_and_restores_names_from_the_index() {
    let (recorded, mut bytes) = small_file(2);
    bytes[40] ^= 1;
    let contents = read_all(&bytes).unwrap();
    assert_eq!(contents.records.len(), recorded.len());
    assert!(contents.losses.contains(&Loss::DamagedHeader));
    // The index repeats the names.
    assert_eq!(contents.names.handler(0), "preview");
    // Without the index, the names are numbered, and a merge does not replace them by other names.
    let end = frame_ends(&bytes)[4].0;
    let without_names = TraceReader::open(Cursor::new(bytes[..end].to_vec())).unwrap();
    let other = open(&file(2, 7, "n2", &records(300_000, 9), BLOCK));
    let mut out = Writer::new(Vec::new(), header(2, 9, "out"), BlockConfig::default()).unwrap();
    let sources = [("other", other), ("lost", without_names)].map(|(name, reader)| MergeSource {
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

/// A server recorded times that contradict each other. The reader must not change them, and `check`
/// must report them.
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
    let report = check(open(&bytes)).unwrap();
    assert!(!report.is_sound());
    assert_eq!(report.out_of_order_times["answered before it was read"], 1);
}

/// The system clock is set back by an hour in the middle of a recording. Without a new block, one
/// block would span the hour, and a filter by time would read it for any time within that hour.
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
            .all(|block| block.to - block.from < HOUR / 2),
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
    let summary = copy(open(&bytes), &wanted, &mut out, |_| {}).unwrap();
    assert_eq!(
        summary.records as usize,
        set.iter().filter(|record| wanted.matches(record)).count()
    );
    assert!(check(open(&bytes)).unwrap().set_back_blocks > 0);
}

/// A file that counts the bytes that are read from it.
struct CountingFile(Cursor<Vec<u8>>, std::rc::Rc<std::cell::Cell<usize>>);

impl std::io::Read for CountingFile {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let read = self.0.read(bytes)?;
        self.1.set(self.1.get() + read);
        Ok(read)
    }
}

impl std::io::Seek for CountingFile {
    fn seek(&mut self, to: std::io::SeekFrom) -> std::io::Result<u64> {
        self.0.seek(to)
    }
}

/// A damaged index has an entry for a block of a terabyte. No frame is that long, so the reader
/// must reject the entry before it reads or allocates anything.
#[test]
fn a_block_entry_longer_than_a_frame_is_rejected_unread() {
    let (_, mut bytes) = small_file(2);
    let block = open(&bytes).survey().unwrap().index.blocks()[0].clone();
    bytes.resize(bytes.len() + 20 * 1024 * 1024, 0);
    let count = std::rc::Rc::default();
    let mut trace =
        TraceReader::open(CountingFile(Cursor::new(bytes), std::rc::Rc::clone(&count))).unwrap();
    assert!(trace.read_block(&block).is_ok() && trace.column_sizes(&block).is_ok());
    let before = count.get();
    let hostile = BlockEntry {
        length: 1 << 40,
        ..block
    };
    assert!(trace.read_block(&hostile).is_err() && trace.column_sizes(&hostile).is_err());
    assert_eq!(count.get(), before, "nothing is read for an invalid length");
}
