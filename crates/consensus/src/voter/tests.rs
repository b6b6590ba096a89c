//! Tests of the whole voter, over messages and logs in memory.

mod golden_transcripts;
