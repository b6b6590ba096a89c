//! The encoding of numbers in blocks and indexes: LEB128 varints, signed ones in zigzag form.

use integer_encoding::VarInt;

use crate::TraceError;

/// Maximum length of an encoded 64-bit number, in bytes.
const MAX_VARINT_BYTES: usize = 10;

/// A cursor over untrusted bytes from a file.
pub(crate) struct ByteReader<'a>(pub(crate) &'a [u8]);

impl<'a> ByteReader<'a> {
    /// Reads a varint.
    pub(crate) fn read_u64(&mut self) -> Result<u64, TraceError> {
        // An encoding of more than ten bytes, or of more than 64 bits, is invalid.
        let start = &self.0[..self.0.len().min(MAX_VARINT_BYTES)];
        let (value, used) = u64::decode_var(start).ok_or(TraceError::Invalid("a number"))?;
        self.0 = &self.0[used..];
        Ok(value)
    }

    /// Reads a varint of at most 32 bits.
    pub(crate) fn read_u32(&mut self) -> Result<u32, TraceError> {
        u32::try_from(self.read_u64()?).map_err(|_| TraceError::Invalid("a number of 32 bits"))
    }

    /// Reads a varint in zigzag form.
    pub(crate) fn read_i64(&mut self) -> Result<i64, TraceError> {
        Ok(zigzag_decode(self.read_u64()?))
    }

    /// Reads one byte.
    pub(crate) fn read_byte(&mut self) -> Result<u8, TraceError> {
        Ok(self.read_bytes(1)?[0])
    }

    /// Reads `count` bytes.
    pub(crate) fn read_bytes(&mut self, count: usize) -> Result<&'a [u8], TraceError> {
        let (bytes, rest) = self
            .0
            .split_at_checked(count)
            .ok_or(TraceError::Invalid("a length"))?;
        self.0 = rest;
        Ok(bytes)
    }

    /// Whether no bytes are left.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Appends a number as a varint.
pub(crate) fn write_u64(out: &mut Vec<u8>, value: u64) {
    let mut bytes = [0; MAX_VARINT_BYTES];
    let length = value.encode_var(&mut bytes);
    out.extend_from_slice(&bytes[..length]);
}

/// Appends a signed number as a varint in zigzag form.
pub(crate) fn write_i64(out: &mut Vec<u8>, value: i64) {
    write_u64(out, zigzag_encode(value));
}

/// Maps numbers near zero, of either sign, to small unsigned ones.
pub(crate) fn zigzag_encode(value: i64) -> u64 {
    ((value << 1) ^ (value >> 63)) as u64
}

/// Converts the zigzag form of a number back to it: 0, 1, 2, 3, ... to 0, -1, 1, -2, ...
pub fn zigzag_decode(value: u64) -> i64 {
    (value >> 1) as i64 ^ -((value & 1) as i64)
}
