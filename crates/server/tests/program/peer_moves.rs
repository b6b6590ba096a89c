//! Executor, store and service registry that move to another address while the program runs.

use std::io::Write;
use std::sync::atomic::Ordering;

use socket2::{Domain, Socket, Type};

use crate::harness::backend::{
    TestBackend, config_json, start_backend, start_backend_with_sockets,
};
use crate::harness::edge_node::AnswerKind;
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{LONG_TIMEOUT, unique_address, wait_until};

impl TestBackend {
    /// It moves its peers, as `told` says with these ports elsewhere.
    fn move_peers(&self, there: &str, ports: &[u16]) {
        let mut text = config_json(&self.host);
        for port in ports {
            text = text.replace(&format!("{}:{port}", self.host), &format!("{there}:{port}"));
        }
        std::fs::write(&self.config_file, text).unwrap();
        self.signal("HUP");
    }

    /// The same, and the announce service with them: its first report there shows that the others
    /// were told before.
    fn move_peers_and_wait(&self, there: &str, ports: &[u16]) {
        let announce = std::net::UdpSocket::bind((there, 7946)).unwrap();
        announce.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        self.move_peers(there, &[ports, &[7946]].concat());
        announce.recv(&mut [0; 64]).unwrap();
    }
}

/// A place where a connect hangs: something listens there, and its backlog is full.
struct FullBacklog {
    _listener: Socket,
    _waiting: Vec<Socket>,
}

fn fill_backlog(host: &str, port: u16) -> FullBacklog {
    let address: std::net::SocketAddr = format!("{host}:{port}").parse().unwrap();
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    listener.bind(&address.into()).unwrap();
    listener.listen(0).unwrap();
    let mut waiting = Vec::new();
    // Until one hangs itself.
    loop {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let connected =
            socket.connect_timeout(&address.into(), std::time::Duration::from_millis(300));
        waiting.push(socket);
        if connected.is_err() {
            return FullBacklog {
                _listener: listener,
                _waiting: waiting,
            };
        }
        assert!(waiting.len() < 20, "a connect hangs");
    }
}

#[test]
fn peers_move_on_sighup() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000000aa1", b"hang");
    edge.send_request(2, "0000000000000aa2", b"hang");
    wait_until("both run", || backend.executor().runs.len() == 2);
    // A file half written changes nothing.
    std::fs::write(&backend.config_file, "{\"name\":").unwrap();
    backend.signal("HUP");
    edge.send_request(3, "0000000000000aa3", b"run");
    edge.expect_answer(3, AnswerKind::Answer);
    let there = unique_address();
    serve_executor(backend.executor.clone(), &there);
    let store = start_store(&there);
    let announce = std::net::UdpSocket::bind((&there[..], 7946)).unwrap();
    announce.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut text = config_json(&backend.host);
    for port in [7300, 7700, 7946] {
        text = text.replace(
            &format!("{}:{port}", backend.host),
            &format!("{there}:{port}"),
        );
    }
    std::fs::write(&backend.config_file, text).unwrap();
    for _ in 0..3 {
        backend.signal("HUP");
    }
    // Runs continue, calls are made there, and there it is reported.
    wait_until("the link moves", || backend.executor().link_count == 2);
    backend
        .executor()
        .end_run("0000000000000aa1", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
    edge.send_request(4, "0000000000000aa4", b"call");
    assert!(
        edge.expect_answer(4, AnswerKind::Answer)
            .contains(b"richer")
    );
    assert_eq!(
        (
            backend.store.calls.load(Ordering::Acquire),
            store.calls.load(Ordering::Acquire)
        ),
        (0, 1)
    );
    let mut report = [0; 64];
    let length = announce.recv(&mut report).unwrap();
    assert_eq!(&report[..length], b"announce n3 true");
    // While it leaves, too.
    backend.signal("TERM");
    backend.signal("HUP");
    backend
        .executor()
        .end_run("0000000000000aa2", "success", b"in the end");
    while !edge
        .read_answer()
        .expect("an answer")
        .contains(b"in the end")
    {}
    assert!(
        backend.executor().ends.values().all(|&ends| ends == 1),
        "run again"
    );
}

/// The executor moves, to where a connect hangs, and on from there while it does: connects had no
/// limit of their own, so nothing ran for two minutes.
#[test]
fn an_executor_that_moves_while_a_connect_hangs_is_found() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000fe0001", b"hang");
    wait_until("it runs", || !backend.executor().runs.is_empty());
    let (nowhere, there) = (unique_address(), unique_address());
    let _full_backlog = fill_backlog(&nowhere, 7300);
    backend.move_peers(&nowhere, &[7300]);
    // It has left where it was, so the connect hangs by now or is about to.
    wait_until("it leaves", || {
        let executor = backend.executor();
        let mut one = [0];
        let link = executor.link.as_ref().unwrap().try_clone().unwrap();
        link.set_nonblocking(true).unwrap();
        let left = matches!(link.peek(&mut one), Ok(0));
        link.set_nonblocking(false).unwrap();
        left
    });
    serve_executor(backend.executor.clone(), &there);
    backend.move_peers(&there, &[7300]);
    wait_until("the link moves on", || backend.executor().link_count == 2);
    backend
        .executor()
        .end_run("0000000000fe0001", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
}

/// The executor moves and moves back before the farewell to its link is answered: the link stayed,
/// and nothing was said on it any more.
#[test]
fn an_executor_that_moves_back_during_the_farewell_is_connected_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000ff0001", b"hang");
    wait_until("it runs", || !backend.executor().runs.is_empty());
    let elsewhere = unique_address();
    {
        // The executor answers nothing while this is held.
        let _held = backend.executor();
        backend.move_peers(&elsewhere, &[7300]);
        std::thread::sleep(std::time::Duration::from_millis(30));
        backend.move_peers(&elsewhere, &[]);
        std::thread::sleep(std::time::Duration::from_millis(30));
    }
    edge.send_request(2, "0000000000ff0002", b"run");
    edge.expect_answer(2, AnswerKind::Answer);
    backend
        .executor()
        .end_run("0000000000ff0001", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
    assert!(
        backend.executor().ends.values().all(|&ends| ends == 1),
        "run again"
    );
}

/// Likewise the store: connects that hung where it was kept all places for two minutes, so no call
/// was made where it is.
#[test]
fn a_store_that_moves_while_connects_hang_is_called() {
    let backend = start_backend_with_sockets(32);
    let mut edge = backend.connect();
    let (nowhere, there) = (unique_address(), unique_address());
    let _full_backlog = fill_backlog(&nowhere, 7700);
    backend.move_peers_and_wait(&nowhere, &[7700]);
    // More than may be open at once; each is given up in time.
    for sequence in 1..9 {
        edge.send_request(sequence, &format!("0000000000fd{sequence:04x}"), b"call");
    }
    for _ in 1..9 {
        assert!(!edge.read_answer().expect("an answer").contains(b"richer"));
    }
    assert_eq!(backend.store.calls.load(Ordering::Acquire), 0);
    let store = start_store(&there);
    backend.move_peers_and_wait(&there, &[7700]);
    wait_until("calls are made there", || {
        let mut edge = backend.connect();
        edge.send_request(
            1,
            &format!("0000000000fd{:04x}", unused_id(&backend)),
            b"call",
        );
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"richer")
    });
    assert!(store.calls.load(Ordering::Acquire) > 0);
}

/// A number that no request of this backend has had.
fn unused_id(backend: &TestBackend) -> u32 {
    0x1000 + backend.executor().ends.len() as u32
}

/// A reply comes over a connection to where the store was, with another call waiting for a place:
/// that one was given to the old connection.
#[test]
fn a_connection_to_the_stores_old_address_gets_no_further_call() {
    let backend = start_backend_with_sockets(32);
    backend
        .store
        .plan_replies(&["", "", "", "", "", "", "", ""]);
    let mut edge = backend.connect();
    for sequence in 1..5 {
        edge.send_request(sequence, &format!("0000000000fc{sequence:04x}"), b"call");
    }
    let most = 32 / 8;
    wait_until("all places are taken", || {
        backend.store.unanswered_calls.lock().unwrap().len() == most
    });
    edge.send_request(5, "0000000000fc0005", b"call");
    wait_until("it stands at its call", || {
        backend.executor().runs.contains_key("0000000000fc0005")
    });
    let there = unique_address();
    let store = start_store(&there);
    backend.move_peers_and_wait(&there, &[7700]);
    let open = std::mem::take(&mut *backend.store.unanswered_calls.lock().unwrap());
    for (id, mut stream) in open {
        let _ = stream.write_all(format!("{id} OK 4\r\ngood\r\n").as_bytes());
    }
    let mut richer = 0;
    for _ in 1..6 {
        richer += u32::from(edge.read_answer().expect("an answer").contains(b"richer"));
    }
    assert!(richer >= 4, "{richer}");
    assert_eq!(
        backend.store.calls.load(Ordering::Acquire),
        4,
        "a call more where it was"
    );
    drop(store);
}

/// The store is taken away with a call waiting for a place: the call was dropped, and its request
/// stood until it was due.
#[test]
fn a_call_that_waits_as_the_store_goes_is_skipped_at_once() {
    let backend = start_backend_with_sockets(32);
    backend.store.plan_replies(&["", "", "", ""]);
    let mut edge = backend.connect();
    for sequence in 1..5 {
        edge.send_request(sequence, &format!("0000000000ee{sequence:04x}"), b"call");
    }
    wait_until("all places are taken", || {
        backend.store.unanswered_calls.lock().unwrap().len() == 32 / 8
    });
    edge.send_request(5, "0000000000ee0005", b"call");
    wait_until("it stands at its call", || {
        backend.executor().runs.contains_key("0000000000ee0005")
    });
    // Its wish to call is heard before the end of what runs behind it.
    edge.send_request(6, "0000000000ee0006", b"run");
    edge.expect_answer(6, AnswerKind::Answer);
    let text = config_json(&backend.host).replace("1024", "32");
    let store = format!(r#""store":"{}:7700","#, backend.host);
    assert!(text.contains(&store));
    std::fs::write(&backend.config_file, text.replace(&store, "")).unwrap();
    backend.signal("HUP");
    // The four others still wait for their replies then.
    assert!(
        edge.expect_answer(5, AnswerKind::Answer)
            .contains(b"poorer")
    );
    assert_eq!(backend.store.closed_connections.load(Ordering::Acquire), 0);
    for (id, mut stream) in std::mem::take(&mut *backend.store.unanswered_calls.lock().unwrap()) {
        let _ = stream.write_all(format!("{id} OK 4\r\ngood\r\n").as_bytes());
    }
    for _ in 1..5 {
        assert!(edge.read_answer().expect("an answer").contains(b"richer"));
    }
}

/// A file of another backend, as when two are mixed up: its executor was taken for this one's.
#[test]
fn a_configuration_of_another_backend_moves_no_peer() {
    let backend = start_backend();
    let there = unique_address();
    let others = serve_executor(SharedExecutor::default(), &there);
    let other = config_json(&there).replace("\"n3\"", "\"n4\"");
    std::fs::write(&backend.config_file, other).unwrap();
    backend.signal("HUP");
    // A file that is gone, then one that is ours again with a setting changed: taken in that order.
    std::fs::remove_file(&backend.config_file).unwrap();
    backend.signal("HUP");
    std::fs::write(
        &backend.config_file,
        config_json(&there).replace("\"n3\"", "\"n4\""),
    )
    .unwrap();
    backend.signal("HUP");
    let mut edge = backend.connect();
    for sequence in 1..40 {
        edge.send_request(sequence, &format!("0000000000fb{sequence:04x}"), b"run");
        assert!(
            edge.expect_answer(sequence, AnswerKind::Answer)
                .contains(format!("fb{sequence:04x}").as_bytes())
        );
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    assert_eq!(
        others.lock().unwrap().link_count,
        0,
        "spoken to another's kernel"
    );
    assert_eq!(backend.executor().link_count, 1);
}
