//! Builds small files of synthetic records from a seed, and reads files.

use std::io::Cursor;

use tulipgap_trace::{
    BlockConfig, Dictionary, Gap, Header, Item, Loss, Micros, Record, SyntheticLoad, TraceError,
    TraceReader, Writer, generate_load,
};

pub(crate) fn names() -> Dictionary {
    SyntheticLoad::dictionary("n1")
}

/// Records of synthetic load.
pub(crate) fn records(duration: Micros, seed: u64) -> Vec<Record> {
    let mut all = Vec::new();
    let load = SyntheticLoad {
        duration,
        seed,
        cores: 6,
        ..SyntheticLoad::default()
    };
    generate_load(&load, |_, record| all.push(record));
    all
}

pub(crate) fn header(version: u32, file: u128, server: &str) -> Header {
    let mut header = Header::new(version, file, server, SyntheticLoad::default().start);
    header.names = SyntheticLoad::dictionary(server);
    header
}

/// A complete file of the given records.
pub(crate) fn file(
    version: u32,
    id: u128,
    server: &str,
    records: &[Record],
    block_records: usize,
) -> Vec<u8> {
    let blocks = BlockConfig {
        max_records: block_records,
        ..BlockConfig::default()
    };
    let mut writer = Writer::new(Vec::new(), header(version, id, server), blocks).unwrap();
    for record in records {
        writer.push(record.clone()).unwrap();
    }
    writer.finish().unwrap().0
}

pub(crate) fn open(bytes: &[u8]) -> TraceReader<Cursor<Vec<u8>>> {
    TraceReader::open(Cursor::new(bytes.to_vec())).unwrap()
}

/// The whole contents of a file.
#[derive(Debug, Default)]
pub(crate) struct Contents {
    pub(crate) records: Vec<Record>,
    pub(crate) gaps: Vec<Gap>,
    pub(crate) losses: Vec<Loss>,
    pub(crate) unknown_columns: Vec<String>,
    pub(crate) names: Dictionary,
}

pub(crate) fn read_all(bytes: &[u8]) -> Result<Contents, TraceError> {
    let mut reader = TraceReader::open(Cursor::new(bytes.to_vec()))?;
    let mut all = Contents::default();
    for item in reader.by_ref() {
        match item? {
            Item::Records(records) => all.records.extend(records),
            Item::Gap(gap) => all.gaps.push(gap),
            Item::Loss(loss) => all.losses.push(loss),
        }
    }
    (all.unknown_columns, all.names) = (reader.unknown_columns(), reader.dictionary().clone());
    Ok(all)
}

/// A record with only the columns of format 1.
pub(crate) fn format_1_record(record: &Record) -> Record {
    let Record {
        handler,
        tenant,
        id,
        is_retry,
        reached,
        read,
        answered,
        outcome,
        reason,
        ..
    } = *record;
    Record {
        handler,
        tenant,
        id,
        is_retry,
        reached,
        read,
        answered,
        outcome,
        reason,
        ..Record::default()
    }
}

pub(crate) fn sorted(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by_key(Record::sort_key);
    records
}
