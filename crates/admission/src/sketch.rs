//! How often each network came of late, in memory that does not grow with how many there are: a count-min sketch with
//! conservative update, in buckets of time that are used again. It never tells too little. It may tell too much,
//! where others share all of a network's places: with `ROWS` rows and a load of n in the window, by more than
//! 2.72 n / columns with a chance of e^-ROWS. That harms newcomers alone: known clients are not judged by it.

use std::time::Duration;

use crate::prefix::Prefix;

const ROWS: usize = 4;
const BUCKETS: usize = 4;

pub struct Sketch {
    width: Duration,
    columns: usize,
    at: u64,
    /// For each bucket of time, its rows one behind the other.
    buckets: Vec<Vec<u32>>,
    seed: u64,
}

impl Sketch {
    /// Over a window of that length, with so many columns.
    pub fn new(window: Duration, columns: usize, seed: u64) -> Self {
        let columns = columns.next_power_of_two();
        let width = (window / (BUCKETS as u32 - 1)).max(Duration::from_millis(1));
        Sketch { width, columns, at: 0, buckets: vec![vec![0; ROWS * columns]; BUCKETS], seed }
    }

    fn advance(&mut self, now: Duration) {
        let to = (now.as_nanos() / self.width.as_nanos()) as u64;
        let span = BUCKETS as u64;
        for bucket in (self.at + 1..=to).rev().take(BUCKETS) {
            self.buckets[(bucket % span) as usize].fill(0);
        }
        self.at = self.at.max(to);
    }

    fn places(&self, key: Prefix) -> [usize; ROWS] {
        let hash = key.hash(self.seed);
        // Two halves of one hash make all rows, as far apart as rows of their own would.
        let (one, other) = (hash as u32 as usize, (hash >> 32) as usize | 1);
        std::array::from_fn(|row| {
            row * self.columns + (one.wrapping_add(row.wrapping_mul(other)) & (self.columns - 1))
        })
    }

    /// How often it came within the window, at the most.
    pub fn count(&mut self, now: Duration, key: Prefix) -> u32 {
        self.advance(now);
        let places = self.places(key);
        self.estimate(&places)
    }

    fn estimate(&self, places: &[usize; ROWS]) -> u32 {
        let of = |&place: &usize| self.buckets.iter().map(|bucket| bucket[place]).sum();
        places.iter().map(of).min().unwrap_or(0)
    }

    /// It came once more; yields how often within the window.
    pub fn add(&mut self, now: Duration, key: Prefix) -> u32 {
        self.advance(now);
        let places = self.places(key);
        let bucket = &mut self.buckets[(self.at % BUCKETS as u64) as usize];
        // Only as far up as this one needs: what is above belongs to others.
        let least = places.iter().map(|&place| bucket[place]).min().unwrap_or(0);
        for place in places {
            bucket[place] = bucket[place].max(least.saturating_add(1));
        }
        self.estimate(&places)
    }

    pub fn bytes(&self) -> usize {
        self.buckets.iter().map(|bucket| bucket.len() * 4).sum()
    }
}
