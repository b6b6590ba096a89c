//! The rule by which a connection closes, at each of its inputs.

use super::{CloseStep, ConnectionState, close_step};

/// A connection on which nothing is open, and that is asked to close.
const CLOSING: ConnectionState = ConnectionState {
    is_done: true,
    is_read_closed: false,
    is_readable: true,
    has_read_message: true,
    is_closing: true,
    has_unhandled_input: false,
};

#[test]
fn a_connection_with_something_open_stays_open() {
    let unfinished = ConnectionState {
        is_done: false,
        is_read_closed: true,
        is_readable: false,
        ..CLOSING
    };
    assert_eq!(close_step(&unfinished), CloseStep::StayOpen);
}

#[test]
fn a_connection_that_its_edge_node_has_closed_is_closed_without_a_drain() {
    let closed = ConnectionState {
        is_read_closed: true,
        is_readable: false,
        ..CLOSING
    };
    assert_eq!(close_step(&closed), CloseStep::Close);
}

/// Without the drain, the reset of a socket with unread bytes would drop the replies before them.
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

/// Guards against a crowd with half messages that keeps its places for another second each, while
/// connections with whole requests wait behind it.
#[test]
fn a_connection_that_never_sent_a_whole_message_is_closed_without_a_drain() {
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
fn a_connection_that_closes_handles_its_input_first() {
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
