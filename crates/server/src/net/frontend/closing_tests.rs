//! The decision when and how a connection closes, for each of its inputs.

use super::{CloseStep, ConnectionState, close_step};

/// A connection that is to close and on which no request is open.
const CLOSING: ConnectionState = ConnectionState {
    is_done: true,
    is_read_closed: false,
    is_readable: true,
    has_read_message: true,
    is_closing: true,
    has_unhandled_input: false,
};

#[test]
fn a_connection_with_open_requests_stays_open() {
    let unfinished = ConnectionState {
        is_done: false,
        is_read_closed: true,
        is_readable: false,
        ..CLOSING
    };
    assert_eq!(close_step(&unfinished), CloseStep::StayOpen);
}

#[test]
fn a_connection_closed_by_its_edge_node_closes_without_a_drain() {
    let closed = ConnectionState {
        is_read_closed: true,
        is_readable: false,
        ..CLOSING
    };
    assert_eq!(close_step(&closed), CloseStep::Close);
}

/// Guards against lost replies: closing a socket with unread bytes resets the connection, which
/// drops the replies in transit.
#[test]
fn a_connection_that_is_not_readable_is_drained() {
    let malformed = ConnectionState {
        is_readable: false,
        is_closing: false,
        has_unhandled_input: true,
        ..CLOSING
    };
    assert_eq!(close_step(&malformed), CloseStep::Drain);
}

/// Guards against many clients with partial messages that keep each slot for another second, while
/// connections with whole requests wait in the backlog.
#[test]
fn a_connection_without_a_whole_message_closes_without_a_drain() {
    let partial = ConnectionState {
        is_readable: false,
        has_read_message: false,
        has_unhandled_input: true,
        ..CLOSING
    };
    assert_eq!(close_step(&partial), CloseStep::Close);
    let unfinished = ConnectionState {
        is_done: false,
        ..partial
    };
    assert_eq!(close_step(&unfinished), CloseStep::StayOpen);
}

#[test]
fn a_closing_connection_handles_its_input_first() {
    let idle = ConnectionState {
        is_closing: false,
        ..CLOSING
    };
    let unhandled = ConnectionState {
        has_unhandled_input: true,
        ..CLOSING
    };
    assert_eq!(close_step(&idle), CloseStep::StayOpen);
    assert_eq!(close_step(&unhandled), CloseStep::StayOpen);
    assert_eq!(close_step(&CLOSING), CloseStep::DrainUnacknowledged);
}
