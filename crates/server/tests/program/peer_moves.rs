//! Executor, store and service registry that move to other addresses while the program runs.

use std::io::Write;
use std::sync::atomic::Ordering;

use socket2::{Domain, Socket, Type};

use crate::harness::backend::{
    TestBackend, config_json, start_backend, start_backend_with_sockets,
};
use crate::harness::edge_node::AnswerKind;
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{
    EXECUTOR_PORT, LONG_TIMEOUT, REGISTRY_PORT, STORE_PORT, unique_address, wait_until,
};

impl TestBackend {
    /// Moves the peers with these ports to another host, through the configuration file and SIGHUP.
    fn move_peers(&self, new_host: &str, ports: &[u16]) {
        let mut text = config_json(&self.host);
        for port in ports {
            text = text.replace(
                &format!("{}:{port}", self.host),
                &format!("{new_host}:{port}"),
            );
        }
        std::fs::write(&self.config_file, text).unwrap();
        self.signal("HUP");
    }

    /// Moves these peers and the service registry, and waits for the first report at the new
    /// registry, which shows that the other peers have moved.
    fn move_peers_and_wait(&self, new_host: &str, ports: &[u16]) {
        let registry = std::net::UdpSocket::bind((new_host, REGISTRY_PORT)).unwrap();
        registry.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        self.move_peers(new_host, &[ports, &[REGISTRY_PORT]].concat());
        registry.recv(&mut [0; 64]).unwrap();
    }
}

/// An address where connects hang: its listener's backlog is full.
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
    // The backlog is full once a connect hangs.
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

/// Guards against requests that are lost or run again because SIGHUP moves the executor, the store
/// and the service registry to other addresses, also during a drain. Runs continue, calls are sent
/// to the new store and reports to the new registry. A half-written configuration file changes
/// nothing.
#[test]
fn peers_move_on_sighup() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000000aa1", b"hang");
    edge.send_request(2, "0000000000000aa2", b"hang");
    wait_until("both requests run", || backend.executor().runs.len() == 2);
    // A half-written file changes nothing.
    std::fs::write(&backend.config_file, "{\"name\":").unwrap();
    backend.signal("HUP");
    edge.send_request(3, "0000000000000aa3", b"run");
    edge.expect_answer(3, AnswerKind::Answer);
    let new_host = unique_address();
    serve_executor(backend.executor.clone(), &new_host);
    let store = start_store(&new_host);
    let registry = std::net::UdpSocket::bind((&new_host[..], REGISTRY_PORT)).unwrap();
    registry.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut text = config_json(&backend.host);
    for port in [EXECUTOR_PORT, STORE_PORT, REGISTRY_PORT] {
        text = text.replace(
            &format!("{}:{port}", backend.host),
            &format!("{new_host}:{port}"),
        );
    }
    std::fs::write(&backend.config_file, text).unwrap();
    for _ in 0..3 {
        backend.signal("HUP");
    }
    // Runs continue, and calls and reports are sent to the new addresses.
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
    let length = registry.recv(&mut report).unwrap();
    assert_eq!(&report[..length], b"announce n3 true");
    // Peers may also move during a drain.
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

/// Guards against two minutes without a run: the executor moves to an address where connects hang,
/// and then to another one, and a connect without a time limit blocks the second move. A connect
/// checks every 50 ms whether its address is still the current one, and ends after 2 s.
#[test]
fn an_executor_that_moves_while_a_connect_hangs_is_connected() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000fe0001", b"hang");
    wait_until("the request runs", || !backend.executor().runs.is_empty());
    let (hanging_host, new_host) = (unique_address(), unique_address());
    let _full_backlog = fill_backlog(&hanging_host, EXECUTOR_PORT);
    backend.move_peers(&hanging_host, &[EXECUTOR_PORT]);
    // The backend has closed the old link, so the new connect hangs now or will hang soon.
    wait_until("the old link is closed", || {
        let executor = backend.executor();
        let mut one = [0];
        let link = executor.link.as_ref().unwrap().try_clone().unwrap();
        link.set_nonblocking(true).unwrap();
        let is_closed = matches!(link.peek(&mut one), Ok(0));
        link.set_nonblocking(false).unwrap();
        is_closed
    });
    serve_executor(backend.executor.clone(), &new_host);
    backend.move_peers(&new_host, &[EXECUTOR_PORT]);
    wait_until("the link moves again", || {
        backend.executor().link_count == 2
    });
    backend
        .executor()
        .end_run("0000000000fe0001", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
}

/// Guards against a link over which nothing is sent any more: the executor moves away and back
/// before it replies to the final query of its link, and the address of the link is the current one
/// again. The backend closes a link after its final query and opens a new one at the same address.
#[test]
fn an_executor_that_moves_back_during_the_final_query_is_connected_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000ff0001", b"hang");
    wait_until("the request runs", || !backend.executor().runs.is_empty());
    let other_host = unique_address();
    {
        // The executor stub does not reply while its lock is held.
        let _executor_lock = backend.executor();
        backend.move_peers(&other_host, &[EXECUTOR_PORT]);
        std::thread::sleep(std::time::Duration::from_millis(30));
        backend.move_peers(&other_host, &[]);
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

/// Guards against two minutes without calls: connects to an address that does not answer occupy all
/// connections of the store's pool, so no call reaches the address to which the store has moved.
/// Connects have a time limit, and a move ends them.
#[test]
fn a_store_that_moves_while_connects_hang_is_called() {
    let backend = start_backend_with_sockets(32);
    let mut edge = backend.connect();
    let (hanging_host, new_host) = (unique_address(), unique_address());
    let _full_backlog = fill_backlog(&hanging_host, STORE_PORT);
    backend.move_peers_and_wait(&hanging_host, &[STORE_PORT]);
    // More calls than the pool has connections; each ends at its time limit.
    for sequence in 1..9 {
        edge.send_request(sequence, &format!("0000000000fd{sequence:04x}"), b"call");
    }
    for _ in 1..9 {
        assert!(!edge.read_answer().expect("an answer").contains(b"richer"));
    }
    assert_eq!(backend.store.calls.load(Ordering::Acquire), 0);
    let store = start_store(&new_host);
    backend.move_peers_and_wait(&new_host, &[STORE_PORT]);
    wait_until("calls reach the new store", || {
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

/// Returns an id number that no request of this backend has used.
fn unused_id(backend: &TestBackend) -> u32 {
    0x1000 + backend.executor().ends.len() as u32
}

/// Guards against calls to the old address of a store that has moved: a reply arrives over a
/// connection to the old address while a call waits for a connection, and the pool assigns the call
/// to that connection. A connection to an old address closes after its reply.
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
    let pool_size = 32 / 8;
    wait_until("all pooled connections are in use", || {
        backend.store.unanswered_calls.lock().unwrap().len() == pool_size
    });
    edge.send_request(5, "0000000000fc0005", b"call");
    wait_until("the request waits for its call", || {
        backend.executor().runs.contains_key("0000000000fc0005")
    });
    let new_host = unique_address();
    let store = start_store(&new_host);
    backend.move_peers_and_wait(&new_host, &[STORE_PORT]);
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
        "another call to the old address"
    );
    drop(store);
}

/// Guards against a request that waits until its deadline because its queued call is dropped when
/// the store is removed from the configuration. Queued calls are skipped immediately; calls that
/// were sent still get their replies.
#[test]
fn a_queued_call_is_skipped_at_once_when_the_store_is_removed() {
    let backend = start_backend_with_sockets(32);
    backend.store.plan_replies(&["", "", "", ""]);
    let mut edge = backend.connect();
    for sequence in 1..5 {
        edge.send_request(sequence, &format!("0000000000ee{sequence:04x}"), b"call");
    }
    wait_until("all pooled connections are in use", || {
        backend.store.unanswered_calls.lock().unwrap().len() == 32 / 8
    });
    edge.send_request(5, "0000000000ee0005", b"call");
    wait_until("the request waits for its call", || {
        backend.executor().runs.contains_key("0000000000ee0005")
    });
    // The backend reads the executor's call request before the end of the next run.
    edge.send_request(6, "0000000000ee0006", b"run");
    edge.expect_answer(6, AnswerKind::Answer);
    let text = config_json(&backend.host).replace("1024", "32");
    let store = format!(r#""store":"{}:7700","#, backend.host);
    assert!(text.contains(&store));
    std::fs::write(&backend.config_file, text.replace(&store, "")).unwrap();
    backend.signal("HUP");
    // The four calls that were sent still wait for their replies.
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

/// Guards against a backend that connects to the executor of another backend after a mix-up of
/// their configuration files. A file with another name or address than the running backend's is
/// ignored, and so is a missing file.
#[test]
fn a_configuration_file_of_another_backend_is_ignored() {
    let backend = start_backend();
    let new_host = unique_address();
    let other_executor = serve_executor(SharedExecutor::default(), &new_host);
    let other = config_json(&new_host).replace("\"n3\"", "\"n4\"");
    std::fs::write(&backend.config_file, other).unwrap();
    backend.signal("HUP");
    // The file is removed, and then written again with the configuration of the other backend.
    std::fs::remove_file(&backend.config_file).unwrap();
    backend.signal("HUP");
    std::fs::write(
        &backend.config_file,
        config_json(&new_host).replace("\"n3\"", "\"n4\""),
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
        other_executor.lock().unwrap().link_count,
        0,
        "connected to the executor of another backend"
    );
    assert_eq!(backend.executor().link_count, 1);
}
