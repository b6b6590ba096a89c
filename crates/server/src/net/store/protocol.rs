//! The codec, without I/O, of the store's protocol: it encodes calls and decodes replies.

use std::time::Duration;

use crate::net::lines::{Line, LineFormat, line_with_body};
use crate::requests::Outcome;

/// Encodes a call: its line and its body.
pub(super) fn encode_call(id: &str, timeout: Duration, body: &[u8]) -> Vec<u8> {
    line_with_body(
        format_args!("CALL {id} {}", timeout.as_millis().max(1)),
        body,
    )
}

/// The lines of the store. Each is a reply to a call.
pub(super) const LINE_FORMAT: LineFormat = LineFormat {
    has_body: |words| words.get(1) == Some(&"OK"),
    is_remark: |_| false,
};

/// A line that is not a reply of the protocol.
#[derive(Debug, thiserror::Error)]
#[error("no reply: {0:?}")]
pub(super) struct InvalidReply(Vec<String>);

/// Decodes a reply: the request that it is for, and the outcome of its call.
pub(super) fn decode_reply<'a>(line: &Line<'a>) -> Result<(&'a str, Outcome), InvalidReply> {
    match line.words[..] {
        [id, "OK", _] => Ok((id, Outcome::Succeeded)),
        [id, "BUSY" | "VOID"] => Ok((id, Outcome::Rejected)),
        [id, "ERR"] => Ok((id, Outcome::Failed)),
        [id, "LATE"] => Ok((id, Outcome::TimedOut)),
        _ => Err(InvalidReply(
            line.words.iter().map(|&word| word.to_owned()).collect(),
        )),
    }
}
