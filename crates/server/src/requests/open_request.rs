//! One open request: its state, the commands for its coroutine and its recording.

use std::collections::VecDeque;
use std::sync::Arc;

use may::sync::Blocker;

use super::messages::{Bytes, Command, IdempotencyKey, IncomingRequest, RequestId};
use crate::trace::RequestTrace;

/// A request between its registration and its release.
pub(super) struct OpenRequest {
    pub(super) id: RequestId,
    pub(super) commands: VecDeque<Command>,
    pub(super) waiter: Arc<Blocker>,
    /// Its final response is queued among its commands, or was.
    pub(super) is_answered: bool,
    pub(super) is_caller_gone: bool,
    /// A run of it was started.
    pub(super) is_started: bool,
    /// The controller has released it.
    pub(super) is_released: bool,
    /// Its coroutine has ended before it was released.
    pub(super) is_detached: bool,
    /// The call that its run waits for: the number of the call within the run, and its body.
    pub(super) call: Option<(u64, Bytes)>,
    /// The call is in flight.
    pub(super) is_calling: bool,
    /// Its idempotency key within its tenant and handler.
    pub(super) key: Option<IdempotencyKey>,
    pub(super) body_hash: u64,
    pub(super) trace: Option<Box<RequestTrace>>,
}

impl OpenRequest {
    pub(super) fn new(
        incoming: &IncomingRequest,
        key: Option<IdempotencyKey>,
        waiter: Arc<Blocker>,
        trace: Option<Box<RequestTrace>>,
    ) -> Self {
        OpenRequest {
            id: incoming.id.clone(),
            commands: VecDeque::new(),
            waiter,
            is_answered: false,
            is_caller_gone: false,
            is_started: false,
            is_released: false,
            is_detached: false,
            call: None,
            is_calling: false,
            key,
            body_hash: incoming.body_hash,
            trace,
        }
    }

    /// Queues a command and wakes the request's coroutine.
    pub(super) fn send(&mut self, command: Command) {
        // The controller repeats a cancellation until the run has ended.
        if command != Command::Cancel || !self.commands.contains(&command) {
            self.commands.push_back(command);
            self.waiter.unpark();
        }
    }
}
