//! A journal on a disk that may be full, may fail or may lose what was not synced. What was said to be written is there
//! after a crash; where that cannot be said, an error is, and nothing is written any more. docs/design-leases.md tells
//! what each kind of damage means.

mod disk;
mod faulty;
mod journal;

pub use disk::{Disk, Folder};
pub use faulty::{Faults, Faulty};
pub use journal::{Broken, Journal, Recovered};

/// What proofs plant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// What is written is not synced before it is told.
    NotSynced,
    /// A sync that failed is tried again, as though it had not.
    SyncRetried,
}
