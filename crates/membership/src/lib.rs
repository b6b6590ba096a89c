//! Cluster membership: which processes belong to a cluster, which of them are alive, and which of
//! them can reach each other.
//!
//! The crate is a state machine without I/O and without a clock. The host passes in [`Event`]s with
//! the time elapsed since it started, and carries out the [`Action`]s that are returned: send a
//! message, set a timer, record that the state of a member has changed. All random choices derive
//! from the seed, so a run can be reproduced.
//!
//! It is responsible for:
//!
//! - **Failure detection**: [`Membership`] probes one member in each protocol period, directly and
//!   then through relays. A member that answers in neither way becomes suspect; [`Membership`]
//!   declares it dead if it does not refute the suspicion in time.
//! - **Dissemination**: updates about members are piggybacked on the messages of the failure
//!   detector, and the complete state is exchanged with a random member at a longer interval
//!   (push-pull).
//! - **Reachability**: the reports of relays distinguish a crashed member from a broken link
//!   between two live ones ([`Reachability`]).
//! - **Name conflicts**: if two processes use one name, all members keep the same process and the
//!   other stops.
//! - **Dependency probing**: [`dependency_probe`] decides which process of a zone probes a
//!   dependency that is down.
//!
//! The protocol is SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", 2002) with the three extensions of Lifeguard (Dadgar,
//! Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection",
//! 2017). `docs/design-cluster.md` has a table of the rules with their files, the alternatives and
//! the measurements.
//!
//! Each rule has its own module: a component with its own state, or a function, that decides on
//! named inputs. [`Membership`] owns the components and drives them.
//!
//! ```
//! use std::time::Duration;
//! use tulipgap_membership::{Action, Config, Event, Incarnation, Membership, Node};
//! use tulipgap_membership::SUPPORTED_VERSIONS;
//!
//! let node = Node {
//!     name: "north-1".into(),
//!     address: ([127, 0, 0, 1], 7100).into(),
//!     region: "coast".into(),
//!     zone: "north".into(),
//!     version: *SUPPORTED_VERSIONS.end(),
//! };
//! let seeds = vec![([127, 0, 0, 2], 7100).into()];
//! let config = Config { seeds: seeds.clone(), ..Config::default() };
//! let mut membership = Membership::new(config, node, Incarnation::default(), 42)?;
//!
//! // The first action is a timer; when it expires, the node asks the seed to let it join.
//! let actions = membership.handle_events(Duration::ZERO, &[Event::Started]);
//! let [Action::SetTimer { at }] = actions[..] else { panic!("{actions:?}") };
//! let actions = membership.handle_events(at, &[Event::TimerExpired]);
//! assert!(matches!(&actions[0], Action::Send { to, .. } if *to == seeds[0]));
//! # Ok::<(), tulipgap_membership::ConfigError>(())
//! ```
#![warn(missing_docs)]

mod anti_entropy;
mod broadcast_queue;
mod config;
pub mod dependency_probe;
mod event;
mod failure_detector;
mod local_health;
mod local_node;
mod member_table;
mod membership;
mod message;
mod metadata;
mod name_conflict;
mod node;
mod probe_round;
mod reachability;
mod refutation;
mod relayed_probes;
mod suspicion;
#[cfg(test)]
mod tests;
mod timer;
mod update_precedence;

pub use config::{Config, ConfigError};
pub use event::{Action, Event};
pub use member_table::MemberRecord;
pub use membership::Membership;
pub use message::{
    Incarnation, MemberState, MemberUpdate, Message, MessageBody, RelayedProbeOutcome,
    SequenceNumber,
};
pub use metadata::{MAX_METADATA_ENTRIES, MAX_METADATA_TEXT_BYTES, Metadata, MetadataError};
pub use node::{MAX_NAME_BYTES, Node, NodeName, SUPPORTED_VERSIONS};
pub use reachability::{MAX_UNREACHABLE_PEERS, Reachability};
