//! Injects faults between the members of a cluster, in simulated time and between real processes,
//! and checks invariants.
//!
//! Input is a [`Plan`]: members by zone, leases that they want, faults with their times, and
//! bounds. What is played are the state machines and the program as they are in production:
//!
//! - [`simulate_membership`] plays the membership (`tulipgap-membership`: SWIM with Lifeguard's
//!   extensions), and [`simulate_leases`] voters, lease clients and their disks
//!   (`tulipgap-consensus`: Raft; `tulipgap-leases`; `tulipgap-write-ahead-log`), both in simulated
//!   time. A plan and a seed decide a run to the last message.
//! - [`run`] starts real processes of `tulipgapd` on loopback addresses, with a proxy for each link
//!   between them.
//!
//! Output is an outcome: the first violation of an invariant, the worst durations that were seen
//! beside the bounds, and counts. A run ends with its first violation. [`with_random_faults`] draws
//! faults from a seed, and [`minimize_faults`] leaves out those that a failure does not need.
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
