//! Leases: up to so many owners at a time, often one, may act under a name until a TTL ends.
//!
//! Three state machines decide, none of which does I/O or reads a clock:
//!
//! - [`LeaseStateMachine`] is replicated by consensus. Input: a [`Command`]; output: a
//!   [`Response`]. It grants slots, queues owners and hands out fencing tokens, and knows no time.
//! - [`ExpiryTracker`] runs on the consensus leader. Input: the time and which commands were
//!   applied; output: [`Command::Expire`] for each owner whose TTL is over by any clock.
//! - [`LeaseClient`] runs in each process that wants leases. Input: an [`Event`]; output:
//!   [`Action`]s. It requests and renews, and issues a [`LeaseGuard`] only while a lease is
//!   certainly valid.
//!
//! Times are durations since a start that each process chooses, by a clock that goes on while the
//! machine sleeps. Clocks may differ in rate by [`Config::max_clock_drift_permille`]. Everything
//! random is drawn from the seed that the client was made with, so runs can be repeated.
//!
//! The scheme is that of Gray and Cheriton, "Leases: an efficient fault-tolerant mechanism for
//! distributed file cache consistency" (SOSP 1989), with fencing tokens for owners that are paused
//! while they act. `docs/design-leases.md` argues why two owners of one slot never act at once.
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
//! // In a cluster this one is replicated, and the network is between the two.
//! let mut state_machine = LeaseStateMachine::default();
//!
//! let spec = LeaseSpec { ttl: Duration::from_secs(2), capacity: 1 };
//! let max_step = Duration::from_millis(100);
//! let now = Duration::ZERO;
//! let acquire = Event::Acquire { lease: "prober".into(), spec, max_step, wait: true };
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
