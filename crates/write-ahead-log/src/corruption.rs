//! How a file may differ from what was written.

/// How a file differs from what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The header's checksum does not match.
    #[error("the header of a record is not what was written")]
    Header,
    /// The payload's checksum or the end marker does not match.
    #[error("a record is not what was written")]
    Payload,
    /// The sequence numbers have a gap.
    #[error("a record is missing before it")]
    MissingRecord,
    /// A file that is not the last one ends within a record.
    #[error("it ends in the middle of a record, and another file follows")]
    TruncatedFile,
    /// A file of a single record, such as a snapshot, holds something else.
    #[error("it is not the single record that was written")]
    SingleRecord,
}
