//! Frames, the units of a file. Each frame has a marker, a length with a separate checksum, and a
//! checksum of the payload, so that a reader finds the next intact frame after any damage.

use std::io::{self, Read, Write};

/// The first bytes of a recording.
pub(crate) const MAGIC: &[u8; 8] = b"TULIPTRC";
/// Length of the prelude at the start of a file, in bytes: magic, version and their checksum.
pub(crate) const PRELUDE_BYTES: usize = 16;
/// The marker that each frame begins with.
const MARKER: [u8; 3] = [0xF7, b't', b'g'];
/// Length of a frame's header in bytes: marker, kind, payload length and their checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;
/// Length of the checksum that follows a payload, in bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// Maximum length of a frame's payload, in bytes. A frame header with a larger length is invalid.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of a frame with its header and checksum, in bytes.
pub(crate) const MAX_FRAME_BYTES: u64 =
    (MAX_PAYLOAD_BYTES + FRAME_HEADER_BYTES + CHECKSUM_BYTES) as u64;
/// Number of bytes that a reader requests from its input at a time.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// The kinds of frames.
pub(crate) mod kind {
    /// The header of the file.
    pub(crate) const HEADER: u8 = b'H';
    /// New entries of the dictionary.
    pub(crate) const NAMES: u8 = b'N';
    /// A block of records.
    pub(crate) const BLOCK: u8 = b'B';
    /// A gap: records that are known to be missing.
    pub(crate) const GAP: u8 = b'G';
    /// The index of the blocks.
    pub(crate) const INDEX: u8 = b'I';
    /// The end mark of the file.
    pub(crate) const END: u8 = b'E';
}

/// The payload of the last frame of a file.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndMark {
    /// The offset of the index; 0 if the file has no index.
    pub(crate) index_offset: u64,
    /// The number of blocks in the file.
    pub(crate) blocks: u64,
    /// The number of records in the file.
    pub(crate) records: u64,
}

impl EndMark {
    /// Length of the payload of an end mark, in bytes.
    const PAYLOAD_BYTES: usize = 24;
    /// Length of the frame of an end mark, in bytes.
    pub(crate) const FRAME_BYTES: usize =
        FRAME_HEADER_BYTES + EndMark::PAYLOAD_BYTES + CHECKSUM_BYTES;

    /// Encodes the payload of the frame.
    pub(crate) fn encode(self) -> Vec<u8> {
        [self.index_offset, self.blocks, self.records]
            .iter()
            .flat_map(|value| value.to_le_bytes())
            .collect()
    }

    /// Reads the offset of the index from a payload; `None` if the payload is too short.
    pub(crate) fn read_index_offset(payload: &[u8]) -> Option<u64> {
        read_u64_at(payload, 0)
    }

    /// Reads the number of records from a payload; `None` if the payload is too short.
    pub(crate) fn read_records(payload: &[u8]) -> Option<u64> {
        read_u64_at(payload, 16)
    }
}

/// Encodes the prelude of a file.
pub(crate) fn encode_prelude(version: u32) -> [u8; PRELUDE_BYTES] {
    let mut bytes = [0; PRELUDE_BYTES];
    bytes[..8].copy_from_slice(MAGIC);
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    let check = crc32fast::hash(&bytes[..12]);
    bytes[12..].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// Reads the format version from a prelude; `None` if the bytes are damaged or not a prelude.
pub(crate) fn parse_prelude(bytes: &[u8]) -> Option<u32> {
    let bytes: &[u8; PRELUDE_BYTES] = bytes.get(..PRELUDE_BYTES)?.try_into().ok()?;
    let version = read_u32_at(bytes, 8)?;
    (bytes[..8] == MAGIC[..] && read_u32_at(bytes, 12)? == crc32fast::hash(&bytes[..12]))
        .then_some(version)
}

fn read_u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn read_u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

/// The checksum of a frame, over its kind and payload.
fn frame_checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Writes one frame and returns its length.
///
/// # Errors
/// `InvalidInput` if the payload is longer than [`MAX_PAYLOAD_BYTES`].
pub(crate) fn write_frame(out: &mut impl Write, kind: u8, payload: &[u8]) -> io::Result<u64> {
    let too_long = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            "the payload is longer than the maximum payload of a frame",
        )
    };
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(too_long());
    }
    let length = u32::try_from(payload.len()).map_err(|_| too_long())?;
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len() + CHECKSUM_BYTES);
    bytes.extend_from_slice(&MARKER);
    bytes.push(kind);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes[..8]).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.extend_from_slice(&frame_checksum(kind, payload).to_le_bytes());
    out.write_all(&bytes)?;
    Ok(bytes.len() as u64)
}

/// Parses the frame header at the start of `bytes` into the kind and the payload length of the
/// frame; `None` if there is no valid header.
pub(crate) fn parse_frame_header(bytes: &[u8]) -> Option<(u8, usize)> {
    if bytes.len() < FRAME_HEADER_BYTES
        || bytes[..3] != MARKER
        || read_u32_at(bytes, 8)? != crc32fast::hash(&bytes[..8])
    {
        return None;
    }
    let length = read_u32_at(bytes, 4)? as usize;
    (length <= MAX_PAYLOAD_BYTES).then_some((bytes[3], length))
}

/// Parses the frame at the start of `bytes` into its kind and payload; `None` if there is no intact
/// frame.
pub(crate) fn parse_frame(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let (kind, length) = parse_frame_header(bytes)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
    (read_u32_at(bytes, FRAME_HEADER_BYTES + length)? == frame_checksum(kind, payload))
        .then_some((kind, payload))
}

/// A part of a file, as [`FrameReader`] returns it.
#[derive(Debug, PartialEq)]
pub(crate) enum Segment {
    /// An intact frame.
    Frame {
        offset: u64,
        kind: u8,
        payload: Vec<u8>,
    },
    /// Bytes that do not form an intact frame; `is_torn` if the file ends with them.
    Skipped {
        offset: u64,
        bytes: u64,
        is_torn: bool,
    },
}

/// Reads the frames of a file in order, and skips bytes that do not form an intact frame. The
/// reader buffers at most one frame and the skipped bytes before it, so memory is bounded by a
/// small multiple of [`MAX_FRAME_BYTES`], whatever lengths a file claims.
pub(crate) struct FrameReader<R> {
    input: R,
    buffer: Vec<u8>,
    /// The number of bytes of `buffer` that were consumed.
    consumed: usize,
    /// The offset of `buffer` in the file.
    buffer_offset: u64,
    is_at_end: bool,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader of `input`, which is positioned at the start of the file.
    pub(crate) fn new(input: R) -> Self {
        FrameReader {
            input,
            buffer: Vec::new(),
            consumed: 0,
            buffer_offset: 0,
            is_at_end: false,
        }
    }

    /// Returns up to `count` of the next bytes without consuming them.
    pub(crate) fn peek(&mut self, count: usize) -> io::Result<&[u8]> {
        self.fill(count)?;
        let rest = &self.buffer[self.consumed..];
        Ok(&rest[..rest.len().min(count)])
    }

    /// Consumes up to `count` of the buffered bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.buffer.len());
    }

    /// The underlying input, at its current position.
    pub(crate) fn into_input(self) -> R {
        self.input
    }

    /// The underlying input, for reading at other offsets of the file.
    pub(crate) fn input(&mut self) -> &mut R {
        &mut self.input
    }

    /// Puts a frame back at the start of the buffer, so that the next read returns it again.
    pub(crate) fn put_back(&mut self, offset: u64, kind: u8, payload: &[u8]) {
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len() + CHECKSUM_BYTES);
        // Writing to memory does not fail, and a payload that was read is not longer than allowed.
        let _ = write_frame(&mut bytes, kind, payload);
        bytes.extend_from_slice(&self.buffer[self.consumed..]);
        (self.buffer, self.consumed, self.buffer_offset) = (bytes, 0, offset);
    }

    /// Buffers at least `count` bytes, or the rest of the file.
    fn fill(&mut self, count: usize) -> io::Result<()> {
        if self.consumed > 4 * READ_CHUNK_BYTES {
            self.buffer.drain(..self.consumed);
            self.buffer_offset += self.consumed as u64;
            self.consumed = 0;
        }
        while !self.is_at_end && self.buffer.len() - self.consumed < count {
            let start = self.buffer.len();
            // The buffer grows with the bytes of the file, not with the length in a header.
            self.buffer.resize(start + READ_CHUNK_BYTES, 0);
            let result = loop {
                match self.input.read(&mut self.buffer[start..]) {
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    other => break other,
                }
            };
            let read_bytes = *result.as_ref().unwrap_or(&0);
            self.buffer.truncate(start + read_bytes);
            self.is_at_end = result? == 0;
        }
        Ok(())
    }

    /// Reads the next segment; `None` at the end of the file.
    pub(crate) fn next_segment(&mut self) -> io::Result<Option<Segment>> {
        let mut skipped = 0usize;
        loop {
            if let Some((kind, payload)) = self.frame_at(skipped)? {
                if skipped > 0 {
                    return Ok(Some(self.skip(skipped, false)));
                }
                let offset = self.offset();
                self.consume(FRAME_HEADER_BYTES + payload.len() + CHECKSUM_BYTES);
                return Ok(Some(Segment::Frame {
                    offset,
                    kind,
                    payload,
                }));
            }
            // The length of a segment of skipped bytes is bounded, too.
            if skipped >= MAX_PAYLOAD_BYTES {
                return Ok(Some(self.skip(skipped, false)));
            }
            let rest = &self.buffer[self.consumed + skipped..];
            match rest.iter().skip(1).position(|&byte| byte == MARKER[0]) {
                Some(next) => skipped += next + 1,
                None if self.is_at_end && rest.len() <= FRAME_HEADER_BYTES => {
                    return Ok(self.skip_rest());
                }
                None => skipped += rest.len().max(1),
            }
            if self.is_at_end && self.consumed + skipped >= self.buffer.len() {
                return Ok(self.skip_rest());
            }
        }
    }

    /// Parses the frame that begins `ahead` bytes after the next byte; `None` if there is no intact
    /// frame.
    fn frame_at(&mut self, ahead: usize) -> io::Result<Option<(u8, Vec<u8>)>> {
        self.fill(ahead + FRAME_HEADER_BYTES)?;
        let rest = &self.buffer[self.consumed + ahead..];
        let Some((_, length)) = parse_frame_header(rest) else {
            return Ok(None);
        };
        self.fill(ahead + FRAME_HEADER_BYTES + length + CHECKSUM_BYTES)?;
        let rest = &self.buffer[self.consumed + ahead..];
        Ok(parse_frame(rest).map(|(kind, payload)| (kind, payload.to_vec())))
    }

    /// The offset of the next byte in the file.
    fn offset(&self) -> u64 {
        self.buffer_offset + self.consumed as u64
    }

    fn skip(&mut self, bytes: usize, is_torn: bool) -> Segment {
        let offset = self.offset();
        self.consume(bytes);
        Segment::Skipped {
            offset,
            bytes: bytes as u64,
            is_torn,
        }
    }

    /// Skips the rest of the file.
    fn skip_rest(&mut self) -> Option<Segment> {
        let left = self.buffer.len() - self.consumed;
        (left > 0).then(|| self.skip(left, true))
    }
}
