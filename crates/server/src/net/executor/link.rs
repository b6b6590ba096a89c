//! One link to the executor after the other: opening, reading, and leaving one when the executor
//! moves.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use may::sync::Blocker;

use super::protocol::{Command, Message, RefusedCommand, has_body, open, query};
use super::queries::Reply;
use super::resync::Delivery;
use super::{ExecutorClient, LinkState};
use crate::clock;
use crate::log::LogLimit;
use crate::net::connect::connect;
use crate::net::lines::Line;
use crate::net::spawn;
use crate::net::stream::{BufferedStream, MAX_LINE_BUFFER_BYTES, Output, protocol_error};
use crate::requests::{Bytes, Gauges, Outcome, RequestEvent};

/// The pause between two attempts to reach the executor.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// How long a link that is left may take to show that everything sent over it has arrived.
const FAREWELL_TIMEOUT: Duration = Duration::from_millis(100);

static REMARKS: LogLimit = LogLimit::new();
static REFUSALS: LogLimit = LogLimit::new();
static LINK_FAILURES: LogLimit = LogLimit::new();

impl ExecutorClient {
    /// Keeps a link open for good.
    pub(crate) fn run(self: Arc<Self>) {
        loop {
            let address = self.address.get();
            let end = connect(address, || self.address.get() == address).and_then(|stream| {
                self.serve(
                    &mut BufferedStream::new(stream, MAX_LINE_BUFFER_BYTES, MAX_LINE_BUFFER_BYTES),
                    address,
                )
            });
            let was_up = {
                let mut state = self.state.lock();
                state.link = None;
                state.queries.abandon_all();
                state.output.take().is_some()
            };
            match end {
                Ok(()) => log::info!("executor link moving address={}", self.address.get()),
                Err(error) => {
                    if let Some(count) = LINK_FAILURES.pass() {
                        log::warn!("executor link failed error=\"{error}\" count={count}");
                    }
                    // One that was up can be had again at once; so can one where the executor has
                    // moved to.
                    if !was_up && self.address.get() == address {
                        clock::sleep(RECONNECT_PAUSE);
                    }
                }
            }
        }
    }

    /// Serves a link from its opening to its end; ends without an error where the executor has
    /// moved.
    fn serve(self: &Arc<Self>, link: &mut BufferedStream, address: SocketAddr) -> io::Result<()> {
        let output = link.output.clone();
        let (last_notice, barrier) = {
            let mut state = self.state.lock();
            state.link = Some(output.clone());
            // Commands on the link before may have been lost with it: this reply shows nothing of
            // them.
            (
                state.last_notice,
                state.queries.open(Arc::new(Blocker::new(true)), 0),
            )
        };
        output.send(&[open(last_notice).as_bytes()]);
        let mut farewell = None;
        loop {
            link.read_lines(has_body, |line| self.handle_line(line, barrier, &output))?;
            // Once its farewell is said, it is left even where the executor has moved back
            // meanwhile: nothing is sent over it any more.
            if farewell.is_some() || self.address.get() != address {
                let tag = *farewell.get_or_insert_with(|| self.say_farewell(&output));
                if tag.is_none_or(|tag| self.state.lock().queries.is_over(tag)) {
                    return Ok(());
                }
            }
            link.wait();
        }
    }

    /// Nothing more is sent over this link: commands wait for the next one. Asks once more for the
    /// gauges, because the reply shows that everything before has arrived and nothing counts as
    /// lost; where it does not come soon, the link is left all the same. Returns the tag of that
    /// question.
    fn say_farewell(self: &Arc<Self>, output: &Arc<Output>) -> Option<u64> {
        let mut state = self.state.lock();
        state.output.take()?;
        let commands_before = state.commands_sent;
        let tag = state
            .queries
            .open(Arc::new(Blocker::new(true)), commands_before);
        drop(state);
        output.try_send(&[query("SYSINFO", tag).as_bytes()]);
        let (client, output) = (self.clone(), output.clone());
        spawn(move || {
            clock::sleep(FAREWELL_TIMEOUT);
            client.state.lock().queries.close(tag);
            output.wake();
        });
        Some(tag)
    }

    fn handle_line(
        self: &Arc<Self>,
        line: &Line,
        barrier: u64,
        output: &Arc<Output>,
    ) -> io::Result<()> {
        match Message::decode(line).map_err(protocol_error)? {
            Message::Booted {
                is_cold,
                state,
                uptime,
            } => {
                if self.registry.start(is_cold, uptime) {
                    let uptime_ms = uptime.as_millis();
                    log::info!("executor up state={state} uptime_ms={uptime_ms}");
                }
                // Its reply comes behind all missed notices.
                output.send(&[query("SYSINFO", barrier).as_bytes()]);
            }
            Message::RunFinished {
                notice,
                id,
                outcome,
                work,
                result,
            } => {
                if self.is_new(notice) {
                    self.run_finished(
                        id,
                        RequestEvent::RunFinished {
                            outcome,
                            result,
                            work,
                        },
                    );
                }
            }
            Message::CallReached { notice, id, body } => {
                if self.is_new(notice) {
                    if let Some(run) = self.state.lock().runs.get_mut(id) {
                        (run.delivery, run.call) = (Delivery::Confirmed, notice);
                    }
                    self.registry
                        .report(id, RequestEvent::CallReached { call: notice, body });
                }
            }
            Message::Gauges { tag, values } => {
                self.answered(tag, Reply::Gauges(self.read_gauges(values)));
                if tag == barrier {
                    self.state.lock().queries.close(tag);
                    // In a coroutine of its own, as this one must drain what it adds.
                    let (client, output) = (self.clone(), output.clone());
                    spawn(move || client.resync(&output));
                }
            }
            Message::Worked { tag, succeeded } => self.answered(tag, Reply::Worked(succeeded)),
            Message::CommandRefused {
                command,
                id,
                word,
                arguments,
            } => {
                if let Some(count) = REFUSALS.pass() {
                    let arguments = arguments.join(" ");
                    log::warn!(
                        "executor refused command={word} arguments=\"{arguments}\" count={count}"
                    );
                }
                if let Some(id) = id {
                    self.command_refused(&command, id, output);
                }
            }
            Message::Remark { notice, words } => {
                if self.is_new(notice)
                    && let Some(count) = REMARKS.pass()
                {
                    let text = words.join(" ");
                    log::info!("executor remark text=\"{text}\" count={count}");
                }
            }
        }
        Ok(())
    }

    /// Whether a notice was not read before.
    fn is_new(&self, notice: u64) -> bool {
        self.state.lock().is_new(notice)
    }

    fn run_finished(&self, id: &str, event: RequestEvent) {
        self.state.lock().runs.remove(id);
        self.registry.report(id, event);
    }

    fn command_refused(&self, command: &RefusedCommand, id: &str, output: &Output) {
        match command {
            // Nothing was run, so this shows nothing of how runs do here.
            RefusedCommand::Start => {
                let (outcome, result) = (Outcome::NotStarted, Bytes::default());
                self.run_finished(
                    id,
                    RequestEvent::RunFinished {
                        outcome,
                        result,
                        work: None,
                    },
                );
            }
            // The run waits where it waited, and nothing else can be sent to it.
            RefusedCommand::Resume => drop(output.try_send(&[&Command::Cancel.encode(id)])),
            RefusedCommand::Other => {}
        }
    }

    fn read_gauges(&self, values: &[&str]) -> Gauges {
        let mut gauges = Gauges::default();
        for (name, value) in self.gauge_names.iter().zip(values) {
            if let Some(gauge) = tulipgap_settings::gauge_mut(&mut gauges, name) {
                *gauge = value.parse().ok().filter(|value: &f64| value.is_finite());
            }
        }
        gauges
    }

    fn answered(&self, tag: u64, reply: Reply) {
        let mut state = self.state.lock();
        if let Some(commands) = state.queries.answer(tag, reply) {
            state.commands_arrived = state.commands_arrived.max(commands);
        }
    }
}

impl LinkState {
    fn is_new(&mut self, notice: u64) -> bool {
        let is_new = notice > self.last_notice;
        self.notices_are_missing |= notice > self.last_notice + 1;
        self.last_notice = self.last_notice.max(notice);
        is_new
    }
}
