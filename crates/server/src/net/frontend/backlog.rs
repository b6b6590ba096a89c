//! The backlog of the listener: how many connections wait there, and within which time they are
//! answered at a shutdown.
//!
//! A connection in the backlog may hold whole requests, which are lost if the process ends before
//! it comes to them. At a shutdown of a full server each place is therefore given on as soon as
//! nothing is open on its connection. How long that takes is bounded in two ways, for a machine
//! that gives the program a whole core, and where no run holds a place:
//!
//! - Where there is time, a place is kept until the peer's system has acknowledged all replies,
//!   within [`TURNOVER`] for each round of the places.
//! - Where there is not, it is kept until they are sent. What is left is the time to read and to
//!   answer: [`CONNECTION_TIME`] for each connection, and [`REQUEST_TIME`] for each request. How
//!   many requests wait is not known, and no more than a connection may have open.
//!
//! Where the termination comes sooner even so, the operator learns of it at the notice: the grace
//! is too short for the crowd.

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

use may::net::TcpListener;

use super::connection::MAX_OPEN_REQUESTS;

/// How long a place is kept by a connection on which nothing is open, while others wait: the grace
/// for a message that crosses (60 ms), an acknowledgement that is delayed (40 ms), and the polls
/// between them.
const TURNOVER: Duration = Duration::from_millis(150);
/// The time to accept a connection, to read it and to close it.
const CONNECTION_TIME: Duration = Duration::from_micros(100);
/// The time to read a request and to reject it.
const REQUEST_TIME: Duration = Duration::from_micros(40);

/// The backlog of a server that shuts down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// Connections that wait to be accepted.
    pub(crate) waiting: usize,
    /// Connections that there can be at a time.
    pub(crate) places: usize,
}

impl Backlog {
    /// The time within which all that wait are accepted and what they hold is answered, where each
    /// place is given on once everything on it is sent.
    pub(crate) fn answer_bound(&self) -> Duration {
        let requests = self.waiting.saturating_mul(MAX_OPEN_REQUESTS);
        times(CONNECTION_TIME, self.waiting).saturating_add(times(REQUEST_TIME, requests))
    }

    /// The same where each place is given on once everything on it is acknowledged: all places turn
    /// over once for each round of those that wait, and once more for the last requests.
    pub(crate) fn acknowledged_bound(&self) -> Duration {
        match self.waiting.div_ceil(self.places.max(1)) {
            0 => Duration::ZERO,
            rounds => times(TURNOVER, rounds.saturating_add(1)).saturating_add(self.answer_bound()),
        }
    }
}

fn times(span: Duration, count: usize) -> Duration {
    u32::try_from(count).map_or(Duration::MAX, |count| span.saturating_mul(count))
}

/// The number of connections in the backlog; none where the system does not tell.
pub(super) fn waiting_connections(listener: &TcpListener) -> Option<usize> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // Safe: the descriptor is open as long as the listener is, and the call writes at most that
    // many bytes of a structure for which all values are valid.
    let info = unsafe {
        let result = libc::getsockopt(
            listener.as_raw_fd(),
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            info.as_mut_ptr().cast(),
            &raw mut length,
        );
        (result == 0).then(|| info.assume_init())
    }?;
    // For a listening socket the system reports the length of its accept queue here.
    usize::try_from(info.tcpi_unacked).ok()
}

#[cfg(test)]
#[path = "backlog_tests.rs"]
mod tests;
