//! The sequence of notices. The executor numbers notices from 1, keeps the most recent ones, and
//! sends missed notices again on a new link.

/// The position in the sequence of notices.
#[derive(Default)]
pub(super) struct NoticeSequence {
    last: u64,
    /// A number was skipped because the executor no longer kept that notice, so any run without a
    /// notice of its end may have ended.
    has_gap: bool,
}

impl NoticeSequence {
    /// The number of the last notice that was read; 0 before the first.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Records a notice, and returns whether it was not read before.
    pub(super) fn record(&mut self, notice: u64) -> bool {
        let is_new = notice > self.last;
        self.has_gap |= notice > self.last + 1;
        self.last = self.last.max(notice);
        is_new
    }

    /// Whether notices were skipped since the last call of this function.
    pub(super) fn take_gap(&mut self) -> bool {
        std::mem::take(&mut self.has_gap)
    }
}

#[cfg(test)]
#[path = "notices_tests.rs"]
mod tests;
