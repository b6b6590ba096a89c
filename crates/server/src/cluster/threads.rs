//! Threads of the cluster, and how they take what is queued for them.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// The stack of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Items that are taken from a queue at a time. A voter makes them durable with one write.
const MAX_BATCH: usize = 256;

/// Starts a thread with a small stack.
///
/// # Errors
/// The system's, where it has no room for one more thread.
pub(crate) fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .map(|_| ())
}

/// Waits up to `timeout` for one item, and returns it with those that are queued behind it, up to
/// [`MAX_BATCH`] of them. The batch is empty where no item was received in time; `None` once all
/// senders are dropped.
pub(crate) fn receive_batch<T>(
    receiver: &Receiver<T>,
    timeout: Duration,
) -> Option<impl Iterator<Item = T>> {
    let first = match receiver.recv_timeout(timeout) {
        Ok(item) => Some(item),
        Err(RecvTimeoutError::Timeout) => None,
        Err(RecvTimeoutError::Disconnected) => return None,
    };
    Some(first.into_iter().chain(receiver.try_iter().take(MAX_BATCH)))
}
