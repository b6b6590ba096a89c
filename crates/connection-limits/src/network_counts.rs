//! Exact connection counts for each network.

use crate::network_prefix::NetworkPrefix;

#[derive(Clone, Copy)]
struct Slot {
    network: NetworkPrefix,
    count: u32,
}

/// The number of connections of each network. A hash table with open addressing and linear probing
/// in one array. A removal moves later entries up instead of leaving a tombstone (Knuth, "The Art
/// of Computer Programming", volume 3, section 6.4, algorithm R), so that the table does not
/// degrade under churn. Its capacity is fixed.
pub struct NetworkCounts {
    /// Their number is a power of two and at least twice `max_networks`.
    slots: Vec<Option<Slot>>,
    seed: u64,
    networks: usize,
    max_networks: usize,
}

impl NetworkCounts {
    /// Creates a table for up to `max_networks` networks with a count over zero.
    pub fn new(max_networks: usize, seed: u64) -> Self {
        let max_networks = max_networks.max(1);
        let slots = vec![None; (max_networks * 2).next_power_of_two()];
        NetworkCounts {
            slots,
            seed,
            networks: 0,
            max_networks,
        }
    }

    /// The slot in which the search for a network starts.
    fn home(&self, network: NetworkPrefix) -> usize {
        network.hash(self.seed) as usize & self.mask()
    }

    fn mask(&self) -> usize {
        self.slots.len() - 1
    }

    /// The slot of a network, or the free slot into which it would be inserted.
    fn find(&self, network: NetworkPrefix) -> usize {
        let mut index = self.home(network);
        // At least half of the slots are free, so the loop ends.
        while self.slots[index].is_some_and(|slot| slot.network != network) {
            index = (index + 1) & self.mask();
        }
        index
    }

    /// The count of a network.
    pub fn get(&self, network: NetworkPrefix) -> u32 {
        self.slots[self.find(network)].map_or(0, |slot| slot.count)
    }

    /// Increments the count of a network. Returns false and does nothing if the network is new and
    /// the table is full.
    pub fn increment(&mut self, network: NetworkPrefix) -> bool {
        let index = self.find(network);
        match &mut self.slots[index] {
            Some(slot) => slot.count += 1,
            None if self.networks >= self.max_networks => return false,
            empty => {
                *empty = Some(Slot { network, count: 1 });
                self.networks += 1;
            }
        }
        true
    }

    /// Decrements the count of a network, if it has one.
    pub fn decrement(&mut self, network: NetworkPrefix) {
        let index = self.find(network);
        match &mut self.slots[index] {
            None => {}
            Some(slot) if slot.count > 1 => slot.count -= 1,
            Some(_) => self.remove(index),
        }
    }

    /// Empties a slot, and moves up the later entries that a search would otherwise miss because of
    /// the gap.
    fn remove(&mut self, mut gap: usize) {
        let mask = self.mask();
        self.slots[gap] = None;
        self.networks -= 1;
        let mut index = gap;
        loop {
            index = (index + 1) & mask;
            let Some(slot) = self.slots[index] else {
                return;
            };
            let distance_to_home = index.wrapping_sub(self.home(slot.network)) & mask;
            let distance_to_gap = index.wrapping_sub(gap) & mask;
            if distance_to_home >= distance_to_gap {
                self.slots[gap] = self.slots[index].take();
                gap = index;
            }
        }
    }

    /// The number of networks with a count over zero.
    pub fn network_count(&self) -> usize {
        self.networks
    }
}
