//! The program on loopback. Nothing here hangs on how fast the machine is: whatever is awaited has
//! long to come.

use std::io::Write;
use std::net::Shutdown;
use std::sync::atomic::Ordering;

use crate::harness::backend::{
    TestBackend, config_json, run_to_refusal, spawn_backend, start_backend,
    start_backend_with_sockets, write_config,
};
use crate::harness::edge_node::{AnswerKind, EdgeConnection, request_fields, request_fields_with};
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::start_store;
use crate::harness::{LONG_TIMEOUT, unique_address, wait_until};

#[test]
fn it_serves_calls_rejects_and_drains() {
    let mut backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "00000000000000a1", b"hang");
    edge.request(2, "00000000000000a2", b"run");
    // Answers come in any order, the result byte for byte, the free value with it.
    let done = edge.expect_answer(2, AnswerKind::Answer);
    assert!(done.contains(b"page \0 00000000000000a2") && done.contains(b"signal"));
    edge.request(3, "00000000000000a3", b"call");
    assert!(
        edge.expect_answer(3, AnswerKind::Answer)
            .contains(b"richer")
    );
    assert_eq!(backend.kernel.lock().unwrap().replies, [b"what is called"]);
    // More work than can be in time.
    edge.process(
        4,
        &request_fields_with("00000000000000a4", "ms", "60000.00"),
        b"run",
    );
    edge.expect_answer(4, AnswerKind::Rejected);
    // A hint beyond all reason may be an honest one: such requests are turned away, and the
    // connection goes on.
    for sequence in 5..20 {
        edge.process(
            sequence,
            &request_fields_with(&format!("000000000000a5{sequence:02}"), "ms", "900000.00"),
            b"run",
        );
        edge.expect_answer(sequence, AnswerKind::Rejected);
    }
    edge.call(20, "probe", b"\0");
    edge.expect_answer(20, AnswerKind::Answer);

    backend.signal("TERM");
    // What was read is answered, and the connection is wished closed.
    let (mut answered, mut no_more) = (false, false);
    while !(answered && no_more) {
        let answer = edge.read_answer().expect("an answer before the end");
        match answer.kind {
            AnswerKind::NoMore => no_more = true,
            _ => answered |= answer.sequence == 1,
        }
    }
    drop(edge);
    assert_eq!(backend.wait_for_exit().code(), Some(0));
}

#[test]
fn a_link_that_is_cut_is_resumed_where_it_was() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "00000000000000b1", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    edge.request(2, "00000000000000b2", b"hang");
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("00000000000000b2")
    });
    {
        let mut kernel = backend.kernel.lock().unwrap();
        let link = kernel.link.take().unwrap();
        // It ends while nobody hears of it.
        kernel.end("00000000000000b2", "success", b"ended unheard");
        link.shutdown(Shutdown::Both).unwrap();
    }
    edge.request(3, "00000000000000b3", b"hang");
    assert!(
        edge.expect_answer(2, AnswerKind::Answer)
            .contains(b"ended unheard")
    );
    // What came in between runs, and once.
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("00000000000000b3")
    });
    let mut kernel = backend.kernel.lock().unwrap();
    assert_eq!(kernel.link_count, 2);
    assert!(!kernel.runs.contains_key("00000000000000b2"), "run again");
    kernel.end("00000000000000b3", "failure", b"");
    drop(kernel);
    edge.expect_answer(3, AnswerKind::Crashed);
}

#[test]
fn peers_move_on_sighup() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "0000000000000aa1", b"hang");
    edge.request(2, "0000000000000aa2", b"hang");
    wait_until("both run", || {
        backend.kernel.lock().unwrap().runs.len() == 2
    });
    // A file half written changes nothing.
    std::fs::write(&backend.file, "{\"name\":").unwrap();
    backend.signal("HUP");
    edge.request(3, "0000000000000aa3", b"run");
    edge.expect_answer(3, AnswerKind::Answer);
    let there = unique_address();
    serve_executor(backend.kernel.clone(), &there);
    let store = start_store(&there);
    let announce = std::net::UdpSocket::bind((&there[..], 7946)).unwrap();
    announce.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
    let mut text = config_json(&backend.host);
    for port in [7300, 7700, 7946] {
        text = text.replace(
            &format!("{}:{port}", backend.host),
            &format!("{there}:{port}"),
        );
    }
    std::fs::write(&backend.file, text).unwrap();
    for _ in 0..3 {
        backend.signal("HUP");
    }
    // Runs continue, calls are made there, and there it is reported.
    wait_until("the link moves", || {
        backend.kernel.lock().unwrap().link_count == 2
    });
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000000aa1", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
    edge.request(4, "0000000000000aa4", b"call");
    assert!(
        edge.expect_answer(4, AnswerKind::Answer)
            .contains(b"richer")
    );
    assert_eq!(
        (
            backend.store.calls.load(Ordering::Acquire),
            store.calls.load(Ordering::Acquire)
        ),
        (0, 1)
    );
    let mut report = [0; 64];
    let length = announce.recv(&mut report).unwrap();
    assert_eq!(&report[..length], b"announce n3 true");
    // While it leaves, too.
    backend.signal("TERM");
    backend.signal("HUP");
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000000aa2", "success", b"in the end");
    while !edge
        .read_answer()
        .expect("an answer")
        .contains(b"in the end")
    {}
    assert!(
        backend
            .kernel
            .lock()
            .unwrap()
            .ends
            .values()
            .all(|&ends| ends == 1),
        "run again"
    );
}

#[test]
fn a_run_unheard_of_behind_missing_notices_is_not_run_again() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "00000000000000e1", b"hang");
    edge.request(2, "00000000000000e2", b"hang");
    wait_until("both run", || {
        backend.kernel.lock().unwrap().runs.len() == 2
    });
    {
        let mut kernel = backend.kernel.lock().unwrap();
        kernel
            .link
            .take()
            .unwrap()
            .shutdown(Shutdown::Both)
            .unwrap();
        // The end of the first is forgotten before anybody hears of it.
        kernel.end("00000000000000e1", "success", b"forgotten");
        kernel.notices.last_mut().unwrap().clear();
        kernel.end("00000000000000e2", "success", b"kept");
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
    assert!(backend.kernel.lock().unwrap().runs.is_empty(), "run again");
}

#[test]
fn calls_are_skipped_while_the_store_is_down() {
    let backend = start_backend();
    backend.store.down.store(true, Ordering::Release);
    let mut edge = backend.connect();
    for sequence in 1..4 {
        edge.request(sequence, &format!("00000000000000c{sequence}"), b"call");
        assert!(
            edge.expect_answer(sequence, AnswerKind::Answer)
                .contains(b"poorer")
        );
    }
    backend.store.down.store(false, Ordering::Release);
    wait_until("calls are made again", || {
        let mut edge = backend.connect();
        edge.request(
            1,
            &format!(
                "{:016x}",
                backend.store.calls.load(Ordering::Acquire) + 0xc000
            ),
            b"call",
        );
        let answer = edge.expect_answer(1, AnswerKind::Answer);
        answer.contains(b"richer")
    });
}

#[test]
fn a_call_that_is_not_answered_times_out() {
    let backend = start_backend();
    backend.store.plan(&[""; 9]);
    let mut edge = backend.connect();
    edge.request(1, "00000000000000c9", b"call");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"poorer")
    );
    wait_until("its connection is left", || {
        backend.store.left.load(Ordering::Acquire) > 0
    });
}

#[test]
fn a_malformed_reply_costs_its_own_call_only() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for (at, spoilt) in [
        "\u{1}noise\r\n",
        "ID OK 3000000000\r\nx",
        "ID OK 2\r\nfour\r\n",
        &"x".repeat(9000),
    ]
    .iter()
    .enumerate()
    {
        let other = format!("00000000000cc{at:02}0");
        backend.store.plan(&["", spoilt, spoilt, spoilt]);
        edge.request(1, &other, b"call");
        wait_until("it is open", || {
            backend.store.open.lock().unwrap().contains_key(&other)
        });
        edge.request(2, &format!("00000000000cc{at:02}1"), b"call");
        edge.expect_answer(2, AnswerKind::Answer);
        backend.store.plan.lock().unwrap().clear();
        let mut open = backend.store.open.lock().unwrap().remove(&other).unwrap();
        open.write_all(format!("{other} OK 4\r\ngood\r\n").as_bytes())
            .unwrap();
        assert!(
            edge.expect_answer(1, AnswerKind::Answer)
                .contains(b"richer")
        );
    }
    // More than belongs to it: a reply to nobody ahead, a second copy behind.
    backend.store.plan(&[
        "f OK 1\r\nx\r\nID OK 3\r\nown\r\nID OK 3\r\nown\r\n",
        "ID BUSY\r\n",
    ]);
    edge.request(3, "00000000000ccaa0", b"call");
    assert!(
        edge.expect_answer(3, AnswerKind::Answer)
            .contains(b"richer")
    );
    edge.request(4, "00000000000ccaa1", b"call");
    assert!(
        edge.expect_answer(4, AnswerKind::Answer)
            .contains(b"poorer")
    );
    assert_eq!(
        backend.kernel.lock().unwrap().replies.last().unwrap(),
        b"own"
    );
}

#[test]
fn a_reply_lost_with_the_link_is_replaced_by_a_skip() {
    let backend = start_backend();
    let mut edge = backend.connect();
    backend.kernel.lock().unwrap().loses_link_at_reply = true;
    edge.request(1, "0000000000000ac1", b"call");
    // It may have arrived, so it is not said again; a skip names its call.
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"poorer")
    );
}

#[test]
fn ids_unknown_to_the_executor_reject_nobody_else() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for sequence in 1..20 {
        edge.request(
            sequence,
            &format!("0000000000adb{sequence:03x}"),
            b"unknown",
        );
        edge.expect_answer(sequence, AnswerKind::Crashed);
    }
    for sequence in 20..30 {
        edge.request(sequence, &format!("0000000000adb{sequence:03x}"), b"run");
        // Where runs error no traffic is wanted; how much less is, while the machine is busy, is
        // not told here.
        let answer = edge.expect_answer(sequence, AnswerKind::Answer);
        assert!(
            answer.contains(b"signal") && !answer.contains(b"0.0000"),
            "no traffic is wanted"
        );
    }
}

#[test]
fn silent_connections_keep_nobody_out() {
    let backend = start_backend_with_sockets(48);
    // Those that asked once and stay go too, the oldest first.
    let asked = |at: u32| {
        let mut edge = backend.connect();
        edge.request(1, &format!("0000000000ea{at:04x}"), b"run");
        edge.expect_answer(1, AnswerKind::Answer);
        edge
    };
    let _asked: Vec<EdgeConnection> = (0..60).map(asked).collect();
    let mut silent: Vec<EdgeConnection> = (0..80).map(|_| backend.connect()).collect();
    let mut edge = backend.connect();
    edge.request(1, "0000000000eb0001", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 48, "{files} descriptors");
    // One that never says a word, and one that stops in the middle of it, are closed.
    let mut half = backend.connect();
    half.stream.write_all(b"\0\0\0\x30\x80\x01").unwrap();
    silent.push(half);
    for mut edge in silent {
        assert!(edge.is_closed());
    }
}

#[test]
fn a_peer_that_violates_its_protocol_is_connected_again() {
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
        let links = backend.kernel.lock().unwrap().link_count;
        backend
            .kernel
            .lock()
            .unwrap()
            .send_line(nonsense.to_owned());
        wait_until(nonsense, || {
            backend.kernel.lock().unwrap().link_count > links
        });
        edge.request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer);
    }
    // What has no meaning, and what was refused, breaks nothing.
    edge.request(9, "00000000000000f9", b"hang");
    wait_until("it runs", || {
        !backend.kernel.lock().unwrap().runs.is_empty()
    });
    let links = backend.kernel.lock().unwrap().link_count;
    backend.kernel.lock().unwrap().send_line(
        "EINVAL NOIO x\r\nINFO 999999 x\r\nEINVAL SCHED 00000000000000f9\r\n".to_owned(),
    );
    edge.expect_answer(9, AnswerKind::Crashed);
    assert_eq!(backend.kernel.lock().unwrap().link_count, links);
}

#[test]
fn each_request_is_answered_once_while_links_are_cut() {
    const EACH: u32 = 150;
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..4).map(|_| backend.connect()).collect();
    let mut left: Vec<Vec<u32>> = vec![(1..=EACH).collect(); edges.len()];
    let mut sent = 0;
    while left.iter().any(|left| !left.is_empty()) {
        // A few more on each connection; their answers come in any order while everything breaks.
        let few = sent..EACH.min(sent + 10);
        for (at, edge) in edges.iter_mut().enumerate() {
            for sequence in few.clone() {
                let body = if (sequence + at as u32).is_multiple_of(3) {
                    &b"call"[..]
                } else {
                    b"run"
                };
                edge.request(sequence + 1, &format!("{at:08x}{:08x}", sequence + 1), body);
            }
        }
        sent = few.end;
        if let Some(link) = backend.kernel.lock().unwrap().link.take() {
            let _ = link.shutdown(Shutdown::Both);
        }
        backend.store.down.store(sent % 40 == 0, Ordering::Release);
        for (at, edge) in edges.iter_mut().enumerate() {
            while left[at].iter().any(|&sequence| sequence <= sent) {
                let answer = edge.read_answer().expect("an answer for each");
                let place = left[at]
                    .iter()
                    .position(|&sequence| sequence == answer.sequence);
                left[at].swap_remove(place.expect("once each"));
                let own = format!("page \0 {at:08x}{:08x}", answer.sequence);
                let whole = [own.as_bytes(), b"richer", b"poorer"]
                    .iter()
                    .any(|result| answer.contains(result));
                assert!(
                    answer.kind != AnswerKind::Answer || whole,
                    "a result of its own"
                );
            }
        }
    }
    let kernel = backend.kernel.lock().unwrap();
    assert!(kernel.link_count > 10, "{} links", kernel.link_count);
    assert!(kernel.ends.values().all(|&ends| ends == 1), "run again");
}

/// Each of these gets its exception, and the connection goes on.
fn send_invalid_requests(edge: &mut EdgeConnection) {
    edge.call(2, "drop_tables", b"\0");
    edge.expect_answer(2, AnswerKind::Exception);
    edge.call(3, "process", b"\x0d\0\x01\x0b\x0b\x7f\xff\xff\xff");
    edge.expect_answer(3, AnswerKind::Exception);
    for (sequence, name, value) in [
        (4, "kind", "pag"),
        (5, "owner", "nobody"),
        (6, "ts", "soon"),
        (7, "need", "-1"),
        (8, "req", "short"),
    ] {
        edge.process(
            sequence,
            &request_fields_with("00000000000000d2", name, value),
            b"run",
        );
        edge.expect_answer(sequence, AnswerKind::Exception);
    }
    edge.request(10, "00000000000000d4", b"run");
    edge.expect_answer(10, AnswerKind::Answer);
}

/// The id of a request that is open, and of one that is over; then the sequence of one that is
/// open. With too much of that it is cut short.
fn reuse_ids_and_sequences(backend: &TestBackend) {
    let mut other = backend.connect();
    for (sequence, id) in [(1, "00000000000000d1"), (2, "00000000000000d4")] {
        other.request(sequence, id, b"run");
        other.expect_answer(sequence, AnswerKind::Exception);
    }
    other.request(3, "00000000000000d7", b"hang");
    for id in 0..7 {
        other.request(3, &format!("00000000000001d{id}"), b"run");
        other.expect_answer(3, AnswerKind::Exception);
    }
    other.request(4, "00000000000000d8", b"run");
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("00000000000000d7")
    });
    backend
        .kernel
        .lock()
        .unwrap()
        .end("00000000000000d7", "success", b"the last");
    assert!(
        other
            .expect_answer(3, AnswerKind::Answer)
            .contains(b"the last")
    );
    assert!(other.read_answer().is_none(), "closed");
}

#[test]
fn a_hostile_peer_harms_only_itself() {
    let backend = start_backend();
    let mut edge = backend.connect();
    edge.request(1, "00000000000000d1", b"hang");
    send_invalid_requests(&mut edge);
    reuse_ids_and_sequences(&backend);
    // A withdrawal is not known here, and can't be answered.
    let mut other = backend.connect();
    for (name, value) in [
        ("need", "2000"),
        ("ms", "NaN"),
        ("ts", "1"),
        ("ts", "99999999999999"),
        ("level", "1"),
    ] {
        other.process(
            1,
            &request_fields_with("00000000000000d9", name, value),
            b"run",
        );
        other.expect_answer(1, AnswerKind::Exception);
    }
    let mut other = backend.connect();
    other.oneway(1, "giveUp");
    assert!(other.read_answer().is_none(), "closed");
    // After what is no frame nothing is read there any more, but what is open is answered.
    edge.stream.write_all(&[0xff; 64]).unwrap();
    for garbage in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 5, 1, 2, 3, 4, 5],
        &[0x7f, 0xff, 0xff, 0xff],
    ] {
        let mut other = backend.connect();
        other.stream.write_all(garbage).unwrap();
        assert!(other.read_answer().is_none(), "closed");
    }
    backend
        .kernel
        .lock()
        .unwrap()
        .end("00000000000000d1", "success", b"all the same");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"all the same")
    );
    assert!(edge.read_answer().is_none(), "closed");
    // A message cut short by its end.
    let mut other = backend.connect();
    other.stream.write_all(b"\0\0\0\x30\x80\x01\0\x01").unwrap();
    other.stream.shutdown(Shutdown::Write).unwrap();
    assert!(other.read_answer().is_none(), "closed");
    // A connection cut off takes its request along, and others are served.
    let mut cut = backend.connect();
    cut.request(1, "00000000000000d5", b"hang");
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("00000000000000d5")
    });
    let mut edge = backend.connect();
    edge.request(1, "00000000000000d6", b"run");
    edge.expect_answer(1, AnswerKind::Answer);
}

#[test]
fn a_slow_reader_holds_up_nobody_else() {
    let backend = start_backend();
    let mut slow = backend.connect();
    let mut edge = backend.connect();
    for sequence in 1..400 {
        slow.request(sequence, &format!("{sequence:016x}"), b"run");
        if sequence % 40 == 0 {
            edge.request(sequence, &format!("{sequence:015x}e"), b"run");
            edge.expect_answer(sequence, AnswerKind::Answer);
        }
    }
    let mut left: Vec<u32> = (1..400).collect();
    while !left.is_empty() {
        let answer = slow.read_answer().expect("an answer for each");
        assert!(left.contains(&answer.sequence), "once each");
        left.retain(|&sequence| sequence != answer.sequence);
    }
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let host = unique_address();
    let told = config_json(&host);
    for (from, to, problem) in [
        ("{\"name\":\"n3\"", "{\"name\"", "expected `:`"),
        ("\"cores\":4", "\"cores\":0", "no cores are given"),
        (
            "\"8c1f30d27a5be964\"",
            "\"seed\"",
            "seed: 'seed' is no hex number",
        ),
        (
            "\"sockets\":1024",
            "\"sockets\":3",
            "limits.sockets: 3 are too few to serve",
        ),
        (&format!("{host}:6565"), "nowhere", "invalid socket address"),
        (
            "\"stop_ms\":4000",
            "\"stop_ms\":-4",
            "stop_ms: -4 is no time",
        ),
    ] {
        assert!(told.contains(from), "{from}");
        let file = write_config(&format!("{host}-wrong"), &told.replace(from, to));
        let output = spawn_backend(&file).wait_with_output().unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(2), "{said}");
        assert!(
            said.lines().count() == 1 && said.contains(problem),
            "{said}"
        );
        std::fs::remove_file(file).unwrap();
    }
}

#[test]
fn connections_beyond_the_limit_wait_for_a_place() {
    let backend = start_backend_with_sockets(32);
    let hang = |at: u32| {
        let mut edge = backend.connect();
        edge.request(1, &format!("0000000000fa{at:04x}"), b"hang");
        edge
    };
    let mut edges: Vec<EdgeConnection> = (0..12).map(hang).collect();
    wait_until("it runs", || {
        backend
            .kernel
            .lock()
            .unwrap()
            .runs
            .contains_key("0000000000fa0000")
    });
    let mut last = backend.connect();
    last.call(1, "probe", b"\0");
    let files = std::fs::read_dir(format!("/proc/{}/fd", backend.child.id()))
        .unwrap()
        .count();
    assert!(files <= 32, "{files} descriptors");
    // It is served once nothing is open on another.
    backend
        .kernel
        .lock()
        .unwrap()
        .end("0000000000fa0000", "success", b"its place is free");
    edges[0].expect_answer(1, AnswerKind::Answer);
    last.expect_answer(1, AnswerKind::Answer);
    assert!(edges[0].is_closed());
}

#[test]
fn thousands_of_queued_requests_fit_its_memory() {
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..64).map(|_| backend.connect()).collect();
    for (at, edge) in edges.iter_mut().enumerate() {
        for sequence in 0..31 {
            let id = format!("{at:08x}{sequence:08x}");
            edge.process(sequence, &request_fields(&id, "0.5"), &[7; 2048]);
        }
        edge.call(31, "probe", b"\0");
    }
    // A check is read behind the requests before it.
    for edge in &mut edges {
        while edge.read_answer().expect("the check is answered").sequence != 31 {}
    }
    let resident = || {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", backend.child.id())).unwrap();
        let line = status
            .lines()
            .find(|line| line.starts_with("VmHWM:"))
            .unwrap();
        line.split_whitespace()
            .nth(1)
            .unwrap()
            .parse::<u64>()
            .unwrap()
    };
    println!("{} kB at the most for {} reqs", resident(), 64 * 31);
    assert!(resident() < 96 * 1024, "{} kB", resident());
}

/// Whether any of many answers carries a value; the first come before one is known.
fn tells_a_value(edge: &mut EdgeConnection) -> bool {
    (1..300).any(|sequence| {
        edge.request(sequence, &format!("{sequence:016x}"), b"run");
        edge.expect_answer(sequence, AnswerKind::Answer)
            .contains(b"signal")
    })
}

/// The shape of regina-main and nairobi-calc: the list follows health, callers get no value, a
/// handler writes. One build serves it from the settings alone; a write that may run again is
/// refused at start, by the key at fault.
#[test]
fn settings_with_writes_are_served_and_an_idempotent_write_is_refused() {
    let new_shape = |host: &str| {
        config_json(host)
            .replace(r#""say":"weight""#, r#""say":"silent","list_follows":true"#)
            .replace(
                r#""effect":"pure"}"#,
                r#""effect":"side_effect","write":true}"#,
            )
    };
    let host = unique_address();
    let mixed = write_config(
        &host,
        &new_shape(&host).replace(
            r#""effect":"side_effect","write""#,
            r#""effect":"pure","write""#,
        ),
    );
    let (status, error) = run_to_refusal(&mixed);
    assert!(!status.success());
    assert!(error.contains("settings: classes[0].write: "), "{error}");
    let _ = std::fs::remove_file(mixed);

    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let file = write_config(&host, &new_shape(&host));
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_healthy(|_| true);
    let mut edge = backend.connect();
    assert!(!tells_a_value(&mut edge), "a value where callers take none");
}

/// recife-matching gives callers a value and has the list follow health; such settings were refused
/// at start.
#[test]
fn feedback_values_beside_a_list_that_follows_health_are_served() {
    let host = unique_address();
    let (kernel, store) = (
        serve_executor(SharedExecutor::default(), &host),
        start_store(&host),
    );
    let file = write_config(
        &host,
        &config_json(&host).replace(r#""say":"weight""#, r#""say":"weight","list_follows":true"#),
    );
    let child = spawn_backend(&file);
    let backend = TestBackend {
        host,
        kernel,
        store,
        child,
        file,
    };
    backend.wait_until_healthy(|_| true);
    let mut edge = backend.connect();
    assert!(tells_a_value(&mut edge), "no value where callers take one");
}

/// An effect of a word the backend does not know, such as the site file's "keyed" for the wire's
/// "token", was told by its line and column alone.
#[test]
fn an_invalid_word_in_the_settings_is_reported_with_key_and_line() {
    let host = unique_address();
    let file = write_config(
        &host,
        &config_json(&host).replace(r#""effect":"pure""#, r#""effect":"keyed""#),
    );
    let (status, error) = run_to_refusal(&file);
    assert_eq!(status.code(), Some(2));
    assert!(
        error.contains("settings.classes[0].effect: unknown variant `keyed`"),
        "{error}"
    );
    assert!(error.contains(" at line 2 column "), "{error}");
    let _ = std::fs::remove_file(file);
}
