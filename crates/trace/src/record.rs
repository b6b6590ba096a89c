//! The record of one attempt of a request, from its arrival to its release.

use std::borrow::Cow;

use crate::Micros;

/// How an attempt ended for its caller. Stored by position: the order of the variants is part of
/// the format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The attempt was answered with a result.
    #[default]
    Completed,
    /// Load shedding rejected the attempt.
    Rejected,
    /// The attempt was admitted and failed.
    Failed,
    /// The caller had disconnected before the answer.
    Abandoned,
}

impl Outcome {
    /// All outcomes, in the order of their stored numbers.
    pub const ALL: [Outcome; 4] = [
        Outcome::Completed,
        Outcome::Rejected,
        Outcome::Failed,
        Outcome::Abandoned,
    ];

    /// The name of the outcome in exports, summaries and command line options.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "done",
            Outcome::Rejected => "shed",
            Outcome::Failed => "errored",
            Outcome::Abandoned => "gone",
        }
    }

    /// The outcome with this [`Outcome::name`].
    pub fn from_name(name: &str) -> Option<Outcome> {
        Outcome::ALL
            .into_iter()
            .find(|outcome| outcome.name() == name)
    }

    /// The bit of the outcome in a set of outcomes.
    pub(crate) fn bit(self) -> u32 {
        1 << self as u32
    }
}

/// Why an attempt ended as it did, by its stored number. A newer writer may know more reasons than
/// this reader has names for, so any number is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reason(
    /// The number in the file.
    pub u8,
);

macro_rules! reasons {
    ($($(#[$doc:meta])* $constant:ident = $code:literal $name:literal,)*) => {
        impl Reason {
            $($(#[$doc])* pub const $constant: Reason = Reason($code);)*
            /// The stored number and the name of each reason.
            const NAMED: &[(u8, &str)] = &[$(($code, $name),)*];
        }
    };
}

reasons! {
    /// The attempt was admitted, and its execution ended by itself.
    NONE = 0 "none",
    /// Too much memory was in use.
    MEMORY_LIMIT = 1 "memory",
    /// The failure rate of the handler's executions was high.
    HIGH_FAILURE_RATE = 2 "failing",
    /// Admission control had reduced the admitted fraction.
    ADMISSION_CONTROL = 3 "share",
    /// The attempt was predicted to miss its latency objective.
    PREDICTED_LATE = 4 "late",
    /// The attempt was predicted to miss its latency objective after it had been queued.
    OVERTAKEN = 5 "overtaken",
    /// The latency objective passed while the attempt was queued.
    OBJECTIVE_MISSED = 6 "missed",
    /// The client timeout was near.
    DEADLINE_NEAR = 7 "due",
    /// The server was draining.
    DRAINING = 8 "draining",
    /// The server was terminating.
    TERMINATING = 9 "stopping",
    /// A call to a dependency failed.
    CALL_FAILED = 10 "call-failed",
    /// The execution was cancelled.
    CANCELLED = 11 "stopped",
    /// The execution failed.
    RUN_FAILED = 12 "run-errored",
    /// The original of this duplicate attempt failed.
    ORIGINAL_FAILED = 13 "first-errored",
    /// The execution could not be started.
    NOT_STARTED = 14 "not-started",
    /// There was no memory for a further request.
    NO_CAPACITY = 15 "no-room",
    /// The duplicate attempt was coalesced with its original, and answered with the result of the
    /// original.
    COALESCED = 16 "joined",
}

impl Reason {
    /// The name of the reason in exports and summaries; `reason-N` if the number has no name here.
    pub fn name(self) -> Cow<'static, str> {
        match Reason::NAMED.iter().find(|(code, _)| *code == self.0) {
            Some((_, name)) => (*name).into(),
            None => format!("reason-{}", self.0).into(),
        }
    }
}

/// The hash that a record stores instead of a text. It is the same on every server, so that
/// attempts of one request can be correlated by the hash.
pub fn hash_text(text: &str) -> u64 {
    leading_u64(&blake3::hash(text.as_bytes()))
}

/// The first 8 bytes of a hash as a big-endian number.
pub(crate) fn leading_u64(hash: &blake3::Hash) -> u64 {
    hash.as_bytes()
        .iter()
        .take(8)
        .fold(0, |number, &byte| number << 8 | u64::from(byte))
}

/// One attempt of a request. Handlers, tenants and servers are indices into the dictionary of its
/// file. All times but `reached` are microseconds since `reached`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// The server that recorded the attempt.
    pub server: u32,
    /// The handler that the attempt requested.
    pub handler: u32,
    /// The tenant of the attempt, if the request names one.
    pub tenant: Option<u32>,
    /// The id of this attempt; a retry has a different id.
    pub id: u64,
    /// The hash of the idempotency key.
    pub key: Option<u64>,
    /// The hash of the subject of a read.
    pub subject: Option<u64>,
    /// The number of the edge node that sent the attempt.
    pub caller: Option<u64>,
    /// Whether the sender marked the attempt as a retry.
    pub is_retry: bool,
    /// When the attempt reached the machine, Unix time.
    pub reached: Micros,
    /// When the request was read from the connection.
    pub read: Option<Micros>,
    /// When the attempt was admitted.
    pub admitted: Option<Micros>,
    /// When the execution started for the first time.
    pub started: Option<Micros>,
    /// When the first call to a dependency started.
    pub first_call: Option<Micros>,
    /// When the attempt was answered.
    pub answered: Option<Micros>,
    /// When the server released all resources of the attempt.
    pub released: Option<Micros>,
    /// How long the client would wait, if the request states it.
    pub client_wait: Option<Micros>,
    /// The work that the sender estimated.
    pub estimated_work: Option<Micros>,
    /// The work that the execution took.
    pub work: Option<Micros>,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Why the attempt ended with this outcome.
    pub reason: Reason,
    /// Whether the answer said not to retry on another server.
    pub no_retry: bool,
    /// The `retry_after` of the answer.
    pub retry_after: Option<Micros>,
    /// The number of calls to dependencies that were made.
    pub calls: u32,
    /// The number of calls to dependencies that were skipped.
    pub skipped_calls: u32,
    /// The load feedback to callers at the time of the answer.
    pub feedback: Option<f64>,
}

/// The total order of records: time, id, time of the answer, server.
pub type SortKey = (Micros, u64, u64, u32);

impl Record {
    /// The key by which records are sorted and merged. A merge orders records with equal keys by
    /// the order of the files.
    pub fn sort_key(&self) -> SortKey {
        (
            self.reached,
            self.id,
            self.answered.unwrap_or(Micros::MAX) as u64,
            self.server,
        )
    }
}
