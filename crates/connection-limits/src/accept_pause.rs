//! How long accepting pauses after `accept` has failed.
//!
//! Without a pause the listener would spin: the connection stays in the backlog, and the next
//! `accept` fails at once for the same lack of descriptors or memory. The pause is longer where
//! other processes cause the lack, since closing connections here does not end it. The price is
//! that a new client waits for the pause.

use std::time::Duration;

use crate::event::AcceptError;

/// How long accepting pauses after `EMFILE`: until a connection that is evicted has been closed.
const PROCESS_LIMIT_PAUSE: Duration = Duration::from_millis(20);
/// How long accepting pauses after `ENFILE`.
const SYSTEM_LIMIT_PAUSE: Duration = Duration::from_millis(100);
/// How long accepting pauses after `ENOBUFS` or `ENOMEM`.
const OUT_OF_MEMORY_PAUSE: Duration = Duration::from_millis(200);
/// How long accepting pauses after an error that is not known.
const OTHER_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// The pause after an error; none where the error concerns one connection only, and the next may be
/// accepted at once.
pub(crate) fn accept_pause(error: AcceptError) -> Option<Duration> {
    match error {
        AcceptError::ConnectionAborted => None,
        AcceptError::ProcessDescriptorLimit => Some(PROCESS_LIMIT_PAUSE),
        AcceptError::SystemDescriptorLimit => Some(SYSTEM_LIMIT_PAUSE),
        AcceptError::OutOfMemory => Some(OUT_OF_MEMORY_PAUSE),
        AcceptError::Other => Some(OTHER_ERROR_PAUSE),
    }
}
