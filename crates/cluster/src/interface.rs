//! What a host tells the membership and what it asks of it. No decision is taken here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub type Name = Arc<str>;

/// The longest name, and the most facts of a member, their longest key and value.
pub const NAME_MOST: usize = 64;
pub const FACTS_MOST: usize = 8;
pub const FACT_MOST: usize = 64;
/// Of the members that one does not hear, so many are published: the matrix of who hears whom holds no more
/// than this for each member.
pub const UNHEARD_MOST: usize = 16;
/// Versions of the protocol that are understood.
pub const VERSIONS: std::ops::RangeInclusive<u16> = 1..=1;

#[derive(Clone, Debug)]
pub struct Terms {
    /// Between two probes, and how long the direct one waits for its answer.
    pub period: Duration,
    pub timeout: Duration,
    /// Members asked to probe on behalf of one that got no answer.
    pub indirect: usize,
    /// A suspicion stands at the least for so many periods times the logarithm of the members, and for so many
    /// times that where nobody else confirms it.
    pub suspicion: f64,
    pub suspicion_most: f64,
    /// How far a member that does badly itself stretches its own times; 0 is plain SWIM.
    pub awareness_most: u32,
    /// An update is sent on so many times the logarithm of the members, so many in one message.
    pub spread: f64,
    pub updates_most: usize,
    pub members_most: usize,
    /// Between two exchanges of all that is known.
    pub sync: Duration,
    /// How long what is dead or has left is remembered, and tried again.
    pub remember: Duration,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Terms {
    fn default() -> Self {
        Terms {
            period: Duration::from_millis(500),
            timeout: Duration::from_millis(150),
            indirect: 3,
            suspicion: 4.0,
            suspicion_most: 6.0,
            awareness_most: 8,
            spread: 4.0,
            updates_most: 12,
            members_most: 2000,
            sync: Duration::from_secs(5),
            remember: Duration::from_secs(600),
            seeds: Vec::new(),
        }
    }
}

/// Why terms, a member or a fact were turned down.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    #[error("a name of {0} bytes (1 to {NAME_MOST} are taken)")]
    Name(usize),
    #[error("{0} facts (up to {FACTS_MOST} are taken)")]
    TooManyFacts(usize),
    #[error("fact {0:?} is too long (key and value take up to {FACT_MOST} bytes each)")]
    Fact(String),
}

/// Who a member is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    pub name: Name,
    pub address: SocketAddr,
    pub region: Name,
    pub zone: Name,
    pub version: u16,
}

/// In the order in which one overrides another at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

/// What is said of a member. Its incarnation is raised by itself alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub about: About,
    pub incarnation: u64,
    pub state: State,
    /// Who holds it suspect or dead.
    pub by: Option<Name>,
    pub facts: Arc<BTreeMap<String, String>>,
    /// Whom it does not hear, though others do.
    pub unheard: Arc<BTreeSet<Name>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    Ping {
        number: u64,
    },
    Ack {
        number: u64,
    },
    /// To be pinged on behalf of who asks.
    Ask {
        number: u64,
        target: Name,
        address: SocketAddr,
    },
    /// What became of that.
    Told {
        number: u64,
        heard: bool,
    },
    /// A newcomer asks for all that is known.
    Join,
    /// All that is known; to be answered with the same where `answer` says so.
    Members {
        answer: bool,
    },
    /// Another goes by your name.
    Taken,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: Name,
    /// Whom the sender thinks it speaks to, where it knows.
    pub to: Option<Name>,
    pub body: Body,
    pub updates: Vec<Update>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Started,
    Received {
        from: SocketAddr,
        message: Message,
    },
    Alarm,
    /// It is to say good-bye.
    Leave,
    /// A fact to be known to all; without a value it is withdrawn.
    Publish {
        key: String,
        value: Option<String>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        message: Message,
    },
    Alarm {
        at: Duration,
    },
    /// What is held of a member has changed; `by` says who holds it so.
    Changed {
        name: Name,
        state: State,
        by: Option<Name>,
    },
    /// Another live process goes by this name: this one says nothing more.
    NameTaken {
        by: SocketAddr,
    },
    /// A fact was turned down.
    Refused {
        why: Unfit,
    },
}

/// How this process reaches another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reach {
    /// Its answers come.
    Heard,
    /// Its messages come, yet it answers no probe: what is sent to it is lost on the way.
    OneWay,
    /// Nothing comes from it, and others hear it: a cut between the two.
    Through,
    /// Nobody has heard it of late.
    Nobody,
}
