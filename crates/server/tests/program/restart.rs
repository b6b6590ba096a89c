//! A process that is killed and started again under the same name and address.

use crate::harness::backend::{spawn_program, start_backend};
use crate::harness::edge_node::AnswerKind;
use crate::harness::wait_until;

/// The process is killed with requests read, run, and answered but not sent, and starts again under
/// the same name and address while runs of the previous process still end. Their events must not be
/// taken for events of new requests, not even where a new request has the id of an old one.
#[test]
fn a_restart_ignores_events_of_the_previous_process() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    for (sequence, body) in (1..).zip([&b"hang"[..], b"hang", b"call", b"run"]) {
        edge.send_request(sequence, &format!("0000000000fa{sequence:04x}"), body);
    }
    wait_until("two requests run", || backend.executor().runs.len() >= 2);
    backend.child.kill().unwrap();
    backend.child.wait().unwrap();
    let answered: Vec<u32> = std::iter::from_fn(|| edge.read_answer())
        .map(|answer| answer.sequence)
        .collect();
    assert!(
        answered.iter().all(|sequence| *sequence > 2),
        "{answered:?}"
    );
    // Notices count from 1 again; those of the previous process's runs come first.
    {
        let mut executor = backend.executor();
        executor.link = None;
        executor.notices.clear();
        executor.end_run("0000000000fa0001", "success", b"of the former life");
        executor.send_notice(
            "IOREQ",
            "0000000000fa0002".into(),
            b"a call of the former life",
        );
    }
    backend.child = spawn_program(&backend.config_file);
    backend.wait_until_serving();
    backend
        .executor()
        .send_line("EINVAL SCHED 0000000000fa0003\r\nEINVAL PREEMPT 0000000000fa0001\r\n".into());
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000fa0009", b"hang");
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("0000000000fa0009")
    });
    // An id of the previous process, one of whose runs ends just now.
    backend
        .executor()
        .end_run("0000000000fa0002", "success", b"of the former life");
    edge.send_request(2, "0000000000fa0001", b"run");
    let answer = edge.expect_answer(2, AnswerKind::Answer);
    assert!(
        answer.contains(b"page \0 0000000000fa0001"),
        "another life's result"
    );
    backend
        .executor()
        .end_run("0000000000fa0009", "success", b"its own");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"its own")
    );
    drop(edge);
    backend.signal("TERM");
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}
