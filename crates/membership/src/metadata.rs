//! The metadata of a node: a few short key-value pairs that are disseminated to every other member.
//!
//! **Decision**: whether an entry that the host sets is published. An entry that is out of bounds
//! is rejected and the metadata stays unchanged. The bounds keep messages from growing without
//! limit: push-pull carries the metadata of every member.

use std::collections::BTreeMap;

/// The maximum number of entries that a node may publish.
pub const MAX_METADATA_ENTRIES: usize = 8;

/// The maximum length of a key, and of a value, in bytes.
pub const MAX_METADATA_TEXT_BYTES: usize = 64;

/// The key-value pairs that a node publishes.
pub type Metadata = BTreeMap<String, String>;

/// Why an entry of the metadata was rejected. The metadata stays unchanged.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MetadataError {
    /// The node already has the maximum number of entries.
    #[error("{count} metadata entries are too many: at most {MAX_METADATA_ENTRIES} are published")]
    TooManyEntries {
        /// The number of entries including the rejected one.
        count: usize,
    },
    /// The key is empty.
    #[error("the key of a metadata entry is empty")]
    EmptyKey,
    /// The key or the value is too long.
    #[error(
        "metadata entry {key:?} is too long: key and value take at most {MAX_METADATA_TEXT_BYTES} bytes each"
    )]
    TooLong {
        /// The first [`MAX_METADATA_TEXT_BYTES`] characters of the key.
        key: String,
    },
}

/// Returns the metadata with one entry set, or removed if `value` is `None`.
///
/// # Errors
///
/// [`MetadataError`] if the key or the value is out of bounds or there would be too many entries.
pub(crate) fn with_entry(
    current: &Metadata,
    key: &str,
    value: Option<&str>,
) -> Result<Metadata, MetadataError> {
    if key.is_empty() {
        return Err(MetadataError::EmptyKey);
    }
    let is_too_long = |text: &str| text.len() > MAX_METADATA_TEXT_BYTES;
    if is_too_long(key) || value.is_some_and(is_too_long) {
        return Err(MetadataError::TooLong {
            key: key.chars().take(MAX_METADATA_TEXT_BYTES).collect(),
        });
    }
    let mut metadata = current.clone();
    match value {
        Some(value) => metadata.insert(key.to_owned(), value.to_owned()),
        None => metadata.remove(key),
    };
    if metadata.len() > MAX_METADATA_ENTRIES {
        return Err(MetadataError::TooManyEntries {
            count: metadata.len(),
        });
    }
    Ok(metadata)
}
