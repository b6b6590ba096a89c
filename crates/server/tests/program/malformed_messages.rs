//! Malformed messages, and messages that violate the protocol of edge nodes.

use std::io::Write;
use std::net::Shutdown;

use crate::harness::backend::{TestBackend, start_backend, start_backend_with_changes};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields_with};
use crate::harness::wait_until;

/// Sends invalid requests. Each is answered with an exception, and the connection stays open.
fn send_invalid_requests(edge: &mut EdgeConnection) {
    edge.send_call(2, "drop_tables", b"\0");
    edge.expect_answer(2, AnswerKind::Exception);
    edge.send_call(3, "process", b"\x0d\0\x01\x0b\x0b\x7f\xff\xff\xff");
    edge.expect_answer(3, AnswerKind::Exception);
    for (sequence, name, value) in [
        (4, "kind", "pag"),
        (5, "owner", "nobody"),
        (6, "ts", "soon"),
        (7, "need", "-1"),
        (8, "req", "short"),
    ] {
        edge.send_request_with_fields(
            sequence,
            &request_fields_with("00000000000000d2", name, value),
            b"run",
        );
        edge.expect_answer(sequence, AnswerKind::Exception);
    }
    edge.send_request(10, "00000000000000d4", b"run");
    edge.expect_answer(10, AnswerKind::Answer);
}

/// Sends requests with the id of an open request, the id of a finished one, and the sequence of an
/// open one. After too many of these the backend closes the connection.
fn reuse_ids_and_sequences(backend: &TestBackend) {
    let mut other = backend.connect();
    for (sequence, id) in [(1, "00000000000000d1"), (2, "00000000000000d4")] {
        other.send_request(sequence, id, b"run");
        other.expect_answer(sequence, AnswerKind::Exception);
    }
    other.send_request(3, "00000000000000d7", b"hang");
    for id in 0..7 {
        other.send_request(3, &format!("00000000000001d{id}"), b"run");
        other.expect_answer(3, AnswerKind::Exception);
    }
    other.send_request(4, "00000000000000d8", b"run");
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("00000000000000d7")
    });
    backend
        .executor()
        .end_run("00000000000000d7", "success", b"the last");
    assert!(
        other
            .expect_answer(3, AnswerKind::Answer)
            .contains(b"the last")
    );
    assert!(other.read_answer().is_none(), "closed");
}

/// Guards against malformed messages that end the process or lose the requests of other clients:
/// clients send invalid fields, reused ids and sequences, unknown methods, excessive lengths and
/// malformed bytes. Each message is answered with an exception or closes its own connection. Open
/// requests are answered, also on that connection.
#[test]
fn malformed_messages_harm_only_their_own_connection() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000d1", b"hang");
    send_invalid_requests(&mut edge);
    reuse_ids_and_sequences(&backend);
    // Each of these requests has a field that is out of range. The one-way message after them
    // closes its connection: it cannot be answered, and these settings do not announce
    // cancellations.
    let mut other = backend.connect();
    for (name, value) in [
        ("need", "2000"),
        ("ms", "NaN"),
        ("ts", "1"),
        ("ts", "99999999999999"),
        ("level", "1"),
    ] {
        other.send_request_with_fields(
            1,
            &request_fields_with("00000000000000d9", name, value),
            b"run",
        );
        other.expect_answer(1, AnswerKind::Exception);
    }
    let mut other = backend.connect();
    other.send_oneway(1, "giveUp");
    assert!(other.read_answer().is_none(), "closed");
    // After malformed bytes the backend reads nothing more from the connection, but answers its
    // open requests.
    edge.stream.write_all(&[0xff; 64]).unwrap();
    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 5, 1, 2, 3, 4, 5],
        &[0x7f, 0xff, 0xff, 0xff],
    ] {
        let mut other = backend.connect();
        other.stream.write_all(garbage).unwrap();
        assert!(other.read_answer().is_none(), "closed");
    }
    backend
        .executor()
        .end_run("00000000000000d1", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
    assert!(edge.read_answer().is_none(), "closed");
    // The client closes its side within a message.
    let mut other = backend.connect();
    other.stream.write_all(b"\0\0\0\x30\x80\x01\0\x01").unwrap();
    other.stream.shutdown(Shutdown::Write).unwrap();
    assert!(other.read_answer().is_none(), "closed");
    // A new connection is served while a request of another connection runs.
    let mut cut = backend.connect();
    cut.send_request(1, "00000000000000d5", b"hang");
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("00000000000000d5")
    });
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000d6", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
}

/// Shuts the backend down and returns its log.
fn log_after_shutdown(mut backend: TestBackend) -> String {
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    backend.read_log()
}

/// Guards against a misleading count of malformed messages: the message for which a connection
/// closes is counted again at the close.
#[test]
fn each_malformed_message_is_counted_once() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for sequence in 1..=9 {
        edge.send_call(sequence, "drop_tables", b"\0");
        edge.expect_answer(sequence, AnswerKind::Exception);
    }
    assert!(edge.read_answer().is_none(), "closed");
    let mut other = backend.connect();
    other.stream.write_all(&[0x7f, 0xff, 0xff, 0xff]).unwrap();
    assert!(other.read_answer().is_none(), "closed");
    let log = log_after_shutdown(backend);
    assert!(log.contains(" malformed_messages=10 "), "{log}");
}

/// Guards against a misleading log line about slow clients: half a message on a connection that is
/// evicted is logged as a message timeout.
#[test]
fn half_a_message_that_is_evicted_is_not_logged_as_a_timeout() {
    let backend = start_backend_with_changes(&[
        ("1024", "128"),
        (r#""drain_grace":1000.0"#, r#""drain_grace":100.0"#),
    ]);
    let mut flood: Vec<EdgeConnection> = (0..200)
        .map(|_| {
            let mut half = backend.connect();
            half.stream.write_all(b"\0\0\0\x30\x80\x01").unwrap();
            half
        })
        .collect();
    backend.signal("TERM");
    assert!(flood[0].wait_until_closed());
    // The other connections are dropped before the message timeout of 2 s.
    drop(flood);
    let log = log_after_shutdown(backend);
    assert!(log.contains("reason=evicted"), "{log}");
    assert!(!log.contains("reason=message_timeout"), "{log}");
}
