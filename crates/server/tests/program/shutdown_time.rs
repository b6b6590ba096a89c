//! The time that a shutdown takes. The tests fix the order of events: some pause the process while
//! its callers connect and write, and send the shutdown notice before it resumes.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend_with_changes};
use crate::harness::edge_node::{
    AnswerKind, EdgeConnection, answers_until_close, connect_slow_reader, request_fields,
};

/// Requests on each connection.
const REQUESTS: u32 = 24;
/// Maximum number of client connections of a backend with 128 descriptors: 16 are reserved for the
/// process, 16 for the store.
const MAX_CONNECTIONS: u32 = 96;
/// Number of connections with one request each that wait in the backlog.
const BACKLOG_CONNECTIONS: u32 = 50;

fn start(drain_grace: &str, stop_ms: &str) -> TestBackend {
    start_backend_with_changes(&[
        ("\"drain_grace\":1000.0", drain_grace),
        ("\"stop_ms\":4000", stop_ms),
    ])
}

/// Starts a backend with few connections, memory for many requests, and half a second from the
/// notice to the kill.
fn start_with_connection_limit() -> TestBackend {
    start_backend_with_changes(&[
        ("1024", "128"),
        ("\"drain_grace\":1000.0", "\"drain_grace\":100.0"),
        ("\"stop_ms\":4000", "\"stop_ms\":500"),
        ("\"mem_limit_kb\":9000.0", "\"mem_limit_kb\":90000.0"),
    ])
}

/// Opens connections that wait in the backlog of a full server, with one request each.
fn connect_in_backlog(backend: &TestBackend) -> Vec<EdgeConnection> {
    let mut edges = connect_all(backend, BACKLOG_CONNECTIONS);
    for (at, edge) in (0u32..).zip(&mut edges) {
        edge.send_request(1, &format!("00000003{at:08x}"), b"run");
    }
    edges
}

/// Shuts the backend down, and asserts that each of these callers gets the answer to its request.
fn assert_answered_at_shutdown(backend: &TestBackend, waiting: Vec<EdgeConnection>) {
    backend.signal("TERM");
    let answers = waiting
        .into_iter()
        .map(|mut edge| answers_until_close(&mut edge).len());
    assert_eq!(answers.sum::<usize>(), BACKLOG_CONNECTIONS as usize);
}

fn connect_all(backend: &TestBackend, connections: u32) -> Vec<EdgeConnection> {
    (0..connections).map(|_| backend.connect()).collect()
}

fn send_all(edges: &mut [EdgeConnection]) {
    for (at, edge) in (0u32..).zip(edges) {
        for sequence in 1..=REQUESTS {
            edge.send_request(sequence, &format!("0000{at:08x}{sequence:04x}"), b"run");
        }
    }
}

/// Guards against a shutdown that reads thousands of requests, each with a coroutine, before it
/// answers the first one, so that none is answered before the kill.
#[test]
fn unread_requests_at_a_shutdown_are_answered_before_an_early_kill() {
    const CONNECTIONS: u32 = 200;
    const STOP: Duration = Duration::from_millis(200);
    let mut backend = start("\"drain_grace\":100.0", "\"stop_ms\":200");
    backend.signal("STOP");
    let mut edges = connect_all(&backend, CONNECTIONS);
    send_all(&mut edges);
    backend.signal("TERM");
    let notified_at = Instant::now();
    backend.signal("CONT");
    std::thread::sleep(STOP.saturating_sub(notified_at.elapsed()));
    let _ = backend.child.kill();
    backend.child.wait().unwrap();
    let answered = edges.iter_mut().map(|edge| answers_until_close(edge).len());
    assert_eq!(answered.sum::<usize>(), (CONNECTIONS * REQUESTS) as usize);
}

/// Guards against a drain that lasts until the termination because callers do not close connections
/// without open requests: some were never used, the others are answered.
#[test]
fn connections_without_open_requests_do_not_delay_a_drain() {
    let mut backend = start("\"drain_grace\":100.0", "\"stop_ms\":1500");
    let _unused = connect_all(&backend, 100);
    let mut used = connect_all(&backend, 100);
    for (at, edge) in (0u32..).zip(&mut used) {
        edge.send_request(1, &format!("00000001{at:08x}"), b"run");
        edge.expect_answer(1, AnswerKind::Answer);
    }
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    let log = backend.read_log();
    assert!(!log.contains("drain cut short"), "{log}");
}

/// Guards against a drain that lasts until the kill because a caller sends another request for each
/// answer after the drain notification, so that its connection always has an open request.
#[test]
fn a_caller_that_keeps_sending_does_not_delay_a_drain() {
    const OPEN_REQUESTS: u32 = 32;
    let mut backend = start("\"drain_grace\":100.0", "\"stop_ms\":4000");
    let mut edge = backend.connect();
    let mut sequence = 0;
    let mut send = |edge: &mut EdgeConnection| {
        sequence += 1;
        let id = format!("00000002{sequence:08x}");
        let request = edge.encode_request(sequence, &request_fields(&id, "20.0"), b"run");
        edge.stream.write_all(&request).is_ok()
    };
    for _ in 0..OPEN_REQUESTS {
        assert!(send(&mut edge));
    }
    backend.signal("TERM");
    while let Some(answer) = edge.read_answer() {
        if answer.kind != AnswerKind::NoMore && !send(&mut edge) {
            break;
        }
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    let log = backend.read_log();
    assert!(!log.contains("drain cut short"), "{log}");
}

/// Guards against requests in the backlog that are lost because deep health checks occupy all
/// connections: while the executor hangs, such a check waits for two seconds.
#[test]
fn deep_health_checks_do_not_block_the_backlog_at_a_shutdown() {
    let backend = start_with_connection_limit();
    let executor = backend.executor.clone();
    // The executor stub does no work while its lock is held.
    let executor_lock = executor.lock().unwrap();
    let mut checks = connect_all(&backend, MAX_CONNECTIONS);
    for edge in &mut checks {
        edge.send_call(1, "probe", b"\x02\0\x01\x01\0");
    }
    std::thread::sleep(Duration::from_millis(50));
    let waiting = connect_in_backlog(&backend);
    assert_answered_at_shutdown(&backend, waiting);
    drop(executor_lock);
}

/// Guards against requests in the backlog that are lost because callers that read nothing occupy
/// all connections until the kill. The system owns their replies and keeps sending them after the
/// close.
#[test]
fn callers_that_read_nothing_do_not_block_the_backlog_before_an_early_kill() {
    const LARGE_REPLIES: u32 = 30;
    let mut backend = start_with_connection_limit();
    let connect = |at: u32| {
        let mut edge = connect_slow_reader(&backend);
        for sequence in 1..=LARGE_REPLIES {
            edge.send_request(
                sequence,
                &format!("00000004{at:04x}{sequence:04x}"),
                b"large",
            );
        }
        // The replies to this caller are written before those to the next one.
        std::thread::sleep(Duration::from_millis(4));
        edge
    };
    let mut unread: Vec<EdgeConnection> = (0..MAX_CONNECTIONS).map(connect).collect();
    let waiting = connect_in_backlog(&backend);
    assert_answered_at_shutdown(&backend, waiting);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    for edge in &mut unread {
        assert_eq!(answers_until_close(edge).len() as u32, LARGE_REPLIES);
    }
}

/// Guards against complete requests that are lost because they are handled as half a message: an
/// unwritten reply of more than 4 KiB to a message before them makes the backend stop handling the
/// input of the connection, although it has read the requests.
#[test]
fn requests_after_a_long_reply_are_answered_at_a_shutdown() {
    let backend = start_with_connection_limit();
    backend.signal("STOP");
    let _connections_before = connect_all(&backend, 2 * MAX_CONNECTIONS);
    let mut edge = backend.connect();
    let _connections_after = connect_all(&backend, 2 * MAX_CONNECTIONS);
    // The exception contains the name of the method, which alone is longer than the 4 KiB of
    // unwritten replies at which the backend stops reading requests.
    let unknown_method = "x".repeat(4200);
    edge.send_call(REQUESTS + 1, &unknown_method, b"\0");
    for sequence in 1..=REQUESTS {
        edge.send_request(sequence, &format!("00000005{sequence:08x}"), b"run");
    }
    backend.signal("TERM");
    backend.signal("CONT");
    let answers = answers_until_close(&mut edge);
    assert_eq!(answers.len() as u32, REQUESTS + 1);
}
