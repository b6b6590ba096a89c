//! The codec, without I/O, of the executor's protocol: it encodes commands and queries, and decodes
//! the messages of the executor. Only this module contains the words of the protocol.

use std::time::Duration;

use crate::net::lines::{Line, LineFormat, line, line_with_body};
use crate::requests::{Bytes, Outcome};

/// A command for a run.
pub(super) enum Command<'a> {
    Start { class: &'a str, body: &'a [u8] },
    Cancel,
    Reply(&'a [u8]),
    SkipCall { notice: u64 },
}

impl Command<'_> {
    /// Encodes the command for the run of the request `id`.
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

/// The line that opens a link. The executor sends the notices after `last_notice` again.
pub(super) fn open(last_notice: u64) -> String {
    line(format_args!("OPEN {last_notice}"))
}

/// A query to the executor, which replies with the tag of the query.
#[derive(Clone, Copy)]
pub(super) enum Query {
    /// The values of its gauges.
    Gauges,
    /// A test job, to check that the executor works.
    TestJob,
}

impl Query {
    /// Encodes the query with this tag.
    pub(super) fn encode(self, tag: u64) -> String {
        match self {
            Query::Gauges => line(format_args!("SYSINFO {tag}")),
            Query::TestJob => line(format_args!("POST {tag}")),
        }
    }
}

/// The lines of the executor.
pub(super) const LINE_FORMAT: LineFormat = LineFormat {
    has_body: |words| matches!(words[0], "REAP" | "IOREQ"),
    is_remark: |bytes| bytes.starts_with(b"DMESG "),
};

/// A message of the executor. Notices are numbered; other messages reply to queries or commands.
pub(super) enum Message<'a> {
    /// The executor is up; the first message on a link.
    Booted(Booted<'a>),
    /// Notice: a run has ended.
    RunFinished(FinishedRun<'a>),
    /// Notice: a run waits for a dependency call.
    CallReached(ReachedCall<'a>),
    /// The reply to a query for the gauges.
    Gauges { tag: u64, values: &'a [&'a str] },
    /// The reply to a test job.
    TestJob { tag: u64, succeeded: bool },
    /// The executor refused a command.
    CommandRefused(Refusal<'a>),
    /// Notice: a text of the executor, for the log.
    Remark { notice: u64, words: &'a [&'a str] },
}

/// The state of an executor that is up.
pub(super) struct Booted<'a> {
    /// The executor is warming up.
    pub(super) is_cold: bool,
    /// Its state, as the executor names it.
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
    /// How long the run took, if the executor states it.
    pub(super) work: Option<Duration>,
    pub(super) result: Bytes,
}

/// A dependency call that a run waits for.
pub(super) struct ReachedCall<'a> {
    /// The number of the notice, which is also the number of the call.
    pub(super) notice: u64,
    /// The request.
    pub(super) id: &'a str,
    pub(super) body: Bytes,
}

/// A command that the executor refused.
pub(super) struct Refusal<'a> {
    pub(super) command: RefusedCommand,
    /// The request, if the command names one.
    pub(super) id: Option<&'a str>,
    /// The word of the command, for the log.
    pub(super) word: &'a str,
    /// The arguments of the command, for the log.
    pub(super) arguments: &'a [&'a str],
}

/// The kind of a refused command, as far as refusals are handled differently.
pub(super) enum RefusedCommand {
    Start,
    /// The reply to a call, or the skip of a call.
    Resume,
    Other,
}

/// A line that is not a message of the protocol.
#[derive(Debug, thiserror::Error)]
#[error("no notice: {0:?}")]
pub(super) struct InvalidMessage(Vec<String>);

impl<'a> Message<'a> {
    /// Decodes a line.
    ///
    /// # Errors
    /// [`InvalidMessage`] if the line is not a message of the protocol.
    pub(super) fn decode(line: &'a Line<'a>) -> Result<Self, InvalidMessage> {
        Message::parse_line(line)
            .ok_or_else(|| InvalidMessage(line.words.iter().map(|&word| word.to_owned()).collect()))
    }

    fn parse_line(line: &'a Line<'a>) -> Option<Self> {
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
            ["POSTED", tag, end] => Message::TestJob {
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
        // The run has ended with an outcome that this version does not know.
        _ => Outcome::ConnectionLost,
    }
}

fn milliseconds(word: &str) -> Option<Duration> {
    let milliseconds: f64 = word.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}
