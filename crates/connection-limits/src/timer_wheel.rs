//! A hierarchical timing wheel (Varghese, Lauck, "Hashed and Hierarchical Timing Wheels", 1987) for
//! one deadline of each small index.

use std::time::Duration;

/// The number of bits of a deadline that one level of the wheel covers.
const LEVEL_BITS: u32 = 6;
/// The number of slots of one level.
const SLOTS: usize = 1 << LEVEL_BITS;
/// The number of levels: the wheel covers 2^30 ticks.
const LEVELS: usize = 5;
/// Marks a missing index or slot.
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy)]
struct Entry {
    /// The tick of the deadline.
    deadline: u64,
    /// The slot, numbered over all levels; `NONE` if the index has no deadline.
    slot: u32,
    previous: u32,
    next: u32,
}

/// One deadline for each index. Setting, moving and cancelling a deadline takes constant time.
/// Advancing the time costs one step for each deadline that expires and for each level that a
/// deadline descends. The lists of the slots are linked through an array, so nothing is allocated
/// after the array has grown to the greatest index.
pub struct TimerWheel {
    tick: Duration,
    /// The current tick.
    now: u64,
    /// The first entry of each slot, level by level.
    heads: Vec<u32>,
    /// One bitmap for each level, with a bit for each slot that has an entry.
    occupied: [u64; LEVELS],
    entries: Vec<Entry>,
    pending: usize,
}

impl TimerWheel {
    /// Creates an empty wheel. Deadlines expire up to one tick late, and never early.
    pub fn new(tick: Duration) -> Self {
        TimerWheel {
            tick: tick.max(Duration::from_micros(1)),
            now: 0,
            heads: vec![NONE; SLOTS * LEVELS],
            occupied: [0; LEVELS],
            entries: Vec::new(),
            pending: 0,
        }
    }

    /// The number of indices that have a deadline.
    pub fn pending(&self) -> usize {
        self.pending
    }

    /// The first tick at or after a time.
    fn tick_after(&self, at: Duration) -> u64 {
        u64::try_from(at.as_nanos().div_ceil(self.tick.as_nanos())).unwrap_or(u64::MAX)
    }

    /// Sets the deadline of an index, which replaces its previous one. A deadline in the past
    /// expires with the next tick.
    pub fn set(&mut self, index: usize, deadline: Duration) {
        self.cancel(index);
        if self.entries.len() <= index {
            self.entries.resize(
                index + 1,
                Entry {
                    deadline: 0,
                    slot: NONE,
                    previous: NONE,
                    next: NONE,
                },
            );
        }
        self.entries[index].deadline = self.tick_after(deadline);
        self.link(index as u32);
        self.pending += 1;
    }

    /// Removes the deadline of an index, if it has one.
    pub fn cancel(&mut self, index: usize) {
        if self
            .entries
            .get(index)
            .is_some_and(|entry| entry.slot != NONE)
        {
            self.unlink(index as u32);
            self.pending -= 1;
        }
    }

    /// Inserts an entry into its slot, on the lowest level that covers its deadline.
    fn link(&mut self, index: u32) {
        let deadline = self.entries[index as usize].deadline.max(self.now + 1);
        let highest_difference = 63 - (deadline ^ self.now).leading_zeros();
        let level = ((highest_difference / LEVEL_BITS) as usize).min(LEVELS - 1);
        let shift = LEVEL_BITS * level as u32;
        // A deadline beyond the range of the wheel is put into the last slot, and is inserted again
        // when that slot is due.
        let slots_ahead = ((deadline >> shift) - (self.now >> shift)).min(SLOTS as u64 - 1);
        let slot_in_level = ((self.now >> shift) + slots_ahead) as usize % SLOTS;
        let slot = level * SLOTS + slot_in_level;
        let head = self.heads[slot];
        let entry = &mut self.entries[index as usize];
        (entry.slot, entry.previous, entry.next) = (slot as u32, NONE, head);
        if head != NONE {
            self.entries[head as usize].previous = index;
        }
        self.heads[slot] = index;
        self.occupied[level] |= 1 << slot_in_level;
    }

    fn unlink(&mut self, index: u32) {
        let Entry {
            slot,
            previous,
            next,
            ..
        } = self.entries[index as usize];
        if previous == NONE {
            self.heads[slot as usize] = next;
            if next == NONE {
                self.occupied[slot as usize / SLOTS] &= !(1 << (slot as usize % SLOTS));
            }
        } else {
            self.entries[previous as usize].next = next;
        }
        if next != NONE {
            self.entries[next as usize].previous = previous;
        }
        self.entries[index as usize].slot = NONE;
    }

    /// Advances the time. Appends the indices whose deadline has expired to `expired`; they no
    /// longer have a deadline.
    pub fn advance(&mut self, now: Duration, expired: &mut Vec<usize>) {
        let target = u64::try_from(now.as_nanos() / self.tick.as_nanos()).unwrap_or(u64::MAX);
        while self.now < target {
            // Ticks without a due slot are skipped.
            let Some(next) = self.next_occupied_tick().filter(|&next| next <= target) else {
                self.now = target;
                return;
            };
            self.now = next;
            // Higher levels first: an entry that descends from a higher level may expire at this
            // tick.
            for level in (0..LEVELS).rev() {
                self.empty_current_slot(level, expired);
            }
        }
    }

    /// If a slot of this level begins at the current tick, expires its entries or moves them to a
    /// lower level.
    fn empty_current_slot(&mut self, level: usize, expired: &mut Vec<usize>) {
        let shift = LEVEL_BITS * level as u32;
        let lower_bits = (1u64 << shift) - 1;
        if self.now & lower_bits != 0 {
            return;
        }
        let slot = level * SLOTS + (self.now >> shift) as usize % SLOTS;
        while self.heads[slot] != NONE {
            let index = self.heads[slot];
            self.unlink(index);
            if self.entries[index as usize].deadline <= self.now {
                self.pending -= 1;
                expired.push(index as usize);
            } else {
                self.link(index);
            }
        }
    }

    /// The next tick at which an occupied slot begins.
    fn next_occupied_tick(&self) -> Option<u64> {
        let occupied_levels = (0..LEVELS).filter(|&level| self.occupied[level] != 0);
        occupied_levels
            .map(|level| {
                let shift = LEVEL_BITS * level as u32;
                let current_slot = (self.now >> shift) as u32 % SLOTS as u32;
                // Slots after the current one are due in this turn of the wheel, the others in the
                // next.
                let from_next_slot =
                    self.occupied[level].rotate_right((current_slot + 1) % SLOTS as u32);
                let slots_ahead = u64::from(from_next_slot.trailing_zeros()) + 1;
                ((self.now >> shift) + slots_ahead) << shift
            })
            .min()
    }

    /// A time before which no deadline expires; `None` if there is no deadline.
    pub fn next_deadline(&self) -> Option<Duration> {
        let tick = self.next_occupied_tick()?;
        Some(
            self.tick
                .saturating_mul(u32::try_from(tick).unwrap_or(u32::MAX)),
        )
    }
}
