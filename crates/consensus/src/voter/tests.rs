//! Tests of the rules of a voter, each at its thresholds, and of the whole voter over messages and
//! logs in memory.

mod golden_transcripts;
mod membership_change;
mod reads_and_snapshots;
mod restart;
mod timing;
