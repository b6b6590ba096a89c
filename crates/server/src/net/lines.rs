//! The codec, without I/O, of lines of words that end in CR LF; some lines are followed by a body.
//!
//! A line that is too long or no UTF-8 text violates the protocol, unless it is a remark, whose text
//! has no meaning: a remark is cut, and the rest of it is skipped. A peer that repeats what was not
//! read on its next connection would otherwise end each of them with the same remark.

use std::fmt::Write;

/// The bytes that terminate a line or a body.
const LINE_END: &[u8] = b"\r\n";
/// The space that is reserved to encode a line, in bytes; most lines are shorter.
const USUAL_LINE_BYTES: usize = 64;
/// How much of the first word of an invalid line is logged.
const MAX_KIND_CHARS: usize = 16;
/// The longest line without its body, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 4096;
/// The longest rest of a remark that is skipped, in bytes. A peer whose remark is longer sends
/// nothing else for so long that it counts as broken.
pub(crate) const MAX_SKIPPED_BYTES: usize = 4 * 1024 * 1024;
/// The longest body, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1024;

/// Input that violates the protocol.
#[derive(Debug, PartialEq, thiserror::Error)]
pub(crate) enum LineError {
    #[error("a line is longer than {MAX_LINE_BYTES} bytes kind={0}")]
    TooLong(String),
    #[error("a line is not UTF-8 text kind={0}")]
    NotText(String),
    #[error("a remark is longer than {MAX_SKIPPED_BYTES} bytes")]
    RemarkTooLong,
    #[error("the length of a body is invalid")]
    InvalidLength,
    #[error("a body does not end in CR LF")]
    UnterminatedBody,
}

/// What a reader knows of the lines of a protocol.
#[derive(Clone, Copy)]
pub(crate) struct LineFormat {
    /// Whether a body follows the line with these words; the last word is then the length of the
    /// body in bytes.
    pub(crate) has_body: fn(&[&str]) -> bool,
    /// Whether a line that begins with these bytes is a remark.
    pub(crate) is_remark: fn(&[u8]) -> bool,
}

/// One line, and the body that follows it.
#[derive(Debug, PartialEq)]
pub(crate) struct Line<'a> {
    pub(crate) words: Vec<&'a str>,
    pub(crate) body: &'a [u8],
    /// The number of input bytes of the line and its body.
    pub(crate) used: usize,
    /// The line is a remark whose line end is not among the used bytes.
    pub(crate) is_unended: bool,
}

/// Parses the first line of the input and its body. Returns `None` while the input does not hold
/// all of it. The text of a remark ends at the first byte that is not UTF-8.
///
/// # Errors
/// [`LineError`] if the input does not begin with a valid line.
pub(crate) fn next(input: &[u8], format: LineFormat) -> Result<Option<Line<'_>>, LineError> {
    let Some(end) = line_end(&input[..input.len().min(MAX_LINE_BYTES + 1)]) else {
        return if input.len() > MAX_LINE_BYTES {
            unended_remark(input, format).map(Some)
        } else {
            Ok(None)
        };
    };
    let text = text(&input[..end], format).ok_or_else(|| LineError::NotText(kind(input)))?;
    let words: Vec<&str> = text.split(' ').collect();
    let after = end + LINE_END.len();
    if !(format.has_body)(&words) {
        return Ok(Some(Line {
            words,
            body: &[],
            used: after,
            is_unended: false,
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
        is_unended: false,
    }))
}

/// The number of bytes of the input that belong to the rest of a remark, and whether the remark
/// ends with them.
pub(crate) fn rest_of_remark(input: &[u8]) -> (usize, bool) {
    match line_end(input) {
        Some(end) => (end + LINE_END.len(), true),
        // The last byte may be the first one of the line end.
        None if input.last() == LINE_END.first() => (input.len() - 1, false),
        None => (input.len(), false),
    }
}

fn line_end(input: &[u8]) -> Option<usize> {
    input
        .windows(LINE_END.len())
        .position(|pair| pair == LINE_END)
}

/// The beginning of a remark that has no line end within the longest line.
fn unended_remark(input: &[u8], format: LineFormat) -> Result<Line<'_>, LineError> {
    let bytes = &input[..MAX_LINE_BYTES];
    let text = text(bytes, format).filter(|_| (format.is_remark)(bytes));
    let text = text.ok_or_else(|| LineError::TooLong(kind(input)))?;
    Ok(Line {
        words: text.split(' ').collect(),
        body: &[],
        used: MAX_LINE_BYTES,
        is_unended: true,
    })
}

/// The text of a line; that of a remark ends at the first byte that is not UTF-8.
fn text(bytes: &[u8], format: LineFormat) -> Option<&str> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) if (format.is_remark)(bytes) => {
            std::str::from_utf8(&bytes[..error.valid_up_to()]).ok()
        }
        Err(_) => None,
    }
}

/// The first letters of a line, for the log.
fn kind(line: &[u8]) -> String {
    line.iter()
        .map(|&byte| char::from(byte))
        .take_while(char::is_ascii_alphanumeric)
        .take(MAX_KIND_CHARS)
        .collect()
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
