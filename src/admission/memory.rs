//! The memory that requests and idempotency keys take, and whether there is room for one more.
//!
//! A process that exceeds its memory limit is killed, and every request in it is lost. The rule
//! applies when a request is queued, when it starts (a running request takes a multiple of the
//! memory of a queued one) and when a key is remembered. Queued requests may take only a part of
//! the memory, because otherwise none would be left to run them. The cost is that small requests
//! are rejected while a few large ones run.
//!
//! The host states the size of each request, and a rejection has the reason
//! [`MemoryLimit`](crate::Reason::MemoryLimit). `tulipgapd` applies another memory rule before this
//! one, `net/frontend/memory.rs`, which limits the number of open requests by the memory of the
//! process.
//!
//! A key is counted here from the admission of its request until its retention and the margin of
//! [`key_expiry`] are over. `tulipgapd` keeps a key and its result longer, by the longest client
//! timeout (`requests/idempotency.rs` there), so the memory of keys is undercounted for that time.
//!
//! [`key_expiry`]: super::idempotency::key_expiry

use std::time::Duration;

use crate::config::Config;
use crate::limits::USABLE_LIMIT_FRACTION;

/// Fraction of the usable memory that queued requests may take.
const MAX_QUEUED_FRACTION: f64 = 0.5;

/// Multiple of the usable memory up to which the size of one request is counted. A larger request
/// is rejected all the same, and the sums stay finite.
const MAX_REQUEST_FACTOR: f64 = 2.0;

/// Memory in use, in kilobytes. Each request is counted with the size that
/// [`Memory::countable_kb`] returned.
pub(crate) struct Memory {
    limit_kb: f64,
    used_kb: f64,
    queued_kb: f64,
    /// Memory of a running request as a multiple of its memory while queued.
    running_factor: f64,
    key_kb: f64,
    /// The time at which each remembered key is forgotten.
    key_expiries: Vec<Duration>,
}

impl Memory {
    /// Memory of which none is in use.
    pub(crate) fn new(config: &Config) -> Self {
        Memory {
            limit_kb: config.memory_kb * USABLE_LIMIT_FRACTION,
            used_kb: 0.0,
            queued_kb: 0.0,
            running_factor: config.running_memory_factor,
            key_kb: config.key_kb,
            key_expiries: Vec::new(),
        }
    }

    /// The size with which a request that states `queued_kb` is counted.
    pub(crate) fn countable_kb(&self, queued_kb: f64) -> f64 {
        queued_kb.max(0.0).min(self.limit_kb * MAX_REQUEST_FACTOR)
    }

    /// Whether requests and keys take more than the usable memory.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.used_kb > self.limit_kb
    }

    /// Whether the queue and the memory have room for a request that is already counted, and for
    /// its key, if it has one.
    pub(crate) fn has_room_to_queue(&self, is_keyed: bool) -> bool {
        let key_kb = if is_keyed { self.key_kb } else { 0.0 };
        let queue_has_room = self.queued_kb <= self.limit_kb * MAX_QUEUED_FRACTION;
        queue_has_room && self.used_kb + key_kb <= self.limit_kb
    }

    /// Whether a queued request may start.
    pub(crate) fn has_room_to_run(&self, queued_kb: f64) -> bool {
        self.used_kb + self.running_extra_kb(queued_kb) <= self.limit_kb
    }

    /// Kilobytes that a running request takes in addition to its size while queued.
    fn running_extra_kb(&self, queued_kb: f64) -> f64 {
        queued_kb * (self.running_factor - 1.0)
    }

    /// Counts the memory of a request that was read.
    pub(crate) fn add_queued(&mut self, queued_kb: f64) {
        self.used_kb += queued_kb;
        self.queued_kb += queued_kb;
    }

    /// Subtracts the memory of a request that is released without having run.
    pub(crate) fn remove_queued(&mut self, queued_kb: f64) {
        self.queued_kb -= queued_kb;
        self.used_kb -= queued_kb;
    }

    /// Counts a queued request as running, with the memory of a running request.
    pub(crate) fn start_running(&mut self, queued_kb: f64) {
        self.used_kb += self.running_extra_kb(queued_kb);
        self.queued_kb -= queued_kb;
    }

    /// Subtracts the memory of a running request, when the request is released after its run.
    pub(crate) fn remove_running(&mut self, queued_kb: f64) {
        self.used_kb -= queued_kb * self.running_factor;
    }

    /// Counts the memory of a key that is remembered until `expires_at`.
    pub(crate) fn remember_key(&mut self, expires_at: Duration) {
        self.key_expiries.push(expires_at);
        self.used_kb += self.key_kb;
    }

    /// Subtracts the memory of a key that is forgotten before it expires.
    pub(crate) fn forget_key(&mut self, expires_at: Duration) {
        let position = self
            .key_expiries
            .iter()
            .position(|&other| other == expires_at);
        if let Some(position) = position {
            self.key_expiries.swap_remove(position);
            self.used_kb -= self.key_kb;
        }
    }

    /// Removes the keys that have expired, and subtracts their memory.
    pub(crate) fn expire_keys(&mut self, now: Duration) {
        let before = self.key_expiries.len();
        self.key_expiries.retain(|&expires_at| expires_at > now);
        self.used_kb -= (before - self.key_expiries.len()) as f64 * self.key_kb;
    }
}
