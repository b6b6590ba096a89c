//! Which connections are let in, which are refused at once, and which are ended when places are short. A host tells an
//! [`Admission`] what happened to its connections, and carries out what comes back. No I/O and no clock: the same
//! news, in the same order and with the same seed, give the same acts. What an event costs does not grow with the
//! connections that are open.
//!
//! The decisions are in `decide.rs`; each structure that they stand on is a file of its own.

mod counts;
mod decide;
mod interface;
mod known;
mod ledger;
mod prefix;
mod queues;
mod sketch;
mod wheel;

pub use counts::Counts;
pub use decide::Admission;
pub use interface::*;
pub use known::Known;
pub use ledger::{Ledger, Part};
pub use prefix::Prefix;
pub use queues::Queues;
pub use sketch::Sketch;
pub use wheel::Wheel;
