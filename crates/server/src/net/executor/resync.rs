//! What becomes of each run when a link to the executor is replaced: the rule of resynchronization.
//!
//! The failure: a link breaks with commands and notices on their way. A command that was lost
//! leaves its run waiting until its deadline; a command that is sent twice can run a request twice,
//! or resume the wrong call. How it shows: requests that time out after each break of the link, and
//! effects that happen twice.
//!
//! The rule, once all missed notices are read:
//! - What is known to have arrived is not sent again. A notice about a run confirms the last
//!   command for it, and the reply to a query confirms each command before that query.
//! - What may be lost is sent again. Starting a run that is running has no effect, and a skip names
//!   its call. A reply could meet the next call of its run, so the call is skipped instead, which
//!   has no effect where the reply has arrived.
//! - Where notices are missing, because the executor keeps a limited number, a run whose end was
//!   not read may have ended. It counts as lost, and nothing is sent for it.
//! - A run may end behind the notices that were read and before its start arrives again: it would
//!   run a second time. One that may run at most once counts as lost, where its start was sent.
//!
//! The price: requests that count as lost fail although their run may have succeeded.

use super::protocol::Command;
use crate::requests::{Bytes, ClassName};

/// The last command for a run.
pub(super) enum LastCommand {
    Start,
    SkipCall,
    Reply,
    /// A reply that arrived from the store while there was no link.
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
    /// It may not run again, so a start that may have arrived is not sent again.
    pub(super) at_most_once: bool,
    pub(super) last_command: LastCommand,
    pub(super) delivery: Delivery,
    /// The notice of the last call that it waited for; 0 before the first.
    pub(super) call: u64,
}

/// What becomes of a run when a new link is ready.
#[derive(Debug, PartialEq)]
pub(super) enum Fate {
    /// Its last command has arrived.
    Unchanged,
    /// Its last command is sent again.
    Resend,
    /// It may have ended without its notice.
    Lost,
}

/// The inputs of the rule besides the run.
#[derive(Clone, Copy)]
pub(super) struct ResyncFacts {
    /// Commands up to this position are known to have arrived.
    pub(super) commands_arrived: u64,
    /// Notices are missing that the executor no longer keeps.
    pub(super) notices_are_missing: bool,
}

impl Run {
    /// What becomes of this run.
    pub(super) fn fate(&self, facts: ResyncFacts) -> Fate {
        let may_be_missing = matches!(
            self.delivery,
            Delivery::Sent(position) if facts.commands_arrived < position
        );
        let start_may_run_twice =
            may_be_missing && self.at_most_once && matches!(self.last_command, LastCommand::Start);
        if facts.notices_are_missing || start_may_run_twice {
            Fate::Lost
        } else if may_be_missing || self.delivery == Delivery::NotSent {
            Fate::Resend
        } else {
            Fate::Unchanged
        }
    }

    /// The command that stands for the last one when it is sent again, and what the last command is
    /// then.
    pub(super) fn repeated_command(&self) -> (Command<'_>, LastCommand) {
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
