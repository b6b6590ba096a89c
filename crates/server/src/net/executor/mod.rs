//! The client of the executor, the peer that runs requests. It keeps one link open. After a break
//! it opens a new link, over which the executor sends the notices after the last one that was read.
//! The client then sends each command again that may be lost, unless the command could then run a
//! request twice, or resume a run with the reply to another call.
//!
//! | file | job |
//! | --- | --- |
//! | `mod` | commands and queries |
//! | `link` | opening a link, reading from it, and closing it when the executor moves |
//! | `state` | the state of the link and of the runs |
//! | `resync` | the decision on each run when a new link is ready |
//! | `arrivals` | which commands have arrived for certain |
//! | `notices` | the sequence numbers of notices |
//! | `queries` | open queries |
//! | `gauges` | the last reading of the gauges |
//! | `protocol` | the messages on the wire |

mod arrivals;
mod gauges;
mod link;
mod notices;
mod protocol;
mod queries;
mod reconnect;
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
use self::queries::{QueryKind, Reply};
use self::resync::{Delivery, LastCommand, Run};
use self::state::LinkState;
use super::stream::{BUFFER_FULL_RETRY_INTERVAL, SendOutcome};
use crate::clock;
use crate::config::CurrentAddress;
use crate::requests::{Bytes, ClassName, Gauges, RequestId, RequestRegistry};

/// How long a timer of the controller waits for the gauges. An executor that hangs sends none, and
/// the controller detects that from a late timer. With a longer wait, a request could be answered
/// after its deadline.
const GAUGES_TIMEOUT: Duration = Duration::from_millis(60);

/// The client side of the link to the executor. It owns the state of each run: the last command and
/// whether it has arrived.
pub(crate) struct ExecutorClient {
    address: CurrentAddress<SocketAddr>,
    registry: Arc<RequestRegistry>,
    /// The names of the gauges, in the order in which the executor reports them.
    gauge_names: Vec<String>,
    state: Mutex<LinkState>,
}

impl ExecutorClient {
    /// A client of the executor at `address`; [`ExecutorClient::run`] opens its link. `gauge_names`
    /// are the names of the gauges in the order in which the executor reports them.
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

    /// Moves the link to the new address of the executor.
    pub(crate) fn move_to(&self, address: SocketAddr) {
        if self.address.set(address)
            && let Some(link) = self.state.lock().link.clone()
        {
            link.wake();
        }
    }

    /// Starts the run of a request. A request with `is_at_most_once` may not run a second time.
    pub(crate) fn start(
        &self,
        id: &RequestId,
        class: &ClassName,
        body: &Bytes,
        is_at_most_once: bool,
    ) {
        self.send(id, &Command::Start { class, body }, |state, delivery| {
            let (class, body) = (class.clone(), body.clone());
            let run = Run {
                class,
                body,
                is_at_most_once,
                last_command: LastCommand::Start,
                delivery,
                call: 0,
            };
            state.runs.insert(id.clone(), run);
        });
    }

    /// Cancels a run. The controller repeats the cancellation until the run has ended, so a lost
    /// command does no harm.
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

    /// Resumes a run without the call that the notice with this number requested.
    pub(crate) fn skip_call(&self, id: &RequestId, notice: u64) {
        self.send(id, &Command::SkipCall { notice }, |state, delivery| {
            if let Some(run) = state.runs.get_mut(id) {
                (run.last_command, run.delivery) = (LastCommand::SkipCall, delivery);
            }
        });
    }

    /// The current gauges. If the executor does not answer within `GAUGES_TIMEOUT`, its last
    /// reading is used unless it is older than `MAX_GAUGES_AGE`.
    pub(crate) fn gauges(&self) -> Gauges {
        match self.query(Query::Gauges, GAUGES_TIMEOUT) {
            Some(Reply::Gauges(gauges)) => {
                self.state.lock().last_gauges.set(gauges);
                gauges
            }
            _ => self.state.lock().last_gauges.get(),
        }
    }

    /// Whether the executor completes a test job within that time.
    pub(crate) fn completes_test_job(&self, within: Duration) -> bool {
        matches!(
            self.query(Query::TestJob, within),
            Some(Reply::TestJob(true))
        )
    }

    /// Ends the waits for test jobs: none of them counts as completed.
    pub(crate) fn abandon_test_jobs(&self) {
        self.state.lock().queries.abandon_test_jobs();
    }

    /// Sends a command, and passes its delivery state to `record`. Without a link, the command is
    /// not sent; if `record` stores it as the last command for a run, it is sent over the next link
    /// while the run is open.
    fn send(&self, id: &str, command: &Command, record: impl FnOnce(&mut LinkState, Delivery)) {
        let bytes = command.encode(id);
        loop {
            // The command is sent under the lock, so that commands arrive in the order of their
            // positions (`LinkState::commands_sent`).
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
            clock::sleep(BUFFER_FULL_RETRY_INTERVAL);
        }
    }

    fn query(&self, query: Query, within: Duration) -> Option<Reply> {
        let waiter = Arc::new(Blocker::new(true));
        let tag = {
            let mut state = self.state.lock();
            let output = state.output.clone()?;
            let commands_before = state.commands_sent;
            let kind = match query {
                Query::Gauges => QueryKind::Gauges,
                Query::TestJob => QueryKind::TestJob,
            };
            let tag = state.queries.open(waiter.clone(), kind, commands_before);
            // With a full buffer, the reply would be too late anyway.
            if output.try_send(&[query.encode(tag).as_bytes()]) != SendOutcome::Queued {
                state.queries.close(tag);
                return None;
            }
            tag
        };
        let deadline = Instant::now() + within;
        loop {
            let mut state = self.state.lock();
            if deadline <= Instant::now() || state.queries.is_finished(tag) {
                return state.queries.close(tag);
            }
            drop(state);
            clock::park(&waiter, Some(deadline));
        }
    }
}
