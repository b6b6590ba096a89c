//! Derives the limits on client connections from the configuration.

use std::time::Duration;

use tulipgap_config::{ConnectionLimitsConfig, NetworkLimitConfig};
use tulipgap_connection_limits::{
    Config, ConnectionLimit, DescriptorOwner, FullPolicy, NetworkLimits, Reservation,
};

use crate::config::ServerConfig;
use crate::net::frontend::{IDLE_MARGIN, MESSAGE_TIMEOUT, RESERVED_DESCRIPTORS};

/// The default half-life of a client's reputation.
const DEFAULT_HALF_LIFE: Duration = Duration::from_secs(600);
/// The minimum number of callers among which the default limits of an address divide the capacity.
const MIN_CALLERS: u32 = 4;
/// The default limit on the connections of an address, as a multiple of a caller's equal share.
const SHARE_FACTOR: usize = 2;
/// The minimum of the default limit on the connections of an address.
const MIN_CONNECTIONS_PER_ADDRESS: usize = 4;
/// The minimum of the default limit on new connections per second.
const MIN_CONNECTIONS_PER_S: u32 = 8;

/// The connection limits of this server. Unless the block `admission` enables them, a connection
/// without a free descriptor waits in the backlog, and no limit applies to an address. Limits that
/// the block omits are derived from the capacity and the number of callers.
pub(crate) fn limiter_config(
    config: &ServerConfig,
    store_connections: usize,
    admission: Option<&ConnectionLimitsConfig>,
) -> Config {
    let store_connections =
        store_connections.min(config.sockets.saturating_sub(RESERVED_DESCRIPTORS + 1));
    let default = Config {
        max_descriptors: config.sockets,
        reservations: vec![
            Reservation {
                owner: DescriptorOwner::Process,
                descriptors: RESERVED_DESCRIPTORS,
            },
            Reservation {
                owner: DescriptorOwner::Store,
                descriptors: store_connections,
            },
        ],
        network_limits: None,
        full_policy: FullPolicy::Wait,
        trusted_networks: Vec::new(),
        reputation_half_life: DEFAULT_HALF_LIFE,
        message_timeout: MESSAGE_TIMEOUT,
        idle_timeout: config.controller.idle_timeout.saturating_add(IDLE_MARGIN),
        cold_start_fraction: 1.0,
        warm_up: Duration::ZERO,
    };
    match admission.filter(|admission| admission.enabled) {
        Some(admission) => {
            let client_descriptors = config.sockets - RESERVED_DESCRIPTORS - store_connections;
            configured_limits(config, client_descriptors, admission, default)
        }
        None => default,
    }
}

fn configured_limits(
    config: &ServerConfig,
    client_descriptors: usize,
    admission: &ConnectionLimitsConfig,
    default: Config,
) -> Config {
    // Twice the equal share of a caller, but never all of a capacity of more than
    // `MIN_CONNECTIONS_PER_ADDRESS` connections.
    let share =
        SHARE_FACTOR * client_descriptors / config.controller.callers.max(MIN_CALLERS) as usize;
    let all_but_one = client_descriptors.max(MIN_CONNECTIONS_PER_ADDRESS + 1) - 1;
    let per_address = share.clamp(MIN_CONNECTIONS_PER_ADDRESS, all_but_one) as u32;
    let per_network = (client_descriptors as u32).max(1);
    let mut reservations = default.reservations;
    let known_clients = (client_descriptors as f64 * admission.known_part) as usize;
    reservations.push(Reservation {
        owner: DescriptorOwner::KnownClients,
        descriptors: known_clients,
    });
    Config {
        reservations,
        network_limits: Some(NetworkLimits {
            address: limit(&admission.address, per_address),
            network: limit(&admission.network, per_network),
            wide_network: limit(&admission.wide, per_network),
        }),
        full_policy: admission.full_policy(),
        // The networks were validated when the file was read.
        trusted_networks: admission
            .known
            .iter()
            .filter_map(|network| network.parse().ok())
            .collect(),
        reputation_half_life: admission.half_life,
        cold_start_fraction: admission.cold_part,
        warm_up: if config.controller.starts_cold {
            config.controller.warm_up
        } else {
            Duration::ZERO
        },
        ..default
    }
}

fn limit(configured: &NetworkLimitConfig, default_connections: u32) -> ConnectionLimit {
    let max_connections = configured.open.unwrap_or(default_connections);
    let max_rate = configured
        .rate
        .unwrap_or(max_connections.max(MIN_CONNECTIONS_PER_S));
    ConnectionLimit {
        max_connections,
        max_rate,
    }
}

#[cfg(test)]
#[path = "connection_limits_tests.rs"]
mod tests;
