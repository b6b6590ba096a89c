//! Idempotency keys: what duplicates of a keyed request are answered with, and for how long.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::messages::{IdempotencyKey, Response};
use crate::invariant;

/// One remembered key.
struct KeyEntry {
    /// What reaches the machine later is no duplicate.
    window_ends_at: Duration,
    /// When the entry may be removed: what reached the machine within the window may be read late.
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

/// The keys that are remembered. Its bound is what the controller admits within a window; every
/// entry has an expiry.
pub(super) struct IdempotencyKeys {
    entries: HashMap<IdempotencyKey, KeyEntry>,
    /// Expiries in their order, so that not every entry is looked at each time.
    expiries: BTreeSet<(Duration, IdempotencyKey)>,
    /// How late a request may be read that can still be run.
    max_read_delay: Duration,
    /// Keys with a response that their coalesced requests have not received.
    settled: Vec<IdempotencyKey>,
}

impl IdempotencyKeys {
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

    /// The request that holds the key has not run and will not. Duplicates that wait already are
    /// answered before the key goes.
    pub(super) fn forget(&mut self, key: &IdempotencyKey, owner: usize) {
        if let Some(entry) = self.owned_by(key, owner) {
            (entry.window_ends_at, entry.expires_at) = (Duration::ZERO, Duration::ZERO);
            self.expiries.insert((Duration::ZERO, key.clone()));
        }
    }

    /// A duplicate no longer waits; its index may be reused by a request that did not join.
    pub(super) fn leave(&mut self, key: &IdempotencyKey, duplicate: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.coalesced.retain(|&other| other != duplicate);
        }
    }

    /// Removes the keys whose time is over; one with waiting duplicates is removed once they are
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
