//! The whole life of one attempt. Times are microseconds: `reached` since the Unix epoch, all others from there.

use crate::Micros;

/// How an attempt ended for its caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    #[default]
    Done,
    Shed,
    Errored,
    /// Its caller had gone before the answer.
    Gone,
}

impl Outcome {
    pub const ALL: [Outcome; 4] = [Outcome::Done, Outcome::Shed, Outcome::Errored, Outcome::Gone];

    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Shed => "shed",
            Outcome::Errored => "errored",
            Outcome::Gone => "gone",
        }
    }

    pub fn of_name(name: &str) -> Option<Outcome> {
        Outcome::ALL.into_iter().find(|outcome| outcome.name() == name)
    }
}

/// Why it was decided so. A number, as a newer writer may know more reasons than this reader has names for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Reason(pub u8);

macro_rules! reasons {
    ($($(#[$doc:meta])* $constant:ident = $code:literal $name:literal,)*) => {
        impl Reason {
            $($(#[$doc])* pub const $constant: Reason = Reason($code);)*
            const NAMED: &[(u8, &str)] = &[$(($code, $name),)*];
        }
    };
}

reasons! {
    /// Nothing to explain: it was taken, and ended by itself.
    NONE = 0 "none",
    MEMORY = 1 "memory",
    FAILING = 2 "failing",
    SHARE = 3 "share",
    LATE = 4 "late",
    OVERTAKEN = 5 "overtaken",
    MISSED = 6 "missed",
    DUE = 7 "due",
    DRAINING = 8 "draining",
    STOPPING = 9 "stopping",
    CALL_FAILED = 10 "call-failed",
    STOPPED = 11 "stopped",
    RUN_ERRORED = 12 "run-errored",
    FIRST_ERRORED = 13 "first-errored",
    NOT_STARTED = 14 "not-started",
    NO_ROOM = 15 "no-room",
    /// Joined to the req that it repeats, and answered with what that one yielded.
    JOINED = 16 "joined",
}

impl Reason {
    /// Its name; a number where it is none of ours.
    pub fn name(self) -> std::borrow::Cow<'static, str> {
        match Reason::NAMED.iter().find(|(code, _)| *code == self.0) {
            Some((_, name)) => (*name).into(),
            None => format!("reason-{}", self.0).into(),
        }
    }

    pub fn all() -> impl Iterator<Item = Reason> {
        Reason::NAMED.iter().map(|(code, _)| Reason(*code))
    }
}

/// The number that stands for a text in a record, the same on every server, so that tries are joined by it.
pub fn hashed(text: &str) -> u64 {
    first_bytes(&blake3::hash(text.as_bytes()))
}

/// The first 8 bytes of a hash, as a number.
pub fn first_bytes(hash: &blake3::Hash) -> u64 {
    hash.as_bytes().iter().take(8).fold(0, |number, &byte| number << 8 | u64::from(byte))
}

/// One attempt. Handlers, tenants and servers are indices into the dictionary of its file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    pub server: u32,
    pub handler: u32,
    pub tenant: Option<u32>,
    pub id: u64,
    /// By what a repeat of a uniqued req is known, hashed.
    pub key: Option<u64>,
    /// What a read is about.
    pub subject: Option<u64>,
    /// The number of the edge node.
    pub caller: Option<u64>,
    pub retry: bool,
    pub reached: Micros,
    pub read: Option<Micros>,
    pub admitted: Option<Micros>,
    pub run: Option<Micros>,
    /// Its first call below.
    pub called: Option<Micros>,
    pub answered: Option<Micros>,
    pub over: Option<Micros>,
    /// How long its caller would wait, where that was told.
    pub patience: Option<Micros>,
    /// The work that was told to be expected, and what it took.
    pub hint: Option<Micros>,
    pub work: Option<Micros>,
    pub outcome: Outcome,
    pub reason: Reason,
    /// It was told not to try another server.
    pub no_more: bool,
    /// When it was told to come back.
    pub wait: Option<Micros>,
    pub calls: u32,
    pub skipped: u32,
    /// What callers were advised when it was answered.
    pub advice: Option<f64>,
}

impl Record {
    /// The total order in which records stand and are merged; ties beyond it go by the order of the files.
    pub fn place(&self) -> (Micros, u64, u64, u32) {
        (self.reached, self.id, self.answered.unwrap_or(Micros::MAX) as u64, self.server)
    }
}
