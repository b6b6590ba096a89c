//! The store's protocol: a call as it is written, a reply as it is read. A codec, no I/O.

use std::time::Duration;

use crate::net::lines::{Line, line_with_body};
use crate::requests::Outcome;

/// The line and body of a call.
pub(super) fn call(id: &str, timeout: Duration, body: &[u8]) -> Vec<u8> {
    line_with_body(
        format_args!("CALL {id} {}", timeout.as_millis().max(1)),
        body,
    )
}

/// Whether a body follows the line of these words.
pub(super) fn has_body(words: &[&str]) -> bool {
    words.get(1) == Some(&"OK")
}

/// A line that is not of the protocol.
#[derive(Debug, thiserror::Error)]
#[error("no reply: {0:?}")]
pub(super) struct NotAReply(Vec<String>);

/// The request that a reply is for, and how its call ended.
pub(super) fn reply<'a>(line: &Line<'a>) -> Result<(&'a str, Outcome), NotAReply> {
    match line.words[..] {
        [id, "OK", _] => Ok((id, Outcome::Succeeded)),
        [id, "BUSY" | "VOID"] => Ok((id, Outcome::Rejected)),
        [id, "ERR"] => Ok((id, Outcome::Failed)),
        [id, "LATE"] => Ok((id, Outcome::TimedOut)),
        _ => Err(NotAReply(
            line.words.iter().map(|&word| word.to_owned()).collect(),
        )),
    }
}
