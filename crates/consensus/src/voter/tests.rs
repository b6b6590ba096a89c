//! Tests of the components of a voter, each at its limits, and of complete voters over messages and
//! logs in memory.

mod golden_transcripts;
mod membership_change;
mod reads_and_snapshots;
mod restart;
mod timing;
