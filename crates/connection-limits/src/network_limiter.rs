//! Limits on the connections of an address and of the networks around it.
//!
//! A new connection is rejected where its address, its network or its wider network has too many
//! open connections, or has opened too many in the last seconds. This guards against one client, or
//! a few networks, that take all descriptors: without it others find the server full although it
//! serves few clients. It holds because the three levels are checked together, so that an attacker
//! with many addresses meets the limit of the network instead. The price is that clients behind one
//! address translator share a limit; known clients get a multiple of it.

use std::net::IpAddr;
use std::time::Duration;

use crate::config::{ConnectionLimit, NetworkLimits};
use crate::event::RejectReason;
use crate::network_counts::NetworkCounts;
use crate::network_prefix::{EnclosingNetworks, NetworkPrefix};
use crate::rate_sketch::RateSketch;

/// How many times the connections of a new client a known one may have.
const KNOWN_CLIENT_FACTOR: u32 = 4;
/// The window over which the rate of new connections is measured.
const RATE_WINDOW: Duration = Duration::from_secs(3);
/// The number of columns of the rate sketch, which takes 256 KB in all.
const SKETCH_COLUMNS: usize = 4096;
/// Distinguishes the seed of the rate sketch from that of the other hash tables.
const SKETCH_SEED: u64 = 0x5EED;

/// A limit with the network that it holds for and the reasons for which a connection beyond it is
/// rejected.
struct NetworkCheck {
    network: NetworkPrefix,
    limit: ConnectionLimit,
    connections_reason: RejectReason,
    rate_reason: RejectReason,
}

/// Counts the connections of each network and compares them with the limits.
pub(crate) struct NetworkLimiter {
    /// `None` where connections are not limited by network.
    limits: Option<NetworkLimits>,
    /// The open connections of each address and network.
    open_connections: NetworkCounts,
    /// The connections that each address and network opened recently.
    open_rates: RateSketch,
}

impl NetworkLimiter {
    /// A limiter for up to `max_connections` open connections, and one that is about to open.
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
    /// connection is not recorded: otherwise a client that retries would be rejected for ever.
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
            // The rate of known clients is not limited: an estimate may contain the openings of
            // others.
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
                "invariant: there are no more networks than connections can have"
            );
        }
    }

    /// Counts a connection as closed.
    pub(crate) fn record_close(&mut self, address: IpAddr) {
        for network in EnclosingNetworks::of(address).all() {
            self.open_connections.decrement(network);
        }
    }

    /// The open connections of one address.
    pub(crate) fn open_connections(&self, address: IpAddr) -> u32 {
        self.open_connections
            .get(NetworkPrefix::of_address(address))
    }

    /// An estimate, from below, of the number of addresses with an open connection: each accounts
    /// for [`EnclosingNetworks::COUNT`] networks at the most.
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
