//! The kinds of damage to a file.

/// A kind of damage to a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Corruption {
    /// The header's checksum does not match.
    #[error("the header of a record does not match its checksum")]
    Header,
    /// The payload's checksum or the end marker does not match.
    #[error("a record does not match its checksum or has no end marker")]
    Payload,
    /// The sequence numbers have a gap.
    #[error("the previous record is missing")]
    MissingRecord,
    /// A file that is not the last one ends within a record.
    #[error("the file ends in the middle of a record, but is not the last file")]
    TruncatedFile,
    /// A file that must hold a single record, such as a snapshot, does not.
    #[error("the file is not a single valid record")]
    SingleRecord,
}
