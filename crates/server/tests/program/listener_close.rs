//! Connections that are made while the listener closes: when the drain begins or the grace ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::harness::backend::{
    TestBackend, spawn_program, start_backend, start_backend_with_changes,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields};
use crate::harness::{LONG_TIMEOUT, wait_until};

/// Guards against requests that are lost in the listen backlog: the process is paused while the
/// system accepts connections into the backlog, each with a complete request, and the drain grace
/// ends in that pause. A program that sees no open connection then exits and loses them. It must
/// exit only after it has accepted the whole backlog and closed the listener.
#[test]
fn requests_in_the_backlog_when_the_grace_ends_are_answered() {
    for round in 0..5u32 {
        let mut backend = start_backend();
        backend.signal("TERM");
        wait_until("the backend reports bad health", || {
            let mut edge = backend.connect();
            edge.send_call(1, "probe", b"\0");
            edge.read_answer()
                .is_some_and(|answer| answer.bytes.ends_with(b"\x02\0\x03\0\0\0"))
        });
        backend.signal("STOP");
        let mut edges: Vec<EdgeConnection> = (0..8).map(|_| backend.connect()).collect();
        for (at, edge) in (0..).zip(&mut edges) {
            edge.send_request(1, &format!("00000000bac{round:01x}{at:04x}"), b"run");
        }
        // The grace is over when the process resumes: the test depends on this order and not on
        // timing.
        std::thread::sleep(std::time::Duration::from_millis(1100));
        backend.signal("CONT");
        for edge in &mut edges {
            let answer = edge
                .read_answer()
                .expect("an answer on a connection from the backlog");
            let rest = std::iter::from_fn(|| edge.read_answer())
                .filter(|more| more.kind != AnswerKind::NoMore)
                .count();
            let first = answer.kind != AnswerKind::NoMore;
            assert_eq!(usize::from(first) + rest, 1, "one answer");
        }
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Guards against connections that are reset in the backlog when the listener closes: callers
/// connect as fast as they can, and the process is paused over the end of its grace with a long
/// backlog. The listener closes only once the whole backlog is accepted, so every caller gets an
/// answer.
#[test]
fn a_connection_before_the_listener_closes_is_answered() {
    for round in 0..4 {
        let mut backend = start_backend();
        let (address, lost) = (
            format!("{}:6565", backend.host).parse().unwrap(),
            Mutex::new(Vec::new()),
        );
        let (answered, is_over) = (std::sync::atomic::AtomicU32::new(0), AtomicBool::new(false));
        let send_one_request = |id: &str| {
            let stream = TcpStream::connect_timeout(&address, LONG_TIMEOUT).unwrap();
            stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
            let mut edge = EdgeConnection { stream };
            let message = edge.encode_request(1, &request_fields(id, "20.0"), b"run");
            let written = edge.stream.write_all(&message).is_ok();
            // A drain notification may come first.
            match edge.read_answer().and_then(|answer| {
                if answer.kind == AnswerKind::NoMore {
                    edge.read_answer()
                } else {
                    Some(answer)
                }
            }) {
                Some(_) => _ = answered.fetch_add(1, Ordering::AcqRel),
                None => lost
                    .lock()
                    .unwrap()
                    .push(format!("{id}, written: {written}")),
            }
        };
        std::thread::scope(|scope| {
            let send_one_request = &send_one_request;
            for caller in 0..8 {
                let is_over = &is_over;
                scope.spawn(move || {
                    for turn in 0..u32::MAX {
                        if is_over.load(Ordering::Acquire) {
                            break;
                        }
                        send_one_request(&format!("0000c{round:01x}{caller:02x}{turn:08x}"));
                    }
                });
            }
            wait_until("callers are served", || {
                answered.load(Ordering::Acquire) > 100
            });
            backend.signal("TERM");
            backend.signal("STOP");
            // Each caller stops after its open request.
            is_over.store(true, Ordering::Release);
            for request in 0..100 {
                scope.spawn(move || send_one_request(&format!("0000d{round:01x}00{request:08x}")));
            }
            std::thread::sleep(std::time::Duration::from_millis(1200));
            backend.signal("CONT");
        });
        assert_eq!(lost.into_inner().unwrap(), Vec::<String>::new(), "lost");
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Drains backends with open requests; for each connection calls `after_notification` with the
/// address once the connection has its drain notification.
fn run_at_drain_notifications(
    id_prefix: &str,
    connections: usize,
    after_notification: impl Fn(SocketAddr) + Sync,
) {
    for round in 0..3u32 {
        let mut backend = start_backend();
        let address = format!("{}:6565", backend.host).parse().unwrap();
        let mut edges: Vec<EdgeConnection> = (0..connections).map(|_| backend.connect()).collect();
        // Open requests keep the connections open and the process running.
        for (at, edge) in (0u32..).zip(&mut edges) {
            edge.send_request(1, &format!("{id_prefix}{round:02x}{at:02x}"), b"hang");
        }
        wait_until("the requests run or are queued", || {
            !backend.executor().runs.is_empty()
        });
        backend.signal("TERM");
        std::thread::scope(|scope| {
            for edge in &mut edges {
                let after_notification = &after_notification;
                scope.spawn(move || {
                    while edge.read_answer().expect("a drain notification").kind
                        != AnswerKind::NoMore
                    {}
                    after_notification(address);
                });
            }
        });
        drop(edges);
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Whether a connect succeeds. If it fails, it must be refused, and sooner than the system would
/// retransmit a lost SYN.
fn is_connect_accepted(address: SocketAddr) -> bool {
    match TcpStream::connect_timeout(&address, std::time::Duration::from_millis(800)) {
        Ok(_) => true,
        Err(error) => {
            assert_eq!(
                error.kind(),
                ErrorKind::ConnectionRefused,
                "neither accepted nor refused"
            );
            false
        }
    }
}

/// Guards against connects that hang while the listener closes: if a packet filter drops the SYNs
/// of new connections, callers hang for a second until the system retransmits them. Edge nodes
/// connect repeatedly after the drain notification, and the system must accept or refuse each
/// attempt, however slow the program is.
#[test]
fn a_connect_as_the_listener_closes_does_not_hang() {
    run_at_drain_notifications("0000000000ed", 6, |address| {
        wait_until("a connect is refused", || !is_connect_accepted(address))
    });
}

/// Guards against connects that hang after the drain notification: edge nodes reconnect
/// immediately, and if the program accepts late, these connections fill the backlog and the system
/// drops the SYNs of others for a second. The backend has new connections refused before it sends
/// the first notification, so none of these connects is accepted.
#[test]
fn a_reconnect_after_the_drain_notification_is_refused_at_once() {
    run_at_drain_notifications("0000000000ef", 16, |address| {
        assert!(
            !is_connect_accepted(address),
            "a connect was accepted after the drain notification"
        )
    });
}

/// Guards against requests that are lost because closing a listener resets the connections that are
/// established and not yet accepted. The backend has the system refuse new connections first and
/// accepts for another 20 ms, so that no established connection is left when the listener closes.
#[test]
fn no_established_connection_is_reset_as_the_listener_closes() {
    const THREADS: usize = 6;
    const STARTS_PER_THREAD: usize = 10;
    const CALLERS: usize = 6;
    let lost = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                let mut backend = start_backend_with_changes(&[(
                    r#""drain_grace":1000.0"#,
                    r#""drain_grace":50.0"#,
                )]);
                for _ in 0..STARTS_PER_THREAD {
                    lost.lock()
                        .unwrap()
                        .extend(resets_at_shutdown(&mut backend, CALLERS));
                    backend.child = spawn_program(&backend.config_file);
                    backend.wait_until_serving();
                }
            });
        }
    });
    assert_eq!(lost.into_inner().unwrap(), Vec::<String>::new(), "reset");
}

/// Shuts the backend down while `callers` threads connect, and returns a line for each connection
/// that was reset.
fn resets_at_shutdown(backend: &mut TestBackend, callers: usize) -> Vec<String> {
    let address: SocketAddr = format!("{}:6565", backend.host).parse().unwrap();
    backend.signal("TERM");
    let resets = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..callers)
            .map(|_| scope.spawn(|| connect_until_refused(address)))
            .collect();
        callers
            .into_iter()
            .flat_map(|caller| caller.join().unwrap())
            .collect()
    });
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    resets
}

/// Connects repeatedly with a health check on each connection until a connect is refused; returns a
/// line for each connection that was reset before the backend sent a byte.
fn connect_until_refused(address: SocketAddr) -> Vec<String> {
    let mut resets = Vec::new();
    loop {
        let stream = match TcpStream::connect_timeout(&address, LONG_TIMEOUT) {
            Ok(stream) => stream,
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => return resets,
            Err(error) => {
                resets.push(format!("connect: {error}"));
                continue;
            }
        };
        stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        let mut edge = EdgeConnection { stream };
        // The write fails if the connection is already reset; the read then reports the same error.
        let _ = edge.stream.write_all(&edge.encode_health_check(1));
        if let Err(error) = edge.stream.read(&mut [0]) {
            resets.push(format!("read: {error}"));
        }
    }
}
