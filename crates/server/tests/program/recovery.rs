//! The program serves again after a disruption: no message and no fault of a peer leaves it in a
//! state in which it rejects every request.

use std::time::Duration;

use crate::harness::backend::start_backend;
use crate::harness::edge_node::{AnswerKind, request_fields_with};

/// Longer than the window over which the controller takes the mean work of arrivals.
const QUIET_TIME: Duration = Duration::from_millis(5_500);

/// More than a tick of the controller.
const SEVERAL_TICKS: Duration = Duration::from_millis(200);

/// After a quiet time, one request whose work estimate rounded to 0 made the program reject every
/// later request until its restart: the slowdown became 0 / 0.
#[test]
fn requests_are_served_after_one_with_an_estimate_of_zero() {
    let backend = start_backend();
    std::thread::sleep(QUIET_TIME);
    let mut bad_client = backend.connect();
    let fields = request_fields_with("00000000000000f0", "ms", "0.0000001");
    bad_client.send_request_with_fields(1, &fields, b"unknown");
    bad_client.expect_answer(1, AnswerKind::Crashed);
    std::thread::sleep(SEVERAL_TICKS);
    let mut edge = backend.connect();
    for sequence in 1..=5 {
        edge.send_request(sequence, &format!("00000000000000f{sequence}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
}
