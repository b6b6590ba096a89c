//! Connection floods, request floods on one connection, and the limit on open connections.

use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::harness::backend::{
    start_backend, start_backend_with_changes, start_backend_with_sockets,
};
use crate::harness::edge_node::{
    AnswerKind, EdgeConnection, answers_until_close, slowest_answer_while,
};
use crate::harness::{MAX_ANSWER_TIME, wait_until};

/// Guards against clients that are not served because a flood takes all descriptors: a thousand
/// connections are opened at a limit of 64 descriptors. The backend closes idle and silent
/// connections, its descriptors stay within the limit, a connected client is served promptly during
/// the flood, and a new client is served after it.
#[test]
fn a_connection_flood_does_not_delay_connected_clients() {
    let backend = start_backend_with_sockets(64);
    let running = AtomicBool::new(true);
    let address: SocketAddr = format!("{}:6565", backend.host).parse().unwrap();
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b050000"));
        let flood: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(move || {
                    let connect =
                        |_| TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
                    (0..250).filter_map(connect).collect::<Vec<_>>().len()
                })
            })
            .collect();
        let connected: usize = flood.into_iter().map(|thread| thread.join().unwrap()).sum();
        let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
            .unwrap()
            .count();
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!("slowest answer during a flood of {connected} connections: {slowest:?}");
        assert!(files <= 64, "{files} descriptors");
        assert!(slowest < MAX_ANSWER_TIME, "{slowest:?}");
    });
    let begin = Instant::now();
    let mut new_client = backend.connect();
    new_client.send_request(1, "000000000b060001", b"run");
    assert_eq!(new_client.read_answer().expect("an answer").sequence, 1);
    assert!(begin.elapsed() < MAX_ANSWER_TIME, "{:?}", begin.elapsed());
}

/// Guards against clients that wait for the requests of another client: one connection sends 3,000
/// requests without waiting, and 32 may be open at a time. Each is answered once, and a client on
/// another connection is served promptly during the flood.
#[test]
fn a_request_flood_on_one_connection_does_not_delay_other_clients() {
    const REQUESTS: u32 = 3000;
    let backend = start_backend();
    let mut edge = backend.connect();
    let mut writer = EdgeConnection {
        stream: edge.stream.try_clone().unwrap(),
    };
    let running = AtomicBool::new(true);
    let mut counts: HashMap<u32, u32> = HashMap::new();
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b080000"));
        scope.spawn(move || {
            for sequence in 1..=REQUESTS {
                writer.send_request(sequence, &format!("000000000b07{sequence:04x}"), b"run");
            }
        });
        for _ in 0..REQUESTS {
            let answer = edge.read_answer().expect("an answer for each");
            *counts.entry(answer.sequence).or_default() += 1;
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!("slowest answer during a flood of {REQUESTS} requests: {slowest:?}");
        assert!(slowest < MAX_ANSWER_TIME, "{slowest:?}");
    });
    assert!(
        (1..=REQUESTS).all(|sequence| counts.get(&sequence) == Some(&1)),
        "one answer to each request"
    );
}

/// Guards against a new client that is not served because connections without open requests take
/// all descriptors: more connections than descriptors stay open after one request or never send
/// anything. The backend closes the oldest idle ones, so that a new client is served, and every
/// connection that sends no complete message.
#[test]
fn silent_connections_are_closed_to_admit_new_ones() {
    let backend = start_backend_with_sockets(48);
    // The backend also closes connections that stay open after one request, the oldest first.
    let connection_after_one_request = |at: u32| {
        let mut edge = backend.connect();
        edge.send_request(1, &format!("0000000000ea{at:04x}"), b"run");
        edge.expect_answer(1, AnswerKind::Answer);
        edge
    };
    let _idle: Vec<EdgeConnection> = (0..60).map(connection_after_one_request).collect();
    let mut silent: Vec<EdgeConnection> = (0..80).map(|_| backend.connect()).collect();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000eb0001", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 48, "{files} descriptors");
    // The backend closes connections that send nothing or half a message.
    let mut half = backend.connect();
    half.stream.write_all(b"\0\0\0\x30\x80\x01").unwrap();
    silent.push(half);
    for mut edge in silent {
        assert!(edge.wait_until_closed());
    }
}

/// Guards against a connection that is lost, or an open request that is cut off, because every
/// connection within the limit has an open request and the backend can close none of them. A
/// further connection waits in the backlog, and is served once a request is answered and its
/// connection can be closed.
#[test]
fn connections_beyond_the_limit_wait_for_a_free_descriptor() {
    let backend = start_backend_with_sockets(32);
    let connection_with_open_request = |at: u32| {
        let mut edge = backend.connect();
        edge.send_request(1, &format!("0000000000fa{at:04x}"), b"hang");
        edge
    };
    let mut edges: Vec<EdgeConnection> = (0..12).map(connection_with_open_request).collect();
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("0000000000fa0000")
    });
    let mut last = backend.connect();
    last.send_call(1, "probe", b"\0");
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 32, "{files} descriptors");
    // The waiting connection is served once another connection has no open request.
    backend
        .executor()
        .end_run("0000000000fa0000", "success", b"result");
    edges[0].expect_answer(1, AnswerKind::Answer);
    last.expect_answer(1, AnswerKind::Answer);
    assert!(edges[0].wait_until_closed());
}

/// Guards against requests that are rejected as malformed because their connection waited in the
/// backlog, so that their timestamps are over a second older than its accept. After the ninth
/// malformed message the backend reads nothing more from the connection, so all later requests are
/// lost. The test pauses the process for longer than a second; a connection flood on a full server
/// has the same effect.
#[test]
fn requests_that_waited_in_the_backlog_are_served() {
    const REQUESTS: u32 = 12;
    let backend = start_backend();
    backend.signal("STOP");
    let mut edge = backend.connect();
    for sequence in 1..=REQUESTS {
        edge.send_request(sequence, &format!("000000000bac{sequence:04x}"), b"run");
    }
    std::thread::sleep(Duration::from_millis(1500));
    backend.signal("CONT");
    for _ in 0..REQUESTS {
        let answer = edge.read_answer().expect("an answer for each");
        assert_eq!(answer.kind, AnswerKind::Answer);
    }
}

/// Guards against requests that are lost at a shutdown because their connection waits in the
/// backlog after a flood of connections with half a message each. If each of those keeps its
/// descriptor for another second after its eviction, the process ends before it reads the requests.
#[test]
fn requests_after_a_flood_of_half_messages_are_answered_at_shutdown() {
    const REQUESTS: u32 = 10;
    let backend = start_backend_with_changes(&[
        ("1024", "128"),
        ("\"drain_grace\":1000.0", "\"drain_grace\":300.0"),
        ("\"stop_ms\":4000", "\"stop_ms\":2000"),
    ]);
    let _flood: Vec<EdgeConnection> = (0..200)
        .map(|_| {
            let mut half = backend.connect();
            half.stream.write_all(b"\0\0\0\x30\x80\x01").unwrap();
            half
        })
        .collect();
    let mut edge = backend.connect();
    for sequence in 1..=REQUESTS {
        edge.send_request(sequence, &format!("000000000bad{sequence:04x}"), b"run");
    }
    std::thread::sleep(Duration::from_millis(100));
    backend.signal("TERM");
    let counts = answers_until_close(&mut edge);
    assert!(
        (1..=REQUESTS).all(|sequence| counts.get(&sequence) == Some(&1)),
        "{counts:?}"
    );
}
