//! The backlog of the listener: its length, and a bound on the time to answer it at a shutdown.
//!
//! A connection in the backlog may carry whole requests, which are lost if the process terminates
//! before it reads them. At a shutdown of a full server, a connection therefore yields its slot as
//! soon as no request is open on it. Two bounds on the time to answer the backlog hold if the
//! program has a whole core and no run occupies a slot:
//!
//! - With enough time, a connection keeps its slot until the peer's system has acknowledged all
//!   replies, within [`SLOT_TURNOVER_TIME`] for each round of the slots.
//! - Otherwise it keeps its slot until all replies are sent. The time to read and to answer
//!   remains: [`CONNECTION_TIME`] for each connection and [`REQUEST_TIME`] for each request. The
//!   number of requests in the backlog is not known; the bound assumes the maximum for each
//!   connection.
//!
//! If even the second bound exceeds the time before the termination, the server logs a warning at
//! the shutdown notice: the termination grace period is too short for this backlog.

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

use may::net::TcpListener;

use super::connection::MAX_OPEN_REQUESTS;

/// How long a connection without open requests keeps its slot while connections are in the backlog:
/// the time for a message in transit (60 ms), a delayed acknowledgement (40 ms), and the poll
/// intervals between them.
const SLOT_TURNOVER_TIME: Duration = Duration::from_millis(150);
/// The time to accept, read and close a connection.
const CONNECTION_TIME: Duration = Duration::from_micros(100);
/// The time to read and reject a request.
const REQUEST_TIME: Duration = Duration::from_micros(40);

/// The backlog of a server during a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// The number of connections that wait to be accepted.
    pub(crate) waiting: usize,
    /// The maximum number of open connections.
    pub(crate) slots: usize,
}

impl Backlog {
    /// The time to accept all connections in the backlog and to answer their requests, if each
    /// connection yields its slot once all its replies are sent.
    pub(crate) fn answer_bound(&self) -> Duration {
        let requests = self.waiting.saturating_mul(MAX_OPEN_REQUESTS);
        times(CONNECTION_TIME, self.waiting).saturating_add(times(REQUEST_TIME, requests))
    }

    /// The time to answer the backlog if each connection yields its slot once all its replies are
    /// acknowledged: one turnover of all slots for each round, which is as many connections of the
    /// backlog as there are slots, and one turnover for the last requests.
    pub(crate) fn acknowledged_bound(&self) -> Duration {
        match self.waiting.div_ceil(self.slots.max(1)) {
            0 => Duration::ZERO,
            rounds => times(SLOT_TURNOVER_TIME, rounds.saturating_add(1))
                .saturating_add(self.answer_bound()),
        }
    }
}

fn times(span: Duration, count: usize) -> Duration {
    u32::try_from(count).map_or(Duration::MAX, |count| span.saturating_mul(count))
}

/// The number of connections in the backlog, or `None` if the system does not report it.
pub(super) fn waiting_connections(listener: &TcpListener) -> Option<usize> {
    let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
    let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
    // Safe: the descriptor is open as long as the listener is, and the call writes at most `length`
    // bytes of a structure for which all values are valid.
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
    // For a listening socket, the system reports the length of the accept queue in this field.
    usize::try_from(info.tcpi_unacked).ok()
}

#[cfg(test)]
#[path = "backlog_tests.rs"]
mod tests;
