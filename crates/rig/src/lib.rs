//! Plays faults between the members of a cluster, in simulated time so far, and checks what they promise. The state
//! machines are the very ones of `tulipgap-cluster`. docs/rig.md has the file and the checks.

mod check;
mod plan;
mod simulate;

pub use check::{Broken, Worst};
pub use plan::{Checks, Fault, Members, Plan, PlanError, Span};
pub use simulate::{Flaw, Outcome, simulate};
