//! The idempotency keys of the open requests: `IdempotencyKeys` has the rule, and this relates it
//! to the requests by their indices.

use std::time::Duration;

use tulipgap::{Event, Outcome};
use tulipgap_trace::Reason;

use super::RegistryState;
use crate::requests::messages::{IdempotencyKey, Response};
use crate::requests::open_request::OpenRequest;

impl RegistryState {
    /// Removes the idempotency keys that have expired.
    pub(in crate::requests) fn expire_keys(&mut self) {
        self.keys.expire(self.now());
    }

    /// The body hash of the remembered request that a request with this key duplicates; none where
    /// it is no duplicate. `age` is how long ago the request reached the machine.
    pub(in crate::requests) fn duplicated_body(
        &self,
        key: Option<&IdempotencyKey>,
        age: Duration,
    ) -> Option<u64> {
        self.keys
            .duplicated_body(key, self.now().saturating_sub(age))
    }

    /// Remembers the key of a request, where it has one, for `retention` from `now`.
    pub(super) fn remember_key(&mut self, index: usize, now: Duration, retention: Duration) {
        let OpenRequest { key, body_hash, .. } = &self.requests[index];
        if let Some(key) = key.clone() {
            self.keys.remember(key, index, *body_hash, now, retention);
        }
    }

    /// Lets a duplicate wait for the response to the first request with its key.
    pub(super) fn coalesce(&mut self, index: usize) {
        let key = self.requests[index].key.clone().unwrap_or_default();
        self.keys.coalesce(key, index);
    }

    /// Forgets the key of a request before its time, and fails the duplicates that wait for it.
    pub(super) fn forget_key_and_fail_duplicates(&mut self, index: usize) {
        self.forget_key(index);
        self.settle_key(index, Response::Failed);
    }

    /// The duplicates of a request get this response, where it holds its key.
    pub(super) fn settle_key(&mut self, index: usize, response: Response) {
        if let Some(key) = &self.requests[index].key {
            self.keys.settle(key, index, response);
        }
    }

    /// Requests with the key of this one are no duplicates any more.
    pub(super) fn forget_key(&mut self, index: usize) {
        if let Some(key) = &self.requests[index].key {
            self.keys.forget(key, index);
        }
    }

    /// A request no longer waits for the response to the first one with its key.
    pub(super) fn leave_key(&mut self, index: usize) {
        if let Some(key) = &self.requests[index].key {
            self.keys.leave(key, index);
        }
    }

    /// Answers coalesced requests whose first attempt has ended, and returns the events of their
    /// ends.
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
