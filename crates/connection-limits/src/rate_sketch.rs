//! The recent rate of new connections of each network, in constant memory.

use std::time::Duration;

use crate::network_prefix::NetworkPrefix;

/// The number of rows of the sketch, each with a separate hash.
const ROWS: usize = 4;
/// The number of time buckets: three cover the window, and one is being filled.
const BUCKETS: usize = 4;

/// A count-min sketch (Cormode, Muthukrishnan, 2005) with conservative update (Estan, Varghese,
/// 2002) over a sliding window of time buckets.
///
/// An estimate is never too low. It may be too high if other networks share all counters of a
/// network: with n new connections in the window, it is too high by more than 2.72 n / columns with
/// a probability of at most e^-4, as there are four rows. This affects new clients only, since the
/// rate of known clients is not limited.
pub struct RateSketch {
    bucket_width: Duration,
    columns: usize,
    /// The number of the current bucket, counted from time zero.
    current_bucket: u64,
    /// The counters of each time bucket, row by row.
    buckets: Vec<Vec<u32>>,
    seed: u64,
}

impl RateSketch {
    /// Creates a sketch over a window of this length. The number of columns is rounded up to a
    /// power of two.
    pub fn new(window: Duration, columns: usize, seed: u64) -> Self {
        let columns = columns.next_power_of_two();
        let bucket_width = (window / (BUCKETS as u32 - 1)).max(Duration::from_millis(1));
        let buckets = vec![vec![0; ROWS * columns]; BUCKETS];
        RateSketch {
            bucket_width,
            columns,
            current_bucket: 0,
            buckets,
            seed,
        }
    }

    /// Clears the buckets that have left the window.
    fn advance(&mut self, now: Duration) {
        let bucket = (now.as_nanos() / self.bucket_width.as_nanos()) as u64;
        for entered in (self.current_bucket + 1..=bucket).rev().take(BUCKETS) {
            self.buckets[(entered % BUCKETS as u64) as usize].fill(0);
        }
        self.current_bucket = self.current_bucket.max(bucket);
    }

    /// The indices of a network's counters, one in each row.
    fn counters(&self, network: NetworkPrefix) -> [usize; ROWS] {
        let hash = network.hash(self.seed);
        // The hash of each row is derived from the two halves of one hash (Kirsch, Mitzenmacher,
        // 2006).
        let (first, step) = (hash as u32 as usize, (hash >> 32) as usize | 1);
        std::array::from_fn(|row| {
            let column = first.wrapping_add(row.wrapping_mul(step)) & (self.columns - 1);
            row * self.columns + column
        })
    }

    /// An upper bound of the number of connections that a network opened within the window.
    pub fn estimate(&mut self, now: Duration, network: NetworkPrefix) -> u32 {
        self.advance(now);
        self.minimum(&self.counters(network))
    }

    fn minimum(&self, counters: &[usize; ROWS]) -> u32 {
        let sum = |&counter: &usize| self.buckets.iter().map(|bucket| bucket[counter]).sum();
        counters.iter().map(sum).min().unwrap_or(0)
    }

    /// Records a new connection and returns the new estimate.
    pub fn record(&mut self, now: Duration, network: NetworkPrefix) -> u32 {
        self.advance(now);
        let counters = self.counters(network);
        let bucket = &mut self.buckets[(self.current_bucket % BUCKETS as u64) as usize];
        // Conservative update: a counter above the minimum is shared with other networks and needs
        // no increment.
        let minimum = counters
            .iter()
            .map(|&counter| bucket[counter])
            .min()
            .unwrap_or(0);
        for counter in counters {
            bucket[counter] = bucket[counter].max(minimum.saturating_add(1));
        }
        self.minimum(&counters)
    }
}
