//! Parsing of complete, truncated and malformed lines.

use super::{LineError, MAX_LINE_BYTES, line, next};

fn with_body(words: &[&str]) -> bool {
    words[0] == "REAP"
}

quickcheck::quickcheck! {
    /// A line that is truncated at any byte is incomplete. A complete line is parsed as it was
    /// encoded, regardless of the bytes after it.
    fn a_line_is_parsed_completely_or_not_at_all(body: Vec<u8>, rest: Vec<u8>, cut: usize) -> bool {
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

    /// Arbitrary bytes are rejected, incomplete, or a line that ends within them.
    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) -> bool {
        match next(&bytes, |_| true) {
            Ok(Some(read)) => read.used <= bytes.len(),
            _ => true,
        }
    }
}

#[test]
fn malformed_lines_are_rejected() {
    let read = |bytes: &[u8]| next(bytes, with_body).map(|line| line.is_some());
    assert_eq!(read(&[b'a'; MAX_LINE_BYTES + 1]), Err(LineError::TooLong));
    assert_eq!(read(b"\xff\xfe\r\n"), Err(LineError::NotText));
    for length in ["-1", "x", "99999999999999999999", "70000"] {
        assert_eq!(
            read(format!("REAP {length}\r\n").as_bytes()),
            Err(LineError::InvalidLength)
        );
    }
    assert_eq!(read(b"REAP 2\r\nabcd"), Err(LineError::UnterminatedBody));
    assert_eq!(read(b"INFO 1 2\r\n"), Ok(true));
}
