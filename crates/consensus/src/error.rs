//! Why a voter could not be loaded or has ended.

use tulipgap_write_ahead_log::LogError;

use crate::config::MAX_VOTERS;

/// Why a voter could not be made of what was on the disk.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A stored item is not what this program writes.
    #[error("{item} can't be decoded: {source}")]
    Decode {
        /// The item.
        item: &'static str,
        /// What the decoder reported.
        source: postcard::Error,
    },
    /// An item that the crate `raft` encodes is not what it writes.
    #[error("{item} can't be decoded: {source}")]
    DecodeRaft {
        /// The item.
        item: &'static str,
        /// What the decoder reported.
        source: protobuf::ProtobufError,
    },
    /// There is a log without an identity.
    #[error("the folder has a log and no identity, so it is not a new one")]
    MissingIdentity,
    /// An entry neither follows nor replaces one of the log.
    #[error("entry {index} can't follow entry {last}")]
    EntryOutOfOrder {
        /// Its index.
        index: u64,
        /// The last entry of the log.
        last: u64,
    },
    /// More entries are committed than there are.
    #[error("entry {commit} is committed, and the last entry is {last}")]
    CommitBeyondLog {
        /// The committed index.
        commit: u64,
        /// The last entry of the log.
        last: u64,
    },
    /// The consensus does not accept what was read.
    #[error("the consensus: {0}")]
    Consensus(#[from] raft::Error),
    /// The directory belongs to another process.
    #[error("this folder belongs to the voter {0:?}")]
    OtherVoter(String),
    /// The configured voters are none, too many, or not distinct.
    #[error("voters must be 1 to {MAX_VOTERS} names (three or five are usual), each named once")]
    InvalidVoters,
}

/// Why a durable voter could not be opened or has ended.
#[derive(Debug, thiserror::Error)]
pub enum VoterError {
    /// The log is damaged, or a write failed.
    #[error(transparent)]
    Log(#[from] LogError),
    /// What the log holds makes no sense.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The consensus panicked: its log contradicts itself.
    #[error("the consensus found its own log contradictory, and this voter has ended")]
    ConsensusPanicked,
}
