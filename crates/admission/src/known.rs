//! Clients that are known by what they did. An address earns standing with each req that was answered whole over its
//! connections; standing halves with time, is lost by what makes no sense, and makes an address known only after it
//! has been earned over a while, so that a burst of one second buys nothing.

use std::net::IpAddr;
use std::time::Duration;

/// Standing from which a client is known, and the most there is: what was earned long ago does not last for ever.
const KNOWN: f64 = 3.0;
const MOST: f64 = 50.0;
/// How long it must have been earned for at the least.
const EARNED_OVER: Duration = Duration::from_secs(2);
/// Addresses looked at to find one that gives way.
const LOOKED_AT: usize = 8;

#[derive(Clone, Copy)]
struct Entry {
    address: IpAddr,
    standing: f64,
    /// When it was last reckoned, and when the first of it was earned.
    at: Duration,
    since: Duration,
}

pub struct Known {
    entries: Vec<Entry>,
    /// Places in `entries`, by address.
    places: std::collections::HashMap<IpAddr, usize>,
    most: usize,
    half_life: Duration,
    rng: fastrand::Rng,
}

impl Known {
    /// Remembers up to so many addresses.
    pub fn new(most: usize, half_life: Duration, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Known {
            entries: Vec::new(),
            places: std::collections::HashMap::new(),
            most: most.max(1),
            half_life,
            rng,
        }
    }

    fn now(&self, entry: &Entry, now: Duration) -> f64 {
        let passed = now.saturating_sub(entry.at).as_secs_f64();
        entry.standing * 0.5f64.powf(passed / self.half_life.as_secs_f64())
    }

    /// Whether an address is known now.
    pub fn knows(&self, now: Duration, address: IpAddr) -> bool {
        self.places.get(&address).is_some_and(|&at| {
            let entry = &self.entries[at];
            self.now(entry, now) >= KNOWN && entry.at.saturating_sub(entry.since) >= EARNED_OVER
        })
    }

    /// A req of that address was answered whole.
    pub fn earns(&mut self, now: Duration, address: IpAddr) {
        if let Some(&at) = self.places.get(&address) {
            let standing = self.now(&self.entries[at], now);
            let entry = &mut self.entries[at];
            // Faded away, it begins anew.
            if standing < 0.1 {
                entry.since = now;
            }
            (entry.standing, entry.at) = ((standing + 1.0).min(MOST), now);
            return;
        }
        let fresh = Entry { address, standing: 1.0, at: now, since: now };
        if self.entries.len() < self.most {
            self.places.insert(address, self.entries.len());
            self.entries.push(fresh);
            return;
        }
        // Full: the least of a few gives way, unless all of them stand higher than a newcomer by far. Guards the
        // well-known against floods of addresses that each earn a little; harms newcomers among many good clients.
        let looked_at: Vec<usize> = (0..LOOKED_AT).map(|_| self.rng.usize(..self.entries.len())).collect();
        let least = looked_at
            .into_iter()
            .min_by(|&a, &b| self.now(&self.entries[a], now).total_cmp(&self.now(&self.entries[b], now)));
        if let Some(at) = least.filter(|&at| self.now(&self.entries[at], now) < KNOWN) {
            self.places.remove(&self.entries[at].address);
            self.places.insert(address, at);
            self.entries[at] = fresh;
        }
    }

    /// What came from an address made no sense: its standing is gone.
    pub fn loses(&mut self, now: Duration, address: IpAddr) {
        if let Some(&at) = self.places.get(&address) {
            let entry = &mut self.entries[at];
            (entry.standing, entry.at, entry.since) = (0.0, now, now);
        }
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
