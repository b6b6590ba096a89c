//! Anonymised copies of a file, in which ids, idempotency keys, subjects and callers are replaced
//! by keyed hashes. Copies with the same key can still be correlated, and contain none of the
//! replaced values.

use std::io::{Read, Seek, Write};

use crate::NEWEST_VERSION;
use crate::copy::{CopySummary, copy};
use crate::index::Filter;
use crate::metadata::Header;
use crate::reader::TraceReader;
use crate::record::{Record, leading_u64};
use crate::rewrite::RewriteError;
use crate::writer::{BlockConfig, Writer};

/// Minimum length of a key, in bytes.
const MIN_KEY_BYTES: usize = 32;
/// Minimum number of distinct bytes of a key. Fewer than one in a billion keys of 32 random bytes
/// has fewer than 20 distinct bytes.
const MIN_DISTINCT_BYTES: usize = 20;
/// The context string of the BLAKE3 key derivation.
const KEY_DERIVATION_CONTEXT: &str = "tulipgap trace anonymise 2026 v1";

/// Why a key is rejected.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum KeyError {
    /// The key is too short. The value is its length in bytes.
    #[error(
        "the key has {0} bytes; at least {MIN_KEY_BYTES} are needed, such as 64 hex digits or 32 random bytes"
    )]
    TooShort(usize),
    /// The key is not random. The value is its number of distinct bytes.
    #[error("the key is weak: only {0} of its bytes are distinct; use random bytes")]
    TooFewDistinctBytes(usize),
}

/// The key of the hashes.
pub struct HashKey([u8; 32]);

impl HashKey {
    /// Creates a key from hex digits or from raw bytes. White space around hex digits is ignored.
    ///
    /// # Errors
    /// [`KeyError`] if the key is short or not random.
    pub fn new(text: &[u8]) -> Result<HashKey, KeyError> {
        let trimmed = text.trim_ascii();
        let is_hex = trimmed.iter().all(u8::is_ascii_hexdigit) && trimmed.len().is_multiple_of(2);
        let bytes = if is_hex && !trimmed.is_empty() {
            let digit = |byte: u8| (byte as char).to_digit(16).unwrap_or_default() as u8;
            trimmed
                .chunks(2)
                .map(|pair| digit(pair[0]) << 4 | digit(pair[1]))
                .collect()
        } else {
            text.to_vec()
        };
        if bytes.len() < MIN_KEY_BYTES {
            return Err(KeyError::TooShort(bytes.len()));
        }
        let mut distinct = bytes.clone();
        distinct.sort_unstable();
        distinct.dedup();
        if distinct.len() < MIN_DISTINCT_BYTES {
            return Err(KeyError::TooFewDistinctBytes(distinct.len()));
        }
        Ok(HashKey(blake3::derive_key(KEY_DERIVATION_CONTEXT, &bytes)))
    }

    /// The hash of a value. Equal values of different kinds have different hashes.
    fn hash(&self, kind: &str, bytes: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher
            .update(&(kind.len() as u64).to_le_bytes())
            .update(kind.as_bytes())
            .update(bytes);
        hasher.finalize()
    }

    fn hash_number(&self, kind: &str, value: u64) -> u64 {
        leading_u64(&self.hash(kind, &value.to_le_bytes()))
    }

    fn hash_name(&self, kind: &str, name: &str) -> String {
        let hash = self.hash(kind, name.as_bytes()).to_hex();
        format!("{kind}-{}", &hash[..12])
    }
}

/// The kinds of names that are hidden in addition to ids, keys, subjects and callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HiddenNames {
    /// The names of tenants.
    pub tenants: bool,
    /// The names of servers.
    pub servers: bool,
    /// The names of handlers.
    pub handlers: bool,
}

/// Writes an anonymised copy in the newest format version.
///
/// # Errors
/// [`RewriteError::Read`] or [`RewriteError::Write`]. Damage is not an error but a [`crate::Loss`].
pub fn anonymise<R: Read + Seek, W: Write>(
    mut source: TraceReader<R>,
    key: &HashKey,
    hidden: HiddenNames,
    out: W,
) -> Result<CopySummary, RewriteError> {
    // After a survey, the dictionary also has the names that the file adds after its header.
    source.survey().map_err(RewriteError::read("input"))?;
    let mut names = source.dictionary().clone();
    if hidden.tenants {
        names
            .tenants
            .iter_mut()
            .for_each(|tenant| tenant.name = key.hash_name("tenant", &tenant.name));
    }
    if hidden.servers {
        names
            .servers
            .iter_mut()
            .for_each(|server| *server = key.hash_name("server", server));
    }
    if hidden.handlers {
        names
            .handlers
            .iter_mut()
            .for_each(|handler| handler.name = key.hash_name("handler", &handler.name));
    }
    let original = source.header().clone();
    let server = if hidden.servers {
        key.hash_name("server", &original.server)
    } else {
        original.server.clone()
    };
    let mut header = Header::new(NEWEST_VERSION, 0, &server, original.start);
    header.names = names.clone();
    // The file id of the source would link the copy to the source. A hash of it still lets a merge
    // detect a file that is given twice.
    header.file_id = key.hash_name("file", &original.file_id);
    let mut writer = Writer::new(out, header, BlockConfig::default())?;
    let mut source = source.rewind().map_err(RewriteError::read("input"))?;
    source.rename(names);
    let summary = copy(source, &Filter::default(), &mut writer, |record| {
        anonymise_record(record, key)
    })?;
    writer.finish()?;
    Ok(summary)
}

fn anonymise_record(record: &mut Record, key: &HashKey) {
    record.id = key.hash_number("id", record.id);
    record.key = record.key.map(|value| key.hash_number("key", value));
    record.subject = record
        .subject
        .map(|value| key.hash_number("subject", value));
    record.caller = record.caller.map(|value| key.hash_number("caller", value));
}
