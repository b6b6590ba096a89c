//! A write-ahead log: records in order, each durable before it is acknowledged, and a snapshot that
//! replaces all records before it.
//!
//! On opening, the log interprets damaged files. A torn last record, which a crash cut short, was
//! never acknowledged and is dropped. Any other damage may affect an acknowledged record, so
//! [`WriteAheadLog::open`] fails and names the file and the byte. After a failed write or sync the
//! log rejects all further writes: a second sync may succeed although the data of the first is
//! lost.
//!
//! Input: payloads to append, snapshots, and small named files. Output: [`Recovered`] after
//! opening, and a [`LogError`] if durability can't be guaranteed. All I/O uses [`Disk`]:
//! [`Directory`] is the implementation on a file system, [`FaultyDisk`] one in memory that fails on
//! demand. `docs/design-leases.md` lists each kind of damage and its handling.
//!
//! ```
//! use tulipgap_write_ahead_log::{FaultyDisk, WriteAheadLog};
//!
//! # fn main() -> Result<(), tulipgap_write_ahead_log::LogError> {
//! let disk = FaultyDisk::default();
//! let (mut log, recovered) = WriteAheadLog::open(disk.clone())?;
//! assert!(recovered.records.is_empty());
//! log.append(b"acknowledged once this returns")?;
//!
//! disk.crash(|unsynced_bytes| unsynced_bytes / 2);
//! let (_, recovered) = WriteAheadLog::open(disk)?;
//! assert_eq!(recovered.records, [b"acknowledged once this returns"]);
//! # Ok(())
//! # }
//! ```

mod corruption;
mod disk;
mod error;
mod fault_injection;
mod log;
mod record;
mod recovery;

pub use corruption::Corruption;
pub use disk::{Directory, Disk};
pub use error::LogError;
pub use fault_injection::{DiskFaults, DiskUsage, FaultyDisk};
pub use log::{InjectedBug, Recovered, WriteAheadLog};
