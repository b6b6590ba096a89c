//! The ring buffer of one direction of a connection. It grows as needed up to its bound, and gives its memory
//! back once it is empty.

use std::io::{self, IoSlice, Read, Write};

/// What an empty ring keeps, and the least it takes.
const SMALL: usize = 4096;

pub struct Ring {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    most: usize,
}

impl Ring {
    /// A ring that holds `most` bytes at most.
    pub fn new(most: usize) -> Self {
        Ring { bytes: Vec::new(), head: 0, len: 0, most }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    /// Adds all parts, or nothing and yields false where they do not fit.
    pub fn push(&mut self, parts: &[&[u8]]) -> bool {
        let more: usize = parts.iter().map(|part| part.len()).sum();
        if self.len + more > self.most {
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

    /// Reads once from `source`; `None` means that there is no room.
    pub fn fill(&mut self, source: &mut impl Read) -> io::Result<Option<usize>> {
        if self.len == self.bytes.len() {
            if self.len >= self.most {
                return Ok(None);
            }
            self.make_room(1);
        }
        let at = self.tail();
        let end = if at < self.head { self.head } else { self.bytes.len() };
        let read = source.read(&mut self.bytes[at..end])?;
        self.len += read;
        Ok(Some(read))
    }

    /// Writes once to `sink`, in one call even where the bytes wrap around.
    pub fn drain(&mut self, sink: &mut impl Write) -> io::Result<usize> {
        let first = self.len.min(self.bytes.len() - self.head);
        let parts = [
            IoSlice::new(&self.bytes[self.head..self.head + first]),
            IoSlice::new(&self.bytes[..self.len - first]),
        ];
        let written = sink.write_vectored(&parts)?;
        self.consume(written);
        Ok(written)
    }

    /// All bytes held, in one piece.
    pub fn whole(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// Drops so many bytes from the front.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len);
        self.len -= count;
        self.head = if self.len == 0 { 0 } else { (self.head + count) % self.bytes.len() };
        if self.len == 0 && self.bytes.len() > SMALL {
            self.bytes = Vec::new();
        }
    }

    fn tail(&self) -> usize {
        if self.bytes.is_empty() { 0 } else { (self.head + self.len) % self.bytes.len() }
    }

    fn make_room(&mut self, more: usize) {
        let need = self.len + more;
        if need <= self.bytes.len() {
            return;
        }
        let size = need.next_power_of_two().max(SMALL).min(self.most.max(need));
        let mut bytes = Vec::with_capacity(size);
        bytes.extend_from_slice(self.whole());
        bytes.resize(size, 0);
        (self.bytes, self.head) = (bytes, 0);
    }
}

#[cfg(test)]
mod tests {
    use std::collections::VecDeque;

    use super::*;

    quickcheck::quickcheck! {
        /// Beside a plain queue: the same bytes in the same order, never more than the bound.
        fn a_ring_is_a_bounded_queue(steps: Vec<(u8, u16)>) -> bool {
            let (mut ring, mut queue, mut next) = (Ring::new(9000), VecDeque::new(), 0u8);
            for (kind, size) in steps {
                let size = usize::from(size % 5000);
                let mut made = vec![0u8; size];
                made.fill_with(|| { next = next.wrapping_add(1); next });
                match kind % 4 {
                    0 => {
                        let fits = queue.len() + size <= 9000;
                        if ring.push(&[&made[..size / 2], &made[size / 2..]]) != fits {
                            return false;
                        }
                        if fits {
                            queue.extend(&made);
                        }
                    }
                    1 => {
                        let read = ring.fill(&mut &made[..]).unwrap().unwrap_or(0);
                        queue.extend(&made[..read]);
                    }
                    2 => {
                        let mut sink = Vec::new();
                        let written = ring.drain(&mut sink).unwrap();
                        if sink != queue.drain(..written).collect::<Vec<u8>>() {
                            return false;
                        }
                    }
                    _ => {
                        ring.consume(size);
                        queue.drain(..size.min(queue.len()));
                    }
                }
                if ring.len() > 9000 || ring.whole() != queue.make_contiguous() {
                    return false;
                }
            }
            true
        }
    }
}
