//! The executor's protocol: commands as they are written, notices as they are read. The words of
//! the protocol page appear here alone. A codec without I/O.

use std::time::Duration;

use crate::net::lines::{Line, line, line_with_body};
use crate::requests::{Bytes, Outcome};

/// A command for a run.
pub(super) enum Command<'a> {
    Start { class: &'a str, body: &'a [u8] },
    Cancel,
    Reply(&'a [u8]),
    SkipCall { notice: u64 },
}

impl Command<'_> {
    /// The command for the run of the request `id`, as it is written.
    pub(super) fn encode(&self, id: &str) -> Vec<u8> {
        match *self {
            Command::Start { class, body } => {
                line_with_body(format_args!("SCHED {id} {class}"), body)
            }
            Command::Cancel => line(format_args!("PREEMPT {id}")).into_bytes(),
            Command::Reply(reply) => line_with_body(format_args!("IODONE {id}"), reply),
            Command::SkipCall { notice } => line(format_args!("NOIO {id} {notice}")).into_bytes(),
        }
    }
}

/// The line that opens a link: notices after `last_notice` are sent again.
pub(super) fn open(last_notice: u64) -> String {
    line(format_args!("OPEN {last_notice}"))
}

/// A question to the executor, which it answers with the tag of the question.
#[derive(Clone, Copy)]
pub(super) enum Query {
    /// What its gauges read.
    Gauges,
    /// Whether it gets a piece of work done.
    Work,
}

impl Query {
    /// The query with this tag, as it is written.
    pub(super) fn encode(self, tag: u64) -> String {
        match self {
            Query::Gauges => line(format_args!("SYSINFO {tag}")),
            Query::Work => line(format_args!("POST {tag}")),
        }
    }
}

/// Whether a body follows the line of these words.
pub(super) fn has_body(words: &[&str]) -> bool {
    matches!(words[0], "REAP" | "IOREQ")
}

/// A message of the executor. Notices are numbered; the other messages answer queries and commands.
pub(super) enum Message<'a> {
    /// The executor is up; the first message on a link.
    Booted(Booted<'a>),
    /// Notice: a run has ended.
    RunFinished(FinishedRun<'a>),
    /// Notice: a run waits for a call.
    CallReached(ReachedCall<'a>),
    /// The reply to a query for the gauges.
    Gauges { tag: u64, values: &'a [&'a str] },
    /// The reply to a piece of work.
    Worked { tag: u64, succeeded: bool },
    /// The executor has refused a command.
    CommandRefused(Refusal<'a>),
    /// Notice: a text for the log.
    Remark { notice: u64, words: &'a [&'a str] },
}

/// The state of an executor that is up.
pub(super) struct Booted<'a> {
    /// It is warming up.
    pub(super) is_cold: bool,
    /// Its own word for its state.
    pub(super) state: &'a str,
    /// The time since its start.
    pub(super) uptime: Duration,
}

/// A run that has ended.
pub(super) struct FinishedRun<'a> {
    /// The number of the notice.
    pub(super) notice: u64,
    /// The request.
    pub(super) id: &'a str,
    pub(super) outcome: Outcome,
    /// How long the run took, where it is known.
    pub(super) work: Option<Duration>,
    pub(super) result: Bytes,
}

/// A call that a run waits for.
pub(super) struct ReachedCall<'a> {
    /// The number of the notice, which is also that of the call.
    pub(super) notice: u64,
    /// The request.
    pub(super) id: &'a str,
    pub(super) body: Bytes,
}

/// A command that was refused.
pub(super) struct Refusal<'a> {
    pub(super) command: RefusedCommand,
    /// The request, where the command names one.
    pub(super) id: Option<&'a str>,
    /// The word of the command, for the log.
    pub(super) word: &'a str,
    /// The arguments of the command, for the log.
    pub(super) arguments: &'a [&'a str],
}

/// Which command was refused, as far as that makes a difference.
pub(super) enum RefusedCommand {
    Start,
    /// A reply, or a skipped call.
    Resume,
    Other,
}

/// A line that is not of the protocol.
#[derive(Debug, thiserror::Error)]
#[error("no notice: {0:?}")]
pub(super) struct NotANotice(Vec<String>);

impl<'a> Message<'a> {
    /// Decodes a message.
    ///
    /// # Errors
    /// [`NotANotice`] where the line is not of the protocol.
    pub(super) fn decode(line: &'a Line<'a>) -> Result<Self, NotANotice> {
        Message::of(line)
            .ok_or_else(|| NotANotice(line.words.iter().map(|&word| word.to_owned()).collect()))
    }

    fn of(line: &'a Line<'a>) -> Option<Self> {
        let body = || Bytes::from(line.body);
        let message = match line.words[..] {
            ["BOOTED", state, uptime] => {
                let uptime = milliseconds(uptime)?;
                Message::Booted(Booted {
                    is_cold: state == "booting",
                    state,
                    uptime,
                })
            }
            ["REAP", notice, id, end, took, _] => Message::RunFinished(FinishedRun {
                notice: notice.parse().ok()?,
                id,
                outcome: outcome(end),
                work: milliseconds(took),
                result: body(),
            }),
            ["IOREQ", notice, id, _] => Message::CallReached(ReachedCall {
                notice: notice.parse().ok()?,
                id,
                body: body(),
            }),
            ["INFO", tag, ..] => Message::Gauges {
                tag: tag.parse().ok()?,
                values: &line.words[2..],
            },
            ["POSTED", tag, end] => Message::Worked {
                tag: tag.parse().ok()?,
                succeeded: end == "success",
            },
            ["EINVAL", word, ..] => {
                let arguments = &line.words[2..];
                let command = match word {
                    "SCHED" => RefusedCommand::Start,
                    "NOIO" | "IODONE" => RefusedCommand::Resume,
                    _ => RefusedCommand::Other,
                };
                Message::CommandRefused(Refusal {
                    command,
                    id: arguments.first().copied(),
                    word,
                    arguments,
                })
            }
            ["DMESG", notice, ..] => Message::Remark {
                notice: notice.parse().ok()?,
                words: &line.words[2..],
            },
            _ => return None,
        };
        Some(message)
    }
}

fn outcome(end: &str) -> Outcome {
    match end {
        "success" => Outcome::Succeeded,
        "failure" => Outcome::Failed,
        "interrupted" => Outcome::Cancelled,
        "nothing" => Outcome::NotStarted,
        // The run has ended in a way that this version does not know.
        _ => Outcome::ConnectionLost,
    }
}

fn milliseconds(word: &str) -> Option<Duration> {
    let milliseconds: f64 = word.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}
