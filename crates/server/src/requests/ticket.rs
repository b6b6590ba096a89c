//! The handle by which a request's coroutine takes its commands.

use std::sync::Arc;
use std::time::Instant;

use may::sync::Blocker;
use parking_lot::Mutex;

use super::messages::{Command, RequestEvent};
use super::state::RegistryState;
use crate::clock;

/// The handle of one registered request. If it is dropped before the request is finished, the
/// caller counts as gone, because the coroutine that could answer the request has ended.
pub(crate) struct Ticket {
    pub(super) state: Arc<Mutex<RegistryState>>,
    pub(super) index: usize,
    pub(super) waiter: Arc<Blocker>,
    /// The controller has answered and released the request on arrival.
    pub(super) is_finished_on_arrival: bool,
}

impl Ticket {
    /// Whether all commands for the request are already queued, so that `next_command` does not
    /// block.
    pub(crate) fn is_finished_on_arrival(&self) -> bool {
        self.is_finished_on_arrival
    }

    /// Blocks until there is a command. Returns `None` if `deadline` passes without one.
    pub(crate) fn next_command(&self, deadline: Option<Instant>) -> Option<Command> {
        loop {
            if let Some(command) = self.state.lock().next_command(self.index) {
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
        let mut state = self.state.lock();
        if !state.detach(self.index) {
            state.handle_event(self.index, RequestEvent::CallerGone);
        }
    }
}
