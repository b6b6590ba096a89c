//! A process that is killed and restarted with the same name and address.

use crate::harness::backend::{spawn_program, start_backend};
use crate::harness::edge_node::AnswerKind;
use crate::harness::wait_until;

/// Guards against events of the previous process that are matched to new requests: the process is
/// killed with requests that are running, waiting for a call or answered, and restarted with the
/// same name and address while runs of the previous process still end. Their events must be
/// ignored, even if a new request has the id of an old one.
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
    // The numbers of notices start at 1 again; the first notices are for runs of the previous
    // process.
    {
        let mut executor = backend.executor();
        executor.link = None;
        executor.notices.clear();
        executor.end_run("0000000000fa0001", "success", b"of the previous process");
        executor.send_notice(
            "IOREQ",
            "0000000000fa0002".into(),
            b"a call of the previous process",
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
    // A request with an id of the previous process, while a run of that process ends.
    backend
        .executor()
        .end_run("0000000000fa0002", "success", b"of the previous process");
    edge.send_request(2, "0000000000fa0001", b"run");
    let answer = edge.expect_answer(2, AnswerKind::Answer);
    assert!(
        answer.contains(b"page \0 0000000000fa0001"),
        "the result of the new request"
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
