//! When and how a connection closes, at a shutdown or in service.
//!
//! The failure: a socket that is closed while bytes from its peer are unread, or before its peer
//! has acknowledged the output, is reset, and the reset drops replies that are on their way. The
//! edge node then sees a broken connection in place of a reply, and repeats a request that was run.
//! The guard: a connection closes only once everything on it is answered and written, and where
//! bytes may still cross the close, it is drained first (the write side is shut down, and input is
//! read and dropped). The price is up to a second before its place is free; where another
//! connection waits for it, or the server shuts down, the drain ends once the peer's system has
//! acknowledged all output. That system keeps what it has acknowledged for its program, whatever
//! comes behind it. Where a shutdown leaves no time for that, the drain ends once all output is
//! sent (`ConnectionTable::drain_target`). A connection that never sent a whole message has no
//! reply that a reset could drop, and closes at once: a crowd with half messages would otherwise
//! keep the places of those who wait behind it.

/// The inputs of the decision.
pub(super) struct ConnectionState {
    /// Nothing is open, and nothing waits to be written.
    pub(super) is_done: bool,
    /// The edge node has closed its side.
    pub(super) is_read_closed: bool,
    /// Messages are still read: no message was malformed beyond repair or took too long.
    pub(super) is_readable: bool,
    /// A whole message was read at some time, so a reply may be on its way.
    pub(super) has_read_message: bool,
    /// The limiter has decided to close this connection.
    pub(super) is_closing: bool,
    /// Bytes were read that are not handled yet.
    pub(super) has_unhandled_input: bool,
}

/// How to proceed with a connection.
#[derive(Debug, PartialEq)]
pub(super) enum CloseStep {
    StayOpen,
    /// Close it now: the edge node sends nothing more, or nothing that was written can be lost.
    Close,
    /// Drain it, then close it: the edge node may be sending.
    Drain,
    /// Close it, after draining it if the edge node has not acknowledged all output.
    DrainUnacknowledged,
}

/// Decides whether a connection closes now.
pub(super) fn close_step(state: &ConnectionState) -> CloseStep {
    let has_nothing_to_lose = !state.is_readable && !state.has_read_message;
    if !state.is_done {
        CloseStep::StayOpen
    } else if state.is_read_closed || has_nothing_to_lose {
        CloseStep::Close
    } else if !state.is_readable {
        CloseStep::Drain
    } else if !state.is_closing || state.has_unhandled_input {
        // A request that was read before the close is answered first.
        CloseStep::StayOpen
    } else {
        CloseStep::DrainUnacknowledged
    }
}

#[cfg(test)]
#[path = "closing_tests.rs"]
mod tests;
