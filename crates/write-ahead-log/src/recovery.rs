//! The interpretation of damaged log files.
//!
//! A torn record, which a crash cut short, was never acknowledged, so it may be dropped; it can
//! only be the last record of the last file. Any other damage may affect an acknowledged record.
//! Skipping it could silently lose a vote or a committed entry of a voter, and a lease could be
//! granted twice, so the log does not open. The trade-off: a single flipped bit takes the voter out
//! of service until an operator replaces it.

use crate::corruption::Corruption;
use crate::record::{self, Decoded};

/// The position of a file within the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FileContext {
    /// Whether this is the last log file.
    pub(crate) is_last: bool,
    /// Records up to this sequence number are covered by the snapshot.
    pub(crate) snapshot_sequence: u64,
    /// The sequence number of the last record before the file, or of the snapshot.
    pub(crate) last_sequence: u64,
}

/// The records of a file that the snapshot does not cover.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ScannedRecords {
    pub(crate) payloads: Vec<Vec<u8>>,
    pub(crate) last_sequence: u64,
    /// The offset of a torn last record, in bytes from the start of the file.
    pub(crate) torn_at: Option<usize>,
}

/// Damage that may affect an acknowledged record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Damage {
    /// The offset of the record, in bytes from the start of the file.
    pub(crate) offset: usize,
    pub(crate) corruption: Corruption,
}

/// Reads the records of one file in order.
pub(crate) fn scan_records(bytes: &[u8], context: FileContext) -> Result<ScannedRecords, Damage> {
    let mut scanned = ScannedRecords {
        payloads: Vec::new(),
        last_sequence: context.last_sequence,
        torn_at: None,
    };
    let mut offset = 0;
    while offset < bytes.len() {
        let damage = |corruption| Damage { offset, corruption };
        match record::decode(&bytes[offset..]) {
            Decoded::Complete { sequence, payload } => {
                if sequence > context.snapshot_sequence {
                    if sequence != scanned.last_sequence + 1 {
                        return Err(damage(Corruption::MissingRecord));
                    }
                    scanned.last_sequence = sequence;
                    scanned.payloads.push(payload.to_vec());
                }
                offset += record::encoded_len(payload);
            }
            Decoded::Torn if context.is_last => {
                scanned.torn_at = Some(offset);
                break;
            }
            Decoded::Torn => return Err(damage(Corruption::TruncatedFile)),
            Decoded::Corrupt(corruption) => return Err(damage(corruption)),
        }
    }
    Ok(scanned)
}
