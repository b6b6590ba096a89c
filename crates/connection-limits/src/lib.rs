//! Limits on client connections: which are accepted, which are rejected at once, and which are
//! closed when descriptors are short.
//!
//! The crate is a state machine without I/O and without a clock. The host passes a [`Limiter`] the
//! [`Event`]s of its connections, each with the time since the start of the host, and carries out
//! the [`Action`]s that the limiter returns. The same events, in the same order and with the same
//! seed, give the same actions. The cost of an event does not grow with the number of open
//! connections, except for [`Event::Drain`] and for the deadlines that expire with the event.
//!
//! The limiter decides on:
//!
//! - **Admission** of a new connection: limits on the connections and the connection rate of an
//!   address and the networks around it, the slow start of a cold server, and descriptors reserved
//!   for clients that are known to behave well.
//! - **Eviction**: which connection is closed to free its descriptor. A connection with an open
//!   request is never evicted. If all are in use, the oldest are asked to close after their open
//!   requests are answered.
//! - **Timeouts**: connections that are idle, that do not complete a message, or that the client
//!   does not close when it is asked to.
//!
//! `docs/design-admission.md` has the alternatives and the measurements.
//!
//! ```
//! use std::time::Duration;
//! use tulipgap_connection_limits::{Action, Config, ConnectionId, Event, FullPolicy, Limiter};
//! use tulipgap_connection_limits::RejectReason;
//!
//! let config = Config {
//!     max_descriptors: 1,
//!     reservations: Vec::new(),
//!     network_limits: None,
//!     full_policy: FullPolicy::Reject,
//!     trusted_networks: Vec::new(),
//!     reputation_half_life: Duration::from_secs(600),
//!     message_timeout: Duration::from_secs(2),
//!     idle_timeout: Duration::from_secs(60),
//!     cold_start_fraction: 1.0,
//!     warm_up: Duration::ZERO,
//! };
//! let mut limiter = Limiter::new(config, 42)?;
//! let mut actions = Vec::new();
//! for index in 0..2 {
//!     let address = [10, 0, 0, 1].into();
//!     let event = Event::Accepted { connection: ConnectionId(index), address };
//!     limiter.handle_event(Duration::ZERO, event, &mut actions);
//! }
//! assert!(actions.contains(&Action::Serve { connection: ConnectionId(0) }));
//! let rejected = Action::Reject { connection: ConnectionId(1), reason: RejectReason::Full };
//! assert!(actions.contains(&rejected));
//! # Ok::<(), tulipgap_connection_limits::ConfigError>(())
//! ```
#![warn(missing_docs)]

mod accept_pause;
mod backlog_wait;
mod config;
mod connection;
mod connection_table;
mod deadlines;
mod descriptor_budget;
mod descriptor_owner;
mod event;
mod eviction;
mod known_clients;
mod limiter;
mod linked_queues;
mod network_counts;
mod network_limiter;
mod network_prefix;
mod pending_closes;
mod rate_sketch;
mod slow_start;
#[cfg(test)]
mod tests;
mod timeouts;
mod timer_wheel;

pub use config::{Config, ConfigError, ConnectionLimit, FullPolicy, NetworkLimits};
pub use descriptor_budget::DescriptorBudget;
pub use descriptor_owner::{DescriptorOwner, Reservation};
pub use event::{AcceptError, Action, CloseReason, ConnectionId, Event, RejectReason};
pub use limiter::Limiter;
pub use linked_queues::LinkedQueues;
pub use network_counts::NetworkCounts;
pub use network_prefix::{NetworkPrefix, ParsePrefixError};
pub use rate_sketch::RateSketch;
pub use timer_wheel::TimerWheel;
