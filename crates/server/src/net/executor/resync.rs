//! What is known of each run's last command, and which commands are sent again over a new link.

use std::sync::Arc;

use super::protocol::Command;
use super::{ExecutorClient, LinkState};
use crate::clock;
use crate::net::stream::{BUFFER_FULL_PAUSE, Output, SendOutcome};
use crate::requests::{Bytes, ClassName, Outcome, RequestEvent, RequestId};

/// The last command for a run.
pub(super) enum LastCommand {
    Start,
    SkipCall,
    Reply,
    /// A reply that came while there was no link.
    UnsentReply(Bytes),
}

/// How far the last command for a run has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    NotSent,
    /// Sent at this position among all commands.
    Sent(u64),
    /// A notice shows that it has arrived.
    Confirmed,
}

/// A run that the executor was asked to start and whose end was not read.
pub(super) struct Run {
    pub(super) class: ClassName,
    pub(super) body: Bytes,
    /// It may not run again, so its start is never sent twice.
    pub(super) at_most_once: bool,
    pub(super) last_command: LastCommand,
    pub(super) delivery: Delivery,
    /// The notice of the call that it waited at last.
    pub(super) call: u64,
}

/// What becomes of a run as a new link is taken up.
enum Fate {
    /// Its last command has arrived.
    Unchanged,
    /// Its last command is sent again.
    Resend,
    /// It may have ended unheard.
    Lost,
}

impl Run {
    fn fate(&self, commands_arrived: u64, notices_are_missing: bool) -> Fate {
        let may_be_lost =
            matches!(self.delivery, Delivery::Sent(position) if commands_arrived < position);
        let start_may_run_twice =
            may_be_lost && self.at_most_once && matches!(self.last_command, LastCommand::Start);
        if notices_are_missing || start_may_run_twice {
            Fate::Lost
        } else if may_be_lost || self.delivery == Delivery::NotSent {
            Fate::Resend
        } else {
            Fate::Unchanged
        }
    }
}

impl ExecutorClient {
    /// Takes up a link of which all missed notices were read. What is not known to have arrived is
    /// sent again. To start a run that runs already has no effect, and a skip names its call. A
    /// reply may not be sent again, because it could meet the next call of its run: the call is
    /// skipped instead, which has no effect where the reply has arrived. Where notices are missing,
    /// because the executor keeps only so many, a run of which nothing was heard may have ended,
    /// and nothing of it is sent again.
    ///
    /// A run may also end just now, behind the notices that were read and before the command
    /// arrives: started again, it would run a second time. One that may not counts as lost instead,
    /// where its start was sent.
    pub(super) fn resync(&self, output: &Arc<Output>) {
        let Some((lost, resend)) = self.state.lock().take_up(output) else {
            return;
        };
        if !lost.is_empty() {
            log::warn!("executor runs lost count={}", lost.len());
        }
        for id in lost {
            let (outcome, result) = (Outcome::ConnectionLost, Bytes::default());
            self.registry.report(
                &id,
                RequestEvent::RunFinished {
                    outcome,
                    result,
                    work: None,
                },
            );
        }
        for id in resend {
            if !self.resend(&id, output) {
                return;
            }
        }
    }

    /// Sends the last command for a run again, unless that was done meanwhile; false where the link
    /// has ended.
    fn resend(&self, id: &RequestId, output: &Output) -> bool {
        loop {
            // Under the lock, so that commands arrive in the order of their positions: one that
            // waits for room has none yet, or the reply to a question that overtook it would show
            // it as arrived.
            let mut state = self.state.lock();
            let position = state.commands_sent + 1;
            let unsent = state
                .runs
                .get_mut(id)
                .filter(|run| run.delivery == Delivery::NotSent);
            let Some(run) = unsent else { return true };
            let (command, last_command) = match &run.last_command {
                LastCommand::Start => (
                    Command::Start {
                        class: &run.class,
                        body: &run.body,
                    },
                    LastCommand::Start,
                ),
                LastCommand::SkipCall | LastCommand::Reply => (
                    Command::SkipCall { notice: run.call },
                    LastCommand::SkipCall,
                ),
                LastCommand::UnsentReply(reply) => (Command::Reply(reply), LastCommand::Reply),
            };
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
            clock::sleep(BUFFER_FULL_PAUSE);
        }
    }
}

impl LinkState {
    /// Lets commands go over this link. Returns the runs that are lost and those whose command is
    /// sent again, each in the order of their ids; `None` where the link has broken meanwhile: what
    /// is sent goes over the next one.
    fn take_up(&mut self, output: &Arc<Output>) -> Option<(Vec<RequestId>, Vec<RequestId>)> {
        if !self
            .link
            .as_ref()
            .is_some_and(|link| Arc::ptr_eq(link, output))
        {
            return None;
        }
        self.output = Some(output.clone());
        let notices_are_missing = std::mem::replace(&mut self.notices_are_missing, false);
        let commands_arrived = self.commands_arrived;
        let (mut lost, mut resend) = (Vec::new(), Vec::new());
        self.runs.retain(
            |id, run| match run.fate(commands_arrived, notices_are_missing) {
                Fate::Unchanged => true,
                Fate::Resend => {
                    // Not sent over this link: no reply that comes over it shows that it has
                    // arrived.
                    run.delivery = Delivery::NotSent;
                    resend.push(id.clone());
                    true
                }
                Fate::Lost => {
                    lost.push(id.clone());
                    false
                }
            },
        );
        lost.sort_unstable();
        resend.sort_unstable();
        Some((lost, resend))
    }
}
