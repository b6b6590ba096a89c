//! Requests of clients that have left: they are not run afterwards, and no request is run again when
//! its id comes again.

use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend};
use crate::harness::edge_node::{
    AnswerKind, request_fields, request_fields_with, reset_connection,
};
use crate::harness::wait_until;

/// The number of requests of a client that leaves.
const REQUESTS: u32 = 20;
/// The number of ids that arrive between two requests with the same id: more than any number of ids
/// that a backend remembers regardless of what became of their requests.
const OTHER_IDS: u32 = 20_000;
/// The maximum number of open requests of one connection.
const MAX_OPEN_REQUESTS: u32 = 32;

/// The bound on the time from a reset to the end of the runs: far longer than the cancellation takes
/// on a busy machine, far shorter than the runs would go on.
const MAX_CANCELLATION_TIME: Duration = Duration::from_secs(2);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    /// It resets its connection.
    Reset,
    /// It closes its connection with unread replies, so that its system resets the connection.
    CloseWithUnreadReplies,
}

/// The number of requests whose id begins so and that were ever started.
fn runs_of(backend: &TestBackend, prefix: &str) -> usize {
    let executor = backend.executor();
    let ids = executor.runs.keys().chain(executor.ends.keys());
    ids.filter(|id| id.starts_with(prefix)).count()
}

/// Whether all threads of the process are stopped.
fn is_stopped(backend: &TestBackend) -> bool {
    let tasks = std::fs::read_dir(format!("/proc/{}/task", backend.child.id())).unwrap();
    tasks.flatten().all(|task| {
        let state = std::fs::read_to_string(task.path().join("status")).unwrap_or_default();
        state.contains("State:\tT")
    })
}

/// Answers a request of another client, so that what was sent before it is handled.
fn serve_another_client(backend: &TestBackend, id: &str) {
    let mut other = backend.connect();
    other.send_request(1, id, b"run");
    other.expect_answer(1, AnswerKind::Answer);
}

/// Guards against requests that are run although their client was known to be gone before they were
/// read: the system still delivers the received bytes of a connection that the client has reset.
#[test]
fn unread_requests_of_a_client_that_has_left_are_not_run() {
    for (at, departure) in [Departure::Reset, Departure::CloseWithUnreadReplies]
        .into_iter()
        .enumerate()
    {
        let backend = start_backend();
        let mut edge = backend.connect();
        edge.send_request(1, &format!("0000000000de000{at}"), b"run");
        wait_until("the first request has run", || {
            runs_of(&backend, "0000000000de") == 1
        });
        if matches!(departure, Departure::Reset) {
            edge.expect_answer(1, AnswerKind::Answer);
        }
        // The reply has arrived before the process is paused.
        std::thread::sleep(Duration::from_millis(100));
        backend.signal("STOP");
        wait_until("the process is stopped", || is_stopped(&backend));
        for sequence in 2..2 + REQUESTS {
            edge.send_request(sequence, &format!("000000000bad{sequence:04x}"), b"run");
        }
        match departure {
            Departure::Reset => reset_connection(&edge.stream),
            Departure::CloseWithUnreadReplies => drop(edge),
        }
        backend.signal("CONT");
        serve_another_client(&backend, "0000000000df0001");
        std::thread::sleep(Duration::from_millis(100));
        assert_eq!(runs_of(&backend, "000000000bad"), 0, "{departure:?}");
    }
}

/// Guards against runs that go on although their client is gone: a connection with the maximum
/// number of open requests is not read, so its reset was noticed only when a reply was written.
#[test]
fn a_reset_of_a_connection_with_the_maximum_of_open_requests_cancels_its_runs() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for sequence in 1..=MAX_OPEN_REQUESTS + 1 {
        let fields = request_fields(&format!("000000000bae{sequence:04x}"), "1.0");
        edge.send_request_with_fields(sequence, &fields, b"hang");
    }
    wait_until("a request runs", || runs_of(&backend, "000000000bae") > 0);
    std::thread::sleep(Duration::from_millis(100));
    let mut answer = [0];
    edge.stream.set_nonblocking(true).unwrap();
    assert!(edge.stream.peek(&mut answer).is_err(), "none is answered");
    reset_connection(&edge.stream);
    let begin = Instant::now();
    wait_until("all runs are cancelled", || {
        backend.executor().runs.is_empty()
    });
    assert!(
        begin.elapsed() < MAX_CANCELLATION_TIME,
        "{:?}",
        begin.elapsed()
    );
}

/// Guards against a second run of a request whose id comes again after its client has left: the ids
/// of rejected requests displaced those of requests that had run.
#[test]
fn an_id_that_has_run_is_not_run_again_after_many_rejected_requests() {
    let backend = start_backend();
    let id = "000000000baf0001";
    let mut edge = backend.connect();
    edge.send_request(1, id, b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    reset_connection(&edge.stream);
    let mut other = backend.connect();
    for first in (1..=OTHER_IDS).step_by(MAX_OPEN_REQUESTS as usize) {
        for sequence in first..first + MAX_OPEN_REQUESTS {
            let id = format!("00000000{sequence:08x}");
            let fields = request_fields_with(&id, "ms", "900000.00");
            other.send_request_with_fields(sequence, &fields, b"run");
        }
        for _ in 0..MAX_OPEN_REQUESTS {
            let answer = other.read_answer().expect("an answer");
            assert_eq!(answer.kind, AnswerKind::Rejected);
        }
    }
    let mut again = backend.connect();
    again.send_request(1, id, b"run");
    again.expect_answer(1, AnswerKind::Exception);
    assert_eq!(backend.executor().ends[id], 1, "the request has run once");
}
