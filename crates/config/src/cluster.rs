//! The block `cluster`: membership of a cluster. Without it, a process neither listens for peers
//! nor contacts any.

use std::net::SocketAddr;
use std::path::PathBuf;

use garde::Validate;
use serde::Deserialize;

use crate::fault_injection::FaultInjectionConfig;
use crate::validators::{default_true, non_empty_path, socket_address, unique_names};

/// Membership of a cluster: this process, its peers and its voter.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct ClusterConfig {
    /// Whether the process joins the cluster.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub enabled: bool,
    /// The name of the cluster; frames of another cluster are rejected.
    #[garde(length(bytes, min = 1, max = 64))]
    pub name: String,
    /// The name of this process; by default, the name of the backend.
    #[garde(inner(length(bytes, min = 1, max = 64)))]
    pub member: Option<String>,
    /// The address and port, UDP and TCP, at which the other members reach this process.
    #[garde(custom(socket_address))]
    pub listen: String,
    /// The region of this process.
    #[garde(length(bytes, min = 1, max = 64))]
    pub region: String,
    /// The zone of this process.
    #[garde(length(bytes, min = 1, max = 64))]
    pub zone: String,
    /// A file of 16 bytes or more that all members have: the key that authenticates frames.
    #[garde(custom(non_empty_path))]
    pub key: PathBuf,
    /// Addresses through which this process finds members; some of each zone.
    #[serde(default)]
    #[garde(inner(custom(socket_address)))]
    pub seeds: Vec<String>,
    /// The members that vote on leases, three or five.
    #[serde(default)]
    #[garde(
        length(max = 7),
        inner(length(bytes, min = 1, max = 64)),
        custom(unique_names)
    )]
    pub voters: Vec<String>,
    /// The directory of a voter's files; only voters need it.
    #[garde(skip)]
    pub folder: Option<PathBuf>,
    /// The Unix socket for `tulipgap cluster` and `tulipgap lease`.
    #[garde(skip)]
    pub control: Option<PathBuf>,
    /// The maximum fraction by which the rate of a clock may be off.
    #[serde(default = "default_clock_off")]
    #[garde(range(min = 0.001, max = 0.3))]
    pub clock_off: f64,
    /// Limits on draining.
    #[garde(dive)]
    pub drain: Option<DrainConfig>,
    /// Faults to inject, for `tulipgap chaos` only.
    #[garde(dive)]
    pub trial: Option<FaultInjectionConfig>,
}

/// How many members of a zone may drain at a time. A member with a shutdown notice drains
/// regardless.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct DrainConfig {
    /// The maximum number of draining members of a zone.
    #[serde(default = "default_at_once")]
    #[garde(range(min = 1, max = 1000))]
    pub at_once: u32,
}

impl ClusterConfig {
    /// The addresses of `seeds`. All are valid in a file that was accepted; an invalid address is
    /// left out.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds
            .iter()
            .filter_map(|seed| seed.parse().ok())
            .collect()
    }
}

fn default_clock_off() -> f64 {
    0.05
}

fn default_at_once() -> u32 {
    1
}
