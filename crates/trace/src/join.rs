//! Which attempts are tries of one req. A try bears a new id each time; what stays is the key of a uniqued req, or
//! else what a read is about and the edge node that asks.

use std::collections::{HashMap, VecDeque};

use crate::Micros;
use crate::record::{Outcome, Record};

/// Firsts that are remembered at the most; the oldest go.
const KNOWN_MOST: usize = 1 << 20;
/// How long after its first try a further one may come.
const WINDOW: Micros = 120_000_000;

/// What a record is to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The first try of a req.
    First,
    /// A further one; `done` tells whether an earlier one was done.
    Again { done: bool },
    /// A further one by its mark, of a req that cannot be told.
    Stray,
}

/// By what tries are known to belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Link {
    Key(u32, u64),
    Read { handler: u32, tenant: Option<u32>, caller: u64, subject: u64 },
}

impl Link {
    pub fn of(record: &Record) -> Option<Link> {
        if let Some(key) = record.key {
            return Some(Link::Key(record.handler, key));
        }
        let (caller, subject) = (record.caller?, record.subject?);
        Some(Link::Read { handler: record.handler, tenant: record.tenant, caller, subject })
    }
}

struct First {
    reached: Micros,
    done: bool,
}

/// Joins tries as their records come in the order of time.
#[derive(Default)]
pub struct Joiner {
    known: HashMap<Link, First>,
    /// In the order in which they became known.
    order: VecDeque<(Micros, Link)>,
}

impl Joiner {
    pub fn see(&mut self, record: &Record) -> Seen {
        self.forget(record.reached);
        let done = record.outcome == Outcome::Done;
        let Some(link) = Link::of(record) else {
            return if record.retry { Seen::Stray } else { Seen::First };
        };
        // A key makes further tries known even where their mark was lost; a read without a mark is a new one.
        let further = record.retry || matches!(link, Link::Key(..));
        match self.known.get_mut(&link) {
            Some(first) if further => {
                let before = first.done;
                first.done |= done;
                Seen::Again { done: before }
            }
            _ if record.retry => Seen::Stray,
            _ => {
                self.known.insert(link, First { reached: record.reached, done });
                self.order.push_back((record.reached, link));
                Seen::First
            }
        }
    }

    fn forget(&mut self, now: Micros) {
        while let Some(&(reached, link)) = self.order.front() {
            if self.order.len() <= KNOWN_MOST && now.saturating_sub(reached) <= WINDOW {
                return;
            }
            self.order.pop_front();
            // It may have become known anew since.
            if self.known.get(&link).is_some_and(|first| first.reached == reached) {
                self.known.remove(&link);
            }
        }
    }
}
