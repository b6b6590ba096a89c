//! Local health awareness (Lifeguard's LHA-Probe): a node in bad health gives others more time.
//!
//! The score says how bad the health is, in points; Lifeguard and memberlist call it awareness, as
//! in `max_awareness`. The time factor by which times are stretched is the score plus one.
//!
//! **Decision**: by which factor this node stretches its probe interval, its probe timeout and its
//! suspicion timeouts.
//!
//! **When it binds**: after a probe of this node failed, after relays did not report, or after this
//! node had to refute that it is suspect. Each answered probe takes one point off the score.
//!
//! **Failure it guards against**: a node that is short of CPU or behind a slow link reads the
//! answers of others too late and declares healthy members dead. That shows as false positives
//! which one member alone reports, about many others.
//!
//! **Why it holds**: answers that are late count against the reader first, and the time that it
//! gives to others grows with each of them until the answers are in time.
//!
//! **Price**: the node notices a crash later, up to `max_awareness + 1` times as late.
//!
//! Source: Dadgar, Phillips, Currey: "Lifeguard", 2017 (Local Health Aware Probe).

use std::time::Duration;

/// What a failed probe of this node adds to the score, in points.
const FAILED_PROBE_PENALTY: u32 = 1;

/// What each relay that did not report adds to the score, in points: a relay answers even where the
/// target does not, so that its silence speaks against the links of this node.
const MISSING_REPORT_PENALTY: u32 = 1;

/// What an update that calls this node suspect, dead or left adds to the score, in points.
const REFUTATION_PENALTY: u32 = 1;

/// What an answered probe takes off the score, in points.
const ACK_REWARD: u32 = 1;

/// The health score of this node.
pub(crate) struct LocalHealth {
    /// In points: 0 is healthy, `max_score` the worst.
    score: u32,
    max_score: u32,
}

impl LocalHealth {
    /// A healthy node.
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

    /// Notes that a probe got no answer, and how many relays did not report on it.
    pub(crate) fn record_failed_probe(&mut self, missing_reports: u32) {
        self.degrade(FAILED_PROBE_PENALTY + MISSING_REPORT_PENALTY * missing_reports);
    }

    /// Notes that this node has to refute an update about itself.
    pub(crate) fn record_refutation(&mut self) {
        self.degrade(REFUTATION_PENALTY);
    }

    /// Notes that a probe was answered in time.
    pub(crate) fn record_ack(&mut self) {
        self.score = self.score.saturating_sub(ACK_REWARD);
    }

    /// The factor by which intervals and time limits are stretched, 1 for a healthy node.
    pub(crate) fn time_factor(&self) -> u32 {
        1 + self.score
    }

    /// Stretches an interval or a time limit.
    pub(crate) fn scale(&self, span: Duration) -> Duration {
        span * self.time_factor()
    }

    fn degrade(&mut self, penalty: u32) {
        self.score = (self.score + penalty).min(self.max_score);
    }
}
