//! How many of something each network has, exactly, for as many networks as have any. Open addressing with linear
//! probing in one array, and no tombstones: what is removed is closed up behind, so that an hour of churn leaves the
//! table as it was. Its capacity is fixed; there are never more networks than connections.

use crate::prefix::Prefix;

pub struct Counts {
    slots: Vec<Option<(Prefix, u32)>>,
    seed: u64,
    used: usize,
    most: usize,
}

impl Counts {
    /// For up to so many networks at a time.
    pub fn new(most: usize, seed: u64) -> Self {
        let size = (most.max(1) * 2).next_power_of_two();
        Counts { slots: vec![None; size], seed, used: 0, most: most.max(1) }
    }

    fn home(&self, key: Prefix) -> usize {
        key.hash(self.seed) as usize & (self.slots.len() - 1)
    }

    /// Where a network stands, or where it would.
    fn place(&self, key: Prefix) -> usize {
        let mut at = self.home(key);
        // Half of the places are free at the least, so this ends.
        while self.slots[at].is_some_and(|(other, _)| other != key) {
            at = (at + 1) & (self.slots.len() - 1);
        }
        at
    }

    pub fn get(&self, key: Prefix) -> u32 {
        self.slots[self.place(key)].map_or(0, |(_, count)| count)
    }

    /// One more; false, and nothing done, where there are as many networks as there may be.
    pub fn add(&mut self, key: Prefix) -> bool {
        let at = self.place(key);
        match &mut self.slots[at] {
            Some((_, count)) => *count += 1,
            None if self.used >= self.most => return false,
            empty => {
                *empty = Some((key, 1));
                self.used += 1;
            }
        }
        true
    }

    /// One less.
    pub fn remove(&mut self, key: Prefix) {
        let at = self.place(key);
        match &mut self.slots[at] {
            None => {}
            Some((_, count)) if *count > 1 => *count -= 1,
            Some(_) => self.clear(at),
        }
    }

    /// Empties a place, and moves up what would not be found over the gap.
    fn clear(&mut self, mut gap: usize) {
        let mask = self.slots.len() - 1;
        self.slots[gap] = None;
        self.used -= 1;
        let mut at = gap;
        loop {
            at = (at + 1) & mask;
            let Some((key, _)) = self.slots[at] else { return };
            // How far it is from home, and how far the gap is behind it.
            let from_home = at.wrapping_sub(self.home(key)) & mask;
            if from_home >= (at.wrapping_sub(gap) & mask) {
                self.slots[gap] = self.slots[at].take();
                gap = at;
            }
        }
    }

    /// Networks that have any.
    pub fn len(&self) -> usize {
        self.used
    }

    pub fn is_empty(&self) -> bool {
        self.used == 0
    }
}
