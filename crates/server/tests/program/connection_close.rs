//! Requests and answers in transit when their connection closes: at an idle close, at shutdown, or
//! by a reset from the caller.

use std::io::{ErrorKind, Read, Write};
use std::time::Duration;

use crate::harness::backend::{
    TestBackend, start_backend, start_backend_with_changes, start_backend_with_sockets,
};
use crate::harness::edge_node::{
    AnswerKind, EdgeConnection, answers_until_close, connect_slow_reader, request_fields,
    wait_for_drain_notification,
};
use crate::harness::wait_until;

/// Sends one request on each idle connection at times around its close, and asserts that the
/// request is answered once, or that its connection closes and the request was never run.
fn assert_answered_or_never_run(
    backend: &TestBackend,
    edges: Vec<EdgeConnection>,
    prefix: &str,
    first: Duration,
    step: Duration,
) {
    std::thread::scope(|scope| {
        for (at, mut edge) in (0u32..).zip(edges) {
            let id = format!("{prefix}{at:04x}");
            scope.spawn(move || {
                wait_for_drain_notification(&mut edge);
                std::thread::sleep(first + step * at);
                let message = edge.encode_request(2, &request_fields(&id, "20.0"), b"run");
                let _ = edge.stream.write_all(&message);
                let answers = answers_until_close(&mut edge);
                match answers.get(&2) {
                    Some(count) => assert_eq!(*count, 1, "{id} is answered once"),
                    None => assert!(!backend.was_run(&id), "{id} was run and not answered"),
                }
            });
        }
    });
}

/// Opens connections that are idle after one answered request each.
fn idle_connections(backend: &TestBackend, count: u32, prefix: &str) -> Vec<EdgeConnection> {
    let idle_connection = |at: u32| {
        let mut edge = backend.connect();
        edge.send_request(1, &format!("{prefix}{at:04x}"), b"run");
        assert_eq!(edge.read_answer().expect("an answer").sequence, 1);
        edge
    };
    (0..count).map(idle_connection).collect()
}

/// Guards against a request that is run and not answered because it arrives in the milliseconds
/// around the close of its idle connection at shutdown. A request whose connection closes first
/// must not run, so that its caller may send it again.
#[test]
fn a_request_that_crosses_the_close_at_shutdown_is_answered_or_never_run() {
    let mut backend =
        start_backend_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":100.0"#)]);
    let edges = idle_connections(&backend, 32, "000000000a01");
    backend.signal("TERM");
    // The backend closes the connection 60 ms after the notification.
    let (first, step) = (Duration::from_millis(40), Duration::from_millis(2));
    assert_answered_or_never_run(&backend, edges, "000000000a02", first, step);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against a request that is run and not answered because it arrives in the milliseconds
/// around an idle close, which follows the drain notification by 2 s.
#[test]
fn a_request_that_crosses_an_idle_close_is_answered_or_never_run() {
    let backend = start_backend_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let edges = idle_connections(&backend, 32, "000000000a03");
    // The backend closes the connection 2 s after the notification.
    let (first, step) = (Duration::from_millis(1960), Duration::from_millis(4));
    assert_answered_or_never_run(&backend, edges, "000000000a04", first, step);
}

/// Guards against requests that are lost because they arrive while the process is paused, and their
/// idle connections are due to close when it resumes. The backend reads the received bytes before
/// the close: complete requests are answered, incomplete ones are not run.
#[test]
fn an_unread_request_is_answered_when_its_idle_connection_is_due_to_close() {
    let backend = start_backend_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let mut edges = idle_connections(&backend, 16, "000000000a0f");
    for edge in &mut edges {
        wait_for_drain_notification(edge);
    }
    // The pause begins long before the close, which follows the notification by 2 s.
    backend.signal("STOP");
    for (at, edge) in (0u32..).zip(&mut edges) {
        let message = edge.encode_request(
            2,
            &request_fields(&format!("000000000a10{at:04x}"), "20.0"),
            b"run",
        );
        let length = if at % 2 == 0 {
            message.len()
        } else {
            message.len() / 2
        };
        edge.stream.write_all(&message[..length]).unwrap();
    }
    std::thread::sleep(Duration::from_millis(2200));
    backend.signal("CONT");
    for (at, edge) in (0u32..).zip(&mut edges) {
        let expected = u32::from(at % 2 == 0);
        assert_eq!(
            answers_until_close(edge).get(&2).copied().unwrap_or(0),
            expected,
            "connection {at}"
        );
        assert_eq!(
            u32::from(backend.was_run(&format!("000000000a10{at:04x}"))),
            expected,
            "connection {at}"
        );
    }
}

/// Guards against a request that is lost because only a part of it has arrived at the shutdown
/// notice. The backend answers it once the rest has arrived. Without the rest its connection ends,
/// and no other caller loses an answer.
#[test]
fn half_a_request_at_the_shutdown_notice_costs_no_answer() {
    let mut backend =
        start_backend_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":300.0"#)]);
    let mut edges = idle_connections(&backend, 16, "000000000a05");
    let messages: Vec<Vec<u8>> = (0u32..)
        .zip(&edges)
        .map(|(at, edge)| {
            edge.encode_request(
                2,
                &request_fields(&format!("000000000a06{at:04x}"), "20.0"),
                b"run",
            )
        })
        .collect();
    for (at, (edge, message)) in edges.iter_mut().zip(&messages).enumerate() {
        if at == 8 {
            backend.signal("TERM");
        }
        edge.stream
            .write_all(&message[..message.len() * (at + 1) / 17])
            .unwrap();
    }
    for (at, (edge, message)) in edges.iter_mut().zip(&messages).enumerate() {
        if at % 2 == 0 {
            edge.stream
                .write_all(&message[message.len() * (at + 1) / 17..])
                .unwrap();
        }
    }
    for (at, edge) in edges.iter_mut().enumerate() {
        let answers = answers_until_close(edge);
        assert_eq!(
            answers.get(&2).copied().unwrap_or(0),
            u32::from(at % 2 == 0),
            "connection {at}"
        );
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against a request that is run and not answered because only half of it has arrived at the
/// drain notification of its idle connection or around its close. At the notification it is
/// answered once; around the close it is answered once or never run.
#[test]
fn half_a_request_at_an_idle_close_costs_no_answer() {
    let backend = start_backend_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let edges = idle_connections(&backend, 16, "000000000a07");
    std::thread::scope(|scope| {
        for (at, mut edge) in (0u32..).zip(edges) {
            let backend = &backend;
            scope.spawn(move || {
                let id = format!("000000000a08{at:04x}");
                wait_for_drain_notification(&mut edge);
                // Half of them at the notification, the rest around the close 2 s later.
                let pause = if at < 8 {
                    0
                } else {
                    1960 + u64::from(at - 8) * 10
                };
                std::thread::sleep(Duration::from_millis(pause));
                let message = edge.encode_request(2, &request_fields(&id, "20.0"), b"run");
                let half = message.len() / 2;
                let _ = edge.stream.write_all(&message[..half]);
                std::thread::sleep(Duration::from_millis(20));
                let _ = edge.stream.write_all(&message[half..]);
                let answers = answers_until_close(&mut edge);
                match answers.get(&2) {
                    Some(count) => assert_eq!(*count, 1, "{id} is answered once"),
                    None => {
                        assert!(at >= 8, "{id} arrived long before the close");
                        assert!(!backend.was_run(&id), "{id} was run and not answered");
                    }
                }
            });
        }
    });
}

/// Guards against answers that are lost in the send buffer: a request that arrives after the close
/// makes the system reset the connection and drop the unacknowledged answers to a slow reader, 15
/// of 16. The backend therefore shuts the connection down for writing first, then reads and drops
/// input until the answers are acknowledged, for at most 1 s.
#[test]
fn a_request_after_the_close_does_not_reset_answers_in_the_send_buffer() {
    const REQUESTS: u32 = 16;
    let mut backend =
        start_backend_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":100.0"#)]);
    let mut edge = connect_slow_reader(&backend);
    for sequence in 1..=REQUESTS {
        edge.send_request(sequence, &format!("000000000a09{sequence:04x}"), b"large");
    }
    wait_until("all are answered", || {
        let mut probe = backend.connect();
        probe.send_call(1, "probe", b"\0");
        probe.read_answer();
        backend.executor().ends.len() as u32 == REQUESTS
    });
    backend.signal("TERM");
    // After the drain grace and the 60 ms that a connection then has.
    std::thread::sleep(Duration::from_millis(500));
    let late = edge.encode_request(99, &request_fields("000000000a0a0001", "20.0"), b"run");
    let _ = edge.stream.write_all(&late);
    std::thread::sleep(Duration::from_millis(50));
    let answers = answers_until_close(&mut edge);
    let answered = (1..=REQUESTS)
        .filter(|sequence| answers.get(sequence) == Some(&1))
        .count();
    assert_eq!(answered as u32, REQUESTS, "answers lost: {answers:?}");
    assert!(!backend.was_run("000000000a0a0001"), "run after the close");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against answers that other callers lose or get twice because a caller resets its
/// connection at the time of its answer: before the end of the run, after it, or at the same time.
/// Only the answer to the caller that resets its connection may be lost.
#[test]
fn an_answer_on_a_reset_connection_is_the_only_one_lost() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for turn in 0..60u32 {
        let mut cut = backend.connect();
        let id = format!("0000000000f6{turn:04x}");
        cut.send_request(1, &id, b"hang");
        wait_until("the request runs", || {
            backend.executor().runs.contains_key(&id)
        });
        socket2::SockRef::from(&cut.stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
        // In turn the run ends first, the reset comes first, or both come at once.
        match turn % 3 {
            0 => backend.executor().end_run(&id, "success", b"unread result"),
            1 => drop(std::mem::replace(&mut cut, backend.connect())),
            _ => {}
        }
        drop(cut);
        if turn % 3 == 2 {
            backend.executor().end_run(&id, "success", b"unread result");
        }
        edge.send_request(turn + 1, &format!("0000000000f5{turn:04x}"), b"run");
        assert!(
            edge.expect_answer(turn + 1, AnswerKind::Answer)
                .contains(format!("f5{turn:04x}").as_bytes())
        );
    }
    // Runs whose caller reset its connection before their end are still open or were stopped.
    let left: Vec<String> = backend.executor().runs.keys().cloned().collect();
    for id in left {
        backend.executor().end_run(&id, "interrupted", b"");
    }
    assert!(backend.executor().ends.values().all(|&ends| ends == 1));
    assert_eq!(edge.stream.set_nonblocking(true).ok(), Some(()));
    let mut one = [0];
    assert_eq!(
        edge.stream.read(&mut one).unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "one answer to each request"
    );
}

/// Guards against a request that is cut off because its connection is evicted while the request is
/// being received: the backend has asked the connection to close, and other connections wait in the
/// backlog.
#[test]
fn a_partly_received_message_is_read_while_connections_wait_in_the_backlog() {
    const MAX_CONNECTIONS: u32 = 96;
    let backend = start_backend_with_sockets(128);
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000f0001", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    // Longer than the 250 ms for which a connection may not be evicted after its last use.
    std::thread::sleep(Duration::from_millis(400));
    let connect_and_run = |at: u32| {
        let mut other = backend.connect();
        other.send_request(1, &format!("0000000f{at:08x}"), b"hang");
        other
    };
    // From 85 % of the connections on, the least recently used one is asked to close.
    let mut others: Vec<EdgeConnection> =
        (0..MAX_CONNECTIONS * 9 / 10).map(connect_and_run).collect();
    wait_for_drain_notification(&mut edge);
    let message = edge.encode_request(2, &request_fields("00000000000f0002", "20.0"), b"run");
    let (half, rest) = message.split_at(message.len() / 2);
    edge.stream.write_all(half).unwrap();
    others.extend((MAX_CONNECTIONS..MAX_CONNECTIONS + 20).map(connect_and_run));
    // By then the number of connections is at its maximum.
    std::thread::sleep(Duration::from_millis(20));
    for piece in rest.chunks(5) {
        edge.stream.write_all(piece).unwrap();
        std::thread::sleep(Duration::from_millis(2));
    }
    let answer = edge.read_answer().expect("an answer");
    assert_eq!(answer.sequence, 2);
}
