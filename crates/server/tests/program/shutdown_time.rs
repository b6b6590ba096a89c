//! What a shutdown spends its time on, with an order of events that is forced: the process is
//! stopped while its callers connect and write, and gets the notice before it goes on.

use std::time::{Duration, Instant};

use crate::harness::backend::{TestBackend, start_backend_with_changes};
use crate::harness::edge_node::{EdgeConnection, answers_until_close};

/// Requests on each connection.
const REQUESTS: u32 = 24;

fn start(drain_grace: &str, stop_ms: &str) -> TestBackend {
    start_backend_with_changes(&[
        ("\"drain_grace\":1000.0", drain_grace),
        ("\"stop_ms\":4000", stop_ms),
    ])
}

fn connect_all(backend: &TestBackend, connections: u32) -> Vec<EdgeConnection> {
    (0..connections).map(|_| backend.connect()).collect()
}

fn send_all(edges: &mut [EdgeConnection]) {
    for (at, edge) in (0u32..).zip(edges) {
        for sequence in 1..=REQUESTS {
            edge.send_request(sequence, &format!("0000{at:08x}{sequence:04x}"), b"run");
        }
    }
}

/// Guards against a shutdown that reads thousands of requests, with a coroutine for each, before it
/// answers the first, and ends with none of them answered.
#[test]
fn requests_that_wait_unread_at_a_shutdown_are_answered_before_a_close_kill() {
    const CONNECTIONS: u32 = 200;
    const STOP: Duration = Duration::from_millis(200);
    let mut backend = start("\"drain_grace\":100.0", "\"stop_ms\":200");
    backend.signal("STOP");
    let mut edges = connect_all(&backend, CONNECTIONS);
    send_all(&mut edges);
    backend.signal("TERM");
    let notified_at = Instant::now();
    backend.signal("CONT");
    std::thread::sleep(STOP.saturating_sub(notified_at.elapsed()));
    let _ = backend.child.kill();
    backend.child.wait().unwrap();
    let answered = edges.iter_mut().map(|edge| answers_until_close(edge).len());
    assert_eq!(answered.sum::<usize>(), (CONNECTIONS * REQUESTS) as usize);
}
