//! Plays faults between the members of a cluster, in simulated time and between real processes, and checks what they promise. The state
//! machines are the very ones of `tulipgap-membership`. docs/rig.md has the file and the checks.

mod chaos;
mod check;
mod leases;
mod plan;
mod run;
mod simulate;
mod witness;

pub use chaos::{drawn, shrunk};
pub use check::{Broken, Worst};
pub use leases::{LeaseBroken, LeaseOutcome, Planted, simulate_leases};
pub use plan::{Checks, Fault, Left, Members, Plan, PlanError, Span, Trouble, Wanted};
pub use run::{RunError, RunOutcome, Seen, Serving, run};
pub use simulate::{Flaw, Outcome, simulate};
pub use witness::{Refused, Witness};
