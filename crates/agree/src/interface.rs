//! What a host tells a voter and what it asks of it. No decision is taken here.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tulipgap_leases::{Command, Incarnation, Lease, Name, RequestId, Response};

/// More voters would only be slower.
pub const VOTERS_MOST: usize = 7;
/// Leases in one listing.
pub const LISTED_MOST: usize = 500;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Between two looks; a leader says so often that it lives.
    pub tick: Duration,
    /// Looks without a word of a leader before another is chosen; up to twice as many by chance.
    pub election: u32,
    /// How far a clock may be off in its rate, in thousandths.
    pub off_thousandths: u32,
    /// Commands between two states that are written whole.
    pub whole_after: u64,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { tick: Duration::from_millis(100), election: 10, off_thousandths: 50, whole_after: 4000 }
    }
}

/// What one says of the first voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// These are known, so far.
    Knows,
    /// These it will have, and never others.
    Promises,
    /// All have promised the same.
    Founded,
}

/// Between voters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Peer {
    /// Who one is and whom one knows; to be answered where `asks` says so.
    Hello {
        asks: bool,
        id: u64,
        /// The first voters, as far as they are known.
        founders: BTreeMap<Name, u64>,
        stage: Stage,
        /// What one has heard of whom this is said to: more than it has itself, and it has been set back.
        heard: (u64, u64),
    },
    /// A message of the consensus.
    Raft(Vec<u8>),
}

#[derive(Clone, Debug)]
pub enum Event {
    Alarm,
    Peer {
        from: Name,
        message: Peer,
    },
    Asked {
        from: Name,
        ask: RequestId,
        command: Command,
    },
    /// Who holds what is asked for; `lease` alone, where one is named.
    List {
        from: Name,
        number: u64,
        lease: Option<Name>,
    },
    /// Another is to lead.
    Leave,
    /// An operator: `new` votes in the place of `old`, which may be the same name with a folder that was lost.
    Replace {
        old: Name,
        new: Name,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Durable before any action that follows; where it fails this voter is to say and do nothing more.
    Write(Vec<u8>),
    /// The same, in place of all that was written before.
    Whole(Vec<u8>),
    /// The same, kept as a file of its own.
    Identity(Vec<u8>),
    Send {
        to: Name,
        message: Peer,
    },
    Answer {
        to: Name,
        life: Incarnation,
        ask: RequestId,
        answer: Response,
    },
    NotLeading {
        to: Name,
        ask: RequestId,
        leader: Option<Name>,
    },
    Turn {
        to: Name,
        lease: Name,
    },
    Listing {
        to: Name,
        number: u64,
        leases: Vec<(Name, Lease)>,
    },
    Alarm {
        at: Duration,
    },
    Notice(Notice),
}

/// For who operates it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Notice {
    #[error("the voters know one another: {0}")]
    Founded(String),
    #[error("leads the voters from term {0} on")]
    Leads(u64),
    #[error("leads the voters no more")]
    LedBefore,
    #[error("is no voter with this folder, as others were founded without it; it may take another's place")]
    Outside,
    #[error(
        "its folder was set back to an older state (term {had} and entry {held}; others heard {heard:?} of it): it must not vote again; replace it"
    )]
    SetBack { had: u64, held: u64, heard: (u64, u64) },
    #[error("what it read makes no sense: {0}")]
    Senseless(String),
}

/// Why a voter could not be made of what was on the disk.
#[derive(Debug, thiserror::Error)]
pub enum Unread {
    #[error("{0} is not what was written: {1}")]
    Bytes(&'static str, String),
    #[error("the consensus: {0}")]
    Consensus(String),
    #[error("this folder belongs to the voter {0:?}")]
    OtherName(String),
    #[error("three or five voters (up to {VOTERS_MOST}), each named once, and this one among them")]
    Voters,
}

#[cfg(feature = "flaws")]
/// What proofs plant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A leader tells who holds what without asking whether it still leads.
    StaleRead,
    Leases(tulipgap_leases::InjectedBug),
}

/// How a voter stands, for who asks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    pub id: u64,
    pub term: u64,
    pub leader: Option<Name>,
    pub applied: u64,
    /// Founding, waiting, voting, outside, set back.
    pub phase: String,
    pub voters: BTreeMap<u64, Name>,
}
