//! Lines of words that end in CR LF, of which some are followed by a body. A codec alone, no I/O.

use std::fmt::Write;

/// The longest line without its body, and the longest body.
const LINE_MOST: usize = 4096;
const BODY_MOST: usize = 64 * 1024;

/// What no peer that keeps to the protocol sends.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Garbled {
    #[error("a line too long")]
    TooLong,
    #[error("a line that is not text")]
    NotText,
    #[error("a senseless length")]
    Length,
    #[error("a body that does not end in CR LF")]
    Unended,
}

/// One line, and the body that came with it.
#[derive(Debug, PartialEq)]
pub struct Line<'a> {
    pub words: Vec<&'a str>,
    pub body: &'a [u8],
    /// How many bytes of the input it took.
    pub used: usize,
}

/// The first line of the input, once it is there as a whole. `has_body` tells from the words whether a body
/// follows, of the length that the last word gives.
pub fn next(input: &[u8], has_body: impl Fn(&[&str]) -> bool) -> Result<Option<Line<'_>>, Garbled> {
    let Some(end) = input.windows(2).take(LINE_MOST).position(|pair| pair == b"\r\n") else {
        return if input.len() > LINE_MOST { Err(Garbled::TooLong) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&input[..end]).map_err(|_| Garbled::NotText)?;
    let words: Vec<&str> = text.split(' ').collect();
    let after = end + 2;
    if !has_body(&words) {
        return Ok(Some(Line { words, body: &[], used: after }));
    }
    let length = words.last().and_then(|word| word.parse().ok()).filter(|&length| length <= BODY_MOST);
    let Some(length): Option<usize> = length else {
        return Err(Garbled::Length);
    };
    if input.len() < after + length + 2 {
        return Ok(None);
    }
    match &input[after + length..after + length + 2] == b"\r\n" {
        true => Ok(Some(Line { words, body: &input[after..after + length], used: after + length + 2 })),
        false => Err(Garbled::Unended),
    }
}

/// A line of these words, ready to be written.
pub fn line(words: std::fmt::Arguments) -> String {
    let mut text = String::with_capacity(64);
    let _ = text.write_fmt(words);
    text.push_str("\r\n");
    text
}
