//! Distributed leases with fencing tokens. A lease has a name, a TTL and a capacity: at most that
//! number of owners, often one, may act under the lease at a time, each until its TTL ends.
//!
//! The crate consists of three state machines. None of them does I/O or reads a clock:
//!
//! - [`LeaseStateMachine`] is replicated by consensus. Input: a [`Command`]; output: a
//!   [`Response`]. It grants slots, queues owners and issues fencing tokens. It has no notion of
//!   time.
//! - [`ExpiryTracker`] runs on the consensus leader. Input: the time and the applied commands;
//!   output: [`Command::Expire`] for each owner whose TTL has ended, even if the leader's clock is
//!   fast by the maximum drift.
//! - [`LeaseClient`] runs in each process that wants leases. Input: an [`Event`]; output:
//!   [`Action`]s. It requests and renews, and issues a [`LeaseGuard`] only while a lease is
//!   certainly valid.
//!
//! Times are durations since a moment that each process chooses, read from a clock that keeps
//! running while the machine is suspended. The rate of a clock may be off by
//! [`Config::max_clock_drift_permille`]. All randomness comes from the seed passed to
//! [`LeaseClient::new`], so runs are reproducible.
//!
//! The scheme is that of Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
//! distributed file cache consistency" (SOSP 1989), with fencing tokens for owners that are paused
//! during an operation. `docs/design-leases.md` contains the argument why two owners never act
//! under one slot at the same time.
//!
//! ```
//! use std::time::Duration;
//! use tulipgap_leases::{
//!     Action, Config, Event, FencingToken, Incarnation, LeaseClient, LeaseSpec, LeaseStateMachine,
//!     Owner,
//! };
//!
//! # fn main() -> Result<(), tulipgap_leases::StaleGuard> {
//! let owner = Owner { name: "north-1".into(), incarnation: Incarnation(1) };
//! let mut client = LeaseClient::new(owner, vec!["voter-1".into()], Config::default(), 7);
//! // In a cluster, consensus replicates the state machine, and commands cross the network.
//! let mut state_machine = LeaseStateMachine::default();
//!
//! let spec = LeaseSpec { ttl: Duration::from_secs(2), capacity: 1 };
//! let max_operation = Duration::from_millis(100);
//! let now = Duration::ZERO;
//! let acquire = Event::Acquire { lease: "prober".into(), spec, max_operation, wait: true };
//! for action in client.handle_event(now, acquire) {
//!     if let Action::Send { request, command, .. } = action {
//!         let response = state_machine.apply(&command);
//!         let incarnation = Incarnation(1);
//!         client.handle_event(now, Event::Response { incarnation, request, response });
//!     }
//! }
//! let guard = client.acquire_guard(now, "prober")?;
//! assert_eq!(client.check_guard(now, &guard)?, FencingToken(1));
//! // Without a renewal the guard is stale before the TTL ends.
//! assert!(client.check_guard(Duration::from_millis(1900), &guard).is_err());
//! # Ok(())
//! # }
//! ```

mod client;
mod expiry;
mod injected_bug;
mod lease;
mod protocol;
mod state_machine;

pub use client::{
    Action, Config, Event, LeaseClient, LeaseGuard, LeaseStatus, LossReason, StaleGuard,
};
pub use expiry::ExpiryTracker;
pub use injected_bug::InjectedBug;
pub use lease::{Lease, LeaseHolder, QueuedOwner};
pub use protocol::{
    Command, FencingToken, Incarnation, LeaseSpec, MAX_CAPACITY, MAX_LEASE_TTL, MAX_LEASES,
    MAX_NAME_BYTES, MAX_QUEUED_OWNERS, MAX_WANTED_LEASES, MIN_LEASE_TTL, Name, Owner, RejectReason,
    RenewalNumber, RequestId, Response,
};
pub use state_machine::LeaseStateMachine;
