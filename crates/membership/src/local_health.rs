//! Local health awareness (Lifeguard's LHA-Probe): a node in bad health allows other members more
//! time.
//!
//! The score states how bad the health is, in points; Lifeguard and memberlist call it awareness,
//! as in `max_awareness`. Intervals and timeouts are multiplied by the time factor, which is the
//! score plus one.
//!
//! **Decision**: the factor by which this node stretches its probe interval, its probe timeout and
//! its suspicion timeouts.
//!
//! **When it binds**: after a probe of this node failed, after relays did not report, or after this
//! node had to refute an update about itself. Each answered probe reduces the score by one point.
//!
//! **Failure it guards against**: a node that is short of CPU or has a slow link processes the
//! answers of others too late and declares healthy members dead. The symptom is false positives
//! about many members, all reported by the same one.
//!
//! **Why it holds**: each late answer first raises the score of the node that waits for it, so its
//! timeouts grow until the answers arrive in time.
//!
//! **Price**: the node notices a crash up to `max_awareness + 1` times as late.
//!
//! Source: Dadgar, Phillips, Currey: "Lifeguard", 2017 (Local Health Aware Probe).

use std::time::Duration;

/// Points that a failed probe of this node adds to the score.
const FAILED_PROBE_PENALTY: u32 = 1;

/// Points that each relay that did not report adds to the score. A relay reports even if the target
/// does not answer, so a missing report indicates a fault of this node's links.
const MISSING_REPORT_PENALTY: u32 = 1;

/// Points that an update that calls this node suspect, dead or left adds to the score.
const REFUTATION_PENALTY: u32 = 1;

/// Points by which an answered probe reduces the score.
const ACK_REWARD: u32 = 1;

/// The health score of this node.
pub(crate) struct LocalHealth {
    /// In points: 0 is healthy, `max_score` the worst.
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    /// Creates the score of a healthy node.
    pub(crate) fn new(max_score: u32) -> Self {
        LocalHealth {
            score: 0,
            max_score,
        }
    }

    /// The score, in points.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    /// Records that a probe got no answer, and how many relays did not report on it.
    pub(crate) fn record_failed_probe(&mut self, missing_reports: u32) {
        self.degrade(FAILED_PROBE_PENALTY + MISSING_REPORT_PENALTY * missing_reports);
    }

    /// Records that this node has to refute an update about itself.
    pub(crate) fn record_refutation(&mut self) {
        self.degrade(REFUTATION_PENALTY);
    }

    /// Records that a probe was answered directly before the end of its protocol period.
    pub(crate) fn record_ack(&mut self) {
        self.score = self.score.saturating_sub(ACK_REWARD);
    }

    /// The factor by which intervals and timeouts are stretched; 1 for a healthy node.
    pub(crate) fn time_factor(&self) -> u32 {
        1 + self.score
    }

    /// Stretches an interval or a timeout.
    pub(crate) fn scale(&self, span: Duration) -> Duration {
        span * self.time_factor()
    }

    fn degrade(&mut self, penalty: u32) {
        self.score = (self.score + penalty).min(self.max_score);
    }
}
