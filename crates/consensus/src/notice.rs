//! Notices from a voter to its operators.

use crate::error::LoadError;
use crate::peer_message::LogPosition;

/// What operators should know of a voter: a change of its state, or data that it can't use. The
/// text is a predicate whose subject is the voter.
#[derive(Debug, thiserror::Error)]
pub enum Notice {
    /// The initial voters have agreed on their set.
    #[error("bootstrapped voters={}", voters.join(","))]
    Bootstrapped {
        /// The names of the initial voters.
        voters: Vec<String>,
    },
    /// The voter became the leader and has applied an entry of its term.
    #[error("became leader term={term}")]
    BecameLeader {
        /// Raft's term.
        term: u64,
    },
    /// The voter no longer leads.
    #[error("lost leadership")]
    LostLeadership,
    /// The cluster was bootstrapped without this voter's directory.
    #[error(
        "is not a member: the cluster was bootstrapped without this folder; it may replace another voter"
    )]
    NotAMember,
    /// The voter's directory is an older copy. The voter must not vote again.
    #[error(
        "was rolled back to an older state term={} index={} observed_term={} observed_index={}: it must not vote again; \
         replace it",
        own.term, own.index, observed.term, observed.index
    )]
    RolledBack {
        /// The last position of the voter's own log.
        own: LogPosition,
        /// The position of that log that other voters have observed.
        observed: LogPosition,
    },
    /// The voter received or read data that it can't use.
    #[error("received or read invalid data: {0}")]
    InvalidData(#[source] InvalidData),
}

/// Data that a voter could not use.
#[derive(Debug, thiserror::Error)]
pub enum InvalidData {
    /// A Raft message that can't be decoded. The voter ignores it.
    #[error("a message of the consensus can't be decoded")]
    RaftMessage,
    /// A committed entry that can't be decoded. The voter skips it.
    #[error("entry {index} can't be decoded")]
    Entry {
        /// The entry's index.
        index: u64,
    },
    /// A log or snapshot that can't be loaded.
    #[error(transparent)]
    State(#[from] LoadError),
}
