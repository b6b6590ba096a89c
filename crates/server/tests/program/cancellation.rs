//! Requests that callers cancel, with settings that announce cancellations (`cancel_seen`).

use std::collections::HashMap;
use std::io::Write;

use crate::harness::backend::{BackendSetup, TestBackend, config_json, spawn_program};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, encode_string, request_fields};
use crate::harness::wait_until;

impl EdgeConnection {
    fn encode_cancellation(&self, sequence: u32) -> Vec<u8> {
        let head = [
            &b"\x80\x01\0\x04"[..],
            &encode_string(b"giveUp"),
            &0u32.to_be_bytes(),
        ]
        .concat();
        encode_string(&[&head[..], b"\x08\0\x01", &sequence.to_be_bytes(), b"\0"].concat())
    }

    fn cancel(&mut self, sequence: u32) {
        let message = self.encode_cancellation(sequence);
        self.stream.write_all(&message).unwrap();
    }
}

fn start_backend_with_cancellations() -> TestBackend {
    BackendSetup::new()
        .change(r#""cores":4"#, r#""cores":4,"cancel_seen":true"#)
        .spawn()
}

/// Cancels requests right before or right after their runs end; each may get one answer or none.
fn cancel_as_runs_end(backend: &TestBackend, edge: &mut EdgeConnection) {
    for turn in 0..30u32 {
        let id = format!("0000000000f5{turn:04x}");
        edge.send_request(100 + turn, &id, b"hang");
        wait_until("the request runs", || {
            backend.executor().runs.contains_key(&id)
        });
        if turn % 2 == 0 {
            backend.executor().end_run(&id, "success", b"crossing");
            edge.cancel(100 + turn);
        } else {
            edge.cancel(100 + turn);
            backend.executor().end_run(&id, "success", b"crossing");
        }
    }
}

/// Ends the remaining runs, stops the backend and restarts it with settings that do not announce
/// cancellations.
fn restart_without_cancellations(backend: &mut TestBackend) {
    backend.signal("TERM");
    let left: Vec<String> = backend.executor().runs.keys().cloned().collect();
    for id in left {
        backend.executor().end_run(&id, "interrupted", b"");
    }
    assert_eq!(backend.wait_for_exit().code(), Some(0));
    std::fs::write(&backend.config_file, config_json(&backend.host)).unwrap();
    backend.child = spawn_program(&backend.config_file);
    backend.wait_until_serving();
}

/// Guards against a cancellation that is handled as a malformed message, which closes its
/// connection and loses the other requests on it, and against one that is ignored because it
/// arrives in the same read as its request, which then runs without a caller. A cancellation is
/// matched to its request by sequence, and a request that is cancelled before it is registered is
/// rejected immediately. Callers cancel requests before, with and after the answer, twice, and
/// requests that never existed.
#[test]
fn a_cancellation_affects_its_own_request_alone() {
    let mut backend = start_backend_with_cancellations();
    backend.wait_until_serving();
    let mut edge = backend.connect();
    edge.send_request(1, "0000000000f40001", b"hang");
    edge.send_request(2, "0000000000f40002", b"hang");
    wait_until("both requests run", || backend.executor().runs.len() == 2);
    edge.cancel(1);
    // The executor acknowledges that the run is stopped; the backend sends no answer after that.
    wait_until("the run is cancelled", || {
        backend.executor().ends.contains_key("0000000000f40001")
    });
    // Cancellations of a finished request, of one that never existed, and a duplicate.
    for sequence in [1, 77, 1] {
        edge.cancel(sequence);
    }
    cancel_as_runs_end(&backend, &mut edge);
    // A request and its cancellation in one write: the request must not run.
    let mut both = edge.encode_request(200, &request_fields("0000000000f60001", "20.0"), b"hang");
    both.extend(edge.encode_cancellation(200));
    edge.stream.write_all(&both).unwrap();
    backend
        .executor()
        .end_run("0000000000f40002", "success", b"all the same");
    let mut seen = HashMap::new();
    loop {
        let answer = edge.read_answer().expect("the connection stays open");
        *seen.entry(answer.sequence).or_insert(0) += 1;
        if answer.sequence == 2 {
            assert!(answer.contains(b"all the same"));
            break;
        }
    }
    edge.send_request(300, "0000000000f70001", b"run");
    let last = std::iter::from_fn(|| edge.read_answer()).find(|answer| answer.sequence == 300);
    assert!(last.is_some_and(|answer| answer.kind == AnswerKind::Answer));
    {
        let executor = backend.executor();
        let ran = |id: &str| executor.runs.contains_key(id) || executor.ends.contains_key(id);
        assert!(
            ran("0000000000f70001") && !ran("0000000000f60001"),
            "the request after the cancelled one runs, the cancelled one does not"
        );
    }
    assert!(
        seen.values().all(|&count| count == 1) && !seen.contains_key(&1),
        "{seen:?}"
    );
    // Without the setting a cancellation is a malformed message.
    drop(edge);
    restart_without_cancellations(&mut backend);
    let mut edge = backend.connect();
    edge.cancel(1);
    assert!(edge.read_answer().is_none(), "closed");
}
