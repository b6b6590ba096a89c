//! Loss of the link to the executor, its resynchronisation, and an executor that violates its
//! protocol.

use std::collections::HashMap;
use std::net::Shutdown;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::harness::backend::{start_backend, start_backend_with_changes};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, answers_until_close, request_fields};
use crate::harness::wait_until;
use crate::soak::delays::Delays;

/// The executor's link breaks while a run ends, so that nobody receives the notice of its end. The
/// next link begins with the notices that were missed: the run is answered and not started again,
/// and a request that arrived in between is run once.
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
        // The run ends while no link is there to report it.
        executor.end_run("00000000000000b2", "success", b"ended unheard");
        link.shutdown(Shutdown::Both).unwrap();
    }
    edge.send_request(3, "00000000000000b3", b"hang");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"ended unheard")
    );
    // The request that arrived in between is run once.
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

/// The notice of a run's end is lost for good, so the executor neither runs it nor reports it.
/// Whether it had effects cannot be known: its request fails and is not run again, and the run
/// behind it is answered.
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
        // The notice of the first run's end is lost.
        executor.end_run("00000000000000e1", "success", b"forgotten");
        executor.notices.last_mut().unwrap().clear();
        executor.end_run("00000000000000e2", "success", b"kept");
    }
    let (one, other) = (edge.read_answer().unwrap(), edge.read_answer().unwrap());
    for answer in [one, other] {
        let kind = if answer.sequence == 1 {
            AnswerKind::Crashed
        } else {
            AnswerKind::Answer
        };
        assert_eq!(answer.kind, kind);
    }
    assert!(backend.executor().runs.is_empty(), "run again");
}

/// The executor does not know the ids of some requests and reports them as invalid. Those requests
/// fail. Such failures must not make the controller reject the requests of others.
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
        // After failed runs the feedback value is 0; how much below its maximum it is on a busy
        // machine is not asserted here.
        let answer = edge.expect_answer(sequence, AnswerKind::Answer);
        assert!(
            answer.contains(b"signal") && !answer.contains(b"0.0000"),
            "no traffic is wanted"
        );
    }
}

/// An executor that sends what is no message, or a line that is too long, loses its link, and a new
/// one is opened. Messages that have no meaning here, and commands that it reports as invalid,
/// leave the link as it is.
#[test]
fn an_executor_that_violates_its_protocol_is_connected_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    let long = "x".repeat(5000);
    for (sequence, nonsense) in (1..).zip([
        "HELLO 1\r\n",
        "REAP 1 2\r\n",
        "IOREQ 5 x -1\r\n",
        "\u{1}\r\n",
        &long,
    ]) {
        let links = backend.executor().link_count;
        backend.executor().send_line(nonsense.to_owned());
        wait_until(nonsense, || backend.executor().link_count > links);
        edge.send_request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
    // Messages without a meaning and a rejected command leave the link as it is.
    edge.send_request(9, "00000000000000f9", b"hang");
    wait_until("the request runs", || !backend.executor().runs.is_empty());
    let links = backend.executor().link_count;
    backend.executor().send_line(
        "EINVAL NOIO x\r\nINFO 999999 x\r\nEINVAL SCHED 00000000000000f9\r\n".to_owned(),
    );
    edge.expect_answer(9, AnswerKind::Crashed);
    assert_eq!(backend.executor().link_count, links);
}

/// The executor's link is cut over and over and the store goes down in between, with requests on
/// four connections. Each request gets one answer, with a result of its own, and no run is started
/// twice.
#[test]
fn each_request_is_answered_once_while_links_are_cut() {
    const REQUESTS_PER_CONNECTION: u32 = 150;
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..4).map(|_| backend.connect()).collect();
    let mut left: Vec<Vec<u32>> = vec![(1..=REQUESTS_PER_CONNECTION).collect(); edges.len()];
    let mut sent = 0;
    while left.iter().any(|left| !left.is_empty()) {
        // A few more requests on each connection; their answers come in any order while links
        // break.
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
                let answer = edge.read_answer().expect("an answer for each");
                let index = left[at]
                    .iter()
                    .position(|&sequence| sequence == answer.sequence);
                left[at].swap_remove(index.expect("once each"));
                let own = format!("page \0 {at:08x}{:08x}", answer.sequence);
                let is_own_result = [own.as_bytes(), b"richer", b"poorer"]
                    .iter()
                    .any(|result| answer.contains(result));
                assert!(
                    answer.kind != AnswerKind::Answer || is_own_result,
                    "a result of its own"
                );
            }
        }
    }
    let executor = backend.executor();
    assert!(executor.link_count > 10, "{} links", executor.link_count);
    assert!(executor.ends.values().all(|&ends| ends == 1), "run again");
}

/// A link broke just as a run started, and the run ended while the next link was being
/// resynchronised: behind the notices that were read there, and before anything sent over it
/// arrived. The backend sent the start again, and the run happened twice. A start that may have
/// arrived is now repeated only for idempotent requests; any other counts as lost.
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
        // Once this request has run, the backend has read all that the executor sent before.
        edge.send_request(2, "0000000000ef0002", b"run");
        edge.expect_answer(2, AnswerKind::Answer);
        // A duplicate is not run either.
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

/// A result and the end of the executor's link are both in the receive buffer when the backend
/// reads, by turns with the shutdown notice. The result is read before the end, or sent again over
/// the next link and taken once.
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
    assert_eq!(answers_until_close(&mut edge), HashMap::new(), "once each");
    assert!(
        backend.executor().ends.values().all(|&ends| ends == 1),
        "run again"
    );
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

/// Guards against requests that are answered too late because the timers of the controller wait for
/// the gauges of an executor that hangs: each tick does, for up to 60 ms in place of 25.
#[test]
fn requests_are_answered_in_time_while_the_executor_does_not_reply() {
    const DEADLINE: Duration = Duration::from_millis(400);
    /// `grace_to_answer` of the configuration, and what PROTOCOL.md adds to each time limit.
    const SLACK: Duration = Duration::from_millis(60 + 50);
    let backend = start_backend_with_changes(&[
        ("\"objective\":10000.0", "\"objective\":300.0"),
        ("\"deadline\":20000.0", "\"deadline\":400.0"),
    ]);
    backend.executor().should_ignore_queries = true;
    let delays = Delays::default();
    for round in 0..20u32 {
        // At different moments between two ticks.
        std::thread::sleep(Duration::from_millis(u64::from(round * 7 % 60)));
        let mut edge = backend.connect();
        let sent_at = Instant::now();
        let took = delays.measure_while(|| {
            for sequence in 1..=4 {
                let id = format!("000000000eca{round:02x}{sequence:02x}");
                edge.send_request(sequence, &id, b"hang");
            }
            for _ in 1..=4 {
                edge.read_answer().expect("an answer for each");
            }
            sent_at.elapsed()
        });
        let own_delay = delays.longest(sent_at, sent_at + took);
        assert!(took <= DEADLINE + SLACK + own_delay, "{took:?}");
    }
}
