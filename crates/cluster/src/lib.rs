//! Who belongs to a cluster and who reaches whom, as decisions: SWIM with the suspicion and the local health of the
//! Lifeguard paper. Events in, actions out; no I/O, no clock, everything drawn comes from the seed.
//! docs/design-cluster.md tells why it is as it is.

mod interface;
mod members;
pub mod probing;
mod spread;

pub use interface::*;
pub use members::{Held, Members};
