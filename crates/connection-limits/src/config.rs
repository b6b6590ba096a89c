//! The parameters of the limiter.

use std::time::Duration;

use crate::descriptor_owner::Reservation;
use crate::network_prefix::NetworkPrefix;

/// The limits on the connections of one address or one network.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionLimit {
    /// The maximum number of open connections.
    pub max_connections: u32,
    /// The maximum number of new connections per second, on average over three seconds: a burst of
    /// three seconds' worth is accepted at once.
    pub max_rate: u32,
}

/// The limits of an address and of the networks around it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkLimits {
    /// The limit of one address.
    pub address: ConnectionLimit,
    /// The limit of its network: /24 of IPv4, /64 of IPv6.
    pub network: ConnectionLimit,
    /// The limit of its wider network: /16 of IPv4, /48 of IPv6.
    pub wide_network: ConnectionLimit,
}

/// How a new connection is handled when no descriptor is available for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FullPolicy {
    /// It waits in the backlog of the listener.
    Wait,
    /// It is accepted and closed at once, so that the client can retry on another server.
    Reject,
}

/// The parameters of a [`Limiter`](crate::Limiter).
#[derive(Clone, Debug)]
pub struct Config {
    /// The maximum number of descriptors of the process.
    pub max_descriptors: usize,
    /// The descriptors that are reserved for each owner. Several reservations for one owner add up.
    pub reservations: Vec<Reservation>,
    /// The limits by network; `None` if connections are not limited by network.
    pub network_limits: Option<NetworkLimits>,
    /// How a new connection is handled when no descriptor is available for it.
    pub full_policy: FullPolicy,
    /// Networks whose clients are known from the start.
    pub trusted_networks: Vec<NetworkPrefix>,
    /// The half-life of a client's reputation.
    pub reputation_half_life: Duration,
    /// The time limit for the first message of a connection, and for a message from its first byte
    /// to its last.
    pub message_timeout: Duration,
    /// The time without use after which the limiter asks a client to close its connection.
    pub idle_timeout: Duration,
    /// The fraction of the capacity that a cold server accepts at its start, from 0 to 1. It rises
    /// to 1 during the warm-up.
    pub cold_start_fraction: f64,
    /// The length of the warm-up; zero for a server that starts warm.
    pub warm_up: Duration,
}

/// Why a configuration was rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The reservations exceed the number of descriptors.
    #[error("{reserved} descriptors are reserved, but the limit is {limit}")]
    ReservationsExceedLimit {
        /// The sum of the reservations.
        reserved: usize,
        /// [`Config::max_descriptors`].
        limit: usize,
    },
}
