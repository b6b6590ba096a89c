//! Tests of recordings in both formats: complete, torn, damaged and malicious files, the recorder,
//! and merged, anonymised and summarised files.

mod common;
mod damage;
mod format;
mod golden;
mod recorder;
mod rewriting;
