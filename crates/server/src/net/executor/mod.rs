//! The executor, the peer which runs requests: one link, kept open. A link that breaks is opened
//! again from the last notice that was read; commands that may be lost are then sent again, where
//! that is safe.
//!
//! | file | job |
//! | --- | --- |
//! | `mod` | commands and queries |
//! | `link` | opening a link, reading from it, and leaving it when the executor moves |
//! | `state` | what is known of the link and of the runs on it |
//! | `resync` | the rule by which a new link affects runs |
//! | `notices` | the sequence of notices |
//! | `queries` | open queries |
//! | `gauges` | the last reading of the gauges |
//! | `protocol` | the messages on the wire |

mod gauges;
mod link;
mod notices;
mod protocol;
mod queries;
mod resync;
mod state;

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;

use self::protocol::{Command, Query};
use self::queries::Reply;
use self::resync::{Delivery, LastCommand, Run};
use self::state::LinkState;
use super::stream::{BUFFER_FULL_PAUSE, SendOutcome};
use crate::clock;
use crate::config::CurrentAddress;
use crate::requests::{Bytes, ClassName, Gauges, RequestId, RequestRegistry};

/// How long a timer waits for its gauges. While the executor hangs it sends none, and the
/// controller learns that from a timer that is late. With a longer wait, a request could be
/// answered after its deadline.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(60);

/// The client side of the link to the executor. It owns what was sent to the executor about each
/// run.
pub(crate) struct ExecutorClient {
    address: CurrentAddress<SocketAddr>,
    registry: Arc<RequestRegistry>,
    /// The names of the gauges, in the order in which the executor reports them.
    gauge_names: Vec<String>,
    state: Mutex<LinkState>,
}

impl ExecutorClient {
    /// A client of the executor at `address`; [`ExecutorClient::run`] opens its link. `gauge_names`
    /// are the gauges in the order in which the executor reports them.
    pub(crate) fn new(
        address: SocketAddr,
        registry: Arc<RequestRegistry>,
        gauge_names: Vec<String>,
    ) -> Arc<Self> {
        let state = Mutex::new(LinkState::default());
        Arc::new(ExecutorClient {
            address: CurrentAddress::new(address),
            registry,
            gauge_names,
            state,
        })
    }

    /// Moves the link to the address at which the executor listens from now on.
    pub(crate) fn move_to(&self, address: SocketAddr) {
        if self.address.set(address)
            && let Some(link) = self.state.lock().link.clone()
        {
            link.wake();
        }
    }

    /// Starts the run of a request, which may run `at_most_once` or any number of times.
    pub(crate) fn start(
        &self,
        id: &RequestId,
        class: &ClassName,
        body: &Bytes,
        at_most_once: bool,
    ) {
        self.send(id, &Command::Start { class, body }, |state, delivery| {
            let (class, body) = (class.clone(), body.clone());
            let run = Run {
                class,
                body,
                at_most_once,
                last_command: LastCommand::Start,
                delivery,
                call: 0,
            };
            state.runs.insert(id.clone(), run);
        });
    }

    /// Cancels a run. The controller repeats the cancellation until the run has ended, so one that
    /// is lost does no harm.
    pub(crate) fn cancel(&self, id: &RequestId) {
        self.send(id, &Command::Cancel, |_, _| ());
    }

    /// Resumes a run with the reply to its call.
    pub(crate) fn reply(&self, id: &RequestId, reply: &Bytes) {
        self.send(id, &Command::Reply(reply), |state, delivery| {
            if let Some(run) = state.runs.get_mut(id) {
                run.last_command = match delivery {
                    Delivery::NotSent => LastCommand::UnsentReply(reply.clone()),
                    _ => LastCommand::Reply,
                };
                run.delivery = delivery;
            }
        });
    }

    /// Resumes a run without the call that its notice of this number asked for.
    pub(crate) fn skip_call(&self, id: &RequestId, notice: u64) {
        self.send(id, &Command::SkipCall { notice }, |state, delivery| {
            if let Some(run) = state.runs.get_mut(id) {
                (run.last_command, run.delivery) = (LastCommand::SkipCall, delivery);
            }
        });
    }

    /// The gauges now; where the executor does not answer in time, its last reading unless that is
    /// old.
    pub(crate) fn gauges(&self) -> Gauges {
        match self.query(Query::Gauges, GAUGES_TIMEOUT) {
            Some(Reply::Gauges(gauges)) => {
                self.state.lock().last_gauges.set(gauges);
                gauges
            }
            _ => self.state.lock().last_gauges.get(),
        }
    }

    /// Whether the executor gets a piece of work done within that time.
    pub(crate) fn does_work(&self, within: Duration) -> bool {
        matches!(self.query(Query::Work, within), Some(Reply::Worked(true)))
    }

    /// Ends the waits for pieces of work: none of them counts as done.
    pub(crate) fn abandon_work(&self) {
        self.state.lock().queries.abandon_work();
    }

    /// Sends a command, and has `record` note how far it has come. Without a link it is not sent;
    /// the next link sends it if its run is still open.
    fn send(&self, id: &str, command: &Command, record: impl FnOnce(&mut LinkState, Delivery)) {
        let bytes = command.encode(id);
        loop {
            // Under the lock, so that commands arrive in the order of their positions.
            let mut state = self.state.lock();
            match state
                .output
                .as_ref()
                .map_or(SendOutcome::Closed, |output| output.try_send(&[&bytes]))
            {
                SendOutcome::Full => {}
                SendOutcome::Closed => return record(&mut state, Delivery::NotSent),
                SendOutcome::Queued => {
                    let delivery = state.count_command();
                    return record(&mut state, delivery);
                }
            }
            drop(state);
            clock::sleep(BUFFER_FULL_PAUSE);
        }
    }

    fn query(&self, query: Query, within: Duration) -> Option<Reply> {
        let waiter = Arc::new(Blocker::new(true));
        let tag = {
            let mut state = self.state.lock();
            let output = state.output.clone()?;
            let commands_before = state.commands_sent;
            let is_for_work = matches!(query, Query::Work);
            let tag = state
                .queries
                .open(waiter.clone(), is_for_work, commands_before);
            // Where the buffer is full, the reply would be too late anyway.
            if output.try_send(&[query.encode(tag).as_bytes()]) != SendOutcome::Queued {
                state.queries.close(tag);
                return None;
            }
            tag
        };
        let deadline = Instant::now() + within;
        loop {
            let mut state = self.state.lock();
            if deadline <= Instant::now() || state.queries.is_over(tag) {
                return state.queries.close(tag);
            }
            drop(state);
            clock::park(&waiter, Some(deadline));
        }
    }
}
