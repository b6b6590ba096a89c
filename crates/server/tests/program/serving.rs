//! Requests, calls, rejections and memory in normal operation. These tests do not depend on the
//! speed of the machine: all time limits are long.

use crate::harness::backend::start_backend;
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields, request_fields_with};

/// Guards against a fault of the normal operation: a result that is changed, a call that is not
/// made, a request that is admitted although it cannot end in time, and a request that is lost at a
/// shutdown although it was read before the shutdown notice.
#[test]
fn a_backend_serves_calls_the_store_rejects_and_drains() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000a1", b"hang");
    edge.send_request(2, "00000000000000a2", b"run");
    // Answers are sent in any order, with the unchanged result and the feedback value.
    let done = edge.expect_answer(2, AnswerKind::Answer);
    assert!(done.contains(b"page \0 00000000000000a2") && done.contains(b"signal"));
    edge.send_request(3, "00000000000000a3", b"call");
    assert!(
        edge.expect_answer(3, AnswerKind::Answer)
            .contains(b"richer")
    );
    assert_eq!(backend.executor().replies, [b"call body"]);
    // More estimated work than can be done in time.
    edge.send_request_with_fields(
        4,
        &request_fields_with("00000000000000a4", "ms", "60000.00"),
        b"run",
    );
    edge.expect_answer(4, AnswerKind::Rejected);
    // A very large estimate may be correct, so it is not malformed: such requests are rejected, and
    // the connection stays open.
    for sequence in 5..20 {
        edge.send_request_with_fields(
            sequence,
            &request_fields_with(&format!("000000000000a5{sequence:02}"), "ms", "900000.00"),
            b"run",
        );
        edge.expect_answer(sequence, AnswerKind::Rejected);
    }
    edge.send_call(20, "probe", b"\0");
    edge.expect_answer(20, AnswerKind::Answer);

    backend.signal("TERM");
    // The backend answers the open request and sends the drain notification.
    let (mut is_answered, mut is_drain_notified) = (false, false);
    while !(is_answered && is_drain_notified) {
        let answer = edge.read_answer().expect("an answer before the end");
        match answer.kind {
            AnswerKind::NoMore => is_drain_notified = true,
            _ => is_answered |= answer.sequence == 1,
        }
    }
    drop(edge);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against a process that exceeds its memory limit of 192 MB because queued requests take
/// memory until they are answered. About two thousand of them, each with a body of 2 KiB, must fit
/// into half of that limit.
#[test]
fn thousands_of_queued_requests_fit_the_memory_limit() {
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..64).map(|_| backend.connect()).collect();
    for (at, edge) in edges.iter_mut().enumerate() {
        for sequence in 0..31 {
            let id = format!("{at:08x}{sequence:08x}");
            edge.send_request_with_fields(sequence, &request_fields(&id, "0.5"), &[7; 2048]);
        }
        edge.send_call(31, "probe", b"\0");
    }
    // A health check is read after all requests before it on the connection.
    for edge in &mut edges {
        while edge.read_answer().expect("the check is answered").sequence != 31 {}
    }
    let resident = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", backend.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmHWM:"))
            .unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    println!("peak of {} kB for {} requests", resident(), 64 * 31);
    assert!(resident() < 96 * 1024, "{} kB", resident());
}
