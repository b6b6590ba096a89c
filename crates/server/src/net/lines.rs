//! Lines of words that end in CR LF, some of them followed by a body. A codec without I/O.

use std::fmt::Write;

/// The longest line without its body, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 4096;
/// The longest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Input that violates the protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum LineError {
    #[error("a line too long")]
    TooLong,
    #[error("a line that is not text")]
    NotText,
    #[error("an invalid length")]
    InvalidLength,
    #[error("a body that does not end in CR LF")]
    UnterminatedBody,
}

/// One line, and the body that follows it.
#[derive(Debug, PartialEq)]
pub(crate) struct Line<'a> {
    pub(crate) words: Vec<&'a str>,
    pub(crate) body: &'a [u8],
    /// The bytes of the input that line and body take.
    pub(crate) used: usize,
}

/// The first line of the input, once the input holds all of it. `has_body` says, by the words of a
/// line, whether a body follows; the last word is the body's length in bytes.
///
/// # Errors
/// [`LineError`] where the input does not begin with a line.
pub(crate) fn next(
    input: &[u8],
    has_body: impl Fn(&[&str]) -> bool,
) -> Result<Option<Line<'_>>, LineError> {
    let Some(end) = input
        .windows(2)
        .take(MAX_LINE_BYTES)
        .position(|pair| pair == b"\r\n")
    else {
        return if input.len() > MAX_LINE_BYTES {
            Err(LineError::TooLong)
        } else {
            Ok(None)
        };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| LineError::NotText)?;
    let words: Vec<&str> = text.split(' ').collect();
    let after = end + 2;
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
    if input.len() < after + length + 2 {
        return Ok(None);
    }
    match &input[after + length..after + length + 2] == b"\r\n" {
        true => Ok(Some(Line {
            words,
            body: &input[after..after + length],
            used: after + length + 2,
        })),
        false => Err(LineError::UnterminatedBody),
    }
}

/// A line of these words, ready to be written.
pub(crate) fn line(words: std::fmt::Arguments) -> String {
    let mut text = String::with_capacity(64);
    let _ = text.write_fmt(words);
    text.push_str("\r\n");
    text
}

/// A line of these words and the length of the body, followed by the body, ready to be written.
pub(crate) fn line_with_body(words: std::fmt::Arguments, body: &[u8]) -> Vec<u8> {
    use std::io::Write;

    let mut bytes = Vec::with_capacity(64 + body.len());
    // Writing to memory does not fail.
    let _ = write!(bytes, "{words} {}\r\n", body.len());
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

#[cfg(test)]
#[path = "lines_tests.rs"]
mod tests;
