//! The block `admission`: limits on client connections.

use std::time::Duration;

use garde::Validate;
use serde::Deserialize;
use tulipgap_connection_limits::{FullPolicy, NetworkPrefix};

use crate::validators::{default_true, duration_between};

/// The value of `when_full` for rejecting new connections.
const REJECT: &str = "refuse";
/// The value of `when_full` for leaving new connections in the backlog.
const WAIT: &str = "wait";

/// Limits on client connections. The defaults of the limits follow from the number of descriptors
/// and the number of callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
pub struct ConnectionLimitsConfig {
    /// Whether connections are limited by their addresses.
    #[serde(default = "default_true")]
    #[garde(skip)]
    pub enabled: bool,
    /// The policy for new connections when all descriptors are in use: "refuse" rejects them,
    /// "wait" leaves them in the backlog.
    #[serde(default = "default_when_full")]
    #[garde(custom(full_policy_word))]
    pub when_full: String,
    /// The fraction of the descriptors that is reserved for known clients.
    #[serde(default = "default_known_part")]
    #[garde(range(min = 0.0, max = 0.9))]
    pub known_part: f64,
    /// Networks whose clients are known from the start.
    #[serde(default)]
    #[garde(inner(custom(network_prefix)))]
    pub known: Vec<String>,
    /// The half-life of the reputation of a known client.
    #[serde(default = "default_half_life", with = "humantime_serde")]
    #[garde(custom(duration_between(Duration::from_secs(10), Duration::from_secs(86_400))))]
    pub half_life: Duration,
    /// The fraction of the descriptors that a cold server uses; it rises to 1 while the server
    /// warms up.
    #[serde(default = "default_cold_part")]
    #[garde(range(min = 0.05, max = 1.0))]
    pub cold_part: f64,
    /// The limits of an address (/32, /128).
    #[serde(default)]
    #[garde(dive)]
    pub address: NetworkLimitConfig,
    /// The limits of the network around an address (/24, /64).
    #[serde(default)]
    #[garde(dive)]
    pub network: NetworkLimitConfig,
    /// The limits of the wider network around an address (/16, /48).
    #[serde(default)]
    #[garde(dive)]
    pub wide: NetworkLimitConfig,
}

/// The limits of an address, or of a network.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Validate)]
pub struct NetworkLimitConfig {
    /// The maximum number of open connections.
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub open: Option<u32>,
    /// The maximum number of new connections per second, as a mean over three seconds.
    #[garde(inner(range(min = 1, max = 1_000_000)))]
    pub rate: Option<u32>,
}

impl ConnectionLimitsConfig {
    /// The policy for new connections when all descriptors are in use.
    pub fn full_policy(&self) -> FullPolicy {
        if self.when_full == WAIT {
            FullPolicy::Wait
        } else {
            FullPolicy::Reject
        }
    }
}

fn default_when_full() -> String {
    REJECT.into()
}

fn default_known_part() -> f64 {
    0.5
}

fn default_half_life() -> Duration {
    Duration::from_secs(600)
}

fn default_cold_part() -> f64 {
    1.0
}

fn full_policy_word(word: &str, _: &()) -> garde::Result {
    if matches!(word, REJECT | WAIT) {
        Ok(())
    } else {
        Err(garde::Error::new(format!(
            "'{word}' is neither \"{REJECT}\" nor \"{WAIT}\""
        )))
    }
}

fn network_prefix(text: &str, _: &()) -> garde::Result {
    text.parse::<NetworkPrefix>()
        .map(|_| ())
        .map_err(garde::Error::new)
}
