//! Limits on the connections of an address and of the networks around it.
//!
//! A new connection is rejected if its address, its network or its wider network has too many open
//! connections, or has opened too many within [`RATE_WINDOW`]. This guards against one client, or a
//! few networks, that take all descriptors: without it other clients would find the server full
//! although it serves few clients. All three levels are checked, so an attacker with many addresses
//! reaches the limit of its network instead. The trade-off is that all clients of one address
//! translator share a limit; known clients get a multiple of it.

use std::net::IpAddr;
use std::time::Duration;

use crate::config::{ConnectionLimit, NetworkLimits};
use crate::event::RejectReason;
use crate::network_counts::NetworkCounts;
use crate::network_prefix::{EnclosingNetworks, NetworkPrefix};
use crate::rate_sketch::RateSketch;

/// The factor by which the connection limits are higher for known clients than for new ones.
const KNOWN_CLIENT_FACTOR: u32 = 4;
/// The window of the rate of new connections.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// The number of columns of the rate sketch, whose counters take 256 KB in total.
const SKETCH_COLUMNS: usize = 4096;
/// Distinguishes the seed of the rate sketch from that of the other hash tables.
const SKETCH_SEED: u64 = 0x5EED;

/// A limit, the network that it applies to, and the reasons for the rejection of connections that
/// exceed it.
struct NetworkCheck {
    network: NetworkPrefix,
    limit: ConnectionLimit,
    connections_reason: RejectReason,
    rate_reason: RejectReason,
}

/// Counts the connections of each network and compares them with the limits.
pub(crate) struct NetworkLimiter {
    /// `None` if connections are not limited by network.
    limits: Option<NetworkLimits>,
    /// The number of open connections of each address and network.
    open_connections: NetworkCounts,
    /// The number of connections that each address and network opened recently.
    open_rates: RateSketch,
}

impl NetworkLimiter {
    /// Creates a limiter for up to `max_connections` open connections and one that is being opened.
    pub(crate) fn new(limits: Option<NetworkLimits>, max_connections: usize, seed: u64) -> Self {
        let max_networks = (max_connections + 1) * EnclosingNetworks::COUNT;
        NetworkLimiter {
            limits,
            open_connections: NetworkCounts::new(max_networks, seed),
            open_rates: RateSketch::new(RATE_WINDOW, SKETCH_COLUMNS, seed ^ SKETCH_SEED),
        }
    }

    /// Admits a new connection of an address and records its opening.
    ///
    /// # Errors
    ///
    /// The first limit that the connection exceeds, the narrowest network first. A rejected
    /// connection is not recorded: otherwise a client that retries would be rejected indefinitely.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        address: IpAddr,
        is_known: bool,
    ) -> Result<(), RejectReason> {
        let Some(limits) = self.limits else {
            return Ok(());
        };
        for check in network_checks(limits, address) {
            self.check_open_connections(&check, is_known)?;
            // The rate of known clients is not limited: an estimate may include connections that
            // other networks opened.
            if !is_known {
                self.check_open_rate(now, &check)?;
            }
        }
        if !is_known {
            for network in EnclosingNetworks::of(address).all() {
                self.open_rates.record(now, network);
            }
        }
        Ok(())
    }

    fn check_open_connections(
        &self,
        check: &NetworkCheck,
        is_known: bool,
    ) -> Result<(), RejectReason> {
        let factor = if is_known { KNOWN_CLIENT_FACTOR } else { 1 };
        let max_connections = check.limit.max_connections.saturating_mul(factor);
        if self.open_connections.get(check.network) >= max_connections {
            return Err(check.connections_reason);
        }
        Ok(())
    }

    fn check_open_rate(&mut self, now: Duration, check: &NetworkCheck) -> Result<(), RejectReason> {
        let window_seconds = RATE_WINDOW.as_secs() as u32;
        let max_openings = check.limit.max_rate.saturating_mul(window_seconds);
        if self.open_rates.estimate(now, check.network) >= max_openings {
            return Err(check.rate_reason);
        }
        Ok(())
    }

    /// Counts a connection that is served.
    pub(crate) fn record_open(&mut self, address: IpAddr) {
        for network in EnclosingNetworks::of(address).all() {
            let is_counted = self.open_connections.increment(network);
            debug_assert!(
                is_counted,
                "invariant: open connections have at most `max_networks` networks"
            );
        }
    }

    /// Counts a connection as closed.
    pub(crate) fn record_close(&mut self, address: IpAddr) {
        for network in EnclosingNetworks::of(address).all() {
            self.open_connections.decrement(network);
        }
    }

    /// The number of open connections of one address.
    pub(crate) fn open_connections(&self, address: IpAddr) -> u32 {
        self.open_connections
            .get(NetworkPrefix::of_address(address))
    }

    /// A lower bound of the number of addresses with an open connection: each address adds at most
    /// [`EnclosingNetworks::COUNT`] networks.
    pub(crate) fn estimated_addresses(&self) -> f64 {
        self.open_connections.network_count() as f64 / EnclosingNetworks::COUNT as f64
    }
}

/// The checks of an address, the narrowest network first.
fn network_checks(
    limits: NetworkLimits,
    address: IpAddr,
) -> [NetworkCheck; EnclosingNetworks::COUNT] {
    let networks = EnclosingNetworks::of(address);
    [
        NetworkCheck {
            network: networks.address,
            limit: limits.address,
            connections_reason: RejectReason::AddressConnections,
            rate_reason: RejectReason::AddressRate,
        },
        NetworkCheck {
            network: networks.network,
            limit: limits.network,
            connections_reason: RejectReason::NetworkConnections,
            rate_reason: RejectReason::NetworkRate,
        },
        NetworkCheck {
            network: networks.wide_network,
            limit: limits.wide_network,
            connections_reason: RejectReason::WideNetworkConnections,
            rate_reason: RejectReason::WideNetworkRate,
        },
    ]
}
