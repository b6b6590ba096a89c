//! Idempotency keys: with which response duplicates of a keyed request are answered, and for how
//! long.
//!
//! The failure: a caller whose reply is lost sends its request again, and the request has its
//! effect twice. The guard: the controller has a key remembered for a retention; a request with
//! that key that reached the machine within it is a duplicate, and gets the response of the first.
//! A request may be read up to the longest client timeout after it reached the machine, so the
//! entry is kept that much longer. The price is the memory for keys and results. The controller's
//! memory rule counts a key only until its retention is over, not for that longer time.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::messages::{IdempotencyKey, Response};
use crate::invariant;

/// One remembered key.
struct KeyEntry {
    /// A request that reaches the machine later is no duplicate.
    window_ends_at: Duration,
    /// When the entry may be removed: after the window by the longest delay of a read.
    expires_at: Duration,
    /// The hash of the body of the request that holds the key.
    body_hash: u64,
    /// The request that holds the key, while it is open.
    owner: Option<usize>,
    response: Option<Response>,
    /// Open duplicates that wait for the response.
    coalesced: Vec<usize>,
}

impl KeyEntry {
    /// Whether a request that reached the machine at that time is a duplicate. While a request of
    /// this key is open, every further one is.
    fn covers(&self, arrived_at: Duration) -> bool {
        arrived_at < self.window_ends_at || self.owner.is_some() || !self.coalesced.is_empty()
    }
}

/// The keys that are remembered. Their number is bounded by the requests that the controller admits
/// within a retention; every entry expires.
pub(super) struct IdempotencyKeys {
    entries: HashMap<IdempotencyKey, KeyEntry>,
    /// The expiries in their order, so that expiring visits due entries only.
    expiries: BTreeSet<(Duration, IdempotencyKey)>,
    /// How long after it reached the machine a request may be read and still be run.
    max_read_delay: Duration,
    /// Keys whose coalesced requests are to be answered, if there is a response.
    settled: Vec<IdempotencyKey>,
}

impl IdempotencyKeys {
    /// No keys. A request may be read up to `max_read_delay` after it reached the machine.
    pub(super) fn new(max_read_delay: Duration) -> Self {
        IdempotencyKeys {
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            max_read_delay,
            settled: Vec::new(),
        }
    }

    /// The body hash of the remembered request that a request with this key duplicates, if it does.
    pub(super) fn duplicated_body(
        &self,
        key: Option<&IdempotencyKey>,
        arrived_at: Duration,
    ) -> Option<u64> {
        self.entries
            .get(key?)
            .filter(|entry| entry.covers(arrived_at))
            .map(|entry| entry.body_hash)
    }

    /// Remembers a key for `retention` from now; `owner` is the request that holds it.
    pub(super) fn remember(
        &mut self,
        key: IdempotencyKey,
        owner: usize,
        body_hash: u64,
        now: Duration,
        retention: Duration,
    ) {
        let window_ends_at = now.saturating_add(retention);
        let expires_at = window_ends_at.saturating_add(self.max_read_delay);
        self.expiries.insert((expires_at, key.clone()));
        let entry = KeyEntry {
            window_ends_at,
            expires_at,
            body_hash,
            owner: Some(owner),
            response: None,
            coalesced: Vec::new(),
        };
        let previous = self.entries.insert(key, entry);
        invariant!(
            previous.is_none_or(|entry| entry.owner.is_none() && entry.coalesced.is_empty()),
            "no key is remembered again while a request of it is open"
        );
    }

    /// Lets a duplicate wait for the response to the request that holds the key.
    pub(super) fn coalesce(&mut self, key: IdempotencyKey, duplicate: usize) {
        let entry = self.entries.get_mut(&key);
        invariant!(entry.is_some(), "a coalesced request has a remembered key");
        if let Some(entry) = entry {
            entry.coalesced.push(duplicate);
            self.settled.push(key);
        }
    }

    /// The request that holds the key has ended: its duplicates get the same response.
    pub(super) fn settle(&mut self, key: &IdempotencyKey, owner: usize, response: Response) {
        if let Some(entry) = self.owned_by(key, owner) {
            entry.owner = None;
            entry.response = Some(response);
            self.settled.push(key.clone());
        }
    }

    /// The request that holds the key has not run and will not. Duplicates that already wait are
    /// answered before the key is removed.
    pub(super) fn forget(&mut self, key: &IdempotencyKey, owner: usize) {
        if let Some(entry) = self.owned_by(key, owner) {
            (entry.window_ends_at, entry.expires_at) = (Duration::ZERO, Duration::ZERO);
            self.expiries.insert((Duration::ZERO, key.clone()));
        }
    }

    /// A duplicate no longer waits. Its index may be reused by a request that is no duplicate.
    pub(super) fn leave(&mut self, key: &IdempotencyKey, duplicate: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.coalesced.retain(|&other| other != duplicate);
        }
    }

    /// Removes the keys that have expired. A key with waiting duplicates is removed once they are
    /// answered.
    pub(super) fn expire(&mut self, now: Duration) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            let Some((_, key)) = self.expiries.pop_first() else {
                return;
            };
            let is_over = |entry: &KeyEntry| entry.expires_at <= now && entry.coalesced.is_empty();
            if self.entries.get(&key).is_some_and(is_over) {
                self.entries.remove(&key);
            }
        }
    }

    /// Duplicates that have a response now, in the order of their indices for each key.
    pub(super) fn take_answered(&mut self, now: Duration) -> Vec<(usize, Response)> {
        let mut answered = Vec::new();
        for key in std::mem::take(&mut self.settled) {
            let Some(entry) = self.entries.get_mut(&key) else {
                continue;
            };
            let Some(response) = entry.response.clone() else {
                continue;
            };
            let mut coalesced = std::mem::take(&mut entry.coalesced);
            if entry.expires_at <= now {
                self.entries.remove(&key);
            }
            coalesced.sort_unstable();
            answered.extend(
                coalesced
                    .into_iter()
                    .map(|duplicate| (duplicate, response.clone())),
            );
        }
        answered
    }

    fn owned_by(&mut self, key: &IdempotencyKey, owner: usize) -> Option<&mut KeyEntry> {
        self.entries
            .get_mut(key)
            .filter(|entry| entry.owner == Some(owner))
    }

    /// The sizes of the three collections, for tests of their bounds.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (self.entries.len(), self.expiries.len(), self.settled.len())
    }
}
