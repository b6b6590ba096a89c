//! Idempotency keys: the response that duplicates of a keyed request get, and the time for which a
//! key is remembered.
//!
//! Failure: a caller whose reply is lost sends its request again, and the request has its effect
//! twice.
//!
//! Protection: the controller has the registry remember a key for a retention time. A request with
//! that key that reached the machine within the retention is a duplicate, and gets the response to
//! the first one. A request may be read up to the longest client timeout after it reached the
//! machine, so the entry is kept for that much longer.
//!
//! Cost: the memory for keys and results. The controller's memory limit counts a key only until the
//! end of its retention, although the entry is kept longer.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::messages::{IdempotencyKey, Response};
use crate::invariant;

/// One remembered key.
struct KeyEntry {
    /// The end of the retention. A request that reaches the machine later is not a duplicate.
    retention_ends_at: Duration,
    /// When the entry may be removed: `max_read_delay` after the end of the retention.
    expires_at: Duration,
    /// The hash of the body of the request that holds the key.
    body_hash: u64,
    /// The request that owns the key, while it is open.
    owner: Option<usize>,
    response: Option<Response>,
    /// Open duplicates that wait for the response to the owner.
    coalesced: Vec<usize>,
}

impl KeyEntry {
    /// Whether a request that reached the machine at `arrived_at` is a duplicate. While a request
    /// with this key is open, every further one is a duplicate.
    fn covers(&self, arrived_at: Duration) -> bool {
        arrived_at < self.retention_ends_at || self.owner.is_some() || !self.coalesced.is_empty()
    }
}

/// The remembered keys. Every entry expires, so their number is bounded by the requests that the
/// controller admits within a retention and `max_read_delay`.
pub(super) struct IdempotencyKeys {
    entries: HashMap<IdempotencyKey, KeyEntry>,
    /// The keys in the order of their expiry, so that `expire` visits only keys that are due.
    expiries: BTreeSet<(Duration, IdempotencyKey)>,
    /// How long after its arrival at the machine a request may be read and still be run.
    max_read_delay: Duration,
    /// Keys whose coalesced requests can be answered if the key has a response.
    keys_to_answer: Vec<IdempotencyKey>,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys. A request may be read up to `max_read_delay` after it reached
    /// the machine.
    pub(super) fn new(max_read_delay: Duration) -> Self {
        IdempotencyKeys {
            entries: HashMap::new(),
            expiries: BTreeSet::new(),
            max_read_delay,
            keys_to_answer: Vec::new(),
        }
    }

    /// The body hash of the first request with this key, if a request that reached the machine at
    /// `arrived_at` is a duplicate of it.
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

    /// Remembers the key of the request `owner` for `retention` from now.
    pub(super) fn remember(
        &mut self,
        key: IdempotencyKey,
        owner: usize,
        body_hash: u64,
        now: Duration,
        retention: Duration,
    ) {
        let retention_ends_at = now.saturating_add(retention);
        let expires_at = retention_ends_at.saturating_add(self.max_read_delay);
        self.expiries.insert((expires_at, key.clone()));
        let entry = KeyEntry {
            retention_ends_at,
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

    /// Adds a duplicate that waits for the response to the owner of the key.
    pub(super) fn coalesce(&mut self, key: IdempotencyKey, duplicate: usize) {
        let entry = self.entries.get_mut(&key);
        invariant!(entry.is_some(), "a coalesced request has a remembered key");
        if let Some(entry) = entry {
            entry.coalesced.push(duplicate);
            self.keys_to_answer.push(key);
        }
    }

    /// Stores the response to the owner of the key, which has ended. Its duplicates get the same
    /// response.
    pub(super) fn complete(&mut self, key: &IdempotencyKey, owner: usize, response: Response) {
        if let Some(entry) = self.owned_by(key, owner) {
            entry.owner = None;
            entry.response = Some(response);
            self.keys_to_answer.push(key.clone());
        }
    }

    /// Forgets the key of a request that has not run and will not run. Duplicates that already wait
    /// are answered before the key is removed.
    pub(super) fn forget(&mut self, key: &IdempotencyKey, owner: usize) {
        if let Some(entry) = self.owned_by(key, owner) {
            (entry.retention_ends_at, entry.expires_at) = (Duration::ZERO, Duration::ZERO);
            self.expiries.insert((Duration::ZERO, key.clone()));
        }
    }

    /// Removes a duplicate that no longer waits, because its index may be reused by a request that
    /// is not a duplicate.
    pub(super) fn remove_duplicate(&mut self, key: &IdempotencyKey, duplicate: usize) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.coalesced.retain(|&other| other != duplicate);
        }
    }

    /// Removes expired keys. A key with waiting duplicates is removed once they are answered.
    pub(super) fn expire(&mut self, now: Duration) {
        while self
            .expiries
            .first()
            .is_some_and(|(expires_at, _)| *expires_at <= now)
        {
            let Some((_, key)) = self.expiries.pop_first() else {
                return;
            };
            let is_expired =
                |entry: &KeyEntry| entry.expires_at <= now && entry.coalesced.is_empty();
            if self.entries.get(&key).is_some_and(is_expired) {
                self.entries.remove(&key);
            }
        }
    }

    /// Takes the duplicates whose response is available, sorted by index for each key.
    pub(super) fn take_answered(&mut self, now: Duration) -> Vec<(usize, Response)> {
        let mut answered = Vec::new();
        for key in std::mem::take(&mut self.keys_to_answer) {
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
        (
            self.entries.len(),
            self.expiries.len(),
            self.keys_to_answer.len(),
        )
    }
}
