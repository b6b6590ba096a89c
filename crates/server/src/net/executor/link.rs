//! The link to the executor: opening it, reading from it, resynchronizing the runs, and replacing
//! it after a failure or when the executor moves.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use may::sync::Blocker;

use super::ExecutorClient;
use super::protocol::{
    Booted, Command, FinishedRun, LINE_FORMAT, Message, Query, ReachedCall, Refusal,
    RefusedCommand, open,
};
use super::queries::{QueryKind, Reply};
use super::reconnect::{LinkEnd, Reconnect};
use super::resync::Delivery;
use crate::clock;
use crate::log::LogLimit;
use crate::net::connect::connect;
use crate::net::lines::Line;
use crate::net::spawn;
use crate::net::stream::{
    BUFFER_FULL_RETRY_INTERVAL, BufferedStream, MAX_LINE_BUFFER_BYTES, Output, SendOutcome,
    protocol_error,
};
use crate::requests::{Bytes, Gauges, Outcome, RequestEvent, RequestId};

/// How long the executor may take, when it moves, to confirm everything sent over the old link.
const FINAL_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

static REMARKS: LogLimit = LogLimit::new();
static REFUSALS: LogLimit = LogLimit::new();
static LINK_FAILURES: LogLimit = LogLimit::new();

impl ExecutorClient {
    /// Keeps a link open; never returns.
    pub(crate) fn run(self: Arc<Self>) {
        let mut reconnect = Reconnect::default();
        loop {
            let address = self.address.get();
            let end = connect(address, || self.address.get() == address).and_then(|stream| {
                self.serve(
                    &mut BufferedStream::new(stream, MAX_LINE_BUFFER_BYTES, MAX_LINE_BUFFER_BYTES),
                    address,
                )
            });
            let (was_up, last_notice) = {
                let mut state = self.state.lock();
                (state.close_link(), state.notices.last())
            };
            let Err(error) = end else {
                log::info!("executor link moving address={}", self.address.get());
                continue;
            };
            let is_violation = error.kind() == io::ErrorKind::InvalidData;
            let link_end = LinkEnd {
                was_up,
                has_moved: self.address.get() != address,
                violation_after: is_violation.then_some(last_notice),
            };
            if !reconnect.record(&link_end)
                && let Some(count) = LINK_FAILURES.count_event()
            {
                log::warn!("executor link failed error=\"{error}\" count={count}");
            }
            if let Some(pause) = reconnect.pause(&link_end) {
                clock::sleep(pause);
            }
        }
    }

    /// Serves a link until it ends. Returns without an error if the executor has moved.
    fn serve(self: &Arc<Self>, link: &mut BufferedStream, address: SocketAddr) -> io::Result<()> {
        let output = link.output.clone();
        let (last_notice, barrier) = {
            let mut state = self.state.lock();
            state.link = Some(output.clone());
            // Commands that were sent over the previous link may be lost, so the reply to this
            // query shows nothing about them.
            (
                state.notices.last(),
                state
                    .queries
                    .open(Arc::new(Blocker::new(true)), QueryKind::Gauges, 0),
            )
        };
        output.send(&[open(last_notice).as_bytes()]);
        let mut final_query = None;
        loop {
            link.read_lines(LINE_FORMAT, |line| self.handle_line(line, barrier, &output))?;
            // No command is sent over a link after its final query, so the link is closed even if
            // the executor has moved back.
            if final_query.is_some() || self.address.get() != address {
                let tag = *final_query.get_or_insert_with(|| self.send_final_query(&output));
                if tag.is_none_or(|tag| self.state.lock().queries.is_finished(tag)) {
                    return Ok(());
                }
            }
            link.wait();
        }
    }

    /// Stops sending commands over this link; they wait for the next link. A final query for the
    /// gauges has the executor confirm everything sent before, so that no outcome is unknown. After
    /// `FINAL_QUERY_TIMEOUT` the link is closed without the reply. Returns the tag of the query, or
    /// `None` if no commands were allowed over this link yet.
    fn send_final_query(self: &Arc<Self>, output: &Arc<Output>) -> Option<u64> {
        let mut state = self.state.lock();
        state.output.take()?;
        let commands_before = state.commands_sent;
        let tag = state.queries.open(
            Arc::new(Blocker::new(true)),
            QueryKind::Final,
            commands_before,
        );
        drop(state);
        output.try_send(&[Query::Gauges.encode(tag).as_bytes()]);
        let (client, output) = (self.clone(), output.clone());
        spawn(move || {
            clock::sleep(FINAL_QUERY_TIMEOUT);
            client.state.lock().queries.close(tag);
            output.wake();
        });
        Some(tag)
    }

    /// Handles a message of the executor. `barrier` is the tag of the query whose reply follows all
    /// missed notices.
    fn handle_line(
        self: &Arc<Self>,
        line: &Line,
        barrier: u64,
        output: &Arc<Output>,
    ) -> io::Result<()> {
        match Message::decode(line).map_err(protocol_error)? {
            Message::Booted(booted) => {
                self.handle_booted(&booted);
                output.send(&[Query::Gauges.encode(barrier).as_bytes()]);
            }
            Message::RunFinished(run) => {
                if self.record_notice(run.notice) {
                    self.handle_run_finished(run);
                }
            }
            Message::CallReached(call) => {
                if self.record_notice(call.notice) {
                    self.handle_call_reached(call);
                }
            }
            Message::Gauges { tag, values } => {
                self.handle_gauges(tag, values);
                if tag == barrier {
                    self.handle_barrier_reply(tag, output);
                }
            }
            Message::TestJob { tag, succeeded } => {
                self.state.lock().answer(tag, Reply::TestJob(succeeded));
            }
            Message::CommandRefused(refusal) => self.handle_command_refused(&refusal, output),
            Message::Remark { notice, words } => {
                if self.record_notice(notice) {
                    log_remark(words);
                }
            }
        }
        Ok(())
    }

    /// Starts the controller when the executor is up for the first time.
    fn handle_booted(&self, booted: &Booted) {
        if self.registry.start(booted.is_cold, booted.uptime) {
            let (state, uptime_ms) = (booted.state, booted.uptime.as_millis());
            log::info!("executor up state={state} uptime_ms={uptime_ms}");
        }
    }

    fn handle_gauges(&self, tag: u64, values: &[&str]) {
        let gauges = self.read_gauges(values);
        self.state.lock().answer(tag, Reply::Gauges(gauges));
    }

    /// Resynchronizes the runs after all missed notices were read.
    fn handle_barrier_reply(self: &Arc<Self>, tag: u64, output: &Arc<Output>) {
        self.state.lock().queries.close(tag);
        // The commands are sent from a new coroutine, because this coroutine has to write them to
        // the socket.
        let (client, output) = (self.clone(), output.clone());
        spawn(move || client.resync(&output));
    }

    /// Records a notice, and returns whether it was not read before.
    fn record_notice(&self, notice: u64) -> bool {
        self.state.lock().notices.record(notice)
    }

    fn handle_call_reached(&self, call: ReachedCall) {
        if let Some(run) = self.state.lock().runs.get_mut(call.id) {
            (run.delivery, run.call) = (Delivery::Confirmed, call.notice);
        }
        let event = RequestEvent::CallReached {
            call: call.notice,
            body: call.body,
        };
        self.registry.report(call.id, event);
    }

    fn handle_run_finished(&self, run: FinishedRun) {
        let event = RequestEvent::RunFinished {
            outcome: run.outcome,
            result: run.result,
            work: run.work,
        };
        self.end_run(run.id, event);
    }

    /// Removes a run, and reports its end.
    fn end_run(&self, id: &str, event: RequestEvent) {
        self.state.lock().runs.remove(id);
        self.registry.report(id, event);
    }

    fn handle_command_refused(&self, refusal: &Refusal, output: &Output) {
        log_refusal(refusal.word, refusal.arguments);
        let Some(id) = refusal.id else { return };
        match refusal.command {
            RefusedCommand::Start => self.handle_start_refused(id),
            // The run still waits for its call, and no other command can resume it.
            RefusedCommand::Resume => drop(output.try_send(&[&Command::Cancel.encode(id)])),
            RefusedCommand::Other => {}
        }
    }

    /// Ends a run whose start the executor refused. Its outcome is [`Outcome::NotStarted`], which
    /// the controller does not count as a failed run.
    fn handle_start_refused(&self, id: &str) {
        let event = RequestEvent::RunFinished {
            outcome: Outcome::NotStarted,
            result: Bytes::default(),
            work: None,
        };
        self.end_run(id, event);
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

    /// Resynchronizes the runs once all missed notices were read from a link, as the module
    /// `resync` decides: reports the runs whose outcome is unknown, and sends commands again that
    /// may be lost.
    pub(super) fn resync(&self, output: &Arc<Output>) {
        let Some(resync) = self.state.lock().activate(output) else {
            return;
        };
        if !resync.outcome_unknown.is_empty() {
            log::warn!("executor runs lost runs={}", resync.outcome_unknown.len());
        }
        for id in resync.outcome_unknown {
            let event = RequestEvent::RunFinished {
                outcome: Outcome::ConnectionLost,
                result: Bytes::default(),
                work: None,
            };
            self.registry.report(&id, event);
        }
        for id in resync.resend {
            if !self.resend(&id, output) {
                return;
            }
        }
    }

    /// Sends the last command for a run again, unless another coroutine has sent one since. Returns
    /// false if the link has ended.
    fn resend(&self, id: &RequestId, output: &Output) -> bool {
        loop {
            // The command is sent under the lock, so that commands arrive in the order of their
            // positions. A command that waits for room has no position yet: a query could overtake
            // it, and the reply would mark the command as arrived.
            let mut state = self.state.lock();
            let position = state.commands_sent + 1;
            let unsent = state
                .runs
                .get_mut(id)
                .filter(|run| run.delivery == Delivery::NotSent);
            let Some(run) = unsent else { return true };
            let (command, last_command) = run.command_to_resend();
            match output.try_send(&[&command.encode(id)]) {
                SendOutcome::Full => {}
                SendOutcome::Closed => return false,
                SendOutcome::Queued => {
                    (run.last_command, run.delivery) = (last_command, Delivery::Sent(position));
                    state.commands_sent = position;
                    return true;
                }
            }
            drop(state);
            clock::sleep(BUFFER_FULL_RETRY_INTERVAL);
        }
    }
}

fn log_refusal(word: &str, arguments: &[&str]) {
    if let Some(count) = REFUSALS.count_event() {
        let arguments = arguments.join(" ");
        log::warn!("executor refused command={word} arguments=\"{arguments}\" count={count}");
    }
}

fn log_remark(words: &[&str]) {
    if let Some(count) = REMARKS.count_event() {
        let text = words.join(" ");
        log::info!("executor remark text=\"{text}\" count={count}");
    }
}
