//! What a shutdown spends its time on, with an order of events that is forced: the process is
//! stopped while its callers connect and write, and gets the notice before it goes on.

use std::io::Write;
use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend_with_changes};
use crate::harness::edge_node::{
    AnswerKind, EdgeConnection, answers_until_close, connect_slow_reader, request_fields,
};

/// Requests on each connection.
const REQUESTS: u32 = 24;
/// Connections that a backend with 128 descriptors may have: 16 are its own, 16 are the store's.
const PLACES: u32 = 96;
/// Connections with one request each that wait for a place.
const WAITING: u32 = 50;

fn start(drain_grace: &str, stop_ms: &str) -> TestBackend {
    start_backend_with_changes(&[
        ("\"drain_grace\":1000.0", drain_grace),
        ("\"stop_ms\":4000", stop_ms),
    ])
}

/// A backend with few places and memory for many requests, and half a second to its kill.
fn start_with_places() -> TestBackend {
    start_backend_with_changes(&[
        ("1024", "128"),
        ("\"drain_grace\":1000.0", "\"drain_grace\":100.0"),
        ("\"stop_ms\":4000", "\"stop_ms\":500"),
        ("\"mem_limit_kb\":9000.0", "\"mem_limit_kb\":90000.0"),
    ])
}

/// Connections behind those that hold all places.
fn connect_waiting(backend: &TestBackend) -> Vec<EdgeConnection> {
    let mut edges = connect_all(backend, WAITING);
    for (at, edge) in (0u32..).zip(&mut edges) {
        edge.send_request(1, &format!("00000003{at:08x}"), b"run");
    }
    edges
}

/// Shuts the backend down; each of these callers gets the answer to its request.
fn assert_answered_at_a_shutdown(backend: &TestBackend, waiting: Vec<EdgeConnection>) {
    backend.signal("TERM");
    let answers = waiting
        .into_iter()
        .map(|mut edge| answers_until_close(&mut edge).len());
    assert_eq!(answers.sum::<usize>(), WAITING as usize);
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

/// Guards against a shutdown that reads thousands of requests, with a coroutine for each, before it
/// answers the first, and ends with none of them answered.
#[test]
fn requests_that_wait_unread_at_a_shutdown_are_answered_before_a_close_kill() {
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

/// Guards against a drain that is held to its last moment by connections whose callers owe nothing
/// and do not close: some were never used, and the others are answered.
#[test]
fn connections_on_which_nothing_is_open_do_not_hold_a_drain() {
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

/// Guards against a caller that keeps its connection, and the process, until the kill by sending a
/// request for each answer past the drain notification: it is never without one that is open.
#[test]
fn a_caller_that_goes_on_sending_does_not_hold_a_drain() {
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

/// Guards against places that are held by deep health checks while the executor hangs: they wait
/// for two seconds, and the requests behind them were lost.
#[test]
fn deep_health_checks_do_not_hold_places_at_a_shutdown() {
    let backend = start_with_places();
    let executor = backend.executor.clone();
    // The executor's stand-in does no work while its lock is held.
    let hang = executor.lock().unwrap();
    let mut checks = connect_all(&backend, PLACES);
    for edge in &mut checks {
        edge.send_call(1, "probe", b"\x02\0\x01\x01\0");
    }
    std::thread::sleep(Duration::from_millis(50));
    let waiting = connect_waiting(&backend);
    assert_answered_at_a_shutdown(&backend, waiting);
    drop(hang);
}

/// Guards against places that are held by callers which read nothing, until the kill: their replies
/// are in the hands of the system, which goes on with them behind the close.
#[test]
fn callers_that_read_nothing_do_not_hold_places_where_time_is_short() {
    const LARGE_REPLIES: u32 = 30;
    let mut backend = start_with_places();
    let connect = |at: u32| {
        let mut edge = connect_slow_reader(&backend);
        for sequence in 1..=LARGE_REPLIES {
            edge.send_request(
                sequence,
                &format!("00000004{at:04x}{sequence:04x}"),
                b"large",
            );
        }
        // Its replies are written before the next caller's.
        std::thread::sleep(Duration::from_millis(4));
        edge
    };
    let mut unread: Vec<EdgeConnection> = (0..PLACES).map(connect).collect();
    let waiting = connect_waiting(&backend);
    assert_answered_at_a_shutdown(&backend, waiting);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    for edge in &mut unread {
        assert_eq!(answers_until_close(edge).len() as u32, LARGE_REPLIES);
    }
}

/// Guards against whole requests that were read and are taken for half a message, because a long
/// reply before them left no room to handle them in the same turn.
#[test]
fn requests_behind_a_long_reply_are_answered_at_a_shutdown() {
    let backend = start_with_places();
    backend.signal("STOP");
    let _before = connect_all(&backend, 2 * PLACES);
    let mut edge = backend.connect();
    let _behind = connect_all(&backend, 2 * PLACES);
    // The exception names the method, which is as long as the unread bytes may be.
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
