//! Rare moments: what comes just between two steps of the program, each forced by what a stub does
//! and has seen. docs/crossings.md has the whole list.

use std::collections::HashMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::ffi::OsStrExt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use socket2::{Domain, Socket, Type};

use crate::harness::backend::{
    TestBackend, config_json, spawn_backend, start_backend, start_backend_with_sockets,
    write_config,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, encode_string, request_fields};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::{StoreStub, start_store};
use crate::harness::{LONG_TIMEOUT, unique_address, wait_until};

impl TestBackend {
    /// It moves its peers, as `told` says with these ports elsewhere.
    fn moves(&self, there: &str, ports: &[u16]) {
        let mut text = config_json(&self.host);
        for port in ports {
            text = text.replace(&format!("{}:{port}", self.host), &format!("{there}:{port}"));
        }
        std::fs::write(&self.file, text).unwrap();
        self.signal("HUP");
    }

    /// The same, and the announce service with them: its first report there shows that the others
    /// were told before.
    fn has_moved(&self, there: &str, ports: &[u16]) {
        let announce = std::net::UdpSocket::bind((there, 7946)).unwrap();
        announce.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        self.moves(there, &[ports, &[7946]].concat());
        announce.recv(&mut [0; 64]).unwrap();
    }
}

impl EdgeConnection {
    fn give_up_message(&self, sequence: u32) -> Vec<u8> {
        let head = [
            &b"\x80\x01\0\x04"[..],
            &encode_string(b"giveUp"),
            &0u32.to_be_bytes(),
        ]
        .concat();
        encode_string(&[&head[..], b"\x08\0\x01", &sequence.to_be_bytes(), b"\0"].concat())
    }

    fn give_up(&mut self, sequence: u32) {
        let message = self.give_up_message(sequence);
        self.stream.write_all(&message).unwrap();
    }
}

/// A place where a connect hangs: something listens there, and its backlog is full.
struct Hanging {
    _listener: Socket,
    _waiting: Vec<Socket>,
}

fn hanging(host: &str, port: u16) -> Hanging {
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
            return Hanging {
                _listener: listener,
                _waiting: waiting,
            };
        }
        assert!(waiting.len() < 20, "a connect hangs");
    }
}

/// Connections that the machine took while the program stood still, each with a whole request on
/// it, as the grace ended meanwhile: the program saw no connection open, ended, and lost them all.
#[test]
fn requests_in_the_backlog_when_the_grace_ends_are_answered() {
    for round in 0..5u32 {
        let mut backend = start_backend();
        backend.signal("TERM");
        wait_until("it is told", || {
            let mut edge = backend.connect();
            edge.call(1, "probe", b"\0");
            edge.read_answer()
                .is_some_and(|answer| answer.bytes.ends_with(b"\x02\0\x03\0\0\0"))
        });
        backend.signal("STOP");
        let mut edges: Vec<EdgeConnection> = (0..8).map(|_| backend.connect()).collect();
        for (at, edge) in (0..).zip(&mut edges) {
            edge.request(1, &format!("00000000bac{round:01x}{at:04x}"), b"run");
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
            let message = edge.message(1, &request_fields(id, "20.0"), b"run");
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
fn at_drain_notifications(id_prefix: &str, connections: usize, then: impl Fn(SocketAddr) + Sync) {
    for round in 0..3u32 {
        let mut backend = start_backend();
        let address = format!("{}:6565", backend.host).parse().unwrap();
        let mut edges: Vec<EdgeConnection> = (0..connections).map(|_| backend.connect()).collect();
        // What is open keeps the connections, and the backend, from ending.
        for (at, edge) in (0u32..).zip(&mut edges) {
            edge.request(1, &format!("{id_prefix}{round:02x}{at:02x}"), b"hang");
        }
        wait_until("they run or are queued", || {
            !backend.kernel.lock().unwrap().runs.is_empty()
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
fn gets_in(address: SocketAddr) -> bool {
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
    at_drain_notifications("0000000000ed", 6, |address| {
        wait_until("refused", || !gets_in(address))
    });
}

/// Edge nodes that are asked to leave connect anew at once. Where the accepting was late, such
/// connections filled the backlog, and the system dropped the first packets of others, which hung
/// for a second. New connections are refused before anybody is asked to leave, so none of them gets
/// in.
#[test]
fn an_edge_node_that_is_asked_to_leave_is_refused_at_once() {
    at_drain_notifications("0000000000ef", 16, |address| {
        assert!(!gets_in(address), "it got in")
    });
}

/// The notice comes before the executor is up: it was forgotten, and what came behind the grace was
/// run.
#[test]
fn a_shutdown_notice_before_the_executor_is_up_takes_effect_once_it_is() {
    let host = unique_address();
    let (kernel, store, file) = (
        SharedExecutor::default(),
        start_store(&host),
        write_config(&host, &config_json(&host)),
    );
    let child = spawn_backend(&file);
    let mut backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    wait_until("it listens", || {
        TcpStream::connect((&backend.host[..], 6565)).is_ok()
    });
    let mut edge = backend.connect();
    edge.call(1, "probe", b"\0");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .bytes
            .ends_with(b"\x02\0\x03\0\0\0"),
        "well before its kernel is up"
    );
    backend.signal("TERM");
    let host = backend.host.clone();
    serve_executor(backend.kernel.clone(), &host);
    wait_until("the link is up", || {
        backend.kernel.lock().unwrap().link_count == 1
    });
    edge.expect_answer(0, AnswerKind::NoMore);
    // It crosses the wish to send nothing more, behind the grace by more than its stamp is rough.
    std::thread::sleep(std::time::Duration::from_millis(5));
    edge.request(2, "00000000000ee002", b"run");
    // Where the machine is slow, the connection has closed by then.
    assert!(
        edge.read_answer()
            .is_none_or(|answer| answer.kind == AnswerKind::Rejected)
    );
    assert!(
        backend.kernel.lock().unwrap().ends.is_empty(),
        "run behind the grace"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// One thread read the file and took the signals: a file that gives nothing kept the notice from
/// being seen.
#[test]
fn a_shutdown_notice_takes_effect_while_the_configuration_is_being_read() {
    let mut backend = start_backend();
    std::fs::remove_file(&backend.file).unwrap();
    let path = std::ffi::CString::new(backend.file.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    backend.signal("HUP");
    // It is opened for writing once the program has opened it for reading: from then on it waits
    // for what never comes.
    let writer = std::fs::OpenOptions::new()
        .write(true)
        .open(&backend.file)
        .unwrap();
    backend.signal("HUP");
    backend.signal("TERM");
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    drop(writer);
}

/// The executor moves, to where a connect hangs, and on from there while it does: connects had no
/// limit of their own, so nothing ran for two minutes.
#[test]
fn an_executor_that_moves_while_a_connect_hangs_is_found() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "0000000000fe0001", b"hang");
    wait_until("it runs", || {
        !backend.kernel.lock().unwrap().runs.is_empty()
    });
    let (nowhere, there) = (unique_address(), unique_address());
    let _hanging = hanging(&nowhere, 7300);
    backend.moves(&nowhere, &[7300]);
    // It has left where it was, so the connect hangs by now or is about to.
    wait_until("it leaves", || {
        let kernel = backend.kernel.lock().unwrap();
        let mut one = [0];
        let link = kernel.link.as_ref().unwrap().try_clone().unwrap();
        link.set_nonblocking(true).unwrap();
        let left = matches!(link.peek(&mut one), Ok(0));
        link.set_nonblocking(false).unwrap();
        left
    });
    serve_executor(backend.kernel.clone(), &there);
    backend.moves(&there, &[7300]);
    wait_until("the link moves on", || {
        backend.kernel.lock().unwrap().link_count == 2
    });
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000fe0001", "success", b"all the same");
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
    edge.request(1, "0000000000ff0001", b"hang");
    wait_until("it runs", || {
        !backend.kernel.lock().unwrap().runs.is_empty()
    });
    let elsewhere = unique_address();
    {
        // The executor answers nothing while this is held.
        let _held = backend.kernel.lock().unwrap();
        backend.moves(&elsewhere, &[7300]);
        std::thread::sleep(std::time::Duration::from_millis(30));
        backend.moves(&elsewhere, &[]);
        std::thread::sleep(std::time::Duration::from_millis(30));
    }
    edge.request(2, "0000000000ff0002", b"run");
    edge.expect_answer(2, AnswerKind::Answer);
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000ff0001", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
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
}

/// A link breaks as a run starts that may not run twice, and the run ends as the next link is taken
/// up: behind the notices that were read there, and before anything said over it arrives. Its start
/// was said again, and it ran twice.
#[test]
fn a_run_that_ends_as_its_link_is_resynchronised_is_not_run_again() {
    for effect in [
        r#""effect":"side_effect""#,
        r#""effect":"token","memory_span":9000.0"#,
    ] {
        let host = unique_address();
        let (kernel, store) = (
            serve_executor(SharedExecutor::default(), &host),
            start_store(&host),
        );
        let file = write_config(
            &host,
            &config_json(&host).replace(r#""effect":"pure""#, effect),
        );
        let child = spawn_backend(&file);
        let backend = TestBackend {
            host,
            kernel,
            store,
            child,
            file,
        };
        backend.wait_until_serving();
        let id = "0000000000ef0001";
        backend.kernel.lock().unwrap().cuts_link_at_start = true;
        let mut edge = backend.connect();
        let mut keyed = request_fields(id, "20.0");
        keyed.push(("opkey", "ef".to_owned()));
        edge.process(1, &keyed, b"hang");
        let first = edge.read_answer().expect("an answer");
        assert!(
            first.kind == AnswerKind::Crashed || first.contains(b"unheard"),
            "{:?}",
            first.kind
        );
        // What was said before is heard by the time that this has run.
        edge.request(2, "0000000000ef0002", b"run");
        edge.expect_answer(2, AnswerKind::Answer);
        // A repeat gets no run either.
        let mut again = request_fields("0000000000ef0003", "20.0");
        again.push(("opkey", "ef".to_owned()));
        if effect.contains("token") {
            edge.process(3, &again, b"hang");
            edge.expect_answer(3, first.kind);
        }
        let kernel = backend.kernel.lock().unwrap();
        assert_eq!(
            (kernel.ends.get(id), kernel.runs.len()),
            (Some(&1), 0),
            "run again"
        );
    }
}

/// The announce service is down at the start, and heard of it once it listens; of its leaving too,
/// whether or not the executor is up by then.
#[test]
fn a_backend_is_registered_whenever_the_service_registry_listens() {
    let mut backend = start_backend();
    let hears = |socket: &std::net::UdpSocket, what: &[u8]| {
        let mut report = [0; 64];
        let length = socket.recv(&mut report).unwrap();
        &report[..length] == what
    };
    let listens = |host: &str| {
        let socket = std::net::UdpSocket::bind((host, 7946)).unwrap();
        socket.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
        socket
    };
    // Until now its reports were refused; silent again, and back.
    for _ in 0..2 {
        assert!(hears(&listens(&backend.host), b"announce n3 true"));
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    let list = listens(&backend.host);
    backend.signal("TERM");
    while !hears(&list, b"announce n3 false") {}
    // Said more than once, as each may be lost, and nothing else any more.
    for _ in 0..2 {
        assert!(hears(&list, b"announce n3 false"));
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    list.set_nonblocking(true).unwrap();
    assert!(
        list.recv(&mut [0; 64]).is_err(),
        "a report behind the farewell"
    );
}

/// Likewise the store: connects that hung where it was kept all places for two minutes, so no call
/// was made where it is.
#[test]
fn a_store_that_moves_while_connects_hang_is_called() {
    let backend = start_backend_with_sockets(32);
    let mut edge = backend.connect();
    let (nowhere, there) = (unique_address(), unique_address());
    let _hanging = hanging(&nowhere, 7700);
    backend.has_moved(&nowhere, &[7700]);
    // More than may be open at once; each is given up in time.
    for sequence in 1..9 {
        edge.request(sequence, &format!("0000000000fd{sequence:04x}"), b"call");
    }
    for _ in 1..9 {
        assert!(!edge.read_answer().expect("an answer").contains(b"richer"));
    }
    assert_eq!(backend.store.calls.load(Ordering::Acquire), 0);
    let store = start_store(&there);
    backend.has_moved(&there, &[7700]);
    wait_until("calls are made there", || {
        let mut edge = backend.connect();
        edge.request(
            1,
            &format!("0000000000fd{:04x}", store_id(&backend)),
            b"call",
        );
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"richer")
    });
    assert!(store.calls.load(Ordering::Acquire) > 0);
}

/// A number that no request of this backend has had.
fn store_id(backend: &TestBackend) -> u32 {
    0x1000 + backend.kernel.lock().unwrap().ends.len() as u32
}

/// A reply comes over a connection to where the store was, with another call waiting for a place:
/// that one was given to the old connection.
#[test]
fn a_connection_to_the_stores_old_address_gets_no_further_call() {
    let backend = start_backend_with_sockets(32);
    backend.store.plan(&["", "", "", "", "", "", "", ""]);
    let mut edge = backend.connect();
    for sequence in 1..5 {
        edge.request(sequence, &format!("0000000000fc{sequence:04x}"), b"call");
    }
    let most = 32 / 8;
    wait_until("all places are taken", || {
        backend.store.open.lock().unwrap().len() == most
    });
    edge.request(5, "0000000000fc0005", b"call");
    wait_until("it stands at its call", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("0000000000fc0005")
    });
    let there = unique_address();
    let store = start_store(&there);
    backend.has_moved(&there, &[7700]);
    let open = std::mem::take(&mut *backend.store.open.lock().unwrap());
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
    backend.store.plan(&["", "", "", ""]);
    let mut edge = backend.connect();
    for sequence in 1..5 {
        edge.request(sequence, &format!("0000000000ee{sequence:04x}"), b"call");
    }
    wait_until("all places are taken", || {
        backend.store.open.lock().unwrap().len() == 32 / 8
    });
    edge.request(5, "0000000000ee0005", b"call");
    wait_until("it stands at its call", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("0000000000ee0005")
    });
    // Its wish to call is heard before the end of what runs behind it.
    edge.request(6, "0000000000ee0006", b"run");
    edge.expect_answer(6, AnswerKind::Answer);
    let text = config_json(&backend.host).replace("1024", "32");
    let store = format!(r#""store":"{}:7700","#, backend.host);
    assert!(text.contains(&store));
    std::fs::write(&backend.file, text.replace(&store, "")).unwrap();
    backend.signal("HUP");
    // The four others still wait for their replies then.
    assert!(
        edge.expect_answer(5, AnswerKind::Answer)
            .contains(b"poorer")
    );
    assert_eq!(backend.store.left.load(Ordering::Acquire), 0);
    for (id, mut stream) in std::mem::take(&mut *backend.store.open.lock().unwrap()) {
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
    std::fs::write(&backend.file, other).unwrap();
    backend.signal("HUP");
    // A file that is gone, then one that is ours again with a setting changed: taken in that order.
    std::fs::remove_file(&backend.file).unwrap();
    backend.signal("HUP");
    std::fs::write(
        &backend.file,
        config_json(&there).replace("\"n3\"", "\"n4\""),
    )
    .unwrap();
    backend.signal("HUP");
    let mut edge = backend.connect();
    for sequence in 1..40 {
        edge.request(sequence, &format!("0000000000fb{sequence:04x}"), b"run");
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
    assert_eq!(backend.kernel.lock().unwrap().link_count, 1);
}

/// Killed with requests read, run, and answered but not sent; back under the same name and address
/// while what its former life has started still ends.
#[test]
fn a_restart_ignores_events_of_the_previous_process() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    for (sequence, body) in (1..).zip([&b"hang"[..], b"hang", b"call", b"run"]) {
        edge.request(sequence, &format!("0000000000fa{sequence:04x}"), body);
    }
    wait_until("two run", || backend.kernel.lock().unwrap().runs.len() >= 2);
    backend.child.kill().unwrap();
    backend.child.wait().unwrap();
    let answered: Vec<u32> = std::iter::from_fn(|| edge.read_answer())
        .map(|answer| answer.sequence)
        .collect();
    assert!(
        answered.iter().all(|sequence| *sequence > 2),
        "{answered:?}"
    );
    // Notices count from 1 again; those of the former life come first.
    {
        let mut kernel = backend.kernel.lock().unwrap();
        kernel.link = None;
        kernel.notices.clear();
        kernel.end("0000000000fa0001", "success", b"of the former life");
        kernel.notice(
            "IOREQ",
            "0000000000fa0002".into(),
            b"a call of the former life",
        );
    }
    backend.child = spawn_backend(&backend.file);
    backend.wait_until_serving();
    backend
        .kernel
        .lock()
        .unwrap()
        .send_line("EINVAL SCHED 0000000000fa0003\r\nEINVAL PREEMPT 0000000000fa0001\r\n".into());
    let mut edge = backend.connect();
    edge.request(1, "0000000000fa0009", b"hang");
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("0000000000fa0009")
    });
    // The id of one of the former life, whose run ends just now.
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000fa0002", "success", b"of the former life");
    edge.request(2, "0000000000fa0001", b"run");
    let answer = edge.expect_answer(2, AnswerKind::Answer);
    assert!(
        answer.contains(b"page \0 0000000000fa0001"),
        "another life's result"
    );
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000fa0009", "success", b"its own");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"its own")
    );
    drop(edge);
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// A slow reader at the stop: all that it has been owed lies in the rings and in the sockets, with
/// half a request behind.
#[test]
fn a_slow_reader_gets_all_its_answers_at_shutdown() {
    let mut backend = start_backend();
    let mut slow = backend.connect();
    for sequence in 1..31 {
        slow.request(sequence, &format!("0000000000f9{sequence:04x}"), b"run");
    }
    let half = slow.message(99, &request_fields("0000000000f90099", "20.0"), b"run");
    slow.stream.write_all(&half[..half.len() / 2]).unwrap();
    backend.signal("TERM");
    backend.signal("HUP");
    let mut seen = HashMap::new();
    while let Some(answer) = slow.read_answer() {
        if answer.kind != AnswerKind::NoMore {
            *seen.entry(answer.sequence).or_insert(0) += 1;
        }
    }
    assert!(
        (1..31).all(|sequence| seen.get(&sequence) == Some(&1)),
        "{seen:?}"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Reqs that cross the wish to send nothing more: each is answered, and behind the grace none is
/// run.
#[test]
fn a_request_that_crosses_the_drain_notification_is_answered_and_not_run() {
    let mut backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..6).map(|_| backend.connect()).collect();
    // What is open on it keeps it from closing.
    for (at, edge) in (0u32..).zip(&mut edges) {
        edge.request(1, &format!("0000000000f8{at:04x}"), b"hang");
    }
    wait_until("they run or are held", || {
        !backend.kernel.lock().unwrap().runs.is_empty()
    });
    backend.signal("TERM");
    for (at, edge) in (0x10u32..).zip(&mut edges) {
        while edge.read_answer().expect("the wish").kind != AnswerKind::NoMore {}
        // Behind the grace by more than its stamp is rough.
        std::thread::sleep(std::time::Duration::from_millis(5));
        let message = edge.message(
            2,
            &request_fields(&format!("0000000000f8{at:04x}"), "20.0"),
            b"run",
        );
        // Whole, or its end only once more was looked at.
        let cut = if at % 2 == 0 {
            message.len()
        } else {
            message.len() - 1
        };
        edge.stream.write_all(&message[..cut]).unwrap();
        edge.stream.write_all(&message[cut..]).unwrap();
    }
    for (at, edge) in (0u32..).zip(&mut edges) {
        let id = format!("0000000000f8{at:04x}");
        let mut kinds = Vec::new();
        while let Some(answer) = edge.read_answer() {
            kinds.push((answer.sequence, answer.kind));
            let mut kernel = backend.kernel.lock().unwrap();
            kernel.end(&id, "success", b"in the end");
        }
        kinds.sort_by_key(|kind| kind.0);
        assert_eq!(kinds.len(), 2, "{kinds:?}");
        assert_eq!((kinds[0].0, &kinds[1]), (1, &(2, AnswerKind::Rejected)));
    }
    let ends = backend.kernel.lock().unwrap().ends.clone();
    assert!(
        ends.keys().all(|id| !id.starts_with("0000000000f8001")),
        "run behind the grace: {ends:?}"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// A store that closes each connection with its reply, just as the next call is given to it. 150
/// calls.
#[test]
fn a_pooled_connection_that_closes_as_it_is_assigned_costs_one_call_at_most() {
    let host = unique_address();
    let listener = std::net::TcpListener::bind((&host[..], 7700)).unwrap();
    let resets = AtomicBool::new(false);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = [0; 512];
            // One call, its reply, and the end with it: by turns a plain one and one that cuts off.
            let Ok(read) = stream.read(&mut bytes) else {
                continue;
            };
            let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
            let Some(id) = text.split(' ').nth(1) else {
                continue;
            };
            let _ = stream.write_all(format!("{id} OK 3\r\nown\r\n").as_bytes());
            if resets.fetch_not(Ordering::AcqRel) {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
            }
            let _ = stream.shutdown(Shutdown::Write);
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
    let mut edge = backend.connect();
    let mut richer = 0;
    for turn in 0..150u32 {
        edge.request(turn + 1, &format!("0000000000f7{turn:04x}"), b"call");
        let answer = edge.expect_answer(turn + 1, AnswerKind::Answer);
        richer += u32::from(answer.contains(b"richer"));
        assert!(answer.contains(b"richer") || answer.contains(b"poorer"));
    }
    assert!(richer > 50, "{richer} of 150");
    let kernel = backend.kernel.lock().unwrap();
    assert!(
        kernel.replies.iter().all(|reply| reply == b"own"),
        "a reply of its own"
    );
    assert!(kernel.ends.values().all(|&ends| ends == 1));
}

/// The answer meets a caller that is just cutting off: it is lost with its connection, and harms
/// nobody else.
#[test]
fn an_answer_that_meets_a_reset_is_the_only_one_lost() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for turn in 0..60u32 {
        let mut cut = backend.connect();
        let id = format!("0000000000f6{turn:04x}");
        cut.request(1, &id, b"hang");
        wait_until("it runs", || {
            backend.kernel.lock().unwrap().runs.contains_key(&id)
        });
        socket2::SockRef::from(&cut.stream)
            .set_linger(Some(std::time::Duration::ZERO))
            .unwrap();
        // By turns the end of the run comes first, the reset does, or both at once.
        match turn % 3 {
            0 => backend
                .kernel
                .lock()
                .unwrap()
                .end(&id, "success", b"to nobody"),
            1 => drop(std::mem::replace(&mut cut, backend.connect())),
            _ => {}
        }
        drop(cut);
        if turn % 3 == 2 {
            backend
                .kernel
                .lock()
                .unwrap()
                .end(&id, "success", b"to nobody");
        }
        edge.request(turn + 1, &format!("0000000000f5{turn:04x}"), b"run");
        assert!(
            edge.expect_answer(turn + 1, AnswerKind::Answer)
                .contains(format!("f5{turn:04x}").as_bytes())
        );
    }
    // Those that were cut off before their run ended were stopped, or end when they are told to.
    let left: Vec<String> = backend
        .kernel
        .lock()
        .unwrap()
        .runs
        .keys()
        .cloned()
        .collect();
    for id in left {
        backend.kernel.lock().unwrap().end(&id, "interrupted", b"");
    }
    assert!(
        backend
            .kernel
            .lock()
            .unwrap()
            .ends
            .values()
            .all(|&ends| ends == 1)
    );
    assert_eq!(edge.stream.set_nonblocking(true).ok(), Some(()));
    let mut one = [0];
    assert_eq!(
        edge.stream.read(&mut one).unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "nothing more than one each"
    );
}

fn start_backend_that_sees_cancellations() -> TestBackend {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let sees_cancellations = r#""cores":4,"cancel_seen":true"#;
    let file = write_config(
        &host,
        &config_json(&host).replace(r#""cores":4"#, sees_cancellations),
    );
    let child = spawn_backend(&file);
    TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    }
}

/// Runs end just as their callers give up: whichever comes first, there is one answer or none.
fn give_up_as_runs_end(backend: &TestBackend, edge: &mut EdgeConnection) {
    for turn in 0..30u32 {
        let id = format!("0000000000f5{turn:04x}");
        edge.request(100 + turn, &id, b"hang");
        wait_until("it runs", || {
            backend.kernel.lock().unwrap().runs.contains_key(&id)
        });
        if turn % 2 == 0 {
            backend
                .kernel
                .lock()
                .unwrap()
                .end(&id, "success", b"crossing");
            edge.give_up(100 + turn);
        } else {
            edge.give_up(100 + turn);
            backend
                .kernel
                .lock()
                .unwrap()
                .end(&id, "success", b"crossing");
        }
    }
}

/// Ends the runs that are left, stops the backend and starts it with settings that tell nothing of
/// cancellations.
fn restart_without_cancellations(backend: &mut TestBackend) {
    backend.signal("TERM");
    let left: Vec<String> = backend
        .kernel
        .lock()
        .unwrap()
        .runs
        .keys()
        .cloned()
        .collect();
    for id in left {
        backend.kernel.lock().unwrap().end(&id, "interrupted", b"");
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    std::fs::write(&backend.file, config_json(&backend.host)).unwrap();
    backend.child = spawn_backend(&backend.file);
    backend.wait_until_serving();
}

/// Callers say that they give up, where the settings tell so. It was taken for garbage: the
/// connection was left, and the requests that came over it meanwhile were lost with it.
#[test]
fn a_cancellation_affects_its_own_request_alone() {
    let mut backend = start_backend_that_sees_cancellations();
    backend.wait_until_serving();
    let mut edge = backend.connect();
    edge.request(1, "0000000000f40001", b"hang");
    edge.request(2, "0000000000f40002", b"hang");
    wait_until("both run", || {
        backend.kernel.lock().unwrap().runs.len() == 2
    });
    edge.give_up(1);
    // Stopped, which this executor answers; then nobody is owed an answer to it.
    wait_until("it is stopped", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .ends
            .contains_key("0000000000f40001")
    });
    // Of what is over, was never there, or comes twice.
    for sequence in [1, 77, 1] {
        edge.give_up(sequence);
    }
    give_up_as_runs_end(&backend, &mut edge);
    // In one piece with what is withdrawn: that is not run for nobody.
    let mut both = edge.message(200, &request_fields("0000000000f60001", "20.0"), b"hang");
    both.extend(edge.give_up_message(200));
    edge.stream.write_all(&both).unwrap();
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000f40002", "success", b"all the same");
    let mut seen = HashMap::new();
    loop {
        let answer = edge.read_answer().expect("the connection goes on");
        *seen.entry(answer.sequence).or_insert(0) += 1;
        if answer.sequence == 2 {
            assert!(answer.contains(b"all the same"));
            break;
        }
    }
    edge.request(300, "0000000000f70001", b"run");
    let last = std::iter::from_fn(|| edge.read_answer()).find(|answer| answer.sequence == 300);
    assert!(last.is_some_and(|answer| answer.kind == AnswerKind::Answer));
    {
        let kernel = backend.kernel.lock().unwrap();
        let ran = |id: &str| kernel.runs.contains_key(id) || kernel.ends.contains_key(id);
        assert!(
            ran("0000000000f70001") && !ran("0000000000f60001"),
            "run for nobody"
        );
    }
    assert!(
        seen.values().all(|&count| count == 1) && !seen.contains_key(&1),
        "{seen:?}"
    );
    // Without that setting it is no message, as before.
    drop(edge);
    restart_without_cancellations(&mut backend);
    let mut edge = backend.connect();
    edge.give_up(1);
    assert!(edge.read_answer().is_none(), "closed");
}

/// Without memory for another request, a new one is turned away and told when to come back; a
/// repeat of one that was run is errored, as nobody may be told that it was not.
#[test]
fn a_duplicate_of_a_run_is_not_rejected_for_memory() {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let keyed = config_json(&host)
        .replace(
            r#""effect":"pure""#,
            r#""effect":"token","memory_span":9000.0"#,
        )
        .replace(r#""memory_mb":192"#, r#""memory_mb":1"#);
    let file = write_config(&host, &keyed);
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_serving();
    let of = |id: &str, key: &str| {
        let mut fields = request_fields(id, "20.0");
        fields.push(("opkey", key.to_owned()));
        fields
    };
    let mut edge = backend.connect();
    edge.process(1, &of("0000000000e10001", "first"), b"run");
    let first = edge.expect_answer(1, AnswerKind::Answer);
    assert!(first.contains(b"page \0 0000000000e10001"));
    // A repeat with the same body has its result; one with another body, or for nobody's tenant,
    // has not.
    edge.process(2, &of("0000000000e10002", "first"), b"run");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"page \0 0000000000e10001")
    );
    edge.process(3, &of("0000000000e10003", "first"), b"runs");
    edge.expect_answer(3, AnswerKind::Exception);
    // As many as there is memory for, and none more.
    let most = (0.45 * 1024.0 / 24.0) as u32;
    for at in 0..most {
        edge.process(
            10 + at,
            &of(&format!("0000000000e2{at:04x}"), &format!("k{at}")),
            b"hang",
        );
    }
    wait_until("there is no room", || {
        let mut probing = backend.connect();
        let id = format!(
            "{:016x}",
            0xe300_0000u32 + backend.kernel.lock().unwrap().notices.len() as u32
        );
        probing.process(1, &of(&id, &id), b"run");
        probing.read_answer().is_some_and(|answer| {
            answer.kind == AnswerKind::Rejected && answer.contains(b"holdoff")
        })
    });
    // Opened only now: where the machine is slow it would have been closed for saying nothing.
    let mut other = backend.connect();
    other.process(1, &of("0000000000e10004", "first"), b"run");
    other.expect_answer(1, AnswerKind::Crashed);
}
