//! Timeouts: idle connections, messages that do not complete, and the drain. Guards against
//! descriptors that are never freed and a drain that does not end, after clients stop sending or
//! ignore the request to close.

use tulipgap_connection_limits::{CloseReason, Event};

use crate::harness::{Server, config, ms, v4};

#[test]
fn connection_with_an_overdue_message_is_closed_after_its_open_request_is_answered() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.handle(Event::MessageCompleted { connection });
    server.start_request(connection);
    server.handle(Event::MessageStarted { connection });
    server.advance(ms(3000));
    assert!(server.closed.is_empty());
    server.finish_request(connection, true);
    assert_eq!(server.closed, [(connection, CloseReason::MessageTimeout)]);
    // A connection that never sends a message.
    let silent = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.advance(ms(1990));
    assert!(server.open.contains_key(&silent));
    server.advance(ms(30));
    assert!(!server.open.contains_key(&silent));
}

#[test]
fn idle_connection_is_asked_to_close_and_then_closed_and_a_shorter_timeout_applies_at_once() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(connection);
    server.advance(ms(4900));
    assert!(!server.open[&connection].is_close_requested);
    server.advance(ms(200));
    assert!(server.open[&connection].is_close_requested && server.closed.is_empty());
    server.advance(ms(2100));
    assert_eq!(server.closed, [(connection, CloseReason::CloseTimeout)]);
    let other = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.serve(other);
    server.advance(ms(1000));
    server.handle(Event::SetIdleTimeout { timeout: ms(500) });
    assert!(server.open[&other].is_close_requested);
}

#[test]
fn drain_asks_all_clients_to_close_and_closes_the_remaining_connections() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(connection);
    server.handle(Event::Drain);
    assert!(server.open[&connection].is_close_requested);
    let late = server.accept(v4(127, 2, 1, 1)).unwrap();
    assert!(
        server.open[&late].is_close_requested,
        "the client of a later connection is asked at once"
    );
    server.advance(ms(100));
    assert!(!server.open.contains_key(&connection));
}

/// Guards against a drain that is delayed by unused connections: they were kept open for the
/// timeout of the first message, which the client does not send after the request to close.
#[test]
fn drain_closes_unused_connections_like_idle_ones() {
    let mut server = Server::new(config());
    let silent = server.accept(v4(127, 1, 1, 1)).unwrap();
    let partial = server.accept(v4(127, 2, 1, 1)).unwrap();
    server.handle(Event::MessageStarted {
        connection: partial,
    });
    let cancelling = server.accept(v4(127, 3, 1, 1)).unwrap();
    server.handle(Event::Drain);
    // A message that starts no request.
    server.handle(Event::MessageCompleted {
        connection: cancelling,
    });
    server.advance(ms(50));
    assert!(server.closed.is_empty(), "each client has 60 ms to close");
    server.advance(ms(30));
    assert!(!server.open.contains_key(&silent));
    assert!(!server.open.contains_key(&cancelling));
    assert!(
        server.open.contains_key(&partial),
        "its message is in transit"
    );
    server.advance(ms(2000));
    assert!(!server.open.contains_key(&partial));
}

/// Guards against a client that delays a drain by sending without a pause: it always had a request
/// in flight when the deadline of its connection expired.
#[test]
fn drain_closes_a_busy_connection_as_soon_as_no_request_is_in_flight() {
    let mut server = Server::new(config());
    let connection = server.accept(v4(127, 1, 1, 1)).unwrap();
    server.serve(connection);
    server.start_request(connection);
    server.handle(Event::Drain);
    server.advance(ms(100));
    server.start_request(connection);
    server.finish_request(connection, true);
    assert!(server.closed.is_empty(), "another request is in flight");
    server.finish_request(connection, true);
    assert_eq!(server.closed, [(connection, CloseReason::CloseTimeout)]);
}
