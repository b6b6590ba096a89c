//! The executor, the peer which runs requests (the protocol page calls it the kernel): one link,
//! kept open. A link that breaks is opened again from the last notice that was read; commands that
//! may have been lost on the way are then sent once more, where that is safe.

mod gauges;
mod link;
mod protocol;
mod queries;
mod resync;

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;

use self::gauges::LastGauges;
use self::protocol::{Command, query};
use self::queries::{Queries, Reply};
use self::resync::{Delivery, LastCommand, Run};
use super::stream::{BUFFER_FULL_PAUSE, Output, SendOutcome};
use crate::clock;
use crate::config::CurrentAddress;
use crate::requests::{Bytes, ClassName, Gauges, RequestId, RequestRegistry};

/// The longest that a timer waits for its gauges. While the machine stands still none come, and the
/// controller learns that from a timer that is late; longer than this, what is due could be
/// answered too late.
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

#[derive(Default)]
struct LinkState {
    /// The link that takes commands, from the moment that all missed notices were read.
    output: Option<Arc<Output>>,
    /// The open link.
    link: Option<Arc<Output>>,
    last_notice: u64,
    /// Notices are missing, so a run of which nothing was heard may have ended.
    notices_are_missing: bool,
    runs: HashMap<RequestId, Run>,
    queries: Queries,
    /// Commands sent so far; a command's position is its number among them.
    commands_sent: u64,
    /// Commands up to this position are known to have arrived.
    commands_arrived: u64,
    last_gauges: LastGauges,
}

impl ExecutorClient {
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

    /// The executor listens there from now on.
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

    /// Cancels a run. The controller repeats it until the run has ended, so a lost cancellation
    /// does no harm.
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

    /// The gauges now; where the executor does not answer soon, its last reading unless that is
    /// old.
    pub(crate) fn gauges(&self) -> Gauges {
        match self.query("SYSINFO", GAUGES_TIMEOUT) {
            Some(Reply::Gauges(gauges)) => {
                self.state.lock().last_gauges.set(gauges);
                gauges
            }
            _ => self.state.lock().last_gauges.get(),
        }
    }

    /// Whether work gets done within that time.
    pub(crate) fn does_work(&self, within: Duration) -> bool {
        matches!(self.query("POST", within), Some(Reply::Worked(true)))
    }

    /// Sends a command and has `record` note how: where there is no link it is not sent, and is
    /// sent once there is one if it still matters.
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
                    state.commands_sent += 1;
                    let position = state.commands_sent;
                    return record(&mut state, Delivery::Sent(position));
                }
            }
            drop(state);
            clock::sleep(BUFFER_FULL_PAUSE);
        }
    }

    fn query(&self, word: &str, within: Duration) -> Option<Reply> {
        let waiter = Arc::new(Blocker::new(true));
        let tag = {
            let mut state = self.state.lock();
            let output = state.output.clone()?;
            let commands_before = state.commands_sent;
            let tag = state.queries.open(waiter.clone(), commands_before);
            // Full: the reply would come too late anyway.
            if output.try_send(&[query(word, tag).as_bytes()]) != SendOutcome::Queued {
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
