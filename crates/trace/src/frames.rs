//! Frames: what a file is made of. Each has a mark to be found by, a length with a check of its own, and a checksum
//! of what it holds, so that a reader goes on behind whatever is torn or damaged.

use std::io::{self, Read, Write};

pub const MAGIC: &[u8; 8] = b"TULIPTRC";
/// Magic, version and their checksum.
pub const PRELUDE: usize = 16;
const SYNC: [u8; 3] = [0xF7, b't', b'g'];
/// Mark, kind, length and their checksum.
pub const HEAD: usize = 12;
pub const CHECK: usize = 4;
/// The longest frame there is; no length beyond it is believed.
pub const FRAME_MOST: usize = 8 * 1024 * 1024;
/// The longest that a frame is with its head and check.
pub const WHOLE_MOST: u64 = (FRAME_MOST + HEAD + CHECK) as u64;
const READ: usize = 64 * 1024;

pub const HEADER: u8 = b'H';
pub const NAMES: u8 = b'N';
pub const BLOCK: u8 = b'B';
pub const GAP: u8 = b'G';
pub const INDEX: u8 = b'I';
pub const END: u8 = b'E';
/// What the frame at the end of a file holds: where the index begins (0: none), blocks and records.
pub const END_LENGTH: usize = 24;

pub fn write_prelude(version: u32) -> [u8; PRELUDE] {
    let mut bytes = [0; PRELUDE];
    bytes[..8].copy_from_slice(MAGIC);
    bytes[8..12].copy_from_slice(&version.to_le_bytes());
    let check = crc32fast::hash(&bytes[..12]);
    bytes[12..].copy_from_slice(&check.to_le_bytes());
    bytes
}

/// The version that a prelude tells; `None` where it is damaged or none at all.
pub fn read_prelude(bytes: &[u8]) -> Option<u32> {
    let bytes: &[u8; PRELUDE] = bytes.get(..PRELUDE)?.try_into().ok()?;
    let version = u32_at(bytes, 8)?;
    (bytes[..8] == MAGIC[..] && u32_at(bytes, 12)? == crc32fast::hash(&bytes[..12])).then_some(version)
}

fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn check_of(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Writes one frame whole; yields its length.
pub fn write_frame(out: &mut impl Write, kind: u8, payload: &[u8]) -> io::Result<u64> {
    let too_long = || io::Error::new(io::ErrorKind::InvalidInput, "a frame too long");
    if payload.len() > FRAME_MOST {
        return Err(too_long());
    }
    let length = u32::try_from(payload.len()).map_err(|_| too_long())?;
    let mut bytes = Vec::with_capacity(HEAD + payload.len() + CHECK);
    bytes.extend_from_slice(&SYNC);
    bytes.push(kind);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&bytes[..8]).to_le_bytes());
    bytes.extend_from_slice(payload);
    bytes.extend_from_slice(&check_of(kind, payload).to_le_bytes());
    out.write_all(&bytes)?;
    Ok(bytes.len() as u64)
}

/// Kind and length that a head tells, if it is one.
pub fn read_head(bytes: &[u8]) -> Option<(u8, usize)> {
    if bytes.len() < HEAD || bytes[..3] != SYNC || u32_at(bytes, 8)? != crc32fast::hash(&bytes[..8]) {
        return None;
    }
    let length = u32_at(bytes, 4)? as usize;
    (length <= FRAME_MOST).then_some((bytes[3], length))
}

/// The payload of a whole frame that stands at the start of these bytes.
pub fn whole(bytes: &[u8]) -> Option<(u8, &[u8])> {
    let (kind, length) = read_head(bytes)?;
    let payload = bytes.get(HEAD..HEAD + length)?;
    (u32_at(bytes, HEAD + length)? == check_of(kind, payload)).then_some((kind, payload))
}

/// What stands next in a file.
#[derive(Debug, PartialEq)]
pub enum Piece {
    Frame {
        at: u64,
        kind: u8,
        payload: Vec<u8>,
    },
    /// Bytes that are no frame; torn where the file ends in them.
    Lost {
        at: u64,
        bytes: u64,
        torn: bool,
    },
}

/// Reads frame after frame, and passes over what is none. Holds one frame at a time, so memory is bounded by
/// [`FRAME_MOST`] whatever lengths a file claims.
pub struct Frames<R> {
    input: R,
    held: Vec<u8>,
    /// What of it was given out, and where in the file it begins.
    used: usize,
    base: u64,
    at_end: bool,
}

impl<R: Read> Frames<R> {
    /// Begins in the file at that offset, where `input` stands.
    pub fn new(input: R, at: u64) -> Self {
        Frames { input, held: Vec::new(), used: 0, base: at, at_end: false }
    }

    /// The next bytes, up to so many, without taking them.
    pub fn peek(&mut self, count: usize) -> io::Result<&[u8]> {
        self.fetch(count)?;
        let rest = &self.held[self.used..];
        Ok(&rest[..rest.len().min(count)])
    }

    pub fn take(&mut self, count: usize) {
        self.used = (self.used + count).min(self.held.len());
    }

    pub fn into_input(self) -> R {
        self.input
    }

    /// Has a frame come once more.
    pub fn put_back(&mut self, at: u64, kind: u8, payload: &[u8]) {
        let mut bytes = Vec::with_capacity(HEAD + payload.len() + CHECK);
        // Writing to memory does not fail, and it was as long when it was read.
        let _ = write_frame(&mut bytes, kind, payload);
        bytes.extend_from_slice(&self.held[self.used..]);
        (self.held, self.used, self.base) = (bytes, 0, at);
    }

    /// What is read from, for those who look elsewhere in the file than at what comes next.
    pub fn input(&mut self) -> &mut R {
        &mut self.input
    }

    /// Has that many bytes at hand, or all there are.
    fn fetch(&mut self, count: usize) -> io::Result<()> {
        if self.used > 4 * READ {
            self.held.drain(..self.used);
            self.base += self.used as u64;
            self.used = 0;
        }
        while !self.at_end && self.held.len() - self.used < count {
            let start = self.held.len();
            // By what is there, and not by what is claimed.
            self.held.resize(start + READ, 0);
            let read = loop {
                match self.input.read(&mut self.held[start..]) {
                    Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                    other => break other,
                }
            };
            let got = *read.as_ref().unwrap_or(&0);
            self.held.truncate(start + got);
            self.at_end = read? == 0;
        }
        Ok(())
    }

    /// The next piece; `None` at the end of the file.
    pub fn next_piece(&mut self) -> io::Result<Option<Piece>> {
        let mut skipped = 0usize;
        loop {
            self.fetch(skipped + HEAD)?;
            let rest = &self.held[self.used + skipped..];
            if let Some((kind, length)) = read_head(rest) {
                self.fetch(skipped + HEAD + length + CHECK)?;
                let rest = &self.held[self.used + skipped..];
                if let Some((_, payload)) = whole(rest) {
                    if skipped > 0 {
                        return Ok(Some(self.lost(skipped, false)));
                    }
                    let payload = payload.to_vec();
                    let at = self.base + self.used as u64;
                    self.take(HEAD + length + CHECK);
                    return Ok(Some(Piece::Frame { at, kind, payload }));
                }
            }
            // What is lost is given out in bounded pieces, too.
            if skipped >= FRAME_MOST {
                return Ok(Some(self.lost(skipped, false)));
            }
            let rest = &self.held[self.used + skipped..];
            match rest.iter().skip(1).position(|&byte| byte == SYNC[0]) {
                Some(next) => skipped += next + 1,
                None if self.at_end && rest.len() <= HEAD => {
                    let left = self.held.len() - self.used;
                    return Ok((left > 0).then(|| self.lost(left, true)));
                }
                None => skipped += rest.len().max(1),
            }
            if self.at_end && self.used + skipped >= self.held.len() {
                let left = self.held.len() - self.used;
                return Ok((left > 0).then(|| self.lost(left, true)));
            }
        }
    }

    fn lost(&mut self, bytes: usize, torn: bool) -> Piece {
        let at = self.base + self.used as u64;
        self.take(bytes);
        Piece::Lost { at, bytes: bytes as u64, torn }
    }
}
