//! Duplicates of requests with an idempotency key.

use std::time::Duration;

use crate::harness::backend::start_backend_with_changes;
use crate::harness::edge_node::{AnswerKind, request_fields, request_fields_with};
use crate::harness::wait_until;

/// Guards against a duplicate that is run within the retention window of 1.5 s, because the time at
/// which the request is read counts in place of the time of its arrival at the machine. Duplicates
/// of a keyed request arrive within, at the end of and after the window. One within it gets the
/// first result; one after it is run.
#[test]
fn a_keyed_duplicate_is_recognised_by_its_arrival_within_the_window() {
    const WINDOW_MS: u64 = 1500;
    // The backend counts the window in steps of this length, so it may end up to one step late.
    const STEP_MS: u64 = 250;
    let backend = start_backend_with_changes(&[(
        r#""effect":"pure""#,
        &format!(r#""effect":"token","memory_span":{WINDOW_MS}.0"#),
    )]);
    let keyed = |id: &str, key: &str, stamp: u64| {
        let mut fields = request_fields_with(id, "ts", &stamp.to_string());
        fields.push(("opkey", key.to_owned()));
        fields
    };
    // The offset of the duplicate's arrival from the end of the window in milliseconds, and whether
    // the duplicate must be recognised (`None`: either is allowed).
    let cases: [(i64, Option<bool>); 6] = [
        (-1000, Some(true)),
        (-50, Some(true)),
        (-1, Some(true)),
        (0, None),
        (STEP_MS as i64 + 50, Some(false)),
        (500, Some(false)),
    ];
    std::thread::scope(|scope| {
        for (case, (offset, known)) in cases.into_iter().enumerate() {
            let (backend, keyed) = (&backend, &keyed);
            scope.spawn(move || {
                let key = format!("window-{case}");
                let (first_id, second_id) = (
                    format!("000000000c01{case:04x}"),
                    format!("000000000c02{case:04x}"),
                );
                let mut edge = backend.connect();
                let first_stamp = unix_milliseconds();
                edge.send_request_with_fields(1, &keyed(&first_id, &key, first_stamp), b"run");
                assert!(
                    edge.expect_answer(1, AnswerKind::Answer)
                        .contains(first_id.as_bytes())
                );
                let second_stamp = (first_stamp + WINDOW_MS).saturating_add_signed(offset);
                while unix_milliseconds() < second_stamp {
                    std::thread::sleep(Duration::from_millis(1));
                }
                edge.send_request_with_fields(2, &keyed(&second_id, &key, second_stamp), b"run");
                let answer = edge.expect_answer(2, AnswerKind::Answer);
                let was_known = answer.contains(first_id.as_bytes());
                assert!(
                    was_known || answer.contains(second_id.as_bytes()),
                    "the result of the first request or its own"
                );
                assert_eq!(backend.was_run(&second_id), !was_known, "offset {offset}");
                if let Some(known) = known {
                    assert_eq!(was_known, known, "offset {offset}");
                }
            });
        }
    });
}

fn unix_milliseconds() -> u64 {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    now.as_millis() as u64
}

/// Guards against a duplicate effect: if there is no memory for another request, a new request is
/// rejected with a Retry-After, and a rejection means that the request was not run. If a duplicate
/// of a request that was run were rejected too, its caller could retry on another server, where it
/// would run again. The duplicate fails instead.
#[test]
fn a_duplicate_of_a_run_is_not_rejected_for_memory() {
    let backend = start_backend_with_changes(&[
        (
            r#""effect":"pure""#,
            r#""effect":"token","memory_span":9000.0"#,
        ),
        (r#""memory_mb":192"#, r#""memory_mb":1"#),
    ]);
    let fields_with_key = |id: &str, key: &str| {
        let mut fields = request_fields(id, "20.0");
        fields.push(("opkey", key.to_owned()));
        fields
    };
    let mut edge = backend.connect();
    edge.send_request_with_fields(1, &fields_with_key("0000000000e10001", "first"), b"run");
    let first = edge.expect_answer(1, AnswerKind::Answer);
    assert!(first.contains(b"page \0 0000000000e10001"));
    // A duplicate with the same body gets the first result; one with another body gets an
    // exception.
    edge.send_request_with_fields(2, &fields_with_key("0000000000e10002", "first"), b"run");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"page \0 0000000000e10001")
    );
    edge.send_request_with_fields(3, &fields_with_key("0000000000e10003", "first"), b"runs");
    edge.expect_answer(3, AnswerKind::Exception);
    // The maximum number of requests for which there is memory.
    let max_requests = (0.45 * 1024.0 / 24.0) as u32;
    for at in 0..max_requests {
        edge.send_request_with_fields(
            10 + at,
            &fields_with_key(&format!("0000000000e2{at:04x}"), &format!("k{at}")),
            b"hang",
        );
    }
    wait_until("there is no memory for another request", || {
        let mut prober = backend.connect();
        let id = format!(
            "{:016x}",
            0xe300_0000u32 + backend.executor().notices.len() as u32
        );
        prober.send_request_with_fields(1, &fields_with_key(&id, &id), b"run");
        prober.read_answer().is_some_and(|answer| {
            answer.kind == AnswerKind::Rejected && answer.contains(b"holdoff")
        })
    });
    // This connection is opened late, because the backend would close a silent one on a slow
    // machine.
    let mut other = backend.connect();
    other.send_request_with_fields(1, &fields_with_key("0000000000e10004", "first"), b"run");
    other.expect_answer(1, AnswerKind::Crashed);
}
