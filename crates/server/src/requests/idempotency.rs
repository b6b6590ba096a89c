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
//! Cost: the memory for keys and results, within [`KeyLimits`]. The controller's memory limit counts
//! a key only until the end of its retention, although the entry is kept longer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::key_limits::{KeyLimits, RESULT_OVERHEAD_BYTES};
use super::messages::Response;
use super::scoped_key::ScopedKey;
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

/// The memory that a remembered response takes, in bytes.
fn result_bytes(response: Option<&Response>) -> usize {
    match response {
        Some(Response::Completed(result)) => result.len() + RESULT_OVERHEAD_BYTES,
        _ => 0,
    }
}

impl KeyEntry {
    /// Whether a request that reached the machine at `arrived_at` is a duplicate. While a request
    /// with this key is open, every further one is a duplicate.
    fn covers(&self, arrived_at: Duration) -> bool {
        arrived_at < self.retention_ends_at || self.owner.is_some() || !self.coalesced.is_empty()
    }
}

/// The remembered keys. Every entry expires. The registry registers no request with a new key while
/// [`IdempotencyKeys::is_full`]. Trees grow in small steps, while a hash table would need twice its
/// memory when it grows.
pub(super) struct IdempotencyKeys {
    limits: KeyLimits,
    entries: BTreeMap<ScopedKey, KeyEntry>,
    /// The keys in the order of their expiry, so that `expire` visits only keys that are due.
    expiries: BTreeSet<(Duration, ScopedKey)>,
    /// The keys with a result, in the order in which they got it. Some may have been removed since.
    results: VecDeque<ScopedKey>,
    /// The memory of all remembered results, in bytes.
    result_bytes: usize,
    /// How long after its arrival at the machine a request may be read and still be run.
    max_read_delay: Duration,
    /// Keys whose coalesced requests can be answered if the key has a response.
    keys_to_answer: Vec<ScopedKey>,
}

impl IdempotencyKeys {
    /// Creates an empty set of keys. A request may be read up to `max_read_delay` after it reached
    /// the machine.
    pub(super) fn new(limits: KeyLimits, max_read_delay: Duration) -> Self {
        IdempotencyKeys {
            limits,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
            results: VecDeque::new(),
            result_bytes: 0,
            max_read_delay,
            keys_to_answer: Vec::new(),
        }
    }

    /// Whether there is no room for another key.
    pub(super) fn is_full(&self) -> bool {
        self.entries.len() >= self.limits.max_keys
    }

    /// The body hash of the first request with this key, if a request that reached the machine at
    /// `arrived_at` is a duplicate of it.
    pub(super) fn duplicated_body(
        &self,
        key: Option<ScopedKey>,
        arrived_at: Duration,
    ) -> Option<u64> {
        self.entries
            .get(&key?)
            .filter(|entry| entry.covers(arrived_at))
            .map(|entry| entry.body_hash)
    }

    /// Remembers the key of the request `owner` for `retention` from now.
    pub(super) fn remember(
        &mut self,
        key: ScopedKey,
        owner: usize,
        body_hash: u64,
        now: Duration,
        retention: Duration,
    ) {
        let retention_ends_at = now.saturating_add(retention);
        let expires_at = retention_ends_at.saturating_add(self.max_read_delay);
        self.expiries.insert((expires_at, key));
        let entry = KeyEntry {
            retention_ends_at,
            expires_at,
            body_hash,
            owner: Some(owner),
            response: None,
            coalesced: Vec::new(),
        };
        let previous = self.entries.insert(key, entry);
        if let Some(entry) = &previous {
            self.result_bytes -= result_bytes(entry.response.as_ref());
        }
        invariant!(
            previous.is_none_or(|entry| entry.owner.is_none() && entry.coalesced.is_empty()),
            "no key is remembered again while a request of it is open"
        );
    }

    /// Adds a duplicate that waits for the response to the owner of the key.
    pub(super) fn coalesce(&mut self, key: ScopedKey, duplicate: usize) {
        let entry = self.entries.get_mut(&key);
        invariant!(entry.is_some(), "a coalesced request has a remembered key");
        if let Some(entry) = entry {
            entry.coalesced.push(duplicate);
            self.keys_to_answer.push(key);
        }
    }

    /// Stores the response to the owner of the key, which has ended. Its duplicates get the same
    /// response. The oldest results are forgotten if there is no room for all.
    pub(super) fn complete(&mut self, key: ScopedKey, owner: usize, response: Response) {
        let bytes = result_bytes(Some(&response));
        let Some(entry) = self.owned_by(key, owner) else {
            return;
        };
        entry.owner = None;
        entry.response = Some(response);
        self.keys_to_answer.push(key);
        if bytes > 0 {
            self.result_bytes += bytes;
            self.results.push_back(key);
            self.forget_oldest_results();
        }
    }

    /// Forgets the oldest results until the others fit, except the last one, whose duplicates may
    /// still wait for it. A duplicate of a request whose result is forgotten fails.
    fn forget_oldest_results(&mut self) {
        while self.result_bytes > self.limits.max_result_bytes && self.results.len() > 1 {
            let Some(oldest) = self.results.pop_front() else {
                return;
            };
            if let Some(entry) = self.entries.get_mut(&oldest) {
                let bytes = result_bytes(entry.response.as_ref());
                if bytes > 0 {
                    entry.response = Some(Response::Failed);
                    self.result_bytes -= bytes;
                }
            }
        }
    }

    /// Forgets the key of a request that has not run and will not run. Duplicates that already wait
    /// are answered before the key is removed.
    pub(super) fn forget(&mut self, key: ScopedKey, owner: usize) {
        if let Some(entry) = self.owned_by(key, owner) {
            (entry.retention_ends_at, entry.expires_at) = (Duration::ZERO, Duration::ZERO);
            self.expiries.insert((Duration::ZERO, key));
        }
    }

    /// Removes a duplicate that no longer waits, because its index may be reused by a request that
    /// is not a duplicate.
    pub(super) fn remove_duplicate(&mut self, key: ScopedKey, duplicate: usize) {
        if let Some(entry) = self.entries.get_mut(&key) {
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
                self.remove(key);
            }
        }
    }

    /// Removes a key and its result.
    fn remove(&mut self, key: ScopedKey) {
        if let Some(entry) = self.entries.remove(&key) {
            self.result_bytes -= result_bytes(entry.response.as_ref());
        }
        let has_result = |key: &ScopedKey| {
            let entry = self.entries.get(key);
            entry.is_some_and(|entry| result_bytes(entry.response.as_ref()) > 0)
        };
        while self.results.front().is_some_and(|key| !has_result(key)) {
            self.results.pop_front();
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
                self.remove(key);
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

    fn owned_by(&mut self, key: ScopedKey, owner: usize) -> Option<&mut KeyEntry> {
        self.entries
            .get_mut(&key)
            .filter(|entry| entry.owner == Some(owner))
    }

    /// The sizes of three collections, for tests of their bounds.
    #[cfg(test)]
    pub(super) fn sizes(&self) -> (usize, usize, usize) {
        (
            self.entries.len(),
            self.expiries.len(),
            self.keys_to_answer.len(),
        )
    }

    /// The number of keys in the order of results and the memory of all results, for tests of their
    /// bounds.
    #[cfg(test)]
    pub(super) fn result_sizes(&self) -> (usize, usize) {
        (self.results.len(), self.result_bytes)
    }
}

#[cfg(test)]
#[path = "idempotency_tests.rs"]
mod tests;
