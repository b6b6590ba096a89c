//! Callers that cancel requests, where the settings announce that they do.

use std::collections::HashMap;
use std::io::Write;

use crate::harness::backend::{TestBackend, config_json, spawn_backend, write_config};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, encode_string, request_fields};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{unique_address, wait_until};

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
