//! How long accepting pauses after `accept` has failed.
//!
//! Without a pause the listener would spin: the connection stays in the backlog, and the next
//! `accept` fails immediately for the same lack of descriptors or memory. The pause is longer if
//! the shortage may be caused by other processes, since closing connections of this server may not
//! end it. The trade-off is that a new client waits until the pause is over.

use std::time::Duration;

use crate::event::AcceptError;

/// How long accepting pauses after `EMFILE`: the host closes an evicted connection in this time.
const PROCESS_LIMIT_PAUSE: Duration = Duration::from_millis(20);
/// How long accepting pauses after `ENFILE`.
const SYSTEM_LIMIT_PAUSE: Duration = Duration::from_millis(100);
/// How long accepting pauses after `ENOBUFS` or `ENOMEM`.
const OUT_OF_MEMORY_PAUSE: Duration = Duration::from_millis(200);
/// How long accepting pauses after any other error.
const OTHER_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The pause after an error; `None` if the error concerns one connection only, so that the next may
/// be accepted immediately.
pub(crate) fn accept_pause(error: AcceptError) -> Option<Duration> {
    match error {
        AcceptError::ConnectionAborted => None,
        AcceptError::ProcessDescriptorLimit => Some(PROCESS_LIMIT_PAUSE),
        AcceptError::SystemDescriptorLimit => Some(SYSTEM_LIMIT_PAUSE),
        AcceptError::OutOfMemory => Some(OUT_OF_MEMORY_PAUSE),
        AcceptError::Other => Some(OTHER_ERROR_PAUSE),
    }
}
