//! Local health awareness (Lifeguard's LHA-Probe): a node in bad health itself gives others more
//! time.

use std::time::Duration;

/// The health score of this node. Owned by the membership.
///
/// A node that is short of CPU or behind a slow link must not declare others dead because it reads
/// their answers late. The price is that it notices a crash later.
pub(crate) struct LocalHealth {
    /// 0 is healthy.
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    pub(crate) fn new(max_score: u32) -> Self {
        LocalHealth {
            score: 0,
            max_score,
        }
    }

    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn degrade(&mut self, by: u32) {
        self.score = (self.score + by).min(self.max_score);
    }

    pub(crate) fn improve(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Stretches an interval or a time limit by the score.
    pub(crate) fn scale(&self, span: Duration) -> Duration {
        span * (1 + self.score)
    }
}
