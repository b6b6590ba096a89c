//! What a host tells of its connections, and what it is to do. No decision is taken here.

use std::net::IpAddr;
use std::time::Duration;

use crate::ledger::Part;
use crate::prefix::Prefix;

/// A small index that the host gives to a connection that was accepted; free again after [`News::Closed`].
pub type Conn = usize;

/// Bounds of one size of network: connections at a time, and openings in a second (each over three seconds, so a
/// burst of three seconds' worth is let in at once).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cap {
    pub open: u32,
    pub rate: u32,
}

/// What is done with newcomers when all places are taken by what may not be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenFull {
    /// They stand in the listener's backlog. Callers that wait long enough get in.
    Wait,
    /// They are accepted and closed at once, so that they can go elsewhere.
    Refuse,
}

#[derive(Clone, Debug)]
pub struct Terms {
    /// Descriptors of the process, and what of them is kept for whom.
    pub descriptors: usize,
    pub reserves: Vec<(Part, usize)>,
    /// For an address, for the network around it (/24, /64), for the wider one (/16, /48); `None`: no bound.
    pub caps: Option<[Cap; 3]>,
    pub when_full: WhenFull,
    /// Networks that are known without having earned it.
    pub listed: Vec<Prefix>,
    /// Standing of a known client halves in this time.
    pub half_life: Duration,
    /// How long a connection may take to its first message, and a message from its first byte to its last.
    pub message: Duration,
    /// After what time without use a connection is asked to close; callers do so by themselves before.
    pub idle: Duration,
    /// A cold server lets in this part of its places, rising to all of them over the time that it takes to warm up.
    pub cold_part: f64,
    pub warm_up: Duration,
}

/// Why an accept failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// EMFILE: this process has no descriptor left.
    NoDescriptor,
    /// ENFILE: the machine has none.
    MachineFull,
    /// ENOBUFS, ENOMEM.
    NoMemory,
    /// ECONNABORTED and the like: that one connection had gone before.
    Aborted,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum News {
    /// A connection was accepted; it is let in or refused with the acts of this.
    Came {
        conn: Conn,
        address: IpAddr,
    },
    /// A message has begun and is not whole.
    Began {
        conn: Conn,
    },
    /// A whole message has come.
    Message {
        conn: Conn,
    },
    /// A req or a check is open on it.
    Opened {
        conn: Conn,
    },
    /// One is over; `whole` where its caller got a final answer that was written whole.
    Answered {
        conn: Conn,
        whole: bool,
    },
    /// What came over it made no sense.
    Fault {
        conn: Conn,
    },
    Closed {
        conn: Conn,
    },
    Failed {
        trouble: Trouble,
    },
    /// Connections without use are to be asked to close after this time, from now on.
    Idle {
        after: Duration,
    },
    /// The server leaves: nothing new is wanted on any connection.
    Leave,
    Alarm,
}

/// Why a connection was refused or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Cause {
    /// Its address, the network around it, or the wider one has as many open as it may.
    AddressOpen,
    NetworkOpen,
    WideOpen,
    /// The same has opened too many of late.
    AddressRate,
    NetworkRate,
    WideRate,
    /// All places are taken, or kept for known clients.
    Full,
    /// The server is cold, and its address has its part.
    Cold,
    /// Others need its place.
    Room,
    /// No whole message came in time.
    Slow,
    /// It was asked to close long ago.
    Asked,
}

/// What is to be done, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Serve it.
    Let { conn: Conn },
    /// Close it unread, at once; [`News::Closed`] is not told of it.
    Refuse { conn: Conn, cause: Cause },
    /// Ask the caller to send nothing more here and to close it.
    Ask { conn: Conn },
    /// Close it once what has come is read and nothing on it is open.
    End { conn: Conn, cause: Cause },
    /// Accept nothing before that time.
    Pause { until: Duration },
    /// Send [`News::Alarm`] at that time, in the place of an earlier one that was asked for.
    Alarm { at: Duration },
}

/// Counts of what was decided, by cause.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Decided {
    pub let_in: u64,
    pub refused: std::collections::BTreeMap<Cause, u64>,
    pub ended: std::collections::BTreeMap<Cause, u64>,
    pub failed: u64,
}
