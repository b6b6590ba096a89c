//! The backlog of the listener: how many connections wait there, and within which time they are
//! answered at a shutdown.
//!
//! A connection in the backlog may hold whole requests, which are lost if the process ends before
//! it comes to them. At a shutdown of a full server each place is therefore given on as soon as
//! nothing is open on its connection and all replies are acknowledged. That takes [`TURNOVER`] at
//! most where the machine keeps up and no run holds a place, so a backlog has an upper bound in
//! time. Where the termination comes sooner, the operator learns of it at the notice: the grace is
//! too short for the crowd, or there are too few places.

use std::mem::{MaybeUninit, size_of};
use std::os::fd::AsRawFd;
use std::time::Duration;

use may::net::TcpListener;

/// How long a place is kept by a connection on which nothing is open, while others wait: the grace
/// for a message that crosses (60 ms), an acknowledgement that is delayed (40 ms), and the polls
/// between them.
const TURNOVER: Duration = Duration::from_millis(150);

/// The backlog at a shutdown notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Backlog {
    /// Connections that wait to be accepted.
    pub(crate) waiting: usize,
    /// Connections that there can be at a time.
    pub(crate) places: usize,
}

impl Backlog {
    /// The time within which all that wait are accepted and what they hold is answered: all places
    /// turn over once for each round of those that wait, and once more for the last requests.
    pub(crate) fn answer_bound(&self) -> Duration {
        let rounds = self.waiting.div_ceil(self.places.max(1));
        match u32::try_from(rounds) {
            Ok(0) => Duration::ZERO,
            Ok(rounds) => TURNOVER.saturating_mul(rounds.saturating_add(1)),
            Err(_) => Duration::MAX,
        }
    }
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
