//! The terms of the standing test, each forced over loopback: connections that close while bytes
//! arrive, store replies that break off, slow and hostile callers, the window of idempotency keys,
//! and the time to the first answer. docs/crossings.md lists the terms with the lines that answer
//! them.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use socket2::{Domain, SockRef, Socket, Type};

use crate::harness::backend::{
    TestBackend, config_json, spawn_backend, start_backend, start_backend_with_sockets,
    write_config,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields, request_fields_with};
use crate::harness::executor::{SharedExecutor, large_result, serve_executor, serve_executor_link};
use crate::harness::store::{StoreStub, start_store};
use crate::harness::{LONG_TIMEOUT, unique_address, wait_until};

/// Far longer than an answer takes on a busy machine, far shorter than a caller that is held up by
/// another would wait.
const PROMPT: Duration = Duration::from_secs(5);
/// The rule allows 30 s from the start of the process to the first answer.
const MAX_TIME_TO_FIRST_ANSWER: Duration = Duration::from_secs(5);

/// Starts a backend whose configuration is changed by these replacements.
fn stand_with_changes(changes: &[(&str, &str)]) -> TestBackend {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let mut configuration = config_json(&host);
    for (from, to) in changes {
        assert!(configuration.contains(from), "{from}");
        configuration = configuration.replace(from, to);
    }
    let file = write_config(&host, &configuration);
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_serving();
    backend
}

/// A connection whose receive buffer holds very little, so that answers wait in the backend's send
/// buffer.
fn slow_reader(backend: &TestBackend) -> EdgeConnection {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let address: SocketAddr = format!("{}:6565", backend.host).parse().unwrap();
    socket.connect(&address.into()).unwrap();
    let stream: TcpStream = socket.into();
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    EdgeConnection { stream }
}

/// Whether the executor was ever told to run a request.
fn was_run(backend: &TestBackend, id: &str) -> bool {
    let kernel = backend.kernel.lock().unwrap();
    kernel.runs.contains_key(id) || kernel.ends.contains_key(id)
}

/// The answers up to the end of the connection, counted by sequence; drain notifications are left
/// out.
fn answers_until_close(edge: &mut EdgeConnection) -> HashMap<u32, u32> {
    let mut counts = HashMap::new();
    while let Some(answer) = edge.read_answer() {
        if answer.kind != AnswerKind::NoMore {
            *counts.entry(answer.sequence).or_default() += 1;
        }
    }
    counts
}

fn wait_for_drain_notification(edge: &mut EdgeConnection) {
    while edge.read_answer().expect("a drain notification").kind != AnswerKind::NoMore {}
}

/// Sends requests one after the other until told to stop; yields the longest time to an answer.
fn slowest_answer_while(backend: &TestBackend, running: &AtomicBool, prefix: &str) -> Duration {
    let mut edge = backend.connect();
    let mut slowest = Duration::ZERO;
    for sequence in 1.. {
        if !running.load(Ordering::Acquire) {
            break;
        }
        let begin = Instant::now();
        edge.request(sequence, &format!("{prefix}{sequence:08x}"), b"run");
        let answer = edge.read_answer().expect("an answer");
        assert_eq!(answer.sequence, sequence);
        slowest = slowest.max(begin.elapsed());
        std::thread::sleep(Duration::from_millis(5));
    }
    slowest
}

/// Requests on resting connections at moments around the close of each: every one is answered once,
/// or its connection closes and the request was never run.
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
                let message = edge.message(2, &request_fields(&id, "20.0"), b"run");
                let _ = edge.stream.write_all(&message);
                let answers = answers_until_close(&mut edge);
                match answers.get(&2) {
                    Some(count) => assert_eq!(*count, 1, "{id} is answered once"),
                    None => assert!(!was_run(backend, &id), "{id} was run and not answered"),
                }
            });
        }
    });
}

/// Connections that rest after one answered request each.
fn resting_connections(backend: &TestBackend, count: u32, prefix: &str) -> Vec<EdgeConnection> {
    let rest = |at: u32| {
        let mut edge = backend.connect();
        edge.request(1, &format!("{prefix}{at:04x}"), b"run");
        assert_eq!(edge.read_answer().expect("an answer").sequence, 1);
        edge
    };
    (0..count).map(rest).collect()
}

#[test]
fn a_request_on_a_resting_connection_that_closes_at_shutdown_is_answered_or_never_run() {
    let mut backend = stand_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":100.0"#)]);
    let edges = resting_connections(&backend, 32, "000000000a01");
    backend.signal("TERM");
    // The close follows the notification by 60 ms.
    let (first, step) = (Duration::from_millis(40), Duration::from_millis(2));
    assert_answered_or_never_run(&backend, edges, "000000000a02", first, step);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

#[test]
fn a_request_on_a_resting_connection_that_closes_idle_is_answered_or_never_run() {
    let backend = stand_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let edges = resting_connections(&backend, 32, "000000000a03");
    // The close follows the notification by 2 s.
    let (first, step) = (Duration::from_millis(1960), Duration::from_millis(4));
    assert_answered_or_never_run(&backend, edges, "000000000a04", first, step);
}

/// Requests that backend unread in the socket when their idle connections fall due to close: the
/// backend is stopped over that moment. Whole ones are read and answered, half ones end with their
/// connection.
#[test]
fn a_request_that_stands_unread_as_its_connection_falls_due_is_answered() {
    let backend = stand_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let mut edges = resting_connections(&backend, 16, "000000000a0f");
    for edge in &mut edges {
        wait_for_drain_notification(edge);
    }
    // Long before the close, which follows the notification by 2 s.
    backend.signal("STOP");
    for (at, edge) in (0u32..).zip(&mut edges) {
        let message = edge.message(
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
            u32::from(was_run(&backend, &format!("000000000a10{at:04x}"))),
            expected,
            "connection {at}"
        );
    }
}

/// Half a request in the instant of the shutdown notice: with its second half it is answered,
/// without it the connection ends and costs nobody an answer.
#[test]
fn half_a_request_in_the_instant_of_shutdown_costs_no_answer() {
    let mut backend = stand_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":300.0"#)]);
    let mut edges = resting_connections(&backend, 16, "000000000a05");
    let messages: Vec<Vec<u8>> = (0u32..)
        .zip(&edges)
        .map(|(at, edge)| {
            edge.message(
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

/// Half a request in the instant of an idle close: the request is read as a whole once its rest has
/// come.
#[test]
fn half_a_request_in_the_instant_of_an_idle_close_costs_no_answer() {
    let backend = stand_with_changes(&[(r#""idle":9000.0"#, r#""idle":100.0"#)]);
    let edges = resting_connections(&backend, 16, "000000000a07");
    std::thread::scope(|scope| {
        for (at, mut edge) in (0u32..).zip(edges) {
            let backend = &backend;
            scope.spawn(move || {
                let id = format!("000000000a08{at:04x}");
                wait_for_drain_notification(&mut edge);
                // Some at the notification, the others around the close 2 s behind it.
                let pause = if at < 8 {
                    0
                } else {
                    1960 + u64::from(at - 8) * 10
                };
                std::thread::sleep(Duration::from_millis(pause));
                let message = edge.message(2, &request_fields(&id, "20.0"), b"run");
                let half = message.len() / 2;
                let _ = edge.stream.write_all(&message[..half]);
                std::thread::sleep(Duration::from_millis(20));
                let _ = edge.stream.write_all(&message[half..]);
                let answers = answers_until_close(&mut edge);
                match answers.get(&2) {
                    Some(count) => assert_eq!(*count, 1, "{id} is answered once"),
                    None => {
                        assert!(at >= 8, "{id} came long before the close");
                        assert!(!was_run(backend, &id), "{id} was run and not answered");
                    }
                }
            });
        }
    });
}

/// The answers to a slow reader wait in the send buffer as the backend closes the connection, and a
/// request crosses the close: its bytes arrive behind the close, so the system reset the connection
/// and dropped all answers.
#[test]
fn a_request_that_crosses_the_close_does_not_reset_answers_on_their_way() {
    const REQUESTS: u32 = 16;
    let mut backend = stand_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":100.0"#)]);
    let mut edge = slow_reader(&backend);
    for sequence in 1..=REQUESTS {
        edge.request(sequence, &format!("000000000a09{sequence:04x}"), b"large");
    }
    wait_until("all are answered", || {
        let mut probe = backend.connect();
        probe.call(1, "probe", b"\0");
        probe.read_answer();
        backend.kernel.lock().unwrap().ends.len() as u32 == REQUESTS
    });
    backend.signal("TERM");
    // Behind the grace and the 60 ms that a connection then has.
    std::thread::sleep(Duration::from_millis(500));
    let late = edge.message(99, &request_fields("000000000a0a0001", "20.0"), b"run");
    let _ = edge.stream.write_all(&late);
    std::thread::sleep(Duration::from_millis(50));
    let answers = answers_until_close(&mut edge);
    let answered = (1..=REQUESTS)
        .filter(|sequence| answers.get(sequence) == Some(&1))
        .count();
    assert_eq!(answered as u32, REQUESTS, "answers lost: {answers:?}");
    assert!(
        !was_run(&backend, "000000000a0a0001"),
        "run behind the close"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
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
                let mut backend =
                    stand_with_changes(&[(r#""drain_grace":1000.0"#, r#""drain_grace":50.0"#)]);
                for _ in 0..STARTS_PER_THREAD {
                    lost.lock()
                        .unwrap()
                        .extend(resets_at_shutdown(&mut backend, CALLERS));
                    backend.child = spawn_backend(&backend.file);
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
        let _ = edge.stream.write_all(&edge.health_check(1));
        if let Err(error) = edge.stream.read(&mut [0]) {
            resets.push(format!("read: {error}"));
        }
    }
}

/// A call's reply and the reset behind it backend in the buffer before the backend reads either:
/// the reply counts.
#[test]
fn a_store_reply_that_stands_before_a_reset_is_used() {
    let (backend, calls) = stand_with_own_store();
    let mut edge = backend.connect();
    for turn in 0..8u32 {
        let id = format!("000000000a0b{turn:04x}");
        edge.request(turn + 1, &id, b"call");
        let call = calls.recv_timeout(LONG_TIMEOUT).unwrap();
        assert_eq!(call.id, id);
        backend.signal("STOP");
        (&call.stream)
            .write_all(format!("{id} OK 3\r\nown\r\n").as_bytes())
            .unwrap();
        if turn % 2 == 0 {
            SockRef::from(&call.stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(call);
        backend.signal("CONT");
        assert!(
            edge.expect_answer(turn + 1, AnswerKind::Answer)
                .contains(b"richer"),
            "turn {turn}"
        );
    }
    assert!(
        backend
            .kernel
            .lock()
            .unwrap()
            .replies
            .iter()
            .all(|reply| reply == b"own")
    );
}

/// A result and the end of the executor's link backend in the buffer, by turns with the shutdown
/// notice beside them.
#[test]
fn a_result_that_stands_before_the_end_of_the_link_is_answered_once() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    for turn in 0..6u32 {
        let id = format!("000000000a0c{turn:04x}");
        edge.request(turn + 1, &id, b"hang");
        wait_until("it runs", || {
            backend.kernel.lock().unwrap().runs.contains_key(&id)
        });
        backend.signal("STOP");
        {
            let mut kernel = backend.kernel.lock().unwrap();
            kernel.end(&id, "success", b"its own");
            kernel
                .link
                .take()
                .unwrap()
                .shutdown(Shutdown::Both)
                .unwrap();
        }
        if turn == 5 {
            backend.signal("TERM");
        }
        backend.signal("CONT");
        let answer = std::iter::from_fn(|| edge.read_answer())
            .find(|answer| answer.kind != AnswerKind::NoMore)
            .unwrap();
        assert_eq!(
            (answer.sequence, &answer.kind),
            (turn + 1, &AnswerKind::Answer)
        );
        assert!(answer.contains(b"its own"));
    }
    assert_eq!(answers_until_close(&mut edge), HashMap::new(), "once each");
    assert!(
        backend
            .kernel
            .lock()
            .unwrap()
            .ends
            .values()
            .all(|&ends| ends == 1),
        "run again"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// A call as the test's own store has read it.
struct Call {
    id: String,
    stream: TcpStream,
}

/// A backend whose store hands each call to the test.
fn stand_with_own_store() -> (TestBackend, std::sync::mpsc::Receiver<Call>) {
    let host = unique_address();
    let listener = TcpListener::bind((&host[..], 7700)).unwrap();
    let (sender, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = [0; 512];
            // A call is written at once, so it is read at once.
            let Ok(length) = stream.read(&mut bytes) else {
                continue;
            };
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let Some(id) = text.split(' ').nth(1) else {
                continue;
            };
            if sender
                .send(Call {
                    id: id.to_owned(),
                    stream,
                })
                .is_err()
            {
                return;
            }
        }
    });
    let kernel = serve_executor(SharedExecutor::default(), &host);
    let file = write_config(&host, &config_json(&host));
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store: StoreStub::default(),
        child,
        file,
    };
    backend.wait_until_serving();
    (backend, calls)
}

/// A store reply breaks off behind each of its bytes, by turns with a plain end and a reset: its
/// request is answered once, and no run is handed anything but a whole reply.
#[test]
fn a_store_reply_that_breaks_off_anywhere_is_no_reply() {
    const BODY: &str = "a reply";
    let (backend, calls) = stand_with_own_store();
    let whole_length = format!("{:016x} OK {}\r\n{BODY}\r\n", 0, BODY.len()).len();
    let done = Arc::new(AtomicBool::new(false));
    let finished = done.clone();
    let store = std::thread::spawn(move || {
        let mut cut = 0;
        for (number, call) in calls.iter().enumerate() {
            let reply = format!("{} OK {}\r\n{BODY}\r\n", call.id, BODY.len());
            assert_eq!(reply.len(), whole_length);
            // Whole replies in between keep calls going.
            let whole = number % 2 == 0;
            let length = if whole { whole_length } else { cut };
            let _ = (&call.stream).write_all(&reply.as_bytes()[..length]);
            if !whole {
                if cut % 2 == 1 {
                    let _ = SockRef::from(&call.stream).set_linger(Some(Duration::ZERO));
                }
                cut += 1;
                finished.store(cut == whole_length, Ordering::Release);
            }
            if cut == whole_length {
                return;
            }
        }
    });
    let mut edge = backend.connect();
    for sequence in 1.. {
        if done.load(Ordering::Acquire) {
            break;
        }
        assert!(sequence < 2000, "the store is called");
        edge.request(sequence, &format!("000000000a0d{sequence:04x}"), b"call");
        let answer = edge.expect_answer(sequence, AnswerKind::Answer);
        assert!(answer.contains(b"richer") || answer.contains(b"poorer"));
    }
    store.join().unwrap();
    let kernel = backend.kernel.lock().unwrap();
    assert!(!kernel.replies.is_empty());
    assert!(
        kernel.replies.iter().all(|reply| reply == BODY.as_bytes()),
        "part of a reply"
    );
    assert!(kernel.ends.values().all(|&ends| ends == 1));
}

/// Every TCP connection of the backend that it writes to has TCP_NODELAY: callers', the executor's
/// and the store's.
#[test]
fn every_connection_has_nodelay() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "000000000a0e0001", b"call");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"richer")
    );
    let mut ports = Vec::new();
    for socket in sockets_of(backend.child.id()) {
        let (Ok(local), Ok(peer)) = (socket.local_addr(), socket.peer_addr()) else {
            continue;
        };
        let (Some(local), Some(peer)) = (local.as_socket(), peer.as_socket()) else {
            continue;
        };
        if socket.r#type().unwrap() == Type::STREAM {
            let port = if local.port() == 6565 {
                6565
            } else {
                peer.port()
            };
            assert!(socket.tcp_nodelay().unwrap(), "{local} to {peer}");
            ports.push(port);
        }
    }
    for port in [6565, 7300, 7700] {
        assert!(
            ports.contains(&port),
            "no connection of port {port}: {ports:?}"
        );
    }
}

/// Copies of the sockets of a child process.
fn sockets_of(process: u32) -> Vec<Socket> {
    let process_fd = unsafe { libc::syscall(libc::SYS_pidfd_open, process, 0) };
    assert!(
        process_fd >= 0,
        "pidfd_open: {}",
        std::io::Error::last_os_error()
    );
    let process_fd = unsafe { OwnedFd::from_raw_fd(process_fd as i32) };
    let mut sockets = Vec::new();
    for entry in std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .flatten()
    {
        let is_socket = std::fs::read_link(entry.path())
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
        if !is_socket {
            continue;
        }
        let number: i32 = entry.file_name().to_str().unwrap().parse().unwrap();
        let copy =
            unsafe { libc::syscall(libc::SYS_pidfd_getfd, process_fd.as_raw_fd(), number, 0) };
        assert!(
            copy >= 0,
            "pidfd_getfd: {}",
            std::io::Error::last_os_error()
        );
        sockets.push(unsafe { Socket::from_raw_fd(copy as i32) });
    }
    sockets
}

/// A hundred connections that send one byte every 100 ms are ended, and hold up nobody else.
#[test]
fn a_hundred_slow_senders_hold_up_nobody_else() {
    let backend = start_backend();
    let mut senders: Vec<EdgeConnection> = (0..100).map(|_| backend.connect()).collect();
    let messages: Vec<Vec<u8>> = (0u32..)
        .zip(&senders)
        .map(|(at, edge)| {
            edge.message(
                1,
                &request_fields(&format!("000000000b01{at:04x}"), "20.0"),
                b"run",
            )
        })
        .collect();
    let running = AtomicBool::new(true);
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b020000"));
        for byte in 0..25 {
            for (edge, message) in senders.iter_mut().zip(&messages) {
                // Behind 2 s without a whole message the backend has ended it.
                let _ = edge.stream.write_all(&message[byte..byte + 1]);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!("slowest answer beside 100 slow senders: {slowest:?}");
        assert!(slowest < PROMPT, "{slowest:?}");
    });
    for edge in &mut senders {
        assert!(edge.is_closed());
    }
    assert!((0u32..100).all(|at| !was_run(&backend, &format!("000000000b01{at:04x}"))));
}

/// A hundred connections that read nothing for a while, and then slowly, get each of their answers
/// once and whole, and hold up nobody else.
#[test]
fn a_hundred_slow_readers_get_their_answers_and_hold_up_nobody_else() {
    const REQUESTS: u32 = 12;
    let backend = start_backend();
    let mut readers: Vec<EdgeConnection> = (0..100).map(|_| slow_reader(&backend)).collect();
    let running = AtomicBool::new(true);
    let mut served = 0;
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b040000"));
        for sequence in 1..=REQUESTS {
            for (at, edge) in readers.iter_mut().enumerate() {
                edge.request(sequence, &format!("000b03{at:02x}{sequence:08x}"), b"large");
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        for _ in 0..REQUESTS {
            for (at, edge) in readers.iter_mut().enumerate() {
                let answer = edge.read_answer().expect("an answer for each");
                if answer.kind == AnswerKind::Answer {
                    let id = format!("000b03{at:02x}{:08x}", answer.sequence);
                    assert!(answer.contains(&large_result(&id)), "whole");
                    served += 1;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!(
            "slowest answer beside 100 slow readers: {slowest:?}; {served} of theirs were served"
        );
        assert!(slowest < PROMPT, "{slowest:?}");
    });
    assert!(served > 0);
    for edge in &mut readers {
        edge.stream.set_nonblocking(true).unwrap();
        let more = edge.stream.read(&mut [0; 64]);
        assert!(
            more.is_err_and(|error| error.kind() == ErrorKind::WouldBlock),
            "once each"
        );
    }
}

/// A flood of connections beyond the limit: whoever is connected is served meanwhile, a newcomer
/// afterwards.
#[test]
fn a_flood_of_connections_holds_up_nobody_who_is_connected() {
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
        println!("slowest answer beside a flood of {connected} connections: {slowest:?}");
        assert!(files <= 64, "{files} descriptors");
        assert!(slowest < PROMPT, "{slowest:?}");
    });
    let begin = Instant::now();
    let mut newcomer = backend.connect();
    newcomer.request(1, "000000000b060001", b"run");
    assert_eq!(newcomer.read_answer().expect("an answer").sequence, 1);
    assert!(begin.elapsed() < PROMPT, "{:?}", begin.elapsed());
}

/// A flood of requests on one connection, far more at a time than it may have open: each is
/// answered once, and others are served meanwhile.
#[test]
fn a_flood_of_requests_on_one_connection_holds_up_nobody_else() {
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
                writer.request(sequence, &format!("000000000b07{sequence:04x}"), b"run");
            }
        });
        for _ in 0..REQUESTS {
            let answer = edge.read_answer().expect("an answer for each");
            *counts.entry(answer.sequence).or_default() += 1;
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!("slowest answer beside a flood of {REQUESTS} requests: {slowest:?}");
        assert!(slowest < PROMPT, "{slowest:?}");
    });
    assert!(
        (1..=REQUESTS).all(|sequence| counts.get(&sequence) == Some(&1)),
        "once each"
    );
}

/// Duplicates of a keyed request inside, at the edge of and past a window of 1.5 s, which counts by
/// arrival at the machine.
#[test]
fn a_keyed_duplicate_is_known_by_its_arrival_inside_the_window() {
    const WINDOW_MS: u64 = 1500;
    // The window is kept in steps, so it ends a little later than it must.
    const STEP_MS: u64 = 250;
    let backend = stand_with_changes(&[(
        r#""effect":"pure""#,
        &format!(r#""effect":"token","memory_span":{WINDOW_MS}.0"#),
    )]);
    let keyed = |id: &str, key: &str, stamp: u64| {
        let mut fields = request_fields_with(id, "ts", &stamp.to_string());
        fields.push(("opkey", key.to_owned()));
        fields
    };
    // The offset of the duplicate's arrival from the end of the window, and whether it must, may or
    // must not be known.
    let cases: [(i64, Option<bool>); 6] = [
        (-1000, Some(true)),
        (-50, Some(true)),
        (-1, Some(true)),
        (0, None),
        (STEP_MS as i64 + 50, Some(false)),
        (500, Some(false)),
    ];
    std::thread::scope(|scope| {
        for (case, (offset, known)) in cases.into_iter().enumerate() {
            let (backend, keyed) = (&backend, &keyed);
            scope.spawn(move || {
                let key = format!("window-{case}");
                let (first_id, second_id) = (
                    format!("000000000c01{case:04x}"),
                    format!("000000000c02{case:04x}"),
                );
                let mut edge = backend.connect();
                let first_stamp = unix_milliseconds();
                edge.process(1, &keyed(&first_id, &key, first_stamp), b"run");
                assert!(
                    edge.expect_answer(1, AnswerKind::Answer)
                        .contains(first_id.as_bytes())
                );
                let second_stamp = (first_stamp + WINDOW_MS).saturating_add_signed(offset);
                while unix_milliseconds() < second_stamp {
                    std::thread::sleep(Duration::from_millis(1));
                }
                edge.process(2, &keyed(&second_id, &key, second_stamp), b"run");
                let answer = edge.expect_answer(2, AnswerKind::Answer);
                let was_known = answer.contains(first_id.as_bytes());
                assert!(
                    was_known || answer.contains(second_id.as_bytes()),
                    "a result of its own or of the first"
                );
                assert_eq!(was_run(backend, &second_id), !was_known, "offset {offset}");
                if let Some(known) = known {
                    assert_eq!(was_known, known, "offset {offset}");
                }
            });
        }
    });
}

fn unix_milliseconds() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    now.as_millis() as u64
}

/// How a peer stands as the backend starts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Absent,
    /// It accepts, and says nothing for a second or for ever.
    Slow,
    Present,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Peer {
    Executor,
    Store,
    Registry,
}

/// From the start of the process to the first answer of any kind, and to the first request that was
/// served.
struct StartupTimes {
    first_answer: Duration,
    first_served: Option<Duration>,
}

#[test]
fn the_first_answer_comes_in_time_with_each_peer_absent_slow_and_present() {
    const STARTS: usize = 5;
    for peer in [Peer::Executor, Peer::Store, Peer::Registry] {
        for presence in [Presence::Absent, Presence::Slow, Presence::Present] {
            let times = startup_times(peer, presence, STARTS);
            let (median, worst) =
                median_and_worst(times.iter().map(|times| times.first_answer).collect());
            print!("{peer:?} {presence:?}: first answer p50 {median:?}, worst {worst:?}");
            assert!(
                worst < MAX_TIME_TO_FIRST_ANSWER,
                "{peer:?} {presence:?}: {worst:?}"
            );
            let served: Vec<Duration> = times
                .iter()
                .filter_map(|times| times.first_served)
                .collect();
            if served.is_empty() {
                println!();
                assert_eq!((peer, presence), (Peer::Executor, Presence::Absent));
            } else {
                let (median, worst) = median_and_worst(served);
                println!("; first served p50 {median:?}, worst {worst:?}");
                assert!(
                    worst < MAX_TIME_TO_FIRST_ANSWER,
                    "{peer:?} {presence:?}: {worst:?}"
                );
            }
        }
    }
}

fn median_and_worst(mut times: Vec<Duration>) -> (Duration, Duration) {
    times.sort_unstable();
    (times[times.len() / 2], times[times.len() - 1])
}

/// Starts a backend so many times beside the same peers.
fn startup_times(peer: Peer, presence: Presence, starts: usize) -> Vec<StartupTimes> {
    let host = unique_address();
    let presence_of = |other: Peer| {
        if other == peer {
            presence
        } else {
            Presence::Present
        }
    };
    let kernel = SharedExecutor::default();
    match presence_of(Peer::Executor) {
        Presence::Absent => {}
        Presence::Slow => listen_late(kernel.clone(), &host),
        Presence::Present => _ = serve_executor(kernel.clone(), &host),
    }
    let mut silent_store = None;
    let store = match presence_of(Peer::Store) {
        Presence::Absent => StoreStub::default(),
        Presence::Slow => {
            // Connections backend in its backlog.
            silent_store = Some(TcpListener::bind((&host[..], 7700)).unwrap());
            StoreStub::default()
        }
        Presence::Present => start_store(&host),
    };
    let registry = match presence_of(Peer::Registry) {
        Presence::Absent => None,
        Presence::Slow | Presence::Present => Some(UdpSocket::bind((&host[..], 7946)).unwrap()),
    };
    let file = write_config(&host, &config_json(&host));
    let mut begin = Instant::now();
    let child = spawn_backend(&file);
    let mut backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    let may_serve = presence_of(Peer::Executor) != Presence::Absent;
    let mut times = Vec::new();
    loop {
        times.push(first_answers(&backend, begin, may_serve));
        if times.len() == starts {
            break;
        }
        backend.child.kill().unwrap();
        backend.child.wait().unwrap();
        begin = Instant::now();
        backend.child = spawn_backend(&backend.file);
    }
    if peer == Peer::Registry && presence == Presence::Present {
        let registry = registry.as_ref().unwrap();
        registry
            .set_read_timeout(Some(MAX_TIME_TO_FIRST_ANSWER))
            .unwrap();
        registry.recv(&mut [0; 64]).expect("a report");
    }
    drop((silent_store, registry));
    times
}

/// Asks on new connections until a request is answered, and served where that may be.
fn first_answers(backend: &TestBackend, begin: Instant, may_serve: bool) -> StartupTimes {
    let mut first_answer = None;
    loop {
        assert!(begin.elapsed() < LONG_TIMEOUT, "no answer");
        if let Some(kind) = answer_on_new_connection(backend, begin) {
            let now = begin.elapsed();
            let first_answer = *first_answer.get_or_insert(now);
            if kind == AnswerKind::Answer {
                return StartupTimes {
                    first_answer,
                    first_served: Some(now),
                };
            }
            if !may_serve {
                return StartupTimes {
                    first_answer,
                    first_served: None,
                };
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn answer_on_new_connection(backend: &TestBackend, begin: Instant) -> Option<AnswerKind> {
    let stream = TcpStream::connect((&backend.host[..], 6565)).ok()?;
    stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut edge = EdgeConnection { stream };
    let id = format!("{:016x}", begin.elapsed().as_nanos());
    edge.request(1, &id, b"run");
    edge.read_answer().map(|answer| answer.kind)
}

/// An executor that accepts a link at once and answers it a second later.
fn listen_late(kernel: SharedExecutor, host: &str) {
    let listener = TcpListener::bind((host, 7300)).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let kernel = kernel.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(1));
                serve_executor_link(&kernel, stream);
            });
        }
    });
}
