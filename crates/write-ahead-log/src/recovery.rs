//! What a damaged file of records means.
//!
//! A record that a crash cut short was never acknowledged, so it may be dropped; it can only be the
//! last one of the last file. Any other damage affects a record that was acknowledged. Skipping it
//! would lose a vote or a committed entry of a voter without a word, and a lease could be granted
//! twice, so the log does not open. The price: one flipped bit takes the voter out of service until
//! an operator replaces it.

use crate::corruption::Corruption;
use crate::record::{self, Decoded};

/// Where a file stands among the files of a log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FilePlace {
    /// Whether no file of records follows.
    pub(crate) is_last: bool,
    /// Records up to this sequence number are covered by the snapshot.
    pub(crate) snapshot_sequence: u64,
    /// The sequence number of the last record before the file, or of the snapshot.
    pub(crate) last_sequence: u64,
}

/// What a file holds beyond the snapshot.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ScannedRecords {
    pub(crate) payloads: Vec<Vec<u8>>,
    pub(crate) last_sequence: u64,
    /// Where a record that was cut short begins, in bytes from the start of the file.
    pub(crate) torn_at: Option<usize>,
}

/// Damage of a record that was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    /// Where the record begins, in bytes from the start of the file.
    pub(crate) offset: usize,
    pub(crate) corruption: Corruption,
}

/// Reads the records of one file in order.
pub(crate) fn scan_records(bytes: &[u8], place: FilePlace) -> Result<ScannedRecords, Damage> {
    let mut scanned = ScannedRecords {
        payloads: Vec::new(),
        last_sequence: place.last_sequence,
        torn_at: None,
    };
    let mut offset = 0;
    while offset < bytes.len() {
        let damage = |corruption| Damage { offset, corruption };
        match record::decode(&bytes[offset..]) {
            Decoded::Complete { sequence, payload } => {
                if sequence > place.snapshot_sequence {
                    if sequence != scanned.last_sequence + 1 {
                        return Err(damage(Corruption::MissingRecord));
                    }
                    scanned.last_sequence = sequence;
                    scanned.payloads.push(payload.to_vec());
                }
                offset += record::encoded_len(payload);
            }
            Decoded::Torn if place.is_last => {
                scanned.torn_at = Some(offset);
                break;
            }
            Decoded::Torn => return Err(damage(Corruption::TruncatedFile)),
            Decoded::Corrupt(corruption) => return Err(damage(corruption)),
        }
    }
    Ok(scanned)
}
