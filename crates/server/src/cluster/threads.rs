//! Starts the threads of the cluster, and receives batches from their queues.

use std::io;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// The stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// The maximum number of items that follow the first in a batch. A voter makes a batch durable with
/// one write.
const MAX_BATCH: usize = 256;

/// Starts a thread with a small stack.
///
/// # Errors
/// The error of the operating system, if it cannot start another thread.
pub(crate) fn spawn_thread(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new()
        .name(name.into())
        .stack_size(STACK_BYTES)
        .spawn(body)
        .map(|_| ())
}

/// Waits up to `timeout` for one item, and returns it with up to [`MAX_BATCH`] items that are
/// queued after it. The batch is empty if no item was received in time. Returns `None` once all
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
