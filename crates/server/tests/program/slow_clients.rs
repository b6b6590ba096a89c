//! Clients that send or read slowly: they must not delay other clients.

use std::io::{ErrorKind, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::harness::MAX_ANSWER_TIME;
use crate::harness::backend::start_backend;
use crate::harness::edge_node::{
    AnswerKind, EdgeConnection, connect_slow_reader, request_fields, slowest_answer_while,
};
use crate::harness::executor::large_result;

/// Guards against a client that waits because a hundred other connections send one byte every 100
/// ms. The backend closes each of these 2 s after its first byte, because it has sent no complete
/// message, and the client is answered promptly at the same time.
#[test]
fn a_hundred_slow_senders_delay_no_other_client() {
    let backend = start_backend();
    let mut senders: Vec<EdgeConnection> = (0..100).map(|_| backend.connect()).collect();
    let messages: Vec<Vec<u8>> = (0u32..)
        .zip(&senders)
        .map(|(at, edge)| {
            edge.encode_request(
                1,
                &request_fields(&format!("000000000b01{at:04x}"), "20.0"),
                b"run",
            )
        })
        .collect();
    let running = AtomicBool::new(true);
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b020000"));
        for byte in 0..25 {
            for (edge, message) in senders.iter_mut().zip(&messages) {
                // The backend closes a connection after 2 s without a complete message.
                let _ = edge.stream.write_all(&message[byte..byte + 1]);
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!("slowest answer with 100 slow senders: {slowest:?}");
        assert!(slowest < MAX_ANSWER_TIME, "{slowest:?}");
    });
    for edge in &mut senders {
        assert!(edge.wait_until_closed());
    }
    assert!((0u32..100).all(|at| !backend.was_run(&format!("000000000b01{at:04x}"))));
}

/// Guards against answers that are lost or cut short, and against another client that waits,
/// because a hundred connections read nothing for a while, and then slowly. Each gets every answer
/// once and complete, because the backend does not read from a connection with too much unwritten
/// output, and the other client is answered promptly at the same time.
#[test]
fn a_hundred_slow_readers_get_their_answers_and_delay_no_other_client() {
    const REQUESTS: u32 = 12;
    let backend = start_backend();
    let mut readers: Vec<EdgeConnection> =
        (0..100).map(|_| connect_slow_reader(&backend)).collect();
    let running = AtomicBool::new(true);
    let mut served = 0;
    std::thread::scope(|scope| {
        let other = scope.spawn(|| slowest_answer_while(&backend, &running, "0b040000"));
        for sequence in 1..=REQUESTS {
            for (at, edge) in readers.iter_mut().enumerate() {
                edge.send_request(sequence, &format!("000b03{at:02x}{sequence:08x}"), b"large");
            }
        }
        std::thread::sleep(Duration::from_millis(500));
        for _ in 0..REQUESTS {
            for (at, edge) in readers.iter_mut().enumerate() {
                let answer = edge.read_answer().expect("an answer for each");
                if answer.kind == AnswerKind::Answer {
                    let id = format!("000b03{at:02x}{:08x}", answer.sequence);
                    assert!(answer.contains(&large_result(&id)), "a complete result");
                    served += 1;
                }
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        running.store(false, Ordering::Release);
        let slowest = other.join().unwrap();
        println!(
            "slowest answer with 100 slow readers: {slowest:?}; {served} of their requests were served"
        );
        assert!(slowest < MAX_ANSWER_TIME, "{slowest:?}");
    });
    assert!(served > 0);
    for edge in &mut readers {
        edge.stream.set_nonblocking(true).unwrap();
        let more = edge.stream.read(&mut [0; 64]);
        assert!(
            more.is_err_and(|error| error.kind() == ErrorKind::WouldBlock),
            "one answer to each request"
        );
    }
}

/// Guards against a client that waits because another connection sends hundreds of requests and
/// reads no answer until all are sent. The client is answered in between, and the slow reader then
/// gets each of its answers once.
#[test]
fn a_slow_reader_delays_no_other_client() {
    let backend = start_backend();
    let mut slow = backend.connect();
    let mut edge = backend.connect();
    for sequence in 1..400 {
        slow.send_request(sequence, &format!("{sequence:016x}"), b"run");
        if sequence % 40 == 0 {
            edge.send_request(sequence, &format!("{sequence:015x}e"), b"run");
            edge.expect_answer(sequence, AnswerKind::Answer);
        }
    }
    let mut left: Vec<u32> = (1..400).collect();
    while !left.is_empty() {
        let answer = slow.read_answer().expect("an answer for each");
        assert!(
            left.contains(&answer.sequence),
            "one answer to each request"
        );
        left.retain(|&sequence| sequence != answer.sequence);
    }
}
