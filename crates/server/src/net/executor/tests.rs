//! The state of the link when links break, without an executor.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::ExecutorClient;
use super::gauges::{LastGauges, MAX_GAUGES_AGE};
use super::protocol::Command;
use super::resync::{Delivery, LastCommand, Run};
use crate::net::stream::{BufferedStream, MAX_LINE_BUFFER_BYTES};
use crate::requests::{Bytes, ClassName, Gauges, KeyLimits, RequestId, RequestRegistry};

/// Guards against a broken link whose missing gauges count as idle cores, which would raise the
/// admitted traffic. The last gauges are valid until they are `MAX_GAUGES_AGE` old, and unknown
/// from then on.
#[test]
fn last_gauges_are_valid_up_to_their_maximum_age() {
    let (at, busy) = (
        Instant::now(),
        Gauges {
            busy_fraction: Some(0.9),
            ..Gauges::default()
        },
    );
    assert_eq!(
        LastGauges::taken_at(at, busy).at(at + MAX_GAUGES_AGE / 2),
        busy
    );
    assert_eq!(
        LastGauges::taken_at(at, busy).at(at + MAX_GAUGES_AGE),
        Gauges::default()
    );
    assert_eq!(LastGauges::default().at(at), Gauges::default());
}

fn client(address: SocketAddr) -> Arc<ExecutorClient> {
    ExecutorClient::new(
        address,
        Arc::new(RequestRegistry::new(
            crate::net::test_config().0,
            7,
            KeyLimits::for_memory(192.0),
            None,
        )),
        Vec::new(),
    )
}

/// Guards against the use of a link that has ended: the reply that completes its resynchronization
/// may be handled after its end, and commands were then lost until the next link broke. A link is
/// used only while it is the current one.
#[test]
fn an_ended_link_is_not_used() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = client(address);
    let link = || {
        BufferedStream::new(
            may::net::TcpStream::connect(address).unwrap(),
            MAX_LINE_BUFFER_BYTES,
            MAX_LINE_BUFFER_BYTES,
        )
        .output
        .clone()
    };
    let (ended, now) = (link(), link());
    client.state.lock().link = Some(now.clone());
    client.resync(&now);
    client.resync(&ended);
    assert!(
        client
            .state
            .lock()
            .output
            .as_ref()
            .is_some_and(|out| Arc::ptr_eq(out, &now))
    );
    client.state.lock().link = None;
    client.state.lock().output = None;
    client.resync(&now);
    assert!(client.state.lock().output.is_none());
}

/// Guards against lost commands: a command that waited for room during a resynchronization already
/// had its position, so the reply to a query that overtook it marked it as arrived and it was never
/// sent again. A command gets its position when it enters the buffer. A start that may have arrived
/// is sent again if its request is idempotent; otherwise its run counts as lost.
#[test]
fn a_command_waiting_for_room_has_no_position_and_an_at_most_once_start_is_not_resent() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let client = client(listener.local_addr().unwrap());
    let id = |at: u32| RequestId::from(format!("{at:016x}"));
    let start = |is_at_most_once, delivery| {
        let (class, body) = (ClassName::from("page"), Bytes::from(&b"run"[..]));
        Run {
            class,
            body,
            is_at_most_once,
            last_command: LastCommand::Start,
            delivery,
            call: 0,
        }
    };
    let one = Command::Start {
        class: "page",
        body: b"run",
    }
    .encode(&id(0))
    .len();
    let stream = may::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let link = BufferedStream::new(stream, MAX_LINE_BUFFER_BYTES, one);
    {
        let mut state = client.state.lock();
        (state.link, state.commands_sent) = (Some(link.output.clone()), 7);
        state.arrivals.record_final_reply(2);
        // Starts that have arrived, may have arrived (idempotent and at-most-once), were never
        // sent, and are confirmed.
        let runs = [
            (false, Delivery::Sent(2)),
            (false, Delivery::Sent(3)),
            (true, Delivery::Sent(4)),
            (true, Delivery::NotSent),
            (true, Delivery::Confirmed),
        ];
        state.runs = (0..)
            .zip(runs)
            .map(|(at, (once, delivery))| (id(at), start(once, delivery)))
            .collect();
    }
    let mut sent = Vec::new();
    std::thread::scope(|scope| {
        scope.spawn(|| client.resync(&link.output));
        let start = Instant::now();
        while sent.len() < 2 && start.elapsed() < Duration::from_secs(30) {
            let state = client.state.lock();
            let mut buffer = link.output.buffer.lock();
            if buffer.len() > 0 {
                sent.push((
                    state.commands_sent,
                    String::from_utf8(buffer.contiguous().to_vec()).unwrap(),
                ));
                buffer.consume(one);
            }
        }
        // The close ends the wait of a command that still has no room.
        link.output
            .is_closed
            .store(true, std::sync::atomic::Ordering::Release);
    });
    let positions: Vec<u64> = sent.iter().map(|sent| sent.0).collect();
    assert_eq!(
        positions,
        [8, 9],
        "a position for a command that was not sent"
    );
    assert!(
        sent[0].1.contains(&*id(1)) && sent[1].1.contains(&*id(3)),
        "{sent:?}"
    );
    let state = client.state.lock();
    assert!(!state.runs.contains_key(&id(2)), "the run counts as lost");
    let deliveries = [0, 1, 3, 4].map(|at| state.runs[&id(at)].delivery);
    assert_eq!(
        deliveries,
        [
            Delivery::Sent(2),
            Delivery::Sent(8),
            Delivery::Sent(9),
            Delivery::Confirmed
        ]
    );
    assert_eq!(link.output.buffered_bytes(), 0, "nothing more is sent");
}
