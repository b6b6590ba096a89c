//! Deadlines by small indices, one each: a hierarchical timing wheel. Setting, moving and clearing one is a step, and
//! the passing of time costs what falls due, and one more step for each of few levels. Lists are linked through
//! arrays by index, so nothing is allocated once it has grown.

use std::time::Duration;

const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
const LEVELS: usize = 5;
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Entry {
    /// The tick at which it is due.
    due: u64,
    /// Its slot among all levels; `NONE` where it has no deadline.
    slot: u32,
    before: u32,
    after: u32,
}

pub struct Wheel {
    tick: Duration,
    now: u64,
    heads: Vec<u32>,
    /// A bit for each slot of a level that has any.
    filled: [u64; LEVELS],
    entries: Vec<Entry>,
    count: usize,
}

impl Wheel {
    /// Deadlines fall due up to one tick late, and never early.
    pub fn new(tick: Duration) -> Self {
        Wheel {
            tick: tick.max(Duration::from_micros(1)),
            now: 0,
            heads: vec![NONE; SLOTS * LEVELS],
            filled: [0; LEVELS],
            entries: Vec::new(),
            count: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    fn ticks(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos().div_ceil(self.tick.as_nanos())).unwrap_or(u64::MAX)
    }

    /// Gives an index its deadline, in the place of one that it had.
    pub fn set(&mut self, index: usize, at: Duration) {
        self.clear(index);
        if self.entries.len() <= index {
            self.entries.resize(index + 1, Entry { due: 0, slot: NONE, before: NONE, after: NONE });
        }
        self.entries[index].due = self.ticks(at);
        self.link(index as u32);
        self.count += 1;
    }

    pub fn clear(&mut self, index: usize) {
        if self.entries.get(index).is_some_and(|entry| entry.slot != NONE) {
            self.unlink(index as u32);
            self.count -= 1;
        }
    }

    /// The deadline of an index.
    pub fn get(&self, index: usize) -> Option<Duration> {
        let entry = self.entries.get(index).filter(|entry| entry.slot != NONE)?;
        Some(self.tick.saturating_mul(u32::try_from(entry.due).unwrap_or(u32::MAX)))
    }

    /// Puts an entry in the slot in which it waits: the lowest level that reaches as far as its deadline.
    fn link(&mut self, index: u32) {
        // What is due already falls due with the next tick.
        let due = self.entries[index as usize].due.max(self.now + 1);
        // The highest digit in which the deadline differs from now.
        let differs = 63 - (due ^ self.now).leading_zeros();
        let level = ((differs / BITS) as usize).min(LEVELS - 1);
        let shift = BITS * level as u32;
        // Beyond the wheel it waits in the slot that comes last, and is looked at again then.
        let ahead = ((due >> shift) - (self.now >> shift)).min(SLOTS as u64 - 1);
        let digit = ((self.now >> shift) + ahead) as usize % SLOTS;
        let slot = level * SLOTS + digit;
        let head = self.heads[slot];
        self.entries[index as usize] =
            Entry { slot: slot as u32, before: NONE, after: head, ..self.entries[index as usize] };
        if head != NONE {
            self.entries[head as usize].before = index;
        }
        self.heads[slot] = index;
        self.filled[level] |= 1 << digit;
    }

    fn unlink(&mut self, index: u32) {
        let Entry { slot, before, after, .. } = self.entries[index as usize];
        if before == NONE {
            self.heads[slot as usize] = after;
            if after == NONE {
                self.filled[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        } else {
            self.entries[before as usize].after = after;
        }
        if after != NONE {
            self.entries[after as usize].before = before;
        }
        self.entries[index as usize].slot = NONE;
    }

    /// Lets time pass; `due` gets the indices whose deadline has come, each once, and they have none any more.
    pub fn advance(&mut self, now: Duration, due: &mut Vec<usize>) {
        let to = u64::try_from(now.as_nanos() / self.tick.as_nanos()).unwrap_or(u64::MAX);
        while self.now < to {
            // Ticks at which nothing can happen are passed in one step.
            let Some(next) = self.next_tick().filter(|&next| next <= to) else {
                self.now = to;
                return;
            };
            self.now = next;
            // From the top: what falls out of a higher slot may be due at once.
            for level in (0..LEVELS).rev() {
                let below = (1u64 << (BITS * level as u32)) - 1;
                if self.now & below != 0 {
                    continue;
                }
                let slot = level * SLOTS + (self.now >> (BITS * level as u32)) as usize % SLOTS;
                while self.heads[slot] != NONE {
                    let index = self.heads[slot];
                    self.unlink(index);
                    if self.entries[index as usize].due <= self.now {
                        self.count -= 1;
                        due.push(index as usize);
                    } else {
                        self.link(index);
                    }
                }
            }
        }
    }

    /// The next tick at which a slot comes by that has any.
    fn next_tick(&self) -> Option<u64> {
        let mut next = None;
        for level in 0..LEVELS {
            if self.filled[level] == 0 {
                continue;
            }
            let shift = BITS * level as u32;
            let digit = (self.now >> shift) as usize % SLOTS;
            // Slots behind the present one come in this turn, the others in the next.
            let ahead = self.filled[level].rotate_right((digit as u32 + 1) % SLOTS as u32).trailing_zeros()
                as u64
                + 1;
            let tick = ((self.now >> shift) + ahead) << shift;
            next = Some(next.map_or(tick, |other: u64| other.min(tick)));
        }
        next
    }

    /// No deadline falls due before this time.
    pub fn next(&self) -> Option<Duration> {
        self.next_tick().map(|tick| self.tick.saturating_mul(u32::try_from(tick).unwrap_or(u32::MAX)))
    }
}
