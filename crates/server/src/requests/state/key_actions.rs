//! The idempotency keys of open requests. `IdempotencyKeys` implements the rules; this module
//! applies them to requests by their indices.

use std::time::Duration;

use tulipgap::{Event, Outcome};
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::requests::messages::Response;
use crate::requests::open_request::OpenRequest;
use crate::requests::scoped_key::ScopedKey;

impl RegistryState {
    /// Removes expired idempotency keys.
    pub(in crate::requests) fn expire_keys(&mut self) {
        self.keys.expire(self.now());
    }

    /// The body hash of the first request with this key, if a request that reached the machine
    /// `age` ago is a duplicate of it.
    pub(in crate::requests) fn duplicated_body(
        &self,
        key: Option<ScopedKey>,
        age: Duration,
    ) -> Option<u64> {
        self.keys
            .duplicated_body(key, self.now().saturating_sub(age))
    }

    /// Whether no further key can be remembered.
    pub(in crate::requests) fn has_no_room_for_a_key(&self) -> bool {
        self.keys.is_full()
    }

    /// Remembers the key of a request, if it has one, for `retention` from `now`.
    pub(super) fn remember_key(&mut self, index: usize, now: Duration, retention: Duration) {
        let OpenRequest { key, body_hash, .. } = &self.requests[index];
        if let Some(key) = *key {
            self.keys.remember(key, index, *body_hash, now, retention);
        }
    }

    /// Coalesces a duplicate: it waits for the response to the first request with its key.
    pub(super) fn coalesce(&mut self, index: usize) {
        if let Some(key) = self.requests[index].key {
            self.keys.coalesce(key, index);
        }
    }

    /// Forgets the key of a request before the end of its retention, and fails the duplicates that
    /// wait for it.
    pub(super) fn forget_key_and_fail_duplicates(&mut self, index: usize) {
        self.forget_key(index);
        self.complete_key(index, Response::Failed);
    }

    /// Stores the response for the duplicates of a request, if the request owns its key.
    pub(super) fn complete_key(&mut self, index: usize, response: Response) {
        if let Some(key) = self.requests[index].key {
            self.keys.complete(key, index, response);
        }
    }

    /// Forgets the key of a request: further requests with this key are not duplicates.
    pub(super) fn forget_key(&mut self, index: usize) {
        if let Some(key) = self.requests[index].key {
            self.keys.forget(key, index);
        }
    }

    /// Removes a request from the duplicates that wait for the response to the first request with
    /// its key.
    pub(super) fn stop_waiting_for_key(&mut self, index: usize) {
        if let Some(key) = self.requests[index].key {
            self.keys.remove_duplicate(key, index);
        }
    }

    /// Answers coalesced requests whose first attempt has ended, and returns their events for the
    /// controller.
    pub(super) fn answer_coalesced(&mut self) -> Vec<Event> {
        let now = self.now();
        let mut events = Vec::new();
        for (index, response) in self.keys.take_answered(now) {
            if self
                .requests
                .get(index)
                .is_none_or(|request| request.is_released)
            {
                continue;
            }
            let (response, outcome, reason) = match response {
                Response::Completed(_) => (response, Outcome::Succeeded, Reason::COALESCED),
                _ => (Response::Failed, Outcome::Failed, Reason::ORIGINAL_FAILED),
            };
            self.respond(index, response, reason);
            events.push(Event::Finished {
                request: index,
                outcome,
            });
        }
        events
    }
}
