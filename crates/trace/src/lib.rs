//! Recordings of what happened to each request of a server, in a compact, versioned, indexed file.
//! This crate writes them, reads them (also torn or damaged ones), and copies, merges, anonymises
//! and summarises them. It opens no sockets. The format is described byte by byte in
//! docs/trace-format.md.
//!
//! - [`Writer`] writes a file and [`TraceReader`] reads it. The writer takes [`Record`]s and
//!   [`Gap`]s; the reader yields them as [`Item`]s, together with a [`Loss`] for each part of the
//!   file that could not be read.
//! - [`Recorder`] passes the records of a server to a writer and never blocks the server. Its input
//!   is one [`Record`] for each attempt; its output is a directory of files, bounded in size by a
//!   [`RetentionConfig`]. The recorder decides when a block is sealed, when a file is rotated,
//!   which old files are removed and which records are dropped.
//! - [`copy()`], [`merge()`], [`anonymise()`], [`check()`] and [`Summary`] derive files or
//!   statistics from existing files.
//!
//! ```
//! use tulipgap_trace::{BlockConfig, Header, Item, NEWEST_VERSION, Record, TraceReader, Writer};
//!
//! let header = Header::new(NEWEST_VERSION, 1, "server-1", 0);
//! let mut writer = Writer::new(Vec::new(), header, BlockConfig::default())?;
//! writer.push(Record { id: 7, reached: 1_000, answered: Some(250), ..Record::default() })?;
//! let (bytes, _) = writer.finish()?;
//!
//! let mut records = Vec::new();
//! for item in TraceReader::open(&bytes[..])? {
//!     match item? {
//!         Item::Records(block) => records.extend(block),
//!         Item::Gap(gap) => println!("records are missing: {gap:?}"),
//!         Item::Loss(loss) => println!("{loss}"),
//!     }
//! }
//! assert_eq!((records.len(), records[0].id), (1, 7));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

#![warn(missing_docs)]

mod anonymise;
mod block;
mod check;
mod clock_offsets;
mod columns;
mod copy;
mod correlate;
mod dictionary;
mod framing;
mod index;
mod merge;
mod metadata;
mod reader;
mod record;
mod recorder;
mod retention;
mod rewrite;
mod rotating_writer;
mod storage;
mod summary;
mod synthetic;
mod varint;
mod writer;

pub use anonymise::{HashKey, HiddenNames, KeyError, anonymise};
pub use check::{CheckReport, check};
pub use clock_offsets::{ClockOffset, estimate_clock_offsets};
pub use columns::{COLUMNS, Column, ColumnKind};
pub use copy::{CopySummary, copy, copy_surveyed, stream};
pub use dictionary::{Dictionary, HandlerInfo, TenantInfo};
pub use index::{BlockEntry, Filter, Index};
pub use merge::{DuplicateFile, MergeSource, MergeSummary, SourceLoss, merge};
pub use metadata::{ColumnInfo, Gap, GapReason, Header};
pub use reader::{Item, Loss, Survey, TraceError, TraceReader};
pub use record::{Outcome, Reason, Record, SortKey, hash_text};
pub use recorder::{Recorder, RecorderStatus, unix_now};
pub use retention::{RetentionConfig, StoredFile};
pub use rewrite::RewriteError;
pub use rotating_writer::{RecorderConfig, RotatingWriter, RotationResult, WriterCounters};
pub use storage::{DirectoryStorage, Storage};
pub use summary::{Group, GroupStatistics, Percentiles, Summary, SummaryRow};
pub use synthetic::{SyntheticLoad, generate_load};
pub use varint::zigzag_decode;
pub use writer::{BlockConfig, WriteError, Writer};

/// The newest format version that this crate writes and reads.
pub const NEWEST_VERSION: u32 = 2;

/// A time in microseconds since the Unix epoch, or a duration in microseconds.
pub type Micros = i64;
