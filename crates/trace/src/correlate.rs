//! Correlates the attempts of one request. Each attempt has a separate id. The attempts share the
//! idempotency key; the attempts of a read without a key share the subject and the edge node that
//! sends them.

use std::collections::{HashMap, VecDeque};

use crate::Micros;
use crate::record::{Outcome, Record};

/// Maximum number of requests that are kept for correlation; the oldest are dropped first.
const MAX_TRACKED_REQUESTS: usize = 1 << 20;
/// How long after its first attempt a request is kept for correlation, in microseconds.
const CORRELATION_WINDOW: Micros = 120_000_000;

/// The relation of an attempt to the earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Attempt {
    /// The first attempt of a request.
    First,
    /// A retry of a known request.
    Retry {
        /// Whether an earlier attempt was completed.
        was_completed: bool,
    },
    /// An attempt that is marked as a retry of an unknown request.
    OrphanRetry,
}

/// The key that attempts of one request share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum CorrelationKey {
    /// An idempotency key, which belongs to a handler.
    Idempotency { handler: u32, key: u64 },
    /// A read, by its subject.
    Read {
        handler: u32,
        tenant: Option<u32>,
        caller: u64,
        subject: u64,
    },
}

impl CorrelationKey {
    /// The key of a record; `None` if the record cannot be correlated.
    pub(crate) fn of(record: &Record) -> Option<CorrelationKey> {
        let handler = record.handler;
        if let Some(key) = record.key {
            return Some(CorrelationKey::Idempotency { handler, key });
        }
        let (caller, subject) = (record.caller?, record.subject?);
        Some(CorrelationKey::Read {
            handler,
            tenant: record.tenant,
            caller,
            subject,
        })
    }
}

/// The state that is kept for a request.
struct Request {
    /// When the first attempt of the request reached the server.
    reached: Micros,
    is_completed: bool,
}

/// Correlates attempts. Their records are passed in time order. The correlator owns the state that
/// is kept for requests.
#[derive(Default)]
pub(crate) struct AttemptCorrelator {
    requests: HashMap<CorrelationKey, Request>,
    /// The keys of the requests, in the order of their first attempts.
    order: VecDeque<(Micros, CorrelationKey)>,
}

impl AttemptCorrelator {
    /// Returns the relation of the next record to the earlier ones.
    pub(crate) fn observe(&mut self, record: &Record) -> Attempt {
        self.evict_old_requests(record.reached);
        let is_completed = record.outcome == Outcome::Completed;
        let Some(key) = CorrelationKey::of(record) else {
            return if record.is_retry {
                Attempt::OrphanRetry
            } else {
                Attempt::First
            };
        };
        // An idempotency key identifies a retry even if the retry mark was lost. A read without the
        // mark is a new request.
        let may_be_retry = record.is_retry || matches!(key, CorrelationKey::Idempotency { .. });
        match self.requests.get_mut(&key) {
            Some(request) if may_be_retry => {
                let was_completed = request.is_completed;
                request.is_completed |= is_completed;
                Attempt::Retry { was_completed }
            }
            _ if record.is_retry => Attempt::OrphanRetry,
            _ => {
                self.requests.insert(
                    key,
                    Request {
                        reached: record.reached,
                        is_completed,
                    },
                );
                self.order.push_back((record.reached, key));
                Attempt::First
            }
        }
    }

    fn evict_old_requests(&mut self, now: Micros) {
        while let Some(&(reached, key)) = self.order.front() {
            let is_recent = now.saturating_sub(reached) <= CORRELATION_WINDOW;
            if self.order.len() <= MAX_TRACKED_REQUESTS && is_recent {
                return;
            }
            self.order.pop_front();
            // A later request with the same key may have replaced this one.
            if self
                .requests
                .get(&key)
                .is_some_and(|request| request.reached == reached)
            {
                self.requests.remove(&key);
            }
        }
    }
}
