//! The decision when and how a connection closes, at a shutdown or in normal operation.
//!
//! Failure: closing a socket while bytes from the peer are unread, or before the peer has
//! acknowledged the output, can reset the connection, and the reset drops replies in transit. The
//! edge node then sees a broken connection instead of a reply and retries a request that was run.
//!
//! Protection: a connection closes only once everything on it is answered and written. If the peer
//! may still be sending, the session drains the connection first: it shuts down the write side, and
//! reads and drops the input.
//!
//! Cost: the slot of the connection stays occupied for up to a second longer. If another connection
//! needs the slot, or the server shuts down, the drain ends once the peer's system has acknowledged
//! all output, because that system keeps acknowledged bytes for its program, whatever arrives after
//! them. If a shutdown leaves no time for the acknowledgement, the drain ends once all output is
//! sent (`ConnectionTable::drain_target`).
//!
//! A connection that never sent a whole message has no reply to lose and closes at once. Otherwise
//! many clients with partial messages would keep the slots that connections in the backlog need.

/// The inputs of the decision to close a connection.
pub(super) struct ConnectionState {
    /// No request or health check is open, and all output is written.
    pub(super) is_done: bool,
    /// The edge node has closed its side.
    pub(super) is_read_closed: bool,
    /// Messages are still read: the session has not stopped at malformed messages, a message
    /// timeout or the end of a close.
    pub(super) is_readable: bool,
    /// A whole message was read on this connection, so a reply may be in transit.
    pub(super) has_read_message: bool,
    /// The limiter has decided to close this connection.
    pub(super) is_closing: bool,
    /// The input buffer or the socket may hold bytes that are not handled yet.
    pub(super) has_unhandled_input: bool,
}

/// The next step with a connection.
#[derive(Debug, PartialEq)]
pub(super) enum CloseStep {
    StayOpen,
    /// Close it now: the edge node has closed its side, or there is no reply to lose.
    Close,
    /// Drain it before closing it: the edge node may be sending.
    Drain,
    /// Drain it before closing it if the edge node has not acknowledged all output.
    DrainUnacknowledged,
}

/// Decides whether a connection closes now.
pub(super) fn close_step(state: &ConnectionState) -> CloseStep {
    let has_no_reply_to_lose = !state.is_readable && !state.has_read_message;
    if !state.is_done {
        CloseStep::StayOpen
    } else if state.is_read_closed || has_no_reply_to_lose {
        CloseStep::Close
    } else if !state.is_readable {
        CloseStep::Drain
    } else if !state.is_closing || state.has_unhandled_input {
        // The unhandled input may hold a request, which is answered before the close.
        CloseStep::StayOpen
    } else {
        CloseStep::DrainUnacknowledged
    }
}

#[cfg(test)]
#[path = "closing_tests.rs"]
mod tests;
