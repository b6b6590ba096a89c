//! The buffer of one direction of a connection. It grows as needed up to its bound. When it is
//! empty and larger than `MIN_CAPACITY`, it frees its memory.

use std::io::{self, IoSlice, Read, Write};

/// The minimum capacity of a buffer, in bytes. An empty buffer of this size is kept.
const MIN_CAPACITY: usize = 4096;

/// A bounded queue of bytes.
pub(crate) struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    max_bytes: usize,
}

impl RingBuffer {
    /// A buffer that holds `max_bytes` at most.
    pub(crate) fn new(max_bytes: usize) -> Self {
        RingBuffer {
            bytes: Vec::new(),
            head: 0,
            len: 0,
            max_bytes,
        }
    }

    /// The number of bytes in the buffer.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds all parts. If they do not fit, adds nothing and returns false.
    pub(crate) fn push(&mut self, parts: &[&[u8]]) -> bool {
        let more: usize = parts.iter().map(|part| part.len()).sum();
        if self.len + more > self.max_bytes {
            return false;
        }
        self.make_room(more);
        for part in parts {
            let at = self.tail();
            let first = part.len().min(self.bytes.len() - at);
            self.bytes[at..at + first].copy_from_slice(&part[..first]);
            self.bytes[..part.len() - first].copy_from_slice(&part[first..]);
            self.len += part.len();
        }
        true
    }

    /// Reads once from `source`. Returns `None` if there is no room.
    pub(crate) fn read_from(&mut self, source: &mut impl Read) -> io::Result<Option<usize>> {
        if self.len == self.bytes.len() {
            if self.len >= self.max_bytes {
                return Ok(None);
            }
            self.make_room(1);
        }
        let at = self.tail();
        let end = if at < self.head {
            self.head
        } else {
            self.bytes.len()
        };
        let read = source.read(&mut self.bytes[at..end])?;
        self.len += read;
        Ok(Some(read))
    }

    /// Writes to `sink` in one call, even if the bytes wrap around.
    pub(crate) fn write_to(&mut self, sink: &mut impl Write) -> io::Result<usize> {
        let first = self.len.min(self.bytes.len() - self.head);
        let parts = [
            IoSlice::new(&self.bytes[self.head..self.head + first]),
            IoSlice::new(&self.bytes[..self.len - first]),
        ];
        let written = sink.write_vectored(&parts)?;
        self.consume(written);
        Ok(written)
    }

    /// All bytes as one contiguous slice.
    pub(crate) fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// Drops `count` bytes from the front, or all if there are fewer.
    pub(crate) fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 {
            0
        } else {
            (self.head + count) % self.bytes.len()
        };
        if self.len == 0 && self.bytes.len() > MIN_CAPACITY {
            self.bytes = Vec::new();
        }
    }

    fn tail(&self) -> usize {
        if self.bytes.is_empty() {
            0
        } else {
            (self.head + self.len) % self.bytes.len()
        }
    }

    fn make_room(&mut self, more: usize) {
        let need = self.len + more;
        if need <= self.bytes.len() {
            return;
        }
        let size = need
            .next_power_of_two()
            .max(MIN_CAPACITY)
            .min(self.max_bytes.max(need));
        let mut bytes = Vec::with_capacity(size);
        bytes.extend_from_slice(self.contiguous());
        bytes.resize(size, 0);
        (self.bytes, self.head) = (bytes, 0);
    }
}

#[cfg(test)]
#[path = "ring_buffer_tests.rs"]
mod tests;
