//! The program with bounds on connections: floods, known clients, descriptors that run out. Source
//! addresses from 127.0.0.0/8 play the clients.

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

/// Ends the flood when it is dropped, also where the test fails before.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(false, Ordering::Release);
    }
}

/// Far longer than an accepted connection takes, far shorter than one that waits for a descriptor.
const PROMPT: Duration = Duration::from_secs(5);

fn settings(text: &str) -> (tempfile::TempDir, std::path::PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("tulipgap.hcl");
    std::fs::write(&file, format!("admission {{\n{text}\n}}\n")).unwrap();
    (folder, file)
}

/// A connection from that address; `None` where it cannot be established.
fn connect_from(backend: &TestBackend, address: [u8; 4]) -> Option<EdgeConnection> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from((Ipv4Addr::from(address), 0)).into())
        .ok()?;
    let host: Ipv4Addr = backend.host.parse().unwrap();
    socket
        .connect_timeout(&SocketAddr::from((host, EDGE_PORT)).into(), PROMPT)
        .ok()?;
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    Some(EdgeConnection { stream })
}

/// Sends a request, and returns whether it was answered before the connection ended.
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

/// Makes an address a known client by requests that are completed over some seconds.
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

/// One address opens connections without end. Clients with a record of completed requests are still
/// accepted and served promptly, because a fraction of the connections is kept for known clients.
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
    let ends = StopOnDrop(flooding.clone());
    let flood = {
        let (backend, flooding) = (backend.clone(), flooding.clone());
        std::thread::spawn(move || {
            let (mut held, mut tried) = (Vec::new(), 0u32);
            while flooding.load(Ordering::Acquire) || tried < 5000 {
                tried += 1;
                held.extend(connect_from(&backend, [127, 99, 9, 9]));
                // The test's own descriptors are limited, too: the oldest connections are closed.
                if held.len() > 400 {
                    held.drain(..200);
                }
            }
            tried
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
    drop(ends);
    assert!(flood.join().unwrap() >= 5000);
    println!("slowest of 40 known ones: {slowest:?}");
    assert!(slowest < PROMPT, "{slowest:?}");
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 128, "{files} descriptors");
}

/// An address may have so many connections open. Connections beyond that are closed at once, so
/// that the client learns of it without waiting, and other addresses are not concerned.
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
    // A rejected client learns of it at once instead of waiting.
    let start = Instant::now();
    let mut refused = connect_from(&backend, [127, 98, 1, 1]).unwrap();
    assert!(refused.wait_until_closed() && start.elapsed() < PROMPT);
    let mut other = connect_from(&backend, [127, 98, 1, 2]).unwrap();
    assert!(is_served(&mut other, 1, 77), "another address has its own");
    drop(edges);
    wait_until("the descriptor is free again", || {
        connect_from(&backend, [127, 98, 1, 1])
            .is_some_and(|mut edge| is_served(&mut edge, 1, 99 + u64::from(fastrand::u32(..))))
    });
}

/// The system grants fewer descriptors than the configuration promises, so accepting fails with
/// EMFILE. Requests that were read are answered, also during a drain, and accepting goes on once
/// descriptors are free.
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
    // Far more connections than descriptors: each is accepted, rejected or waits, and the server
    // goes on.
    let many: Vec<EdgeConnection> = (0..120)
        .filter_map(|at| connect_from(&backend, [127, 96, 1, at % 4]))
        .collect();
    assert!(backend.child.try_wait().unwrap().is_none());
    drop(many);
    wait_until("the backend accepts connections again", || {
        connect_from(&backend, [127, 95, 1, 1])
            .is_some_and(|mut edge| is_served(&mut edge, 1, fastrand::u64(..)))
    });
    // The same again, followed by a drain.
    let many: Vec<EdgeConnection> = (0..120)
        .filter_map(|at| connect_from(&backend, [127, 96, 1, at % 4]))
        .collect();
    backend.signal("TERM");
    let notice = early[0].read_answer();
    assert!(
        notice.is_some_and(|answer| answer.kind == AnswerKind::NoMore),
        "it leaves"
    );
    for id in 1..=3 {
        backend
            .executor()
            .end_run(&format!("{id:016x}"), "success", b"late, and whole");
    }
    for edge in &mut early {
        let answer = std::iter::from_fn(|| edge.read_answer())
            .find(|answer| answer.kind != AnswerKind::NoMore);
        assert!(answer.is_some_and(
            |answer| answer.kind == AnswerKind::Answer && answer.contains(b"late, and whole")
        ));
    }
    drop(many);
    drop(early);
    assert!(backend.wait_for_exit().success());
}
