//! Recordings of both formats: complete, torn, damaged and hostile; the recorder; and files made
//! from files.

mod common;
mod damage;
mod format;
mod golden;
mod recorder;
mod rewriting;
