//! The program serves again after a disruption: no message and no fault of a peer leaves it in a
//! state in which it rejects every request.

use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend};
use crate::harness::edge_node::{AnswerKind, request_fields_with};

/// Longer than the window over which the controller takes the mean work of arrivals.
const QUIET_TIME: Duration = Duration::from_millis(5_500);

/// More than a tick of the controller.
const SEVERAL_TICKS: Duration = Duration::from_millis(200);

/// After a quiet time, one request whose work estimate rounded to 0 made the program reject every
/// later request until its restart: the slowdown became 0 / 0.
#[test]
fn requests_are_served_after_one_with_an_estimate_of_zero() {
    let backend = start_backend();
    std::thread::sleep(QUIET_TIME);
    let mut bad_client = backend.connect();
    let fields = request_fields_with("00000000000000f0", "ms", "0.0000001");
    bad_client.send_request_with_fields(1, &fields, b"unknown");
    bad_client.expect_answer(1, AnswerKind::Crashed);
    std::thread::sleep(SEVERAL_TICKS);
    let mut edge = backend.connect();
    for sequence in 1..=5 {
        edge.send_request(sequence, &format!("00000000000000f{sequence}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
}

/// The longest line that the program reads whole, without its line end.
const MAX_LINE_BYTES: usize = 4096;

/// Waits until a request is answered, and returns how many links the executor has had.
fn serve_one_request(backend: &TestBackend, number: usize) -> u32 {
    let mut edge = backend.connect();
    edge.send_request(1, &format!("{number:016x}"), b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    backend.executor().link_count
}

/// A remark of the executor over the line limit ended the link before its number was recorded, so
/// the executor sent it again on each next link, and no request was run any more. A remark that is
/// no UTF-8 did the same.
#[test]
fn a_remark_of_any_length_and_bytes_does_not_end_the_executor_link() {
    let backend = start_backend();
    let links = serve_one_request(&backend, 1);
    let head_bytes = "DMESG 1 ".len();
    let texts: [Vec<u8>; 5] = [
        vec![b'x'; MAX_LINE_BYTES - head_bytes - 1],
        vec![b'x'; MAX_LINE_BYTES - head_bytes],
        vec![b'x'; MAX_LINE_BYTES - head_bytes + 1],
        vec![b'x'; 1 << 20],
        b"no UTF-8 \xff\xfe".to_vec(),
    ];
    for (index, text) in texts.into_iter().enumerate() {
        backend.executor().send_remark(&text);
        assert_eq!(serve_one_request(&backend, 2 + index), links);
    }
}

/// A line that the program cannot read is sent again on each next link, because its notice was not
/// recorded. The link was opened and closed 20 times a second for good, each time with a log line.
#[test]
fn a_link_that_ends_at_the_same_notice_is_reopened_after_growing_pauses() {
    let mut backend = start_backend();
    let links = serve_one_request(&backend, 1);
    let watched = Duration::from_secs(4);
    backend
        .executor()
        .send_unnumbered_notice(&[&b"REAP "[..], &[b'9'; MAX_LINE_BYTES + 1], b"\r\n"].concat());
    std::thread::sleep(watched);
    let opened = backend.executor().link_count - links;
    // At once, and then after 50 ms, 100 ms, and so on up to 2 s: 7 links in 3.15 s, and the eighth
    // after 5.15 s.
    assert!((2..=7).contains(&opened), "{opened} links in {watched:?}");
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());
    let failures = backend.read_log().matches("executor link failed").count();
    assert_eq!(failures, 1, "log lines for one reason at one notice");
}

/// A server that rejects everything answers every request and every health check, so nothing showed
/// it but the counts of the summaries. Here the estimates of all requests are too long.
#[test]
fn rejections_without_any_run_are_logged_once() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    let start = Instant::now();
    let mut sequence = 0;
    while start.elapsed() < Duration::from_millis(5_500) {
        sequence += 1;
        let fields = request_fields_with(&format!("{sequence:016x}"), "ms", "40000");
        edge.send_request_with_fields(sequence, &fields, b"run");
        edge.expect_answer(sequence, AnswerKind::Rejected);
        std::thread::sleep(Duration::from_millis(100));
    }
    backend.signal("TERM");
    assert!(backend.wait_for_exit().success());
    let log = backend.read_log();
    let line = "requests rejected without any run elapsed_ms=5";
    assert_eq!(log.matches(line).count(), 1, "{log}");
    assert!(log.contains(" reason=PredictedLate"), "{log}");
}
