//! Open queries to the executor, which replies with the tag of the query. A reply also confirms
//! that every command sent before the query has arrived.

use std::collections::HashMap;
use std::sync::Arc;

use may::sync::Blocker;

use crate::requests::Gauges;

/// A reply of the executor.
pub(super) enum Reply {
    Gauges(Gauges),
    /// Whether a test job succeeded.
    TestJob(bool),
}

struct OpenQuery {
    waiter: Arc<Blocker>,
    /// The query is a test job.
    is_test_job: bool,
    /// The number of commands that were sent before the query.
    commands_before: u64,
    reply: Option<Reply>,
}

/// The open queries of one link. The coroutine that waits for a query closes it; all are closed
/// when the link ends.
#[derive(Default)]
pub(super) struct Queries {
    open: HashMap<u64, OpenQuery>,
    last_tag: u64,
}

impl Queries {
    /// Opens a query and returns its tag.
    pub(super) fn open(
        &mut self,
        waiter: Arc<Blocker>,
        is_test_job: bool,
        commands_before: u64,
    ) -> u64 {
        self.last_tag += 1;
        self.open.insert(
            self.last_tag,
            OpenQuery {
                waiter,
                is_test_job,
                commands_before,
                reply: None,
            },
        );
        self.last_tag
    }

    /// Closes a query and returns its reply, if there is one.
    pub(super) fn close(&mut self, tag: u64) -> Option<Reply> {
        self.open.remove(&tag).and_then(|query| query.reply)
    }

    /// Stores a reply. Returns the number of commands that it confirms, unless its query is closed.
    pub(super) fn answer(&mut self, tag: u64, reply: Reply) -> Option<u64> {
        let query = self.open.get_mut(&tag)?;
        query.reply = Some(reply);
        query.waiter.unpark();
        Some(query.commands_before)
    }

    /// Whether a query is answered or closed.
    pub(super) fn is_finished(&self, tag: u64) -> bool {
        self.open
            .get(&tag)
            .is_none_or(|query| query.reply.is_some())
    }

    /// Closes all test jobs: their coroutines stop waiting.
    pub(super) fn abandon_test_jobs(&mut self) {
        let abandoned = self.open.extract_if(|_, query| query.is_test_job);
        for (_, query) in abandoned {
            query.waiter.unpark();
        }
    }

    /// Closes all queries, because the link has ended and none of them will be answered.
    pub(super) fn abandon_all(&mut self) {
        for query in std::mem::take(&mut self.open).into_values() {
            query.waiter.unpark();
        }
    }
}
