//! The codec, without I/O, of lines of words that end in CR LF; some lines are followed by a body.

use std::fmt::Write;

/// The bytes that terminate a line or a body.
const LINE_END: &[u8] = b"\r\n";
/// The space that is reserved to encode a line, in bytes; most lines are shorter.
const USUAL_LINE_BYTES: usize = 64;
/// The longest line without its body, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 4096;
/// The longest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Input that violates the protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum LineError {
    #[error("a line is too long")]
    TooLong,
    #[error("a line is not UTF-8 text")]
    NotText,
    #[error("the length of a body is invalid")]
    InvalidLength,
    #[error("a body does not end in CR LF")]
    UnterminatedBody,
}

/// One line, and the body that follows it.
#[derive(Debug, PartialEq)]
pub(crate) struct Line<'a> {
    pub(crate) words: Vec<&'a str>,
    pub(crate) body: &'a [u8],
    /// The number of input bytes of the line and its body.
    pub(crate) used: usize,
}

/// Parses the first line of the input and its body. Returns `None` while the input does not hold
/// all of it. `has_body` decides from the words of a line whether a body follows; the last word is
/// then the length of the body in bytes.
///
/// # Errors
/// [`LineError`] if the input does not begin with a valid line.
pub(crate) fn next(
    input: &[u8],
    has_body: impl Fn(&[&str]) -> bool,
) -> Result<Option<Line<'_>>, LineError> {
    let Some(end) = input
        .windows(LINE_END.len())
        .take(MAX_LINE_BYTES)
        .position(|pair| pair == LINE_END)
    else {
        return if input.len() > MAX_LINE_BYTES {
            Err(LineError::TooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| LineError::NotText)?;
    let words: Vec<&str> = text.split(' ').collect();
    let after = end + LINE_END.len();
    if !has_body(&words) {
        return Ok(Some(Line {
            words,
            body: &[],
            used: after,
        }));
    }
    let length = words
        .last()
        .and_then(|word| word.parse().ok())
        .filter(|&length| length <= MAX_BODY_BYTES);
    let Some(length): Option<usize> = length else {
        return Err(LineError::InvalidLength);
    };
    let body_end = after + length;
    let used = body_end + LINE_END.len();
    if input.len() < used {
        return Ok(None);
    }
    if &input[body_end..used] != LINE_END {
        return Err(LineError::UnterminatedBody);
    }
    Ok(Some(Line {
        words,
        body: &input[after..body_end],
        used,
    }))
}

/// Encodes a line of these words.
pub(crate) fn line(words: std::fmt::Arguments) -> String {
    let mut text = String::with_capacity(USUAL_LINE_BYTES);
    let _ = text.write_fmt(words);
    text.push_str("\r\n");
    text
}

/// Encodes a line of these words and the length of the body, followed by the body.
pub(crate) fn line_with_body(words: std::fmt::Arguments, body: &[u8]) -> Vec<u8> {
    use std::io::Write;

    let mut bytes = Vec::with_capacity(USUAL_LINE_BYTES + body.len());
    // Writing to memory does not fail.
    let _ = write!(bytes, "{words} {}\r\n", body.len());
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

#[cfg(test)]
#[path = "lines_tests.rs"]
mod tests;
