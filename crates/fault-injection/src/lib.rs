//! Injects faults into a cluster, in simulated time or between real processes, and checks
//! invariants.
//!
//! The input is a [`Plan`]: members by zone, the leases that they want, faults with their times,
//! and bounds. The state machines and the program run as they do in production:
//!
//! - [`simulate_membership`] simulates the membership (`tulipgap-membership`: SWIM with Lifeguard's
//!   extensions). [`simulate_leases`] simulates voters, lease clients and their disks
//!   (`tulipgap-consensus`: Raft; `tulipgap-leases`; `tulipgap-write-ahead-log`). A plan and a seed
//!   determine a simulated run down to the last message.
//! - [`run`] starts real `tulipgapd` processes on loopback addresses, with a proxy for each link
//!   between them.
//!
//! The output is an outcome: the first violation of an invariant, the worst duration for each
//! bound, and counts. A run ends with its first violation. [`with_random_faults`] samples faults
//! from a seed, and [`minimize_faults`] removes the faults that are not needed to reproduce a
//! failure.
//!
//! `docs/chaos.md` lists the keys of a plan file and the invariants.
//!
//! ```
//! use tulipgap_fault_injection::{Plan, simulate_membership};
//!
//! # fn main() -> Result<(), tulipgap_fault_injection::PlanError> {
//! let plan = Plan::parse(
//!     r#"
//!     length = 60
//!     members {
//!       zone = "north"
//!       count = 3
//!     }
//!     crash {
//!       at = 10
//!       of = "north-2"
//!       back = 40
//!     }
//!     "#,
//! )?;
//! let outcome = simulate_membership(&plan, 7, None);
//! assert_eq!(outcome.violation, None);
//! assert_eq!(outcome.detections.len(), 1);
//! # Ok(())
//! # }
//! ```

mod fault_schedule;
mod history_checker;
mod invariants;
mod lease_simulation;
mod membership_simulation;
mod plan;
mod processes;
mod random_faults;
mod scheduler;
mod simulated_network;

pub use history_checker::{HistoryChecker, OperationError};
pub use invariants::{MembershipInvariant, MembershipViolation, WorstDurations};
pub use lease_simulation::{
    InjectedBugs, LeaseInvariant, LeaseOutcome, LeaseViolation, simulate_leases,
};
pub use membership_simulation::{
    DetectionTimes, MembershipBug, MembershipOutcome, simulate_membership,
};
pub use plan::{
    Bounds, DirectoryAfterCrash, DiskFault, Fault, Member, OperationStep, Plan, PlanError,
    PlannedLease, TimeWindow, ZoneMembers,
};
pub use processes::{
    MemberEndpoints, MemberPause, OperationPhase, OperationRecord, RunError, RunOutcome,
    RunViolation, run,
};
pub use random_faults::{minimize_faults, with_random_faults};
