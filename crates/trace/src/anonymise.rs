//! Ids, keys, subjects and callers behind keyed hashes, so that files made with one key still join and nothing of what
//! stood there is left.

use std::io::{Read, Seek, Write};

use crate::cut::{Span, copy};
use crate::heads::Head;
use crate::index::Wanted;
use crate::reader::Trace;
use crate::record::{Record, first_bytes};
use crate::writer::{Pace, Writer};
use crate::{MergeError, NEWEST};

/// The shortest key in bytes, and the fewest bytes that differ in it: of 32 random ones fewer than 20 differ in
/// less than one key of a billion.
const LENGTH_LEAST: usize = 32;
const DIFFERENT_LEAST: usize = 20;
const CONTEXT: &str = "tulipgap trace anonymise 2026 v1";

#[derive(Debug, PartialEq, thiserror::Error)]
pub enum KeyError {
    #[error(
        "the key has {0} bytes; at least {LENGTH_LEAST} are needed, such as 64 hex digits or 32 random bytes"
    )]
    Short(usize),
    #[error("the key is weak: only {0} of its bytes differ; take random ones")]
    Weak(usize),
}

/// A key as it was read.
pub struct Key([u8; 32]);

impl Key {
    /// From hex digits, or from bytes as they are; space at the end does not count.
    pub fn new(text: &[u8]) -> Result<Key, KeyError> {
        let trimmed = text.trim_ascii();
        let digits = trimmed.iter().all(u8::is_ascii_hexdigit) && trimmed.len().is_multiple_of(2);
        let bytes = if digits && !trimmed.is_empty() {
            let digit = |byte: u8| (byte as char).to_digit(16).unwrap_or_default() as u8;
            trimmed.chunks(2).map(|pair| digit(pair[0]) << 4 | digit(pair[1])).collect()
        } else {
            text.to_vec()
        };
        if bytes.len() < LENGTH_LEAST {
            return Err(KeyError::Short(bytes.len()));
        }
        let mut different = bytes.clone();
        different.sort_unstable();
        different.dedup();
        if different.len() < DIFFERENT_LEAST {
            return Err(KeyError::Weak(different.len()));
        }
        Ok(Key(blake3::derive_key(CONTEXT, &bytes)))
    }

    fn hash(&self, of: &str, bytes: &[u8]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&(of.len() as u64).to_le_bytes()).update(of.as_bytes()).update(bytes);
        hasher.finalize()
    }

    pub fn number(&self, of: &str, value: u64) -> u64 {
        first_bytes(&self.hash(of, &value.to_le_bytes()))
    }

    pub fn word(&self, of: &str, word: &str) -> String {
        let hash = self.hash(of, word.as_bytes()).to_hex();
        format!("{of}-{}", &hash[..12])
    }
}

/// What is hidden beside ids, keys, subjects and callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hiding {
    pub tenants: bool,
    pub servers: bool,
    pub handlers: bool,
}

/// Writes an anonymised copy.
pub fn anonymise<R: Read + Seek, W: Write>(
    mut trace: Trace<R>,
    key: &Key,
    hiding: Hiding,
    out: W,
) -> Result<Span, MergeError> {
    // The dictionary as a whole: names that came later stand in it, too.
    trace.survey().map_err(|error| MergeError::Read("input".into(), error))?;
    let mut names = trace.names().clone();
    if hiding.tenants {
        names.tenants.iter_mut().for_each(|tenant| tenant.name = key.word("tenant", &tenant.name));
    }
    if hiding.servers {
        names.servers.iter_mut().for_each(|server| *server = key.word("server", server));
    }
    if hiding.handlers {
        names.handlers.iter_mut().for_each(|handler| handler.name = key.word("handler", &handler.name));
    }
    let old = trace.head().clone();
    let server = if hiding.servers { key.word("server", &old.server) } else { old.server.clone() };
    // The file's own id joins it with its source; a hash of it still shows one that is given twice.
    let file = key.word("file", &old.file);
    let mut head = Head::new(NEWEST, 0, &server, old.start);
    (head.file, head.names) = (file, names.clone());
    let mut writer = Writer::new(out, head, Pace::default())?;
    let mut trace = trace.again().map_err(|error| MergeError::Read("input".into(), error))?;
    trace.rename(names);
    let done = copy(trace, &Wanted::default(), &mut writer, |record| hide(record, key))?;
    writer.finish()?;
    Ok(done)
}

fn hide(record: &mut Record, key: &Key) {
    record.id = key.number("id", record.id);
    record.key = record.key.map(|value| key.number("key", value));
    record.subject = record.subject.map(|value| key.number("subject", value));
    record.caller = record.caller.map(|value| key.number("caller", value));
}
