//! Frames, the units of a file. Each frame has a marker, a length with a checksum of its own, and a
//! checksum of its payload, so that a reader finds the next intact frame behind any damage.

use std::io::{self, Read, Write};

/// The first bytes of a recording.
pub(crate) const MAGIC: &[u8; 8] = b"TULIPTRC";
/// Length of the start of a file in bytes: magic, version and their checksum.
pub(crate) const PRELUDE_BYTES: usize = 16;
/// The marker that each frame begins with.
const MARKER: [u8; 3] = [0xF7, b't', b'g'];
/// Length of a frame's header in bytes: marker, kind, payload length and their checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = 12;
/// Length of the checksum behind a payload, in bytes.
pub(crate) const CHECKSUM_BYTES: usize = 4;
/// Maximum length of a frame's payload, in bytes. A header that claims more is invalid.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 8 * 1024 * 1024;
/// Maximum length of a frame with its header and checksum, in bytes.
pub(crate) const MAX_FRAME_BYTES: u64 =
    (MAX_PAYLOAD_BYTES + FRAME_HEADER_BYTES + CHECKSUM_BYTES) as u64;
/// Number of bytes that are read from the input at a time.
const READ_BYTES: usize = 64 * 1024;

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
    /// The offset of the index; 0 where there is none.
    pub(crate) index_offset: u64,
    /// The number of blocks of the file.
    pub(crate) blocks: u64,
    /// The number of records of the file.
    pub(crate) records: u64,
}

impl EndMark {
    /// Length of its payload, in bytes.
    const PAYLOAD_BYTES: usize = 24;
    /// Length of its frame, in bytes.
    pub(crate) const FRAME_BYTES: usize =
        FRAME_HEADER_BYTES + EndMark::PAYLOAD_BYTES + CHECKSUM_BYTES;

    /// The payload of its frame.
    pub(crate) fn encode(self) -> Vec<u8> {
        [self.index_offset, self.blocks, self.records]
            .iter()
            .flat_map(|value| value.to_le_bytes())
            .collect()
    }

    /// Where the index begins, as a payload states it; `None` where the payload is too short.
    pub(crate) fn read_index_offset(payload: &[u8]) -> Option<u64> {
        read_u64_at(payload, 0)
    }

    /// How many records the file has, as a payload states it; `None` where the payload is too
    /// short.
    pub(crate) fn read_records(payload: &[u8]) -> Option<u64> {
        read_u64_at(payload, 16)
    }
}

/// The first bytes of a file of that format version.
pub(crate) fn write_prelude(version: u32) -> [u8; PRELUDE_BYTES] {
    let mut bytes = [0; PRELUDE_BYTES];
    bytes[..8].copy_from_slice(MAGIC);
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    let check = crc32fast::hash(&bytes[..12]);
    bytes[12..].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// The format version of a prelude; `None` where it is damaged or not a prelude.
pub(crate) fn read_prelude(bytes: &[u8]) -> Option<u32> {
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

/// The checksum of a kind and a payload.
fn frame_checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Writes one frame and returns its length.
///
/// # Errors
/// `InvalidInput` where the payload is longer than [`MAX_PAYLOAD_BYTES`].
pub(crate) fn write_frame(out: &mut impl Write, kind: u8, payload: &[u8]) -> io::Result<u64> {
    let too_long = || {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            "the payload is longer than a frame may be",
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

/// Kind and payload length of the frame header at the start of these bytes, if there is one.
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

/// Kind and payload of the intact frame at the start of these bytes, if there is one.
pub(crate) fn parse_frame(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let (kind, length) = parse_frame_header(bytes)?;
    let payload = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES + length)?;
    (read_u32_at(bytes, FRAME_HEADER_BYTES + length)? == frame_checksum(kind, payload))
        .then_some((kind, payload))
}

/// An item of a [`FrameReader`].
#[derive(Debug, PartialEq)]
pub(crate) enum Segment {
    /// An intact frame.
    Frame {
        offset: u64,
        kind: u8,
        payload: Vec<u8>,
    },
    /// Bytes that are no intact frame; `is_torn` where the file ends in them.
    Skipped {
        offset: u64,
        bytes: u64,
        is_torn: bool,
    },
}

/// Reads frame after frame, and skips what is not an intact frame. It buffers one frame at a time,
/// so memory is bounded by [`MAX_FRAME_BYTES`] whatever lengths a file claims.
pub(crate) struct FrameReader<R> {
    input: R,
    buffer: Vec<u8>,
    /// The bytes of `buffer` that were consumed.
    consumed: usize,
    /// The offset of `buffer` in the file.
    buffer_offset: u64,
    is_at_end: bool,
}

impl<R: Read> FrameReader<R> {
    /// Reads from `input`, which is at the start of the file.
    pub(crate) fn new(input: R) -> Self {
        FrameReader {
            input,
            buffer: Vec::new(),
            consumed: 0,
            buffer_offset: 0,
            is_at_end: false,
        }
    }

    /// The next bytes, at most that many, without consuming them.
    pub(crate) fn peek(&mut self, count: usize) -> io::Result<&[u8]> {
        self.fill(count)?;
        let rest = &self.buffer[self.consumed..];
        Ok(&rest[..rest.len().min(count)])
    }

    /// Skips the next bytes, as far as they are buffered.
    pub(crate) fn consume(&mut self, count: usize) {
        self.consumed = (self.consumed + count).min(self.buffer.len());
    }

    /// The underlying input, at its current position.
    pub(crate) fn into_input(self) -> R {
        self.input
    }

    /// The underlying input, for reading at other places of the file than the next frame.
    pub(crate) fn input(&mut self) -> &mut R {
        &mut self.input
    }

    /// Puts a frame back in front of the buffer, so that it is read once more.
    pub(crate) fn put_back(&mut self, offset: u64, kind: u8, payload: &[u8]) {
        let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES + payload.len() + CHECKSUM_BYTES);
        // Writing to memory does not fail, and the payload was no longer than allowed when it was
        // read.
        let _ = write_frame(&mut bytes, kind, payload);
        bytes.extend_from_slice(&self.buffer[self.consumed..]);
        (self.buffer, self.consumed, self.buffer_offset) = (bytes, 0, offset);
    }

    /// Buffers that many bytes, or the rest of the file.
    fn fill(&mut self, count: usize) -> io::Result<()> {
        if self.consumed > 4 * READ_BYTES {
            self.buffer.drain(..self.consumed);
            self.buffer_offset += self.consumed as u64;
            self.consumed = 0;
        }
        while !self.is_at_end && self.buffer.len() - self.consumed < count {
            let start = self.buffer.len();
            // The buffer grows by what the file has, not by what a header claims.
            self.buffer.resize(start + READ_BYTES, 0);
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

    /// The next segment; `None` at the end of the file.
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
            // Skipped bytes are reported in bounded segments, too.
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

    /// The intact frame that begins that many bytes ahead, if there is one.
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
