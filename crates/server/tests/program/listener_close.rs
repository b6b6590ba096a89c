//! Connections that are made while the listener closes, as the drain begins or the grace ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::harness::backend::{
    TestBackend, spawn_program, start_backend, start_backend_with_changes,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields};
use crate::harness::{LONG_TIMEOUT, wait_until};

/// Connections that the machine took while the program stood still, each with a whole request on
/// it, as the grace ended meanwhile: the program saw no connection open, ended, and lost them all.
#[test]
fn requests_in_the_backlog_when_the_grace_ends_are_answered() {
    for round in 0..5u32 {
        let mut backend = start_backend();
        backend.signal("TERM");
        wait_until("it is told", || {
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
        // The grace is over in any case when it goes on: what is forced is the order, and not the
        // time.
        std::thread::sleep(std::time::Duration::from_millis(1100));
        backend.signal("CONT");
        for edge in &mut edges {
            let answer = edge
                .read_answer()
                .expect("an answer to what the machine had taken");
            let rest = std::iter::from_fn(|| edge.read_answer())
                .filter(|more| more.kind != AnswerKind::NoMore)
                .count();
            let first = answer.kind != AnswerKind::NoMore;
            assert_eq!(usize::from(first) + rest, 1, "one answer");
        }
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Callers that connect as fast as they can until the program stands still over the end of its
/// grace, with a long backlog behind it: the closing of the listener meets all of it, and each is
/// answered.
#[test]
fn a_connection_before_the_listener_closes_is_answered() {
    for round in 0..4 {
        let mut backend = start_backend();
        let (address, lost) = (
            format!("{}:6565", backend.host).parse().unwrap(),
            Mutex::new(Vec::new()),
        );
        let (answered, enough) = (std::sync::atomic::AtomicU32::new(0), AtomicBool::new(false));
        let ask = |id: &str| {
            let stream = TcpStream::connect_timeout(&address, LONG_TIMEOUT).unwrap();
            stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
            let mut edge = EdgeConnection { stream };
            let message = edge.encode_request(1, &request_fields(id, "20.0"), b"run");
            let written = edge.stream.write_all(&message).is_ok();
            // It may be asked to leave first.
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
            let ask = &ask;
            for caller in 0..8 {
                let enough = &enough;
                scope.spawn(move || {
                    for turn in 0..u32::MAX {
                        if enough.load(Ordering::Acquire) {
                            break;
                        }
                        ask(&format!("0000c{round:01x}{caller:02x}{turn:08x}"));
                    }
                });
            }
            wait_until("they are served", || answered.load(Ordering::Acquire) > 100);
            backend.signal("TERM");
            backend.signal("STOP");
            // Those that wait now are the last of their callers.
            enough.store(true, Ordering::Release);
            for waiting in 0..100 {
                scope.spawn(move || ask(&format!("0000d{round:01x}00{waiting:08x}")));
            }
            std::thread::sleep(std::time::Duration::from_millis(1200));
            backend.signal("CONT");
        });
        assert_eq!(lost.into_inner().unwrap(), Vec::<String>::new(), "lost");
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Drains backends with an open request; every connection, once it is asked to leave, does `then`
/// with the address.
fn run_at_drain_notifications(
    id_prefix: &str,
    connections: usize,
    then: impl Fn(SocketAddr) + Sync,
) {
    for round in 0..3u32 {
        let mut backend = start_backend();
        let address = format!("{}:6565", backend.host).parse().unwrap();
        let mut edges: Vec<EdgeConnection> = (0..connections).map(|_| backend.connect()).collect();
        // What is open keeps the connections, and the backend, from ending.
        for (at, edge) in (0u32..).zip(&mut edges) {
            edge.send_request(1, &format!("{id_prefix}{round:02x}{at:02x}"), b"hang");
        }
        wait_until("they run or are queued", || {
            !backend.executor().runs.is_empty()
        });
        backend.signal("TERM");
        std::thread::scope(|scope| {
            for edge in &mut edges {
                let then = &then;
                scope.spawn(move || {
                    while edge.read_answer().expect("a drain notification").kind
                        != AnswerKind::NoMore
                    {}
                    then(address);
                });
            }
        });
        drop(edges);
        assert_eq!(backend.wait_for_exit().code(), Some(0));
    }
}

/// Whether a connect gets in; one that does not must be refused, within the time in which the
/// system sends no second packet.
fn is_connect_accepted(address: SocketAddr) -> bool {
    match TcpStream::connect_timeout(&address, std::time::Duration::from_millis(800)) {
        Ok(_) => true,
        Err(error) => {
            assert_eq!(
                error.kind(),
                ErrorKind::ConnectionRefused,
                "neither in nor refused"
            );
            false
        }
    }
}

/// An edge node that is asked to leave connects again and again, just as the listener closes: it
/// gets in or is refused. With new connections shut out by a filter their first packet was dropped,
/// and they hung until the system sent another after a second. What a connect meets is the system
/// alone, however slow the program is.
#[test]
fn a_connect_as_the_listener_closes_does_not_hang() {
    run_at_drain_notifications("0000000000ed", 6, |address| {
        wait_until("refused", || !is_connect_accepted(address))
    });
}

/// Edge nodes that are asked to leave connect anew at once. Where the accepting was late, such
/// connections filled the backlog, and the system dropped the first packets of others, which hung
/// for a second. New connections are refused before anybody is asked to leave, so none of them gets
/// in.
#[test]
fn an_edge_node_that_is_asked_to_leave_is_refused_at_once() {
    run_at_drain_notifications("0000000000ef", 16, |address| {
        assert!(!is_connect_accepted(address), "it got in")
    });
}

/// A connection that is established as the listener closes is answered: none is reset before a byte
/// was read from it.
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

/// Ends the backend while so many callers connect, and yields what became of connections that were
/// reset.
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

/// Connects again and again with a health check on each connection; yields what became of those
/// that were reset before anything came from the backend.
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
        // The write fails where the connection was reset before; the read then tells the same.
        let _ = edge.stream.write_all(&edge.encode_health_check(1));
        if let Err(error) = edge.stream.read(&mut [0]) {
            resets.push(format!("read: {error}"));
        }
    }
}
