//! Assigning calls to the connections of the pool.

use std::net::SocketAddr;

use super::{Call, ConnectionPool, Placement};
use crate::requests::RequestId;

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 7700).into()
}

fn call(request: &str) -> Call {
    Call {
        request: request.into(),
        number: 1,
        bytes: Vec::new(),
    }
}

/// A pool with one connection, which is idle after a call of `first`.
fn pool_with_idle_connection() -> ConnectionPool {
    let mut pool = ConnectionPool::default();
    let connection = pool.insert(address(), call("first"));
    let ended_request = pool.handle_reply(connection, "first", Some(address()));
    assert_eq!(ended_request.as_deref(), Some("first"));
    pool
}

#[test]
fn a_call_uses_an_idle_connection_then_a_new_one_then_the_queue() {
    let mut pool = pool_with_idle_connection();
    let second = RequestId::from("second");
    assert!(matches!(pool.place(&second, 2), Placement::Idle(1)));
    assert!(matches!(pool.place(&second, 2), Placement::NewConnection));
    assert!(matches!(pool.place(&second, 1), Placement::Queue));
}

/// Guards against a store that sends a reply twice: the second one would be taken as the reply to
/// the next call of the same request.
#[test]
fn a_connection_carries_no_consecutive_calls_of_one_request() {
    let mut pool = pool_with_idle_connection();
    let first = RequestId::from("first");
    assert!(matches!(pool.place(&first, 2), Placement::NewConnection));
    assert!(matches!(pool.place(&first, 1), Placement::Queue));

    let mut pool = ConnectionPool::default();
    let connection = pool.insert(address(), call("first"));
    pool.enqueue(call("first"));
    pool.enqueue(call("second"));
    pool.handle_reply(connection, "first", Some(address()));
    let queued_calls = pool.take_queued();
    assert_eq!(queued_calls.len(), 1);
    assert_eq!(&*queued_calls[0].request, "first");
}
