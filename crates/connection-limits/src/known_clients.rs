//! The reputation of clients, by address: which clients are known to behave well.
//!
//! Known clients get reserved descriptors and are exempt from the limit on the rate of new
//! connections. Otherwise a connection flood from new clients would exclude clients that the server
//! has served for a long time. A flood that only connects, or whose requests are rejected, earns no
//! reputation: this takes answered requests over at least [`MIN_EARNING_PERIOD`].
//!
//! The trade-off: any address whose requests are answered over that period becomes known,
//! regardless of the client that uses it. With a half-life far above the period four answers are
//! enough, so this rule does not stop a flood from many addresses that behave well at first. All
//! clients that share an address share one reputation, and a protocol violation by one of them
//! loses it for all.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

use crate::network_prefix::NetworkPrefix;

/// The minimum reputation of a known client. An answered request adds one.
const KNOWN_REPUTATION: f64 = 3.0;
/// The maximum reputation, so that an earned reputation does not last indefinitely: at the maximum,
/// a client without requests stays known for four half-lives (`50 / 2^4` is just above 3).
const MAX_REPUTATION: f64 = 50.0;
/// The reputation below which the earning period of a client starts again.
const FORGOTTEN_REPUTATION: f64 = 0.1;
/// The minimum time between the first and the last answered request of a known client.
const MIN_EARNING_PERIOD: Duration = Duration::from_secs(2);
/// The number of addresses that are sampled to find the one that is replaced. The cost of a search
/// through all addresses would grow with the table.
const EVICTION_SAMPLES: usize = 8;

#[derive(Clone, Copy)]
struct Client {
    address: IpAddr,
    /// The reputation at `updated_at`, from which it decays.
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

/// The clients with a reputation. An address earns reputation with each answered request. The
/// reputation decays exponentially and is lost with a protocol violation. A client is known only
/// after it has earned reputation for [`MIN_EARNING_PERIOD`]: a burst of one second is not enough.
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
    /// Creates a store of up to `max_clients` addresses, in addition to the trusted networks.
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

    /// Records that a request of the address was answered.
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

    /// Replaces the client with the lowest reputation in a random sample, unless all sampled
    /// clients have at least [`KNOWN_REPUTATION`]. Thus a flood of addresses that earn little
    /// reputation each cannot displace known clients. The trade-off is that a new client may not be
    /// stored while most clients have that reputation.
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

    /// Records that the address violated the protocol: its reputation is lost.
    pub(crate) fn record_violation(&mut self, now: Duration, address: IpAddr) {
        if let Some(&index) = self.indices.get(&address) {
            self.clients[index] = Client {
                reputation: 0.0,
                ..Client::new(address, now)
            };
        }
    }
}
