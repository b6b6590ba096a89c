//! Small files of records, made up from a seed.

use std::io::Cursor;

use tulipgap_trace::*;

pub fn names() -> Names {
    Load::names("n1")
}

/// Records of some seconds of synthetic load.
pub fn records(span: Micros, seed: u64) -> Vec<Record> {
    let mut all = Vec::new();
    let load = Load { span, seed, cores: 6, ..Load::default() };
    synth(&load, |_, record| all.push(record));
    all
}

pub fn head(version: u32, file: u128, server: &str) -> Head {
    let mut head = Head::new(version, file, server, Load::default().start);
    head.names = Load::names(server);
    head
}

/// A whole file of these records.
pub fn file(version: u32, id: u128, server: &str, records: &[Record], block: usize) -> Vec<u8> {
    let pace = Pace { records: block, ..Pace::default() };
    let mut writer = Writer::new(Vec::new(), head(version, id, server), pace).unwrap();
    for record in records {
        writer.push(record.clone()).unwrap();
    }
    writer.finish().unwrap().0
}

pub fn open(bytes: &[u8]) -> Trace<Cursor<Vec<u8>>> {
    Trace::open(Cursor::new(bytes.to_vec())).unwrap()
}

/// All that comes out of a file.
#[derive(Debug, Default)]
pub struct Read {
    pub records: Vec<Record>,
    pub gaps: Vec<Gap>,
    pub losses: Vec<Loss>,
    pub unknown: Vec<String>,
    pub names: Names,
}

pub fn read(bytes: &[u8]) -> Result<Read, TraceError> {
    let mut trace = Trace::open(Cursor::new(bytes.to_vec()))?;
    let mut all = Read::default();
    for item in trace.by_ref() {
        match item? {
            Item::Records(records) => all.records.extend(records),
            Item::Gap(gap) => all.gaps.push(gap),
            Item::Loss(loss) => all.losses.push(loss),
        }
    }
    (all.unknown, all.names) = (trace.unknown(), trace.names().clone());
    Ok(all)
}

/// A record as format 1 keeps it.
pub fn lean(record: &Record) -> Record {
    let Record { handler, tenant, id, retry, reached, read, answered, outcome, reason, .. } = *record;
    Record { handler, tenant, id, retry, reached, read, answered, outcome, reason, ..Record::default() }
}

pub fn sorted(mut records: Vec<Record>) -> Vec<Record> {
    records.sort_by_key(Record::place);
    records
}
