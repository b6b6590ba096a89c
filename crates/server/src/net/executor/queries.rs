//! Open queries to the executor, which replies with the tag of the query. A reply also shows that the
//! executor has read every command sent before the query.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use may::sync::Blocker;

use crate::requests::Gauges;

/// A reply of the executor.
pub(super) enum Reply {
    Gauges(Gauges),
    /// Whether a test job succeeded.
    TestJob(bool),
}

/// The purpose of a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryKind {
    Gauges,
    TestJob,
    /// The last query of a link that this side closes after the reply.
    Final,
}

struct OpenQuery {
    waiter: Arc<Blocker>,
    kind: QueryKind,
    /// The number of commands that were sent before the query.
    commands_before: u64,
    sent_at: Instant,
    reply: Option<Reply>,
}

/// The commands before a query, which the executor had read when it replied.
pub(super) struct ReadCommands {
    /// The number of commands that were sent before the query.
    pub(super) position: u64,
    pub(super) sent_at: Instant,
    /// It was the last query of its link.
    pub(super) is_final: bool,
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
        kind: QueryKind,
        commands_before: u64,
    ) -> u64 {
        self.last_tag += 1;
        self.open.insert(
            self.last_tag,
            OpenQuery {
                waiter,
                kind,
                commands_before,
                sent_at: Instant::now(),
                reply: None,
            },
        );
        self.last_tag
    }

    /// Closes a query and returns its reply, if there is one.
    pub(super) fn close(&mut self, tag: u64) -> Option<Reply> {
        self.open.remove(&tag).and_then(|query| query.reply)
    }

    /// Stores a reply. Returns the commands that were read before it, unless its query is closed.
    pub(super) fn answer(&mut self, tag: u64, reply: Reply) -> Option<ReadCommands> {
        let query = self.open.get_mut(&tag)?;
        query.reply = Some(reply);
        query.waiter.unpark();
        Some(ReadCommands {
            position: query.commands_before,
            sent_at: query.sent_at,
            is_final: query.kind == QueryKind::Final,
        })
    }

    /// Whether a query is answered or closed.
    pub(super) fn is_finished(&self, tag: u64) -> bool {
        self.open
            .get(&tag)
            .is_none_or(|query| query.reply.is_some())
    }

    /// Closes all test jobs: their coroutines stop waiting.
    pub(super) fn abandon_test_jobs(&mut self) {
        let abandoned = self
            .open
            .extract_if(|_, query| query.kind == QueryKind::TestJob);
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
