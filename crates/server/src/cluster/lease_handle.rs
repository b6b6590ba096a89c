//! The access of this process's tasks to leases.
//!
//! The drain, the store probe and the workers of fault injection call [`LeaseHandle`] on their own
//! threads. After a lease is lost, the task's next operation gets [`StaleGuard`] and must not be
//! carried out; the log has `lease lost` with the reason.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_leases::{
    Action, Event, FencingToken, LeaseClient, LeaseGuard, LeaseSpec, StaleGuard,
};

use super::clock::ClusterClock;
use super::input::Input;

/// The only means for a task to act under a lease. The lease client is shared with the event loop,
/// which hands it responses and timers. The event loop also carries out the actions that follow
/// from a task's call.
#[derive(Clone)]
pub(crate) struct LeaseHandle {
    client: Arc<Mutex<LeaseClient>>,
    clock: ClusterClock,
    inputs: SyncSender<Input>,
}

impl LeaseHandle {
    /// A handle to `client`. Its actions are sent to `inputs`.
    pub(crate) fn new(
        client: Arc<Mutex<LeaseClient>>,
        clock: ClusterClock,
        inputs: SyncSender<Input>,
    ) -> Self {
        LeaseHandle {
            client,
            clock,
            inputs,
        }
    }

    /// The clock by which the TTLs of leases elapse.
    pub(crate) fn clock(&self) -> ClusterClock {
        self.clock
    }

    /// Acquires a lease and keeps it until it is released. If no slot is free, the request is
    /// queued. No operation of the task under the lease may take longer than `max_operation`.
    pub(crate) fn acquire(&self, lease: &str, spec: LeaseSpec, max_operation: Duration) {
        self.handle_event(Event::Acquire {
            lease: lease.into(),
            spec,
            max_operation,
            wait: true,
        });
    }

    /// Releases a lease as soon as no task has a guard of it.
    pub(crate) fn release(&self, lease: &str) {
        self.handle_event(Event::Release {
            lease: lease.into(),
        });
    }

    /// A guard of a lease that this process holds.
    ///
    /// # Errors
    /// [`StaleGuard`] if the process does not hold the lease.
    pub(crate) fn acquire_guard(&self, lease: &str) -> Result<ScopedGuard, StaleGuard> {
        let guard = self.client.lock().acquire_guard(self.clock.now(), lease)?;
        Ok(ScopedGuard {
            guard: Some(guard),
            leases: self.clone(),
        })
    }

    fn handle_event(&self, event: Event) {
        let actions = self.client.lock().handle_event(self.clock.now(), event);
        self.carry_out(actions);
    }

    fn carry_out(&self, actions: Vec<Action>) {
        // The send fails only if the event loop has ended. It has then released all leases without
        // a guard; a lease that had a guard ends with its TTL.
        let _ = self.inputs.send(Input::LeaseActions(actions));
    }
}

/// A guard that is released when it is dropped. While it exists, its lease is not released.
pub(crate) struct ScopedGuard {
    /// Present until the drop.
    guard: Option<LeaseGuard>,
    leases: LeaseHandle,
}

impl ScopedGuard {
    /// The fencing token for one operation that begins now.
    ///
    /// # Errors
    /// [`StaleGuard`] if the lease is lost, or may end before such an operation does.
    pub(crate) fn fencing_token(&self) -> Result<FencingToken, StaleGuard> {
        let guard = self.guard.as_ref().ok_or(StaleGuard)?;
        self.leases
            .client
            .lock()
            .check_guard(self.leases.clock.now(), guard)
    }
}

impl Drop for ScopedGuard {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            let actions = self
                .leases
                .client
                .lock()
                .release_guard(self.leases.clock.now(), guard);
            self.leases.carry_out(actions);
        }
    }
}
