//! Leases, as the tasks of this process use them.
//!
//! [`LeaseHandle`] is called by the tasks on their own threads: the drain, the store probe, the
//! workers of fault injection. A lease that is lost shows as [`StaleGuard`] at the task's next
//! step, which then must not be made; the log has `lease lost` with the reason.

use std::sync::Arc;
use std::sync::mpsc::SyncSender;
use std::time::Duration;

use parking_lot::Mutex;
use tulipgap_leases::{
    Action, Event, FencingToken, LeaseClient, LeaseGuard, LeaseSpec, StaleGuard,
};

use super::clock::ClusterClock;
use super::input::Input;

/// The only way for a task to act under a lease. The lease client is shared with the event loop,
/// which hands it responses and timers; what follows from a task's call is carried out by the event
/// loop, too.
#[derive(Clone)]
pub(crate) struct LeaseHandle {
    client: Arc<Mutex<LeaseClient>>,
    clock: ClusterClock,
    inputs: SyncSender<Input>,
}

impl LeaseHandle {
    /// A handle to that client. Actions go to `inputs`.
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

    /// The clock that TTLs are measured by.
    pub(crate) fn clock(&self) -> ClusterClock {
        self.clock
    }

    /// Acquires a lease and keeps it until it is released, queueing where no slot is free. No step
    /// of the task takes longer than `max_step`.
    pub(crate) fn acquire(&self, lease: &str, spec: LeaseSpec, max_step: Duration) {
        self.handle_event(Event::Acquire {
            lease: lease.into(),
            spec,
            max_step,
            wait: true,
        });
    }

    /// Releases a lease, once no guard is out.
    pub(crate) fn release(&self, lease: &str) {
        self.handle_event(Event::Release {
            lease: lease.into(),
        });
    }

    /// A guard of a lease that this process holds.
    ///
    /// # Errors
    /// [`StaleGuard`] where it does not hold the lease.
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
        // Once the event loop has ended, the process is ending and has released its leases.
        let _ = self.inputs.send(Input::LeaseActions(actions));
    }
}

/// A guard that is given back when it is dropped. While it is out, its lease is not released.
pub(crate) struct ScopedGuard {
    /// Present until the drop.
    guard: Option<LeaseGuard>,
    leases: LeaseHandle,
}

impl ScopedGuard {
    /// The fencing token for one step that begins now.
    ///
    /// # Errors
    /// [`StaleGuard`] where the lease is lost, or ends before such a step would.
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
