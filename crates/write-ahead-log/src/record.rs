//! The framing of a record: header, payload, end marker. Integers are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 4 | length of the payload |
//! | 8 | sequence number |
//! | 4 | CRC-32 of the two fields above |
//! | 4 | CRC-32 of the payload |
//! | length | payload |
//! | 1 | end marker `0xa5` |
//!
//! The header has a separate checksum, so that a record with a damaged length is not mistaken for a
//! torn record, which a crash cut short.

use crate::corruption::Corruption;

/// The length of a header, in bytes: length, sequence number, and the two checksums.
const HEADER_BYTES: usize = 4 + 8 + 4 + 4;
/// The offset of the header's checksum, in bytes from the start of a record.
const HEADER_CHECKSUM_OFFSET: usize = 12;
/// The offset of the payload's checksum, in bytes from the start of a record.
const PAYLOAD_CHECKSUM_OFFSET: usize = 16;
/// The last byte of a record. It is not zero, so that a complete record never ends like
/// preallocated space that was never written.
const END_MARKER: u8 = 0xa5;
/// The number of zeros at the end of a file that count as space that was allocated but never
/// written.
const UNWRITTEN_TAIL_BYTES: usize = 16;
/// The maximum length of an appended payload, in bytes. Snapshots may be longer.
pub(crate) const MAX_RECORD_BYTES: usize = 64 * 1024 * 1024;

/// The result of decoding the next bytes of a file.
pub(crate) enum Decoded<'a> {
    Complete {
        sequence: u64,
        payload: &'a [u8],
    },
    /// A crash cut the record short.
    Torn,
    Corrupt(Corruption),
}

/// The size of a record in a file, in bytes.
pub(crate) fn encoded_len(payload: &[u8]) -> usize {
    HEADER_BYTES + payload.len() + 1
}

/// Encodes a record as bytes of a file.
pub(crate) fn encode(sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(encoded_len(payload));
    bytes.extend((payload.len() as u32).to_le_bytes());
    bytes.extend(sequence.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes[..HEADER_CHECKSUM_OFFSET]).to_le_bytes());
    bytes.extend(crc32fast::hash(payload).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.push(END_MARKER);
    bytes
}

/// Decodes the first record of a file's remaining bytes.
pub(crate) fn decode(bytes: &[u8]) -> Decoded<'_> {
    let Some(header) = bytes.first_chunk::<HEADER_BYTES>() else {
        return Decoded::Torn;
    };
    if crc32fast::hash(&header[..HEADER_CHECKSUM_OFFSET])
        != read_u32(header, HEADER_CHECKSUM_OFFSET)
    {
        return if is_unwritten(bytes) {
            Decoded::Torn
        } else {
            Decoded::Corrupt(Corruption::Header)
        };
    }
    let length = read_u32(header, 0) as usize;
    let sequence = u64::from(read_u32(header, 4)) | u64::from(read_u32(header, 8)) << 32;
    let Some(body) = bytes.get(HEADER_BYTES..=HEADER_BYTES + length) else {
        return Decoded::Torn;
    };
    let (payload, end) = (&body[..length], body[length]);
    if crc32fast::hash(payload) != read_u32(header, PAYLOAD_CHECKSUM_OFFSET) || end != END_MARKER {
        let tail = &body[body.len().saturating_sub(UNWRITTEN_TAIL_BYTES)..];
        let is_last = bytes.len() == HEADER_BYTES + body.len();
        return if is_unwritten(tail) && is_last {
            Decoded::Torn
        } else {
            Decoded::Corrupt(Corruption::Payload)
        };
    }
    Decoded::Complete { sequence, payload }
}

/// Whether the bytes may be space that the file system allocated but that was never written, which
/// reads as zeros.
fn is_unwritten(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

fn read_u32(header: &[u8; HEADER_BYTES], offset: usize) -> u32 {
    u32::from_le_bytes([
        header[offset],
        header[offset + 1],
        header[offset + 2],
        header[offset + 3],
    ])
}
