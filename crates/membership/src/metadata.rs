//! The metadata of a node: a few short key-value pairs that are disseminated to every other member.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::event::Action;
use crate::membership::Membership;

/// The most entries that a node may publish.
pub const MAX_METADATA_ENTRIES: usize = 8;

/// The longest key, and the longest value, in bytes.
pub const MAX_METADATA_TEXT_BYTES: usize = 64;

/// The key-value pairs that a node publishes.
pub type Metadata = BTreeMap<String, String>;

/// Why an entry of the metadata was rejected. The metadata stays as it was.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum MetadataError {
    /// The node has as many entries as it may have.
    #[error("{count} metadata entries are too many: at most {MAX_METADATA_ENTRIES} are published")]
    TooManyEntries {
        /// The number of entries with the rejected one.
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

impl Membership {
    /// Sets an entry, or removes it where there is no value, and announces the change under a new
    /// incarnation.
    pub(crate) fn set_metadata(&mut self, key: &str, value: Option<&str>) {
        match changed_metadata(&self.local.metadata, key, value) {
            Err(error) => self.actions.push(Action::MetadataRejected { error }),
            Ok(metadata) if metadata == *self.local.metadata => {}
            Ok(metadata) => {
                self.local.metadata = Arc::new(metadata);
                self.announce_local_update(self.local.incarnation);
            }
        }
    }
}

fn changed_metadata(
    current: &Metadata,
    key: &str,
    value: Option<&str>,
) -> Result<Metadata, MetadataError> {
    if key.is_empty() {
        return Err(MetadataError::EmptyKey);
    }
    if [key, value.unwrap_or_default()]
        .iter()
        .any(|text| text.len() > MAX_METADATA_TEXT_BYTES)
    {
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
