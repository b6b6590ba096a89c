//! Admission of new connections.

use std::net::IpAddr;
use std::time::Duration;

use crate::config::ConnectionLimit;
use crate::connection::Connection;
use crate::descriptor_budget::DescriptorOwner;
use crate::event::{Action, ConnectionId, RejectReason};
use crate::eviction::Urgency;
use crate::limiter::{Limiter, RATE_WINDOW};
use crate::network_prefix::{EnclosingNetworks, NetworkPrefix};

/// A known client may have this many times the connections of a new one.
const KNOWN_CLIENT_FACTOR: u32 = 4;
/// The fraction of the capacity beyond which idle connections are closed.
const SATURATION_FRACTION: f64 = 0.85;
/// Below this fraction of the warm-up's capacity an address is not held to its equal share.
const FAIR_SHARE_FRACTION: f64 = 0.5;

/// A limit with the network that it holds for and the reasons for which a connection beyond it is
/// rejected.
struct NetworkCheck {
    network: NetworkPrefix,
    limit: ConnectionLimit,
    connections_reason: RejectReason,
    rate_reason: RejectReason,
}

impl Limiter {
    /// Serves or rejects a connection that was accepted.
    pub(crate) fn handle_accepted(
        &mut self,
        now: Duration,
        id: ConnectionId,
        address: IpAddr,
        actions: &mut Vec<Action>,
    ) {
        let address = address.to_canonical();
        let is_known = self.is_known(now, address);
        let gradually = Urgency::Gradual {
            for_known_client: is_known,
        };
        if let Some(reason) = self.reject_reason(now, address, is_known) {
            if reason == RejectReason::Full {
                // The next connection finds a descriptor, where one can be freed.
                self.make_room(now, gradually, None, actions);
            }
            return actions.push(Action::Reject {
                connection: id,
                reason,
            });
        }
        self.open(now, id, address, owner(is_known));
        actions.push(Action::Serve { connection: id });
        // Before the new connection is in its eviction class: none is evicted for having just been
        // accepted.
        if self.open_connections as f64 > self.capacity as f64 * SATURATION_FRACTION {
            self.make_room(now, gradually, None, actions);
        }
        self.update_eviction_class(id);
        self.timers
            .set(id.0, now.saturating_add(self.config.message_timeout));
        if self.is_draining {
            self.request_close(now, id, actions);
        }
    }

    /// Counts a connection that is served.
    fn open(&mut self, now: Duration, id: ConnectionId, address: IpAddr, owner: DescriptorOwner) {
        let is_acquired = self.descriptors.try_acquire(owner);
        debug_assert!(
            is_acquired,
            "invariant: a connection that is served has a descriptor"
        );
        for network in EnclosingNetworks::of(address).all() {
            let is_counted = self.network_counts.increment(network);
            debug_assert!(
                is_counted,
                "invariant: there are no more networks than connections can have"
            );
        }
        if self.connections.len() <= id.0 {
            self.connections.resize_with(id.0 + 1, || None);
        }
        self.connections[id.0] = Some(Connection::new(address, owner, now));
        self.open_connections += 1;
    }

    fn is_known(&self, now: Duration, address: IpAddr) -> bool {
        let mut trusted_networks = self.config.trusted_networks.iter();
        trusted_networks.any(|network| network.contains(address))
            || self.known_clients.is_known(now, address)
    }

    fn reject_reason(
        &mut self,
        now: Duration,
        address: IpAddr,
        is_known: bool,
    ) -> Option<RejectReason> {
        if let Some(reason) = self.exceeded_network_limit(now, address, is_known) {
            return Some(reason);
        }
        if self.exceeds_warm_up_capacity(now, address) {
            return Some(RejectReason::WarmingUp);
        }
        (self.descriptors.available(owner(is_known)) == 0).then_some(RejectReason::Full)
    }

    /// The first limit of the address and its networks that the connection exceeds.
    fn exceeded_network_limit(
        &mut self,
        now: Duration,
        address: IpAddr,
        is_known: bool,
    ) -> Option<RejectReason> {
        for check in self.network_checks(address)? {
            let factor = if is_known { KNOWN_CLIENT_FACTOR } else { 1 };
            if self.network_counts.get(check.network)
                >= check.limit.max_connections.saturating_mul(factor)
            {
                return Some(check.connections_reason);
            }
            // The rate of known clients is not limited: an estimate may contain the openings of
            // others.
            let max_openings = check
                .limit
                .max_rate
                .saturating_mul(RATE_WINDOW.as_secs() as u32);
            if !is_known && self.open_rates.estimate(now, check.network) >= max_openings {
                return Some(check.rate_reason);
            }
        }
        // A rejected connection does not count: otherwise a client that retries would be rejected
        // for ever.
        if !is_known {
            for network in EnclosingNetworks::of(address).all() {
                self.open_rates.record(now, network);
            }
        }
        None
    }

    /// The checks of an address, the narrowest network first; none where there are no limits.
    fn network_checks(&self, address: IpAddr) -> Option<[NetworkCheck; EnclosingNetworks::COUNT]> {
        let limits = self.config.network_limits?;
        let networks = EnclosingNetworks::of(address);
        Some([
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
        ])
    }

    /// Whether a server that is warming up has no capacity for the address: slow start.
    fn exceeds_warm_up_capacity(&self, now: Duration, address: IpAddr) -> bool {
        if now >= self.config.warm_up {
            return false;
        }
        let progress = now.as_secs_f64() / self.config.warm_up.as_secs_f64();
        let cold_start_fraction = self.config.cold_start_fraction;
        let fraction = cold_start_fraction + (1.0 - cold_start_fraction) * progress;
        let capacity = (self.capacity as f64 * fraction).max(1.0);
        // Each address has an equal share, so that one that connects first does not take all. The
        // number of addresses is estimated by that of networks, of which each has three at the
        // most.
        let addresses =
            (self.network_counts.network_count() as f64 / EnclosingNetworks::COUNT as f64).max(1.0);
        let fair_share = (capacity / addresses).max(1.0);
        let own = f64::from(self.network_counts.get(NetworkPrefix::of_address(address)));
        let open = self.open_connections as f64;
        open >= capacity || own >= fair_share && open >= capacity * FAIR_SHARE_FRACTION
    }
}

fn owner(is_known: bool) -> DescriptorOwner {
    if is_known {
        DescriptorOwner::KnownClients
    } else {
        DescriptorOwner::NewClients
    }
}
