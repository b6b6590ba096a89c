//! Measures over time, in fixed buckets that are used again in a ring. No decision is taken here.

use std::time::Duration;

/// Measures over time: fixed buckets, used again.
pub struct Ring {
    width: Duration,
    at: u64,
    buckets: Vec<Vec<f64>>,
}

impl Ring {
    pub fn new(width: Duration, span: Duration, measures: usize) -> Self {
        let length = span.as_millis().div_ceil(width.as_millis()) as usize + 1;
        Ring { width, at: 0, buckets: vec![vec![0.0; measures]; length] }
    }

    /// Moves to the bucket of `now`, clearing what is used again.
    pub fn advance(&mut self, now: Duration) {
        let to = (now.as_millis() / self.width.as_millis()) as u64;
        let length = self.buckets.len() as u64;
        for bucket in (self.at + 1..=to).rev().take(self.buckets.len()) {
            self.buckets[(bucket % length) as usize].fill(0.0);
        }
        self.at = self.at.max(to);
    }

    /// Adds to the present bucket.
    pub fn add(&mut self, measure: usize, amount: f64) {
        let at = self.at as usize % self.buckets.len();
        self.buckets[at][measure] += amount;
    }

    /// The sum over the last `span`, the running bucket included.
    pub fn sum(&self, measure: usize, span: Duration) -> f64 {
        let length = self.buckets.len() as u64;
        let count = (span.as_millis().div_ceil(self.width.as_millis()) as u64 + 1).min(length);
        (0..count).map(|back| self.buckets[((self.at + length - back) % length) as usize][measure]).sum()
    }
}
