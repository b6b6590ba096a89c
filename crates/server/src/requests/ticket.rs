//! A request's claim to its commands.

use std::sync::Arc;
use std::time::Instant;

use may::sync::Blocker;

use super::messages::{Command, RequestEvent};
use super::registry::RequestRegistry;
use crate::clock;

/// The handle of one registered request. A coroutine that drops it before the request is finished
/// counts as a caller that is gone.
pub(crate) struct Ticket {
    pub(super) registry: Arc<RequestRegistry>,
    pub(super) index: usize,
    pub(super) waiter: Arc<Blocker>,
}

impl Ticket {
    /// Blocks until there is a command; `None` once `deadline` has passed without one.
    pub(crate) fn next_command(&self, deadline: Option<Instant>) -> Option<Command> {
        loop {
            if let Some(command) = self.registry.state.lock().next_command(self.index) {
                return Some(command);
            }
            if deadline.is_some_and(|deadline| deadline <= Instant::now()) {
                return None;
            }
            clock::park(&self.waiter, deadline);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut state = self.registry.state.lock();
        if !state.detach(self.index) {
            state.handle_event(self.index, RequestEvent::CallerGone);
        }
    }
}
