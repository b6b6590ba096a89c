//! The sequence of notices: the executor numbers them from 1, keeps the last ones, and sends those
//! again that a link has missed.

/// How far the notices were read.
#[derive(Default)]
pub(super) struct NoticeSequence {
    last: u64,
    /// A number was skipped: the executor no longer kept that notice, so a run whose end was not
    /// read may have ended.
    has_gap: bool,
}

impl NoticeSequence {
    /// The number of the last notice that was read; 0 before the first.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Counts a notice, and returns whether it was not read before.
    pub(super) fn is_new(&mut self, notice: u64) -> bool {
        let is_new = notice > self.last;
        self.has_gap |= notice > self.last + 1;
        self.last = self.last.max(notice);
        is_new
    }

    /// Whether notices are missing since the last call.
    pub(super) fn take_gap(&mut self) -> bool {
        std::mem::take(&mut self.has_gap)
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
