//! Open queries to the executor, which it answers by their tags. A reply also shows that every
//! command sent before its query has arrived.

use std::collections::HashMap;
use std::sync::Arc;

use may::sync::Blocker;

use crate::requests::Gauges;

/// What the executor replied.
pub(super) enum Reply {
    Gauges(Gauges),
    /// Whether a piece of work got done.
    Worked(bool),
}

struct OpenQuery {
    waiter: Arc<Blocker>,
    /// It asks for a piece of work.
    is_for_work: bool,
    /// The number of commands that were sent before it.
    commands_before: u64,
    reply: Option<Reply>,
}

/// The open queries of one link. Each is closed by the coroutine that waits for it, or with its
/// link.
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
        is_for_work: bool,
        commands_before: u64,
    ) -> u64 {
        self.last_tag += 1;
        self.open.insert(
            self.last_tag,
            OpenQuery {
                waiter,
                is_for_work,
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

    /// Stores a reply. Returns how many commands it shows to have arrived, unless its query is
    /// closed.
    pub(super) fn answer(&mut self, tag: u64, reply: Reply) -> Option<u64> {
        let query = self.open.get_mut(&tag)?;
        query.reply = Some(reply);
        query.waiter.unpark();
        Some(query.commands_before)
    }

    /// Whether a query is answered, or will not be.
    pub(super) fn is_over(&self, tag: u64) -> bool {
        self.open
            .get(&tag)
            .is_none_or(|query| query.reply.is_some())
    }

    /// Nobody waits any more for a piece of work to get done.
    pub(super) fn abandon_work(&mut self) {
        let abandoned = self.open.extract_if(|_, query| query.is_for_work);
        for (_, query) in abandoned {
            query.waiter.unpark();
        }
    }

    /// The link has ended: none of its queries will be answered.
    pub(super) fn abandon_all(&mut self) {
        for query in std::mem::take(&mut self.open).into_values() {
            query.waiter.unpark();
        }
    }
}
