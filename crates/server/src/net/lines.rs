//! Lines of words that end in CR LF, of which some are followed by a body. A codec alone, no I/O.

use std::fmt::Write;

/// The longest line without its body, and the longest body.
pub const LINE_MOST: usize = 4096;
pub const BODY_MOST: usize = 64 * 1024;

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

#[cfg(test)]
mod tests {
    use super::*;

    fn with_body(words: &[&str]) -> bool {
        words[0] == "REAP"
    }

    quickcheck::quickcheck! {
        /// A line cut at any byte is not there yet; whole, it is what was written, whatever follows.
        fn a_line_is_read_whole_or_not_at_all(body: Vec<u8>, rest: Vec<u8>, cut: usize) -> bool {
            let head = line(format_args!("REAP 7 9b1f success 3.5 {}", body.len()));
            let bytes = [head.as_bytes(), &body, b"\r\n"].concat();
            let part = &bytes[..cut % bytes.len()];
            let all = [&bytes[..], &rest].concat();
            let read = next(&all, with_body).unwrap().unwrap();
            next(part, with_body) == Ok(None)
                && read.body == body
                && read.words[..4] == ["REAP", "7", "9b1f", "success"]
                && read.used == bytes.len()
        }

        /// Anything else is turned down or waited for, within its bounds.
        fn any_bytes_can_be_read(bytes: Vec<u8>) -> bool {
            match next(&bytes, |_| true) {
                Ok(Some(read)) => read.used <= bytes.len(),
                _ => true,
            }
        }
    }

    #[test]
    fn what_is_no_line_is_turned_down() {
        let read = |bytes: &[u8]| next(bytes, with_body).map(|line| line.is_some());
        assert_eq!(read(&[b'a'; LINE_MOST + 1]), Err(Garbled::TooLong));
        assert_eq!(read(b"\xff\xfe\r\n"), Err(Garbled::NotText));
        for length in ["-1", "x", "99999999999999999999", "70000"] {
            assert_eq!(read(format!("REAP {length}\r\n").as_bytes()), Err(Garbled::Length));
        }
        assert_eq!(read(b"REAP 2\r\nabcd"), Err(Garbled::Unended));
        assert_eq!(read(b"INFO 1 2\r\n"), Ok(true));
    }
}
