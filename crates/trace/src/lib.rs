//! What happened to every req: recorded in a compact, versioned, indexed file, and read, cut, merged, anonymised
//! and summarised from there. docs/trace-format.md has the format byte by byte. Nothing here opens a socket.
//!
//! [`Writer`] and [`Trace`] are the two ends of a file; [`Recorder`] feeds a writer from a server without ever
//! stopping it.

mod anonymise;
mod block;
mod clocks;
mod columns;
mod cut;
mod frames;
mod heads;
mod index;
mod join;
mod keep;
mod merge;
mod names;
mod reader;
mod record;
mod recorder;
mod remake;
mod summary;
mod synth;
mod writer;

pub use anonymise::{Hiding, Key, KeyError, anonymise};
pub use clocks::{Clock, estimate};
pub use columns::{COLUMNS, Column, Kind};
pub use cut::{Findings, Span, check, copy, copy_surveyed, stream};
pub use heads::{Gap, Head, Names, Why};
pub use index::{Index, Place, Wanted};
pub use join::{Joiner, Link, Seen};
pub use keep::{Act, Keep, News, Terms};
pub use merge::{Merged, Source, merge};
pub use names::{HandlerName, TenantName};
pub use reader::{Item, Loss, Survey, Trace, TraceError};
pub use record::{Outcome, Reason, Record, hashed};
pub use recorder::{Counts, Disk, Folder, Pen, Recorder, Recording, unix_now};
pub use remake::MergeError;
pub use summary::{Group, Percentiles, Row, Summary, Tally};
pub use synth::{Load, synth};
pub use writer::{Pace, WriteError, Writer};

/// The newest format that is written and read here.
pub const NEWEST: u32 = 2;

/// Microseconds since the Unix epoch, or between two moments.
pub type Micros = i64;
