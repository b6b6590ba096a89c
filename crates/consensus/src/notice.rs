//! What a voter reports to its operators.

use crate::error::LoadError;
use crate::peer_message::LogPosition;

/// A change that operators should know of. Its text continues a sentence whose subject is the
/// voter.
#[derive(Debug, thiserror::Error)]
pub enum Notice {
    /// The initial voters are agreed on.
    #[error("bootstrapped voters={}", voters.join(","))]
    Bootstrapped {
        /// Their names.
        voters: Vec<String>,
    },
    /// The voter leads.
    #[error("became leader term={term}")]
    BecameLeader {
        /// Raft's term.
        term: u64,
    },
    /// The voter leads no more.
    #[error("lost leadership")]
    LostLeadership,
    /// Others were bootstrapped without the voter's directory.
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
        /// How far its own log has come.
        own: LogPosition,
        /// How far others have seen it.
        observed: LogPosition,
    },
    /// The voter received or read something that it can't use.
    #[error("received or read invalid data: {0}")]
    InvalidData(#[source] InvalidData),
}

/// What a voter could not use.
#[derive(Debug, thiserror::Error)]
pub enum InvalidData {
    /// A message of the consensus that can't be decoded. It is ignored.
    #[error("a message of the consensus can't be decoded")]
    RaftMessage,
    /// A committed entry that can't be decoded. It is skipped.
    #[error("entry {index} can't be decoded")]
    Entry {
        /// Its index.
        index: u64,
    },
    /// A state that can't be loaded.
    #[error(transparent)]
    State(#[from] LoadError),
}
