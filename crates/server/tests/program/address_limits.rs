//! Connection limits of the program: connection floods, known clients and descriptor exhaustion.
//! Each client has its own source address from 127.0.0.0/8.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::harness::backend::{
    TestBackend, start_backend_with_descriptor_limit, start_backend_with_settings,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields};
use crate::harness::{EDGE_PORT, LONG_TIMEOUT, wait_until};

/// Ends the flood when it is dropped, also if the test fails.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// The bound on the time to an accepted connection and its answer: far longer than that takes, far
/// shorter than the wait of a connection for a descriptor.
const MAX_ACCEPT_TIME: Duration = Duration::from_secs(5);

fn settings(text: &str) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("tulipgap.hcl");
    std::fs::write(&file, format!("admission {{\n{text}\n}}\n")).unwrap();
    (folder, file)
}

/// Connects from this address; `None` if the connect fails.
fn connect_from(backend: &TestBackend, address: [u8; 4]) -> Option<EdgeConnection> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from((Ipv4Addr::from(address), 0)).into())
        .ok()?;
    let host: Ipv4Addr = backend.host.parse().unwrap();
    socket
        .connect_timeout(&SocketAddr::from((host, EDGE_PORT)).into(), MAX_ACCEPT_TIME)
        .ok()?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    Some(EdgeConnection { stream })
}

/// Sends a request, and returns whether its result arrived before the connection ended.
fn is_served(edge: &mut EdgeConnection, sequence: u32, id: u64) -> bool {
    use std::io::Write;
    // A rejected connection may be closed before the whole request is written.
    let message = edge.encode_request(
        sequence,
        &request_fields(&format!("{id:016x}"), "20.0"),
        b"run",
    );
    edge.stream.write_all(&message).is_ok()
        && edge
            .read_answer()
            .is_some_and(|answer| answer.kind == AnswerKind::Answer)
}

/// Completes requests from an address for more than 2.6 s, so that it becomes a known client.
fn become_known_client(backend: &TestBackend, address: [u8; 4], ids: &AtomicU32) {
    let mut edge = connect_from(backend, address).unwrap();
    let start = Instant::now();
    for sequence in 1.. {
        assert!(is_served(
            &mut edge,
            sequence,
            ids.fetch_add(1, Ordering::Relaxed).into()
        ));
        if sequence > 6 && start.elapsed() > Duration::from_millis(2600) {
            return;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a connection flood from one address that locks out other clients. Half of the
/// connections are reserved for clients with a record of completed requests, so these are accepted
/// and served promptly.
#[test]
fn known_clients_are_accepted_while_one_address_opens_thousands() {
    let (_folder, file) = settings("  known_part = 0.5");
    let backend = Arc::new(start_backend_with_settings(128, Some(&file)));
    let ids = Arc::new(AtomicU32::new(1));
    let known: Vec<[u8; 4]> = (1..=8).map(|host| [127, 200, 1, host]).collect();
    std::thread::scope(|scope| {
        for &address in &known {
            let (backend, ids) = (&backend, &ids);
            scope.spawn(move || become_known_client(backend, address, ids));
        }
    });
    let flooding = Arc::new(AtomicBool::new(true));
    let stop_on_drop = StopOnDrop(flooding.clone());
    let flood = {
        let (backend, flooding) = (backend.clone(), flooding.clone());
        std::thread::spawn(move || {
            let (mut open, mut attempts) = (Vec::new(), 0u32);
            while flooding.load(Ordering::Acquire) || attempts < 5000 {
                attempts += 1;
                open.extend(connect_from(&backend, [127, 99, 9, 9]));
                // The descriptors of the test are limited, so it closes its oldest connections.
                if open.len() > 400 {
                    open.drain(..200);
                }
            }
            attempts
        })
    };
    let mut slowest = Duration::ZERO;
    for turn in 0..5 {
        for &address in &known {
            let start = Instant::now();
            let mut edge = connect_from(&backend, address).expect("a connection");
            assert!(
                is_served(&mut edge, 1, ids.fetch_add(1, Ordering::Relaxed).into()),
                "turn {turn}, {address:?}"
            );
            slowest = slowest.max(start.elapsed());
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    drop(stop_on_drop);
    assert!(flood.join().unwrap() >= 5000);
    println!("slowest of 40 known clients: {slowest:?}");
    assert!(slowest < MAX_ACCEPT_TIME, "{slowest:?}");
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 128, "{files} descriptors");
}

/// Guards against a client that waits, or that takes the connections of other clients, because it
/// opens more connections than the limit of its address. The backend closes connections beyond that
/// limit immediately. Other addresses are not affected.
#[test]
fn an_address_beyond_its_connection_limit_is_rejected_at_once() {
    let (_folder, file) = settings("  address {\n    open = 5\n    rate = 1000\n  }");
    let backend = start_backend_with_settings(256, Some(&file));
    let mut edges: Vec<EdgeConnection> = (0..12)
        .filter_map(|_| connect_from(&backend, [127, 98, 1, 1]))
        .collect();
    let in_time: Vec<bool> = (1..)
        .zip(&mut edges)
        .map(|(id, edge)| is_served(edge, 1, id))
        .collect();
    assert_eq!(in_time.iter().filter(|&&served| served).count(), 5);
    // The backend closes a rejected connection immediately.
    let start = Instant::now();
    let mut rejected = connect_from(&backend, [127, 98, 1, 1]).unwrap();
    assert!(rejected.wait_until_closed() && start.elapsed() < MAX_ACCEPT_TIME);
    let mut other = connect_from(&backend, [127, 98, 1, 2]).unwrap();
    assert!(
        is_served(&mut other, 1, 77),
        "another address has its own limit"
    );
    drop(edges);
    wait_until("the descriptor is free again", || {
        connect_from(&backend, [127, 98, 1, 1])
            .is_some_and(|mut edge| is_served(&mut edge, 1, 99 + u64::from(fastrand::u32(..))))
    });
}

/// Guards against requests that are lost on descriptor exhaustion: the system grants fewer
/// descriptors than the configuration has, so accepting fails with EMFILE. Requests that were read
/// are answered, also during a drain, and the backend accepts again once descriptors are free.
#[test]
fn running_out_of_descriptors_loses_no_request_that_was_read() {
    let (_folder, file) =
        settings("  when_full = \"refuse\"\n  address {\n    open = 1000\n    rate = 1000\n  }");
    let mut backend = start_backend_with_descriptor_limit(256, 60, &file);
    let mut early: Vec<EdgeConnection> = (1..=3)
        .map(|host| connect_from(&backend, [127, 97, 1, host]).unwrap())
        .collect();
    for (id, edge) in (1u32..).zip(&mut early) {
        edge.send_request(1, &format!("{id:016x}"), b"hang");
    }
    wait_until("the requests run", || backend.executor().runs.len() == 3);
    // Far more connections than descriptors: each is accepted, rejected or waits, and the process
    // does not exit.
    let many: Vec<EdgeConnection> = (0..120)
        .filter_map(|at| connect_from(&backend, [127, 96, 1, at % 4]))
        .collect();
    assert!(backend.child.try_wait().unwrap().is_none());
    drop(many);
    wait_until("the backend accepts connections again", || {
        connect_from(&backend, [127, 95, 1, 1])
            .is_some_and(|mut edge| is_served(&mut edge, 1, fastrand::u64(..)))
    });
    // As many connections again, followed by a drain.
    let many: Vec<EdgeConnection> = (0..120)
        .filter_map(|at| connect_from(&backend, [127, 96, 1, at % 4]))
        .collect();
    backend.signal("TERM");
    let notice = early[0].read_answer();
    assert!(
        notice.is_some_and(|answer| answer.kind == AnswerKind::NoMore),
        "the first message is the drain notification"
    );
    for id in 1..=3 {
        backend
            .executor()
            .end_run(&format!("{id:016x}"), "success", b"late result");
    }
    for edge in &mut early {
        let answer = std::iter::from_fn(|| edge.read_answer())
            .find(|answer| answer.kind != AnswerKind::NoMore);
        assert!(answer.is_some_and(
            |answer| answer.kind == AnswerKind::Answer && answer.contains(b"late result")
        ));
    }
    drop(many);
    drop(early);
    assert!(backend.wait_for_exit().success());
}
