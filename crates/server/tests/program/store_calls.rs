//! Calls to the store: a store that is down or silent, malformed and truncated replies, and pooled
//! connections that close.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use socket2::SockRef;

use crate::harness::backend::{BackendSetup, TestBackend, start_backend};
use crate::harness::edge_node::AnswerKind;
use crate::harness::executor::{SharedExecutor, serve_executor};
use crate::harness::store::StoreStub;
use crate::harness::{LONG_TIMEOUT, STORE_PORT, unique_address, wait_until};

/// Guards against requests that fail because the store is down, and against calls that stay off
/// until a restart. While the store is down, requests are completed without the call, with the
/// degraded result; once it is up, calls are made again.
#[test]
fn calls_are_skipped_while_the_store_is_down() {
    let backend = start_backend();
    backend.store.is_down.store(true, Ordering::Release);
    let mut edge = backend.connect();
    for sequence in 1..4 {
        edge.send_request(sequence, &format!("00000000000000c{sequence}"), b"call");
        assert!(
            edge.expect_answer(sequence, AnswerKind::Answer)
                .contains(b"poorer")
        );
    }
    backend.store.is_down.store(false, Ordering::Release);
    wait_until("calls are made again", || {
        let mut edge = backend.connect();
        edge.send_request(
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

/// Guards against a request that waits for a reply that the store never sends. The call ends at its
/// time limit, and its request is completed without the call. The backend closes the connection,
/// because a late reply would be matched to the next call.
#[test]
fn a_call_that_is_not_answered_times_out() {
    let backend = start_backend();
    backend.store.plan_replies(&[""; 9]);
    let mut edge = backend.connect();
    edge.send_request(1, "00000000000000c9", b"call");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"poorer")
    );
    wait_until("the connection of the call is closed", || {
        backend.store.closed_connections.load(Ordering::Acquire) > 0
    });
}

/// Guards against a malformed reply that makes other calls fail: the store replies with random
/// bytes, an excessive length, a wrong length or a line that is too long. The call fails, and a
/// call on another connection is not affected. The backend ignores a reply to an unknown call and a
/// duplicate of a reply.
#[test]
fn a_malformed_reply_costs_its_own_call_only() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for (at, malformed_reply) in [
        "\u{1}noise\r\n",
        "ID OK 3000000000\r\nx",
        "ID OK 2\r\nfour\r\n",
        &"x".repeat(9000),
    ]
    .iter()
    .enumerate()
    {
        let other = format!("00000000000cc{at:02}0");
        backend
            .store
            .plan_replies(&["", malformed_reply, malformed_reply, malformed_reply]);
        edge.send_request(1, &other, b"call");
        wait_until("the call waits for its reply", || {
            backend
                .store
                .unanswered_calls
                .lock()
                .unwrap()
                .contains_key(&other)
        });
        edge.send_request(2, &format!("00000000000cc{at:02}1"), b"call");
        edge.expect_answer(2, AnswerKind::Answer);
        backend.store.planned_replies.lock().unwrap().clear();
        let mut open = backend
            .store
            .unanswered_calls
            .lock()
            .unwrap()
            .remove(&other)
            .unwrap();
        open.write_all(format!("{other} OK 4\r\ngood\r\n").as_bytes())
            .unwrap();
        assert!(
            edge.expect_answer(1, AnswerKind::Answer)
                .contains(b"richer")
        );
    }
    // A reply to an unknown call before the right reply, and a duplicate after it.
    backend.store.plan_replies(&[
        "f OK 1\r\nx\r\nID OK 3\r\nown\r\nID OK 3\r\nown\r\n",
        "ID BUSY\r\n",
    ]);
    edge.send_request(3, "00000000000ccaa0", b"call");
    assert!(
        edge.expect_answer(3, AnswerKind::Answer)
            .contains(b"richer")
    );
    edge.send_request(4, "00000000000ccaa1", b"call");
    assert!(
        edge.expect_answer(4, AnswerKind::Answer)
            .contains(b"poorer")
    );
    assert_eq!(backend.executor().replies.last().unwrap(), b"own");
}

/// Guards against a run that waits for a reply to its call that is lost, or gets that reply twice:
/// the link to the executor breaks when the reply is sent over it. The reply may have arrived, so
/// the backend does not send it again. It sends a command that skips this call, which the executor
/// ignores if it has received the reply.
#[test]
fn a_reply_lost_with_the_executor_link_becomes_a_skipped_call() {
    let backend = start_backend();
    let mut edge = backend.connect();
    backend.executor().should_lose_link_at_reply = true;
    edge.send_request(1, "0000000000000ac1", b"call");
    assert!(
        edge.expect_answer(1, AnswerKind::Answer)
            .contains(b"poorer")
    );
}

/// Guards against calls that fail or get the reply to another call because the store closes each
/// connection together with its reply, while the pool assigns the next call to that connection. Of
/// 150 requests each ends once, no run gets the reply to another call, and more than 50 calls
/// succeed.
#[test]
fn a_pooled_connection_that_closes_as_it_is_assigned_costs_one_call_at_most() {
    let host = unique_address();
    let listener = std::net::TcpListener::bind((&host[..], STORE_PORT)).unwrap();
    let should_reset = AtomicBool::new(false);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = [0; 512];
            // One call and its reply, followed by a normal close or a reset in turn.
            let Ok(read) = stream.read(&mut bytes) else {
                continue;
            };
            let text = String::from_utf8_lossy(&bytes[..read]).into_owned();
            let Some(id) = text.split(' ').nth(1) else {
                continue;
            };
            let _ = stream.write_all(format!("{id} OK 3\r\nown\r\n").as_bytes());
            if should_reset.fetch_not(Ordering::AcqRel) {
                let _ = socket2::SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
            }
            let _ = stream.shutdown(Shutdown::Write);
        }
    });
    let executor = serve_executor(SharedExecutor::default(), &host);
    let backend = BackendSetup::with_peers(host, executor, StoreStub::default()).start();
    let mut edge = backend.connect();
    let mut richer = 0;
    for turn in 0..150u32 {
        edge.send_request(turn + 1, &format!("0000000000f7{turn:04x}"), b"call");
        let answer = edge.expect_answer(turn + 1, AnswerKind::Answer);
        richer += u32::from(answer.contains(b"richer"));
        assert!(answer.contains(b"richer") || answer.contains(b"poorer"));
    }
    assert!(richer > 50, "{richer} of 150");
    let executor = backend.executor();
    assert!(
        executor.replies.iter().all(|reply| reply == b"own"),
        "the reply to its own call"
    );
    assert!(executor.ends.values().all(|&ends| ends == 1));
}

/// Guards against a reply that is lost although it was received: the reply is in the receive
/// buffer, and its connection is closed or reset before the backend reads. The backend reads the
/// reply first and uses it.
#[test]
fn a_store_reply_received_before_a_reset_is_used() {
    let (backend, calls) = start_backend_with_test_store();
    let mut edge = backend.connect();
    for turn in 0..8u32 {
        let id = format!("000000000a0b{turn:04x}");
        edge.send_request(turn + 1, &id, b"call");
        let call = calls.recv_timeout(LONG_TIMEOUT).unwrap();
        assert_eq!(call.id, id);
        backend.signal("STOP");
        (&call.stream)
            .write_all(format!("{id} OK 3\r\nown\r\n").as_bytes())
            .unwrap();
        if turn % 2 == 0 {
            SockRef::from(&call.stream)
                .set_linger(Some(Duration::ZERO))
                .unwrap();
        }
        drop(call);
        backend.signal("CONT");
        assert!(
            edge.expect_answer(turn + 1, AnswerKind::Answer)
                .contains(b"richer"),
            "turn {turn}"
        );
    }
    assert!(
        backend
            .executor()
            .replies
            .iter()
            .all(|reply| reply == b"own")
    );
}

/// A call that the test's store has read.
struct Call {
    id: String,
    stream: TcpStream,
}

/// Starts a backend whose store passes each call to the test.
fn start_backend_with_test_store() -> (TestBackend, std::sync::mpsc::Receiver<Call>) {
    let host = unique_address();
    let listener = TcpListener::bind((&host[..], STORE_PORT)).unwrap();
    let (sender, calls) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let mut bytes = [0; 512];
            // The backend sends a call in one write, so one read receives all of it.
            let Ok(length) = stream.read(&mut bytes) else {
                continue;
            };
            let text = String::from_utf8_lossy(&bytes[..length]).into_owned();
            let Some(id) = text.split(' ').nth(1) else {
                continue;
            };
            if sender
                .send(Call {
                    id: id.to_owned(),
                    stream,
                })
                .is_err()
            {
                return;
            }
        }
    });
    let executor = serve_executor(SharedExecutor::default(), &host);
    let backend = BackendSetup::with_peers(host, executor, StoreStub::default()).start();
    (backend, calls)
}

/// Guards against a part of a reply that is passed to a run: replies are truncated after each
/// number of bytes in turn, by a normal close or a reset. The call fails, its request is answered
/// once, and no run gets a part of a reply.
#[test]
fn a_truncated_store_reply_is_never_used_as_a_reply() {
    const BODY: &str = "a reply";
    let (backend, calls) = start_backend_with_test_store();
    let whole_length = format!("{:016x} OK {}\r\n{BODY}\r\n", 0, BODY.len()).len();
    let is_done = Arc::new(AtomicBool::new(false));
    let is_finished = is_done.clone();
    let store = std::thread::spawn(move || {
        let mut cut = 0;
        for (number, call) in calls.iter().enumerate() {
            let reply = format!("{} OK {}\r\n{BODY}\r\n", call.id, BODY.len());
            assert_eq!(reply.len(), whole_length);
            // Complete replies in between keep the store usable.
            let is_complete = number % 2 == 0;
            let length = if is_complete { whole_length } else { cut };
            let _ = (&call.stream).write_all(&reply.as_bytes()[..length]);
            if !is_complete {
                if cut % 2 == 1 {
                    let _ = SockRef::from(&call.stream).set_linger(Some(Duration::ZERO));
                }
                cut += 1;
                is_finished.store(cut == whole_length, Ordering::Release);
            }
            if cut == whole_length {
                return;
            }
        }
    });
    let mut edge = backend.connect();
    for sequence in 1.. {
        if is_done.load(Ordering::Acquire) {
            break;
        }
        assert!(sequence < 2000, "the store received too few calls");
        edge.send_request(sequence, &format!("000000000a0d{sequence:04x}"), b"call");
        let answer = edge.expect_answer(sequence, AnswerKind::Answer);
        assert!(answer.contains(b"richer") || answer.contains(b"poorer"));
    }
    store.join().unwrap();
    let executor = backend.executor();
    assert!(!executor.replies.is_empty());
    assert!(
        executor
            .replies
            .iter()
            .all(|reply| reply == BODY.as_bytes()),
        "a run got part of a reply"
    );
    assert!(executor.ends.values().all(|&ends| ends == 1));
}
