//! When the next link to the executor is opened.
//!
//! A link that was up is reopened at once: runs wait for it. A link that could not be opened is
//! tried again after a short pause, which keeps the attempts from using up the processor. If the
//! executor violates the protocol, however, it sends the line again on the next link, because the
//! notice was not read. Each link then ends at the same place, and links that are reopened at once
//! use up the processors and the log of both sides. The pause therefore doubles while links end in
//! a violation after the same notice, and the violation is logged once. The cost is that an
//! executor which corrects the line is found up to [`MAX_VIOLATION_BACKOFF`] later.

use std::time::Duration;

/// The pause after a link that could not be opened, and the first pause after a violation that
/// repeats itself.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// The longest pause after a violation that repeats itself.
const MAX_VIOLATION_BACKOFF: Duration = Duration::from_secs(2);

/// How a link ended.
pub(super) struct LinkEnd {
    /// Commands were allowed over it.
    pub(super) was_up: bool,
    /// The executor has another address now.
    pub(super) has_moved: bool,
    /// The executor violated the protocol; the last notice that was read before.
    pub(super) violation_after: Option<u64>,
}

/// The violations in a row that repeat one another.
#[derive(Default)]
pub(super) struct Reconnect {
    /// The last notice that was read before the last link ended in a violation.
    violation_after: Option<u64>,
    repetitions: u32,
}

impl Reconnect {
    /// Records the end of a link. Returns whether it repeats the end of the link before.
    pub(super) fn record(&mut self, end: &LinkEnd) -> bool {
        let is_repeated = !end.has_moved
            && end.violation_after.is_some()
            && end.violation_after == self.violation_after;
        self.violation_after = end.violation_after;
        self.repetitions = if is_repeated {
            self.repetitions.saturating_add(1)
        } else {
            0
        };
        is_repeated
    }

    /// The pause before the next attempt, after `end` was recorded.
    pub(super) fn pause(&self, end: &LinkEnd) -> Option<Duration> {
        if self.repetitions > 0 {
            let factor = 2_u32.saturating_pow(self.repetitions - 1);
            return Some(
                RECONNECT_INTERVAL
                    .saturating_mul(factor)
                    .min(MAX_VIOLATION_BACKOFF),
            );
        }
        (!end.was_up && !end.has_moved).then_some(RECONNECT_INTERVAL)
    }
}

#[cfg(test)]
#[path = "reconnect_tests.rs"]
mod tests;
