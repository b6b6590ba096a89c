//! The drain after a shutdown notice: when it takes effect, and what becomes of requests that are
//! open or still arrive.

use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::os::unix::ffi::OsStrExt;

use crate::harness::backend::{BackendSetup, start_backend};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{unique_address, wait_until};

/// The notice comes before the executor is up: it was forgotten, and what came behind the grace was
/// run.
#[test]
fn a_shutdown_notice_before_the_executor_is_up_takes_effect_once_it_is() {
    let host = unique_address();
    let store = start_store(&host);
    let mut backend = BackendSetup::with_peers(host, SharedExecutor::default(), store).spawn();
    wait_until("it listens", || {
        TcpStream::connect((&backend.host[..], 6565)).is_ok()
    });
    let mut edge = backend.connect();
    edge.send_call(1, "probe", b"\0");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .bytes
            .ends_with(b"\x02\0\x03\0\0\0"),
        "well before its executor is up"
    );
    backend.signal("TERM");
    let host = backend.host.clone();
    serve_executor(backend.executor.clone(), &host);
    wait_until("the link is up", || backend.executor().link_count == 1);
    edge.expect_answer(0, AnswerKind::NoMore);
    // It crosses the wish to send nothing more, behind the grace by more than its stamp is rough.
    std::thread::sleep(std::time::Duration::from_millis(5));
    edge.send_request(2, "00000000000ee002", b"run");
    // Where the machine is slow, the connection has closed by then.
    assert!(
        edge.read_answer()
            .is_none_or(|answer| answer.kind == AnswerKind::Rejected)
    );
    assert!(backend.executor().ends.is_empty(), "run behind the grace");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// One thread read the file and took the signals: a file that gives nothing kept the notice from
/// being seen.
#[test]
fn a_shutdown_notice_takes_effect_while_the_configuration_is_being_read() {
    let mut backend = start_backend();
    std::fs::remove_file(&backend.config_file).unwrap();
    let path = std::ffi::CString::new(backend.config_file.as_os_str().as_bytes()).unwrap();
    assert_eq!(unsafe { libc::mkfifo(path.as_ptr(), 0o600) }, 0);
    backend.signal("HUP");
    // It is opened for writing once the program has opened it for reading: from then on it waits
    // for what never comes.
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

/// A slow reader at the stop: all that it has been owed lies in the rings and in the sockets, with
/// half a request behind.
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

/// Reqs that cross the wish to send nothing more: each is answered, and behind the grace none is
/// run.
#[test]
fn a_request_that_crosses_the_drain_notification_is_answered_and_not_run() {
    let mut backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..6).map(|_| backend.connect()).collect();
    // What is open on it keeps it from closing.
    for (at, edge) in (0u32..).zip(&mut edges) {
        edge.send_request(1, &format!("0000000000f8{at:04x}"), b"hang");
    }
    wait_until("they run or are held", || {
        !backend.executor().runs.is_empty()
    });
    backend.signal("TERM");
    for (at, edge) in (0x10u32..).zip(&mut edges) {
        while edge.read_answer().expect("the wish").kind != AnswerKind::NoMore {}
        // Behind the grace by more than its stamp is rough.
        std::thread::sleep(std::time::Duration::from_millis(5));
        let message = edge.encode_request(
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
        "run behind the grace: {ends:?}"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}
