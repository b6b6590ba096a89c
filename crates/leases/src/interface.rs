//! What is said between holders, voters and their hosts. No decision is taken here.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub type Name = Arc<str>;

/// The longest name, and the most there may be of each.
pub const NAME_MOST: usize = 64;
pub const LEASES_MOST: usize = 20_000;
pub const PLACES_MOST: u32 = 1000;
pub const QUEUE_MOST: usize = 1024;
pub const WANTS_MOST: usize = 1024;
pub const TERM_LEAST: Duration = Duration::from_millis(200);
pub const TERM_MOST: Duration = Duration::from_secs(3600);

/// A process, and which of its lives: one that was started again is another, as nothing says that the old one ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Who {
    pub name: Name,
    pub life: u64,
}

/// What a lease is like; all that ask for it say the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Shape {
    pub term: Duration,
    /// How many may hold it at a time.
    pub places: u32,
}

/// What voters agree on, in one order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Takes a place, keeps one that is held, or keeps a place in the queue.
    Ask { lease: Name, who: Who, term: Duration, places: u32, wait: bool },
    /// Gives a place back; without a token a place in the queue.
    Release { lease: Name, who: Who, token: Option<u64> },
    /// Said by whoever leads, once a term that began with this beat is over for certain.
    Expire { lease: Name, who: Who, beat: u64 },
    /// Its holder is to get no further term.
    Revoke { lease: Name, token: u64 },
    /// The same, and that process is next.
    Transfer { lease: Name, token: u64, to: Name },
}

impl Command {
    /// Of whose life it is, where it is a holder's.
    pub fn life(&self) -> u64 {
        match self {
            Command::Ask { who, .. } | Command::Release { who, .. } => who.life,
            _ => 0,
        }
    }

    pub fn lease(&self) -> &Name {
        match self {
            Command::Ask { lease, .. }
            | Command::Release { lease, .. }
            | Command::Expire { lease, .. }
            | Command::Revoke { lease, .. }
            | Command::Transfer { lease, .. } => lease,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// Held, or still held; a token is the same for as long as a place is held without a break.
    Granted {
        token: u64,
    },
    /// So many are ahead.
    Queued {
        ahead: u32,
    },
    Done,
    Refused(Refusal),
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    #[error("all its places are held")]
    Full,
    #[error("too many wait for it ({QUEUE_MOST} may)")]
    QueueFull,
    #[error("there are as many leases as there may be ({LEASES_MOST})")]
    TooMany,
    #[error("it is held with a term of {term:?} and {places} places")]
    OtherShape { term: Duration, places: u32 },
    #[error(
        "names take 1 to {NAME_MOST} bytes, terms {TERM_LEAST:?} to {TERM_MOST:?}, places 1 to {PLACES_MOST}"
    )]
    Senseless,
    #[error("it is being taken back")]
    Revoked,
    #[error("nobody holds it with that token")]
    Stale,
    #[error("this process keeps as many leases as it may ({WANTS_MOST})")]
    TooManyWanted,
}

/// What proofs plant. Each stands for a mistake that is easily made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Flaw {
    /// Clocks are taken to run alike.
    NoMargin,
    /// A term is counted from when the answer came.
    FromAnswer,
    /// What tokens were given out is forgotten by a new leader.
    TokenInMemory,
    /// A permit is good for as long as nobody says otherwise.
    PermitNotLooked,
    /// A place that is given back twice is freed twice.
    FreedTwice,
    /// A term is over, whether or not it was renewed meanwhile.
    BeatIgnored,
    /// A grant is taken up though its place was given back before.
    ReleasedTaken,
}
