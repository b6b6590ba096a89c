//! Parsing of complete, truncated and malformed lines.

use super::{LineError, LineFormat, MAX_LINE_BYTES, line, next, rest_of_remark};

const FORMAT: LineFormat = LineFormat {
    has_body: |words| words[0] == "REAP",
    is_remark: |bytes| bytes.starts_with(b"DMESG "),
};

const ALL_WITH_BODY: LineFormat = LineFormat {
    has_body: |_| true,
    is_remark: |_| false,
};

quickcheck::quickcheck! {
    /// A line that is truncated at any byte is incomplete. A complete line is parsed as it was
    /// encoded, regardless of the bytes after it.
    fn a_line_is_parsed_completely_or_not_at_all(body: Vec<u8>, rest: Vec<u8>, cut: usize) -> bool {
        let head = line(format_args!("REAP 7 9b1f success 3.5 {}", body.len()));
        let bytes = [head.as_bytes(), &body, b"\r\n"].concat();
        let part = &bytes[..cut % bytes.len()];
        let all = [&bytes[..], &rest].concat();
        let read = next(&all, FORMAT).unwrap().unwrap();
        next(part, FORMAT) == Ok(None)
            && read.body == body
            && read.words[..4] == ["REAP", "7", "9b1f", "success"]
            && read.used == bytes.len()
    }

    /// Arbitrary bytes are rejected, incomplete, or a line that ends within them.
    fn arbitrary_bytes_cause_no_panic(bytes: Vec<u8>) -> bool {
        match next(&bytes, ALL_WITH_BODY) {
            Ok(Some(read)) => read.used <= bytes.len(),
            _ => true,
        }
    }
}

#[test]
fn malformed_lines_are_rejected() {
    let read = |bytes: &[u8]| next(bytes, FORMAT).map(|line| line.is_some());
    let too_long = |kind: &str| Err(LineError::TooLong(kind.to_owned()));
    assert_eq!(
        read(&[b'a'; MAX_LINE_BYTES + 1]),
        too_long("aaaaaaaaaaaaaaaa")
    );
    let reap = [&b"REAP 7 "[..], &[b'x'; MAX_LINE_BYTES]].concat();
    assert_eq!(read(&reap), too_long("REAP"));
    let not_text = |kind: &str| Err(LineError::NotText(kind.to_owned()));
    assert_eq!(read(b"\xff\xfe\r\n"), not_text(""));
    assert_eq!(read(b"REAP 7 \xff\xfe\r\n"), not_text("REAP"));
    for length in ["-1", "x", "99999999999999999999", "70000"] {
        assert_eq!(
            read(format!("REAP {length}\r\n").as_bytes()),
            Err(LineError::InvalidLength)
        );
    }
    assert_eq!(read(b"REAP 2\r\nabcd"), Err(LineError::UnterminatedBody));
    assert_eq!(read(b"INFO 1 2\r\n"), Ok(true));
}

/// The bytes of a remark whose line, without its line end, has this length.
fn remark(line_bytes: usize) -> Vec<u8> {
    let head = b"DMESG 7 ";
    [&head[..], &vec![b'x'; line_bytes - head.len()], b"\r\n"].concat()
}

#[test]
fn a_remark_is_cut_at_the_longest_line() {
    let longest = remark(MAX_LINE_BYTES - 1);
    let read = next(&longest, FORMAT).unwrap().unwrap();
    assert_eq!((read.used, read.is_unended), (longest.len(), false));
    // Without its last byte, the remark may still end within the limit.
    assert_eq!(next(&longest[..longest.len() - 1], FORMAT), Ok(None));
    for line_bytes in [MAX_LINE_BYTES, MAX_LINE_BYTES + 1, 1 << 20] {
        let bytes = remark(line_bytes);
        let read = next(&bytes, FORMAT).unwrap().unwrap();
        assert_eq!((read.used, read.is_unended), (MAX_LINE_BYTES, true));
        assert_eq!(read.words[..2], ["DMESG", "7"]);
        assert_eq!(
            rest_of_remark(&bytes[read.used..]),
            (bytes.len() - read.used, true)
        );
    }
}

#[test]
fn a_remark_ends_at_the_first_byte_that_is_no_text() {
    let read = next(b"DMESG 7 so \xff\xfe far\r\n", FORMAT)
        .unwrap()
        .unwrap();
    assert_eq!(read.words, ["DMESG", "7", "so", ""]);
    assert_eq!((read.used, read.is_unended), (19, false));
    let long = [b"DMESG 7 \xff", &[b'x'; MAX_LINE_BYTES][..]].concat();
    let read = next(&long, FORMAT).unwrap().unwrap();
    assert_eq!(read.words, ["DMESG", "7", ""]);
    assert!(read.is_unended);
}

#[test]
fn the_rest_of_a_remark_keeps_half_a_line_end() {
    assert_eq!(rest_of_remark(b""), (0, false));
    assert_eq!(rest_of_remark(b"more"), (4, false));
    assert_eq!(rest_of_remark(b"more\r"), (4, false));
    assert_eq!(rest_of_remark(b"\r\nINFO 1"), (2, true));
    assert_eq!(rest_of_remark(b"more\rand more\r\n"), (15, true));
}
