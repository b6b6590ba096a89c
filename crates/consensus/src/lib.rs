//! Consensus on leases: three or five voters agree on the holders of each lease, command by
//! command, and elect a leader.
//!
//! The algorithm is Raft (Ongaro and Ousterhout, "In search of an understandable consensus
//! algorithm", 2014) with pre-vote and the leader's check of its quorum, as implemented by the
//! crate `raft`. Section numbers in the modules refer to that paper, or to Ongaro's dissertation
//! ("Consensus: bridging theory and practice", 2014) where a module says so. A [`Voter`] drives the
//! crate without a clock and samples every random value from a seed, so that a simulation with the
//! same seed repeats exactly, down to the last message.
//!
//! Input: an [`Event`] and the time. Output: [`Action`]s, which the host performs in order, since a
//! write must be durable before the messages after it are sent. A [`DurableVoter`] combines a voter
//! with its write-ahead log and performs the writes. This crate adds to Raft:
//!
//! - bootstrap: how the initial voters find each other, each identified by an id that was sampled
//!   when its directory was created;
//! - rollback detection: a voter whose directory was rolled back to an older state must not vote
//!   again;
//! - the steps by which one voter replaces another;
//! - linearizable reads (Raft's read index).
//!
//! `docs/design-leases.md` gives the reasons.
//!
//! ```
//! use std::collections::{BTreeMap, VecDeque};
//! use std::time::Duration;
//!
//! use tulipgap_consensus::{Action, Config, DurableVoter, Event};
//! use tulipgap_leases::Name;
//! use tulipgap_write_ahead_log::FaultyDisk;
//!
//! # fn main() -> Result<(), tulipgap_consensus::VoterError> {
//! let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
//! let mut voters = BTreeMap::new();
//! for (name, seed) in names.iter().zip(1..) {
//!     let disk = FaultyDisk::default();
//!     let voter = DurableVoter::open(Config::default(), name, names.clone(), disk, seed)?;
//!     voters.insert(name.clone(), voter);
//! }
//! let mut now = Duration::ZERO;
//! while !voters.values().any(|voter| voter.voter().is_leader()) {
//!     now += Duration::from_millis(100);
//!     let timers = names.iter().map(|name| (name.clone(), Event::TimerElapsed));
//!     let mut network: VecDeque<(Name, Event)> = timers.collect();
//!     while let Some((to, event)) = network.pop_front() {
//!         let Some(voter) = voters.get_mut(&to) else { continue };
//!         let (actions, written) = voter.handle_events(now, vec![event]);
//!         written?;
//!         for action in actions {
//!             if let Action::Send { to: next, message } = action {
//!                 network.push_back((next, Event::PeerMessage { from: to.clone(), message }));
//!             }
//!         }
//!     }
//! }
//! # Ok(())
//! # }
//! ```

mod bootstrap;
mod config;
mod durable_voter;
mod error;
mod event;
mod identity;
#[cfg(feature = "injected-bugs")]
mod injected_bug;
mod log_store;
mod notice;
mod peer_message;
mod replicated_state;
mod status;
mod voter;

pub use config::{Config, MAX_VOTERS};
pub use durable_voter::DurableVoter;
pub use error::{LoadError, VoterError};
pub use event::{Action, Event, MAX_LISTED_LEASES};
#[cfg(feature = "injected-bugs")]
pub use injected_bug::InjectedBug;
pub use notice::{InvalidData, Notice};
pub use peer_message::{BootstrapStage, LogPosition, PeerMessage, VoterId};
pub use status::{VoterPhase, VoterStatus};
pub use voter::Voter;
