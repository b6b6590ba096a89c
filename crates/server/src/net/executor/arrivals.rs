//! Which commands have arrived at the executor for certain.
//!
//! Failure: when a link breaks, the commands of the last [`MAX_LOST_COMMAND_AGE`] before the break
//! may be lost, even if the executor has read them and has replied to a later query. A start that is
//! lost and counts as arrived is not sent again: no notice of its run ever comes, its request keeps
//! a core in the controller's count for good, and with one for each core nothing is started any
//! more.
//!
//! Protection: the reply to a query shows that the commands before it were read by the time of the
//! reply. They have arrived for certain once the link has lasted for [`MAX_LOST_COMMAND_AGE`] after
//! that, which the reply to a query shows that was sent so much later. When the link ends, all other
//! commands may be lost.
//!
//! Cost: commands of up to two intervals between queries and [`MAX_LOST_COMMAND_AGE`] before a break
//! count as possibly lost. An idempotent start among them is sent again, which has no effect on a
//! run that is running; the outcome of a run that may run at most once is unknown.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How long before the break of a link a command may have been sent that is lost with the link.
const MAX_LOST_COMMAND_AGE: Duration = Duration::from_millis(50);
/// The maximum number of replies that are remembered. While there are as many, the commands before
/// further replies are confirmed by later ones.
const MAX_REPLIES: usize = 64;

/// A reply to a query of the current link.
struct QueryReply {
    /// All commands up to this position were read before it.
    position: u64,
    received_at: Instant,
}

/// The commands that have arrived, by their positions among all commands.
#[derive(Default)]
pub(super) struct Arrivals {
    /// All commands up to this position have arrived.
    certain: u64,
    /// The replies, oldest first, whose commands would be lost if the link broke now.
    replies: VecDeque<QueryReply>,
}

impl Arrivals {
    /// All commands up to this position have arrived.
    pub(super) fn certain(&self) -> u64 {
        self.certain
    }

    /// Records a reply that was received at `now` to a query that was sent at `sent_at`, after all
    /// commands up to `position`.
    pub(super) fn record_reply(&mut self, position: u64, sent_at: Instant, now: Instant) {
        while let Some(reply) = self.replies.front()
            && reply.received_at + MAX_LOST_COMMAND_AGE <= sent_at
        {
            self.certain = self.certain.max(reply.position);
            self.replies.pop_front();
        }
        let last = self
            .replies
            .back()
            .map_or(self.certain, |reply| reply.position);
        if position > last && self.replies.len() < MAX_REPLIES {
            self.replies.push_back(QueryReply {
                position,
                received_at: now,
            });
        }
    }

    /// Records that all commands up to this position have arrived, because this side closes the link
    /// after the executor has replied to its last query: a link that is closed does not break.
    pub(super) fn record_final_reply(&mut self, position: u64) {
        self.certain = self.certain.max(position);
    }

    /// Records the end of the link: further replies show nothing about commands sent over it.
    pub(super) fn end_link(&mut self) {
        self.replies.clear();
    }
}

#[cfg(test)]
#[path = "arrivals_tests.rs"]
mod tests;
