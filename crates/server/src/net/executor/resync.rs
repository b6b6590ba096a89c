//! Resynchronization: the decision on each run when a new link to the executor replaces the old
//! one.
//!
//! Failure: a link breaks with commands and notices in transit. A lost command leaves its run
//! waiting until its deadline. A command that is sent twice can run a request twice, or resume a
//! run with the reply to another call. The symptoms are requests that time out after each break of
//! the link, and duplicate effects.
//!
//! The decision, after all missed notices are read:
//! - A command that has arrived is not sent again. A notice about a run confirms the last command
//!   for the run, and replies to queries confirm commands as the module `arrivals` decides.
//! - A command that may be lost is sent again. Starting a run that is already running has no
//!   effect, and the skip of a call names the call. A reply to a call could be taken as the reply
//!   to the run's next call, so the call is skipped instead, which has no effect if the reply has
//!   arrived.
//! - If notices are missing, because the executor keeps a limited number, any run without a notice
//!   of its end may have ended. Its outcome is unknown, and nothing is sent for it.
//! - A run may end after the last notice that was read and before its start arrives again; it would
//!   then run a second time. The outcome of a run that may run at most once and whose start may
//!   have arrived is therefore unknown.
//!
//! Cost: requests with an unknown outcome fail although their run may have succeeded.

use super::protocol::Command;
use crate::requests::{Bytes, ClassName};

/// The last command for a run.
pub(super) enum LastCommand {
    Start,
    SkipCall,
    Reply,
    /// A reply from the store that arrived while there was no link.
    UnsentReply(Bytes),
}

/// The delivery state of the last command for a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Delivery {
    NotSent,
    /// Sent at this position among all commands.
    Sent(u64),
    /// A notice confirms that it has arrived.
    Confirmed,
}

/// A run that was started and for which no end was read.
pub(super) struct Run {
    pub(super) class: ClassName,
    pub(super) body: Bytes,
    /// The request may run at most once, so a start that may have arrived is not sent again.
    pub(super) is_at_most_once: bool,
    pub(super) last_command: LastCommand,
    pub(super) delivery: Delivery,
    /// The number of the notice of the last call that the run waited for; 0 before the first.
    pub(super) call: u64,
}

/// The decision on a run when a new link is ready.
#[derive(Debug, PartialEq)]
pub(super) enum ResyncDecision {
    /// Nothing to do: its last command has arrived.
    Unchanged,
    /// Its last command is sent again.
    Resend,
    /// The run may have ended while its notice was lost, or could run a second time.
    OutcomeUnknown,
}

/// The state of the link that the decision depends on.
#[derive(Clone, Copy)]
pub(super) struct ResyncInputs {
    /// All commands up to this position have arrived.
    pub(super) commands_arrived: u64,
    /// Notices are missing because the executor no longer keeps them.
    pub(super) has_missing_notices: bool,
}

impl Run {
    /// Decides on this run.
    pub(super) fn decide(&self, inputs: ResyncInputs) -> ResyncDecision {
        let may_be_missing = matches!(
            self.delivery,
            Delivery::Sent(position) if inputs.commands_arrived < position
        );
        let start_may_run_twice = may_be_missing
            && self.is_at_most_once
            && matches!(self.last_command, LastCommand::Start);
        if inputs.has_missing_notices || start_may_run_twice {
            ResyncDecision::OutcomeUnknown
        } else if may_be_missing || self.delivery == Delivery::NotSent {
            ResyncDecision::Resend
        } else {
            ResyncDecision::Unchanged
        }
    }

    /// The command that is sent to repeat the last one, and the new value of `last_command`.
    pub(super) fn command_to_resend(&self) -> (Command<'_>, LastCommand) {
        match &self.last_command {
            LastCommand::Start => (
                Command::Start {
                    class: &self.class,
                    body: &self.body,
                },
                LastCommand::Start,
            ),
            LastCommand::SkipCall | LastCommand::Reply => (
                Command::SkipCall { notice: self.call },
                LastCommand::SkipCall,
            ),
            LastCommand::UnsentReply(reply) => (Command::Reply(reply), LastCommand::Reply),
        }
    }
}

#[cfg(test)]
#[path = "resync_tests.rs"]
mod tests;
