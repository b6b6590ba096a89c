//! Errors that prevent a voter from loading, or end it.

use tulipgap_write_ahead_log::LogError;

use crate::config::MAX_VOTERS;

/// An error in loading a voter from its directory.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A stored item can't be decoded.
    #[error("{item} can't be decoded: {source}")]
    Decode {
        /// The item.
        item: &'static str,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A stored item that the crate `raft` encodes can't be decoded.
    #[error("{item} can't be decoded: {source}")]
    DecodeRaft {
        /// The item.
        item: &'static str,
        /// The decoder's error.
        source: protobuf::ProtobufError,
    },
    /// The directory has a log but no identity file.
    #[error("the folder has a log but no identity file")]
    MissingIdentity,
    /// An entry neither extends the log nor replaces one of its entries.
    #[error("entry {index} can't follow entry {last}")]
    EntryOutOfOrder {
        /// The entry's index.
        index: u64,
        /// The last entry of the log.
        last: u64,
    },
    /// The commit index is beyond the last entry of the log.
    #[error("the commit index {commit} is beyond the last entry {last}")]
    CommitBeyondLog {
        /// The commit index.
        commit: u64,
        /// The last entry of the log.
        last: u64,
    },
    /// The crate `raft` does not accept the parameters or the log.
    #[error("the consensus can't be started: {0}")]
    Consensus(#[from] raft::Error),
    /// The directory belongs to another voter.
    #[error("this folder belongs to the voter {0:?}")]
    OtherVoter(String),
    /// The configured initial voters are none, more than [`MAX_VOTERS`], or not distinct.
    #[error("voters must be 1 to {MAX_VOTERS} names (three or five are usual), each named once")]
    InvalidVoters,
}

/// An error that prevents a durable voter from opening, or ends it.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The log is damaged, or a write failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// The content of the directory is invalid or belongs to another voter.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The consensus panicked: its log is inconsistent, or a message contradicts it.
    #[error("the consensus panicked on an inconsistent log or message, and this voter has ended")]
    ConsensusPanicked,
}
