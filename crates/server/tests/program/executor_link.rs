//! Loss and resynchronisation of the link to the executor, and an executor that violates its
//! protocol.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::harness::backend::{start_backend, start_backend_with_changes};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, answers_until_close, request_fields};
use crate::harness::wait_until;
use crate::soak::delays::Delays;

/// Guards against a run that is repeated because its end was not received: the executor's link
/// breaks while the run ends. The next link begins with the missed notices, so the request is
/// answered and not run again, and a request that arrived in between is run once.
#[test]
fn a_broken_executor_link_is_resumed_without_repeating_runs() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000b1", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    edge.send_request(2, "00000000000000b2", b"hang");
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("00000000000000b2")
    });
    {
        let mut executor = backend.executor();
        let link = executor.link.take().unwrap();
        // The run ends while the executor has no link.
        executor.end_run("00000000000000b2", "success", b"ended without link");
        link.shutdown(Shutdown::Both).unwrap();
    }
    edge.send_request(3, "00000000000000b3", b"hang");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"ended without link")
    );
    wait_until("the request runs", || {
        backend.executor().runs.contains_key("00000000000000b3")
    });
    let mut executor = backend.executor();
    assert_eq!(executor.link_count, 2);
    assert!(!executor.runs.contains_key("00000000000000b2"), "run again");
    executor.end_run("00000000000000b3", "failure", b"");
    drop(executor);
    edge.expect_answer(3, AnswerKind::Crashed);
}

/// Guards against a run that is repeated although its effects are unknown: the notice of its end is
/// lost, and the executor neither runs it nor reports its end. Its request fails and is not run
/// again, and the next run is answered.
#[test]
fn a_run_whose_end_notice_is_missing_is_not_run_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000e1", b"hang");
    edge.send_request(2, "00000000000000e2", b"hang");
    wait_until("both requests run", || backend.executor().runs.len() == 2);
    {
        let mut executor = backend.executor();
        executor
            .link
            .take()
            .unwrap()
            .shutdown(Shutdown::Both)
            .unwrap();
        // The notice of the end of the first run is lost.
        executor.end_run("00000000000000e1", "success", b"lost");
        executor.notices.last_mut().unwrap().clear();
        executor.end_run("00000000000000e2", "success", b"result");
    }
    let (first, second) = (edge.read_answer().unwrap(), edge.read_answer().unwrap());
    for answer in [first, second] {
        let kind = if answer.sequence == 1 {
            AnswerKind::Crashed
        } else {
            AnswerKind::Answer
        };
        assert_eq!(answer.kind, kind);
    }
    assert!(backend.executor().runs.is_empty(), "run again");
}

/// Guards against a controller that rejects valid requests because earlier requests failed:
/// requests whose ids the executor reports as invalid fail, and all others are served.
#[test]
fn ids_unknown_to_the_executor_fail_only_their_own_requests() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for sequence in 1..20 {
        edge.send_request(
            sequence,
            &format!("0000000000adb{sequence:03x}"),
            b"unknown",
        );
        edge.expect_answer(sequence, AnswerKind::Crashed);
    }
    for sequence in 20..30 {
        edge.send_request(sequence, &format!("0000000000adb{sequence:03x}"), b"run");
        // The feedback value must not be 0 after failed runs. The test does not assert more,
        // because on a busy machine it is below its maximum.
        let answer = edge.expect_answer(sequence, AnswerKind::Answer);
        assert!(
            answer.contains(b"signal") && !answer.contains(b"0.0000"),
            "the feedback value is 0"
        );
    }
}

/// Guards against a backend without an executor after a protocol violation: the backend closes the
/// link after an invalid message or a line that is too long, and opens a new one. Valid messages
/// that refer to nothing, and commands that the executor reports as invalid, do not end the link.
#[test]
fn an_executor_that_violates_its_protocol_is_connected_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    let long = "x".repeat(5000);
    for (sequence, invalid_line) in (1..).zip([
        "HELLO 1\r\n",
        "REAP 1 2\r\n",
        "IOREQ 5 x -1\r\n",
        "\u{1}\r\n",
        &long,
    ]) {
        let links = backend.executor().link_count;
        backend.executor().send_line(invalid_line.to_owned());
        wait_until(invalid_line, || backend.executor().link_count > links);
        edge.send_request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
    // A reply to an unknown query, and commands that the executor reports as invalid, do not end
    // the link.
    edge.send_request(9, "00000000000000f9", b"hang");
    wait_until("the request runs", || !backend.executor().runs.is_empty());
    let links = backend.executor().link_count;
    backend.executor().send_line(
        "EINVAL NOIO x\r\nINFO 999999 x\r\nEINVAL SCHED 00000000000000f9\r\n".to_owned(),
    );
    edge.expect_answer(9, AnswerKind::Crashed);
    assert_eq!(backend.executor().link_count, links);
}

/// Guards against requests that are run twice, lost or answered with the result of another request:
/// the link to the executor breaks repeatedly and the store is down in between, with requests on
/// four connections. Each request gets one answer with its own result and runs once.
#[test]
fn each_request_is_answered_once_while_links_are_cut() {
    const REQUESTS_PER_CONNECTION: u32 = 150;
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..4).map(|_| backend.connect()).collect();
    let mut left: Vec<Vec<u32>> = vec![(1..=REQUESTS_PER_CONNECTION).collect(); edges.len()];
    let mut sent = 0;
    while left.iter().any(|left| !left.is_empty()) {
        // Ten more requests on each connection; their answers arrive in any order.
        let batch = sent..REQUESTS_PER_CONNECTION.min(sent + 10);
        for (at, edge) in edges.iter_mut().enumerate() {
            for sequence in batch.clone() {
                let body = if (sequence + at as u32).is_multiple_of(3) {
                    &b"call"[..]
                } else {
                    b"run"
                };
                edge.send_request(sequence + 1, &format!("{at:08x}{:08x}", sequence + 1), body);
            }
        }
        sent = batch.end;
        if let Some(link) = backend.executor().link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        backend
            .store
            .is_down
            .store(sent % 40 == 0, Ordering::Release);
        for (at, edge) in edges.iter_mut().enumerate() {
            while left[at].iter().any(|&sequence| sequence <= sent) {
                let answer = edge.read_answer().expect("an answer to each request");
                let index = left[at]
                    .iter()
                    .position(|&sequence| sequence == answer.sequence);
                left[at].swap_remove(index.expect("one answer to each request"));
                let own_result = format!("page \0 {at:08x}{:08x}", answer.sequence);
                let is_own_result = [own_result.as_bytes(), b"richer", b"poorer"]
                    .iter()
                    .any(|result| answer.contains(result));
                assert!(
                    answer.kind != AnswerKind::Answer || is_own_result,
                    "the request's own result"
                );
            }
        }
    }
    let executor = backend.executor();
    assert!(executor.link_count > 10, "{} links", executor.link_count);
    assert!(executor.ends.values().all(|&ends| ends == 1), "run again");
}

/// Guards against a run that happens twice: the link breaks when the run starts, and the run ends
/// during the resynchronisation of the next link, after the missed notices were sent and before a
/// command arrives over it. A start that may have arrived is repeated only for idempotent requests;
/// any other request counts as lost.
#[test]
fn a_run_that_ends_during_link_resynchronisation_is_not_run_again() {
    for effect in [
        r#""effect":"side_effect""#,
        r#""effect":"token","memory_span":9000.0"#,
    ] {
        let backend = start_backend_with_changes(&[(r#""effect":"pure""#, effect)]);
        let id = "0000000000ef0001";
        backend.executor().should_cut_link_at_start = true;
        let mut edge = backend.connect();
        let mut keyed = request_fields(id, "20.0");
        keyed.push(("opkey", "ef".to_owned()));
        edge.send_request_with_fields(1, &keyed, b"hang");
        let first = edge.read_answer().expect("an answer");
        assert!(
            first.kind == AnswerKind::Crashed || first.contains(b"ended in resynchronisation"),
            "{:?}",
            first.kind
        );
        // Once this request is answered, the backend has read all earlier messages of the executor.
        edge.send_request(2, "0000000000ef0002", b"run");
        edge.expect_answer(2, AnswerKind::Answer);
        // A duplicate of the keyed request is not run either.
        let mut again = request_fields("0000000000ef0003", "20.0");
        again.push(("opkey", "ef".to_owned()));
        if effect.contains("token") {
            edge.send_request_with_fields(3, &again, b"hang");
            edge.expect_answer(3, first.kind);
        }
        let executor = backend.executor();
        assert_eq!(
            (executor.ends.get(id), executor.runs.len()),
            (Some(&1), 0),
            "run again"
        );
    }
}

/// Guards against a server that never serves again: starts that the executor loses with its link
/// counted as arrived, because it had replied to a query after them, and each kept a core of the
/// idle executor for good. An idempotent start is sent again, a start that may run at most once
/// fails, and the next requests are served.
#[test]
fn starts_that_are_lost_after_an_answered_query_keep_no_core() {
    /// More than the cores of the executor.
    const LOST_STARTS: u32 = 6;
    for (effect, expected) in [
        (r#""effect":"pure""#, AnswerKind::Answer),
        (r#""effect":"side_effect""#, AnswerKind::Crashed),
    ] {
        let backend = start_backend_with_changes(&[(r#""effect":"pure""#, effect)]);
        let mut edge = backend.connect();
        for sequence in 1..=LOST_STARTS {
            let id = format!("000000000a0d{sequence:04x}");
            backend.executor().starts_to_lose = 1;
            edge.send_request(sequence, &id, b"run");
            let answer = edge.read_answer().expect("an answer");
            assert_eq!((answer.sequence, &answer.kind), (sequence, &expected));
            let ends = backend.executor().ends.get(&id).copied();
            assert_eq!(ends.is_some(), expected == AnswerKind::Answer, "{id}");
        }
        let begin = Instant::now();
        edge.send_request(100, "000000000a0d0100", b"run");
        edge.expect_answer(100, AnswerKind::Answer);
        assert!(begin.elapsed() < Duration::from_secs(1));
        assert!(
            backend.executor().ends.values().all(|&ends| ends == 1),
            "run again"
        );
    }
}

/// Guards against a result that is lost or handled twice: it is in the receive buffer together with
/// the end of the executor's link, and in the last turn with a shutdown notice. The backend reads
/// the result before the end, or receives it again over the next link and handles it once.
#[test]
fn a_result_received_before_the_link_ends_is_answered_once() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    for turn in 0..6u32 {
        let id = format!("000000000a0c{turn:04x}");
        edge.send_request(turn + 1, &id, b"hang");
        wait_until("the request runs", || {
            backend.executor().runs.contains_key(&id)
        });
        backend.signal("STOP");
        {
            let mut executor = backend.executor();
            executor.end_run(&id, "success", b"its own");
            executor
                .link
                .take()
                .unwrap()
                .shutdown(Shutdown::Both)
                .unwrap();
        }
        if turn == 5 {
            backend.signal("TERM");
        }
        backend.signal("CONT");
        let answer = std::iter::from_fn(|| edge.read_answer())
            .find(|answer| answer.kind != AnswerKind::NoMore)
            .unwrap();
        assert_eq!(
            (answer.sequence, &answer.kind),
            (turn + 1, &AnswerKind::Answer)
        );
        assert!(answer.contains(b"its own"));
    }
    assert_eq!(
        answers_until_close(&mut edge),
        HashMap::new(),
        "one answer each"
    );
    assert!(
        backend.executor().ends.values().all(|&ends| ends == 1),
        "run again"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against requests that are answered too late because each tick of the controller waits for
/// the gauges of an executor that hangs, so that ticks follow each other after up to 60 ms in place
/// of 25 ms.
#[test]
fn requests_are_answered_in_time_while_the_executor_does_not_reply() {
    const DEADLINE: Duration = Duration::from_millis(400);
    /// `grace_to_answer` of the configuration, and the 50 ms that PROTOCOL.md adds to each time
    /// limit.
    const SLACK: Duration = Duration::from_millis(60 + 50);
    let backend = start_backend_with_changes(&[
        ("\"objective\":10000.0", "\"objective\":300.0"),
        ("\"deadline\":20000.0", "\"deadline\":400.0"),
    ]);
    backend.executor().should_ignore_queries = true;
    let delays = Delays::default();
    for round in 0..20u32 {
        // The requests arrive at different times between two ticks.
        std::thread::sleep(Duration::from_millis(u64::from(round * 7 % 60)));
        let mut edge = backend.connect();
        let sent_at = Instant::now();
        let took = delays.measure_while(|| {
            for sequence in 1..=4 {
                let id = format!("000000000eca{round:02x}{sequence:02x}");
                edge.send_request(sequence, &id, b"hang");
            }
            for _ in 1..=4 {
                edge.read_answer().expect("an answer to each request");
            }
            sent_at.elapsed()
        });
        let test_delay = delays.longest(sent_at, sent_at + took);
        assert!(took <= DEADLINE + SLACK + test_delay, "{took:?}");
    }
}
