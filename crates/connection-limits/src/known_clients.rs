//! The reputation of clients, by address: who is known to behave well.
//!
//! Known clients get descriptors that are reserved for them and are not held to the rate of new
//! connections. Without that a flood of strangers would keep out the clients that the server has
//! served all day. A flood that only connects, or whose requests are rejected, earns no reputation:
//! that takes answered requests, over [`MIN_EARNING_PERIOD`] at least.
//!
//! The price: an address whose requests are answered for so long is known, whoever uses it. With a
//! half-life far above the earning period four answers are enough, so a flood from many addresses
//! that behave well at first is not kept out by this rule. Clients behind one address share one
//! reputation, and one of them that violates the protocol loses it for all.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::network_prefix::NetworkPrefix;

/// The reputation from which a client is known. An answered request adds one.
const KNOWN_REPUTATION: f64 = 3.0;
/// The highest reputation, so that what was earned long ago does not last for ever: from here a
/// client that is silent stays known for four half-lives (`50 / 2^4` is just above 3).
const MAX_REPUTATION: f64 = 50.0;
/// The reputation below which a client starts anew.
const FORGOTTEN_REPUTATION: f64 = 0.1;
/// The shortest time over which a client earns the reputation to be known.
const MIN_EARNING_PERIOD: Duration = Duration::from_secs(2);
/// The number of addresses that are compared to find the one that gives way: a random sample in
/// place of a search through all, whose cost would grow with the table.
const EVICTION_SAMPLES: usize = 8;

#[derive(Clone, Copy)]
struct Client {
    address: IpAddr,
    /// The reputation at `updated_at`; it decays since.
    reputation: f64,
    updated_at: Duration,
    first_earned_at: Duration,
}

impl Client {
    fn new(address: IpAddr, now: Duration) -> Self {
        Client {
            address,
            reputation: 1.0,
            updated_at: now,
            first_earned_at: now,
        }
    }

    /// The reputation now.
    fn decayed(&self, now: Duration, half_life: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.reputation * 0.5f64.powf(elapsed / half_life.as_secs_f64())
    }
}

/// The clients with a reputation. An address earns reputation with each request that was answered.
/// Its reputation halves with time and is lost with a violation of the protocol. The client is
/// known only once it has earned some over a while: a burst of one second is not enough.
pub(crate) struct KnownClients {
    /// Networks whose clients are known from the start.
    trusted_networks: Vec<NetworkPrefix>,
    clients: Vec<Client>,
    /// The index of each address in `clients`.
    indices: HashMap<IpAddr, usize>,
    max_clients: usize,
    half_life: Duration,
    rng: fastrand::Rng,
}

impl KnownClients {
    /// Remembers up to `max_clients` addresses, beside the networks that are trusted.
    pub(crate) fn new(
        trusted_networks: Vec<NetworkPrefix>,
        max_clients: usize,
        half_life: Duration,
        seed: u64,
    ) -> Self {
        KnownClients {
            trusted_networks,
            clients: Vec::new(),
            indices: HashMap::new(),
            max_clients: max_clients.max(1),
            half_life,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The reputation of the client at this index.
    fn reputation(&self, index: usize, now: Duration) -> f64 {
        self.clients[index].decayed(now, self.half_life)
    }

    /// Whether the client of an address is known now.
    pub(crate) fn is_known(&self, now: Duration, address: IpAddr) -> bool {
        let is_trusted = |network: &NetworkPrefix| network.contains(address);
        self.trusted_networks.iter().any(is_trusted) || self.has_reputation(now, address)
    }

    /// Whether an address has enough reputation, and has earned it for long enough.
    fn has_reputation(&self, now: Duration, address: IpAddr) -> bool {
        self.indices.get(&address).is_some_and(|&index| {
            let client = &self.clients[index];
            let earning_period = client.updated_at.saturating_sub(client.first_earned_at);
            self.reputation(index, now) >= KNOWN_REPUTATION && earning_period >= MIN_EARNING_PERIOD
        })
    }

    /// A request of the address was answered.
    pub(crate) fn record_success(&mut self, now: Duration, address: IpAddr) {
        if let Some(&index) = self.indices.get(&address) {
            let reputation = self.reputation(index, now);
            let client = &mut self.clients[index];
            if reputation < FORGOTTEN_REPUTATION {
                client.first_earned_at = now;
            }
            client.reputation = (reputation + 1.0).min(MAX_REPUTATION);
            client.updated_at = now;
        } else if self.clients.len() < self.max_clients {
            self.indices.insert(address, self.clients.len());
            self.clients.push(Client::new(address, now));
        } else {
            self.replace_unknown_client(now, address);
        }
    }

    /// Replaces the client with the lowest reputation of a few, unless all of them are known. A
    /// flood of addresses that earn a little each cannot displace known clients; the price is that
    /// new clients are not remembered beside many known ones.
    fn replace_unknown_client(&mut self, now: Duration, address: IpAddr) {
        let samples: Vec<usize> = (0..EVICTION_SAMPLES)
            .map(|_| self.rng.usize(..self.clients.len()))
            .collect();
        let lowest = (samples.into_iter())
            .min_by(|&a, &b| self.reputation(a, now).total_cmp(&self.reputation(b, now)));
        if let Some(index) = lowest.filter(|&index| self.reputation(index, now) < KNOWN_REPUTATION)
        {
            self.indices.remove(&self.clients[index].address);
            self.indices.insert(address, index);
            self.clients[index] = Client::new(address, now);
        }
    }

    /// The address violated the protocol: its reputation is lost.
    pub(crate) fn record_violation(&mut self, now: Duration, address: IpAddr) {
        if let Some(&index) = self.indices.get(&address) {
            self.clients[index] = Client {
                reputation: 0.0,
                ..Client::new(address, now)
            };
        }
    }
}
