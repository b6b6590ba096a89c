//! The drain target of closing connections, requests whose coroutine panics, and connections that
//! close while a request is answered.

use std::io::Read;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use may::net::TcpStream;
use tulipgap_connection_limits::{Config, ConnectionId, Event, FullPolicy, Limiter};

use super::codec::{Reply, encode_reply};
use super::connection::{Connection, OpenRequest, new_stream};
use super::connection_table::{Admitted, ConnectionTable};
use super::pending_reply::PendingReply;
use super::{ExecutorClient, Frontend, IDLE_MARGIN, MESSAGE_TIMEOUT, StoreClient};
use crate::net::stream::DrainTarget;
use crate::requests::{KeyLimits, RequestRegistry};

/// A limiter for `max_descriptors` descriptors; further connections wait in the backlog.
fn limiter(max_descriptors: usize) -> Limiter {
    let config = Config {
        max_descriptors,
        reservations: Vec::new(),
        network_limits: None,
        full_policy: FullPolicy::Wait,
        trusted_networks: Vec::new(),
        reputation_half_life: Duration::from_secs(600),
        message_timeout: MESSAGE_TIMEOUT,
        idle_timeout: IDLE_MARGIN,
        cold_start_fraction: 1.0,
        warm_up: Duration::ZERO,
    };
    Limiter::new(config, 7).unwrap()
}

/// A table with a single slot, and the connection that occupies it.
fn full_table() -> (ConnectionTable, Admitted) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let table = ConnectionTable::new(limiter(1));
    let stream = TcpStream::connect(address).unwrap();
    let Ok(admitted) = table.admit(stream, address.ip()) else {
        panic!("the table is empty");
    };
    (table, admitted)
}

/// Guards against a close that waits for an acknowledgement although the server has no time left
/// for the connections in the backlog, and against a close that does not wait although it has.
#[test]
fn drain_target_depends_on_backlog_and_remaining_time() {
    let hour = Duration::from_secs(3600);
    for (left, target_at_shutdown) in [
        (hour, DrainTarget::Acknowledged),
        (Duration::ZERO, DrainTarget::Sent),
    ] {
        let (table, _admitted) = full_table();
        assert_eq!(table.drain_target(), DrainTarget::PeerClosed);
        table.may_accept(|| Some(1));
        assert_eq!(table.drain_target(), DrainTarget::Acknowledged);
        table.shutdown_notice(Instant::now() + left);
        table.may_accept(|| Some(1));
        assert_eq!(table.drain_target(), target_at_shutdown);
        table.may_accept(|| Some(0));
        assert_eq!(table.drain_target(), DrainTarget::Acknowledged);
    }
}

/// Guards against a bug that makes the coroutine of one request panic while it holds locks: the
/// caller would wait indefinitely and the locks would stay poisoned. The pending reply sends
/// `Failed` when it is dropped, the locks are not poisoned, and the connection continues to work.
#[test]
fn a_request_whose_coroutine_panics_is_answered() {
    let (controller_config, names) = crate::net::test_config();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let registry = Arc::new(RequestRegistry::new(
        controller_config,
        7,
        KeyLimits::for_memory(192.0),
        None,
    ));
    let executor = ExecutorClient::new(address, registry.clone(), Vec::new());
    let store = StoreClient::new(None, registry.clone(), 4);
    let limiter = limiter(64);
    let frontend = Frontend::new(registry, executor, store, names, limiter, false, 48.0);
    frontend.handle_accepted(TcpStream::connect(address).unwrap(), address.ip());
    let connection = frontend
        .table
        .connections
        .lock()
        .iter()
        .next()
        .unwrap()
        .1
        .clone();
    let mut edge = listener.accept().unwrap().0;
    edge.set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    for sequence in 1..4 {
        let open = OpenRequest {
            id: format!("{sequence:016x}").into(),
            is_cancelled: false,
        };
        connection.open_requests.lock().insert(sequence, open);
        frontend.table.notify(Event::RequestStarted {
            connection: connection.id,
        });
        let failed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            let _pending = PendingReply::new(&frontend.table, &connection, sequence);
            let _locked = (
                frontend.requests.recent_ids.lock(),
                frontend.table.limiter.lock(),
                connection.open_requests.lock(),
            );
            panic!("a fault that this test injects");
        }));
        assert!(failed.is_err());
        assert_eq!(connection.open_count(), 0, "the request is no longer open");
        let answer = encode_reply("process", sequence, &Reply::Failed { fields: &[] });
        let mut received = vec![0; answer.len()];
        edge.read_exact(&mut received).unwrap();
        assert_eq!(received, answer);
    }
}

/// Guards against a request that is removed before its reply is queued: in between, a closing
/// connection counted as done and closed without the reply, in one of six runs of the test suite.
/// Both steps are done under the lock of the open requests, so that at any time either the request
/// is open or its reply is queued.
#[test]
fn a_connection_is_not_done_between_a_request_and_its_reply() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = new_stream(TcpStream::connect(listener.local_addr().unwrap()).unwrap());
    let connection = Connection::new(ConnectionId(0), stream.output.clone());
    // While the value is odd, the request is open or its reply is queued.
    let step = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..20_000 {
                let open = OpenRequest {
                    id: "00000000000000c1".into(),
                    is_cancelled: false,
                };
                connection.open_requests.lock().insert(1, open);
                step.fetch_add(1, Ordering::AcqRel);
                connection.conclude("process", 1, &Reply::Failed { fields: &[] }, |open| {
                    open.remove(&1);
                });
                step.fetch_add(1, Ordering::AcqRel);
                let mut ring = connection.output.buffer.lock();
                let length = ring.len();
                ring.consume(length);
            }
            step.store(usize::MAX - 1, Ordering::Release);
        });
        loop {
            let before = step.load(Ordering::Acquire);
            let done = connection.is_done();
            let after = step.load(Ordering::Acquire);
            assert!(
                !(done && before == after && before % 2 == 1),
                "done while a reply is pending"
            );
            if after == usize::MAX - 1 {
                break;
            }
        }
    });
}
