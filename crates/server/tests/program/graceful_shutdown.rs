//! The drain after a shutdown notice: when it takes effect, and how requests that are open or
//! arrive later are answered.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::ffi::OsStrExt;

use crate::harness::backend::{BackendSetup, start_backend};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{EDGE_PORT, unique_address, wait_until};

/// Guards against a shutdown notice that is lost when it arrives before the executor is connected,
/// so that requests that arrive after the drain grace run. The request registry keeps the notice
/// and passes it to the controller right after the controller starts.
#[test]
fn a_shutdown_notice_before_the_executor_is_up_takes_effect_once_it_is() {
    let host = unique_address();
    let store = start_store(&host);
    let mut backend = BackendSetup::with_peers(host, SharedExecutor::default(), store).spawn();
    wait_until("the backend listens", || {
        TcpStream::connect((&backend.host[..], EDGE_PORT)).is_ok()
    });
    let mut edge = backend.connect();
    edge.send_call(1, "probe", b"\0");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .bytes
            .ends_with(b"\x02\0\x03\0\0\0"),
        "healthy before its executor is up"
    );
    backend.signal("TERM");
    let host = backend.host.clone();
    serve_executor(backend.executor.clone(), &host);
    wait_until("the link is up", || backend.executor().link_count == 1);
    edge.expect_answer(0, AnswerKind::NoMore);
    // The request crosses the drain notification, and arrives after the drain grace by more than
    // the resolution of its timestamp.
    std::thread::sleep(std::time::Duration::from_millis(5));
    edge.send_request(2, "00000000000ee002", b"run");
    // On a slow machine the connection may be closed already.
    assert!(
        edge.read_answer()
            .is_none_or(|answer| answer.kind == AnswerKind::Rejected)
    );
    assert!(backend.executor().ends.is_empty(), "run after the grace");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against a shutdown notice that is never handled because the signal thread reads the
/// configuration file and that read blocks, here on a pipe without data. The file is read on a
/// separate thread.
#[test]
fn a_shutdown_notice_takes_effect_while_the_configuration_is_being_read() {
    let mut backend = start_backend();
    std::fs::remove_file(&backend.config_file).unwrap();
    let path = std::ffi::CString::new(backend.config_file.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    backend.signal("HUP");
    // Opening for writing returns once the program has opened the pipe for reading; the program
    // then waits for data that never arrives.
    let writer = std::fs::OpenOptions::new()
        .write(true)
        .open(&backend.config_file)
        .unwrap();
    backend.signal("HUP");
    backend.signal("TERM");
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    drop(writer);
}

/// Guards against answers that are lost at shutdown because they are still in the output buffer of
/// the connection and in the sockets, with half a request unread. The connection counts as open
/// until its output buffer is empty, so each answer arrives exactly once.
#[test]
fn a_slow_reader_gets_all_its_answers_at_shutdown() {
    let mut backend = start_backend();
    let mut slow = backend.connect();
    for sequence in 1..31 {
        slow.send_request(sequence, &format!("0000000000f9{sequence:04x}"), b"run");
    }
    let half = slow.encode_request(99, &request_fields("0000000000f90099", "20.0"), b"run");
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

/// Guards against a request that is lost, or run after the drain grace, because its caller sends it
/// before it has read the drain notification. The request must be answered, because it was sent on
/// an open connection, and must not run, because it arrived after the drain grace.
#[test]
fn a_request_that_crosses_the_drain_notification_is_answered_and_not_run() {
    let mut backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..6).map(|_| backend.connect()).collect();
    // An open request keeps its connection from closing.
    for (at, edge) in (0u32..).zip(&mut edges) {
        edge.send_request(1, &format!("0000000000f8{at:04x}"), b"hang");
    }
    wait_until("the requests run or are queued", || {
        !backend.executor().runs.is_empty()
    });
    backend.signal("TERM");
    for (at, edge) in (0x10u32..).zip(&mut edges) {
        while edge.read_answer().expect("a drain notification").kind != AnswerKind::NoMore {}
        // After the drain grace by more than the resolution of the request's timestamp.
        std::thread::sleep(std::time::Duration::from_millis(5));
        let message = edge.encode_request(
            2,
            &request_fields(&format!("0000000000f8{at:04x}"), "20.0"),
            b"run",
        );
        // The request is sent in one write, or its last byte in a second one.
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
            let mut executor = backend.executor();
            executor.end_run(&id, "success", b"in the end");
        }
        kinds.sort_by_key(|kind| kind.0);
        assert_eq!(kinds.len(), 2, "{kinds:?}");
        assert_eq!((kinds[0].0, &kinds[1]), (1, &(2, AnswerKind::Rejected)));
    }
    let ends = backend.executor().ends.clone();
    assert!(
        ends.keys().all(|id| !id.starts_with("0000000000f8001")),
        "run after the grace: {ends:?}"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}
