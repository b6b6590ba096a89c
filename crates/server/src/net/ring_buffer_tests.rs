//! Comparison of the ring buffer with a plain queue.

use std::collections::VecDeque;

use super::RingBuffer;

quickcheck::quickcheck! {
    /// The ring buffer holds the same bytes in the same order as a plain queue, and never more than
    /// its bound.
    fn a_ring_buffer_is_a_bounded_queue(steps: Vec<(u8, u16)>) -> bool {
        let (mut ring, mut queue, mut next) = (RingBuffer::new(9000), VecDeque::new(), 0u8);
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
                    let read = ring.read_from(&mut &made[..]).unwrap().unwrap_or(0);
                    queue.extend(&made[..read]);
                }
                2 => {
                    let mut sink = Vec::new();
                    let written = ring.write_to(&mut sink).unwrap();
                    if sink != queue.drain(..written).collect::<Vec<u8>>() {
                        return false;
                    }
                }
                _ => {
                    ring.consume(size);
                    queue.drain(..size.min(queue.len()));
                }
            }
            if ring.len() > 9000 || ring.contiguous() != queue.make_contiguous() {
                return false;
            }
        }
        true
    }
}
