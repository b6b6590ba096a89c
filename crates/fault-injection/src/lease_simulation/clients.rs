//! The lease client of a process, and the process's operations under leases.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use tulipgap_leases::{
    Action, Config, Event, FencingToken, LeaseClient, LeaseGuard, LeaseSpec, Name, Owner,
};

use super::startup::Startup;
use crate::plan::PlannedLease;

/// The range of idle times between two operations under a lease, in seconds.
const IDLE_SECONDS: Range<f64> = 0.01..0.05;
/// The range of durations of an operation, as a fraction of its maximum duration.
const OPERATION_FRACTION: Range<f64> = 0.4..0.95;
/// The delay after the end of a lease until its process checks whether it holds the lease again.
pub(super) const REACQUIRE_DELAY: Duration = Duration::from_millis(10);
/// The maximum deviation of a clock's rate that the clients assume, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 50;
/// The maximum random extension of a client's pause between attempts, in thousandths of the pause.
const JITTER_PERMILLE: u32 = 250;

fn sample(rng: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.f64()
}

/// Samples the idle time after an operation.
pub(super) fn sample_idle_time(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(sample(rng, IDLE_SECONDS))
}

/// Samples the duration of an operation with a maximum duration.
pub(super) fn sample_operation_duration(
    rng: &mut fastrand::Rng,
    max_operation_seconds: f64,
) -> Duration {
    Duration::from_secs_f64(max_operation_seconds * sample(rng, OPERATION_FRACTION))
}

/// Returns the event that makes a client acquire a lease.
pub(super) fn acquire_event(lease: &PlannedLease) -> Event {
    Event::Acquire {
        lease: lease.name.as_str().into(),
        spec: LeaseSpec {
            ttl: Duration::from_secs_f64(lease.ttl),
            capacity: lease.capacity,
        },
        max_operation: Duration::from_secs_f64(lease.max_operation),
        wait: true,
    }
}

/// A lease for which a client has a guard. The lease itself may have ended since the guard was
/// acquired.
struct ActiveLease {
    guard: LeaseGuard,
    /// The token of the operation in progress.
    operation: Option<FencingToken>,
}

/// The result of [`HostedClient::step_operation`].
pub(super) enum OperationStep {
    /// The operation in progress has ended.
    Ended { token: FencingToken },
    /// An operation has begun.
    Began { token: FencingToken },
    /// The lease has ended. The client's release of the guard returned these actions.
    Released { actions: Vec<Action> },
}

/// The lease client of a process, and its operations. There is no client while the process is dead
/// or has not started yet.
#[derive(Default)]
pub(super) struct HostedClient {
    client: Option<LeaseClient>,
    active_leases: BTreeMap<Name, ActiveLease>,
}

impl HostedClient {
    pub(super) fn start(&mut self, owner: Owner, startup: &Startup) {
        let config = Config {
            max_clock_drift_permille: MAX_CLOCK_DRIFT_PERMILLE,
            jitter_permille: JITTER_PERMILLE,
        };
        let mut client = LeaseClient::new(owner, startup.voters.to_vec(), config, startup.seed);
        startup.bugs.inject_into_client(&mut client);
        self.client = Some(client);
    }

    /// Stops the client. Returns the operations that were in progress.
    pub(super) fn stop(&mut self) -> Vec<(Name, FencingToken)> {
        self.client = None;
        std::mem::take(&mut self.active_leases)
            .into_iter()
            .filter_map(|(lease, active)| Some((lease, active.operation?)))
            .collect()
    }

    pub(super) fn is_running(&self) -> bool {
        self.client.is_some()
    }

    /// Handles an event; returns `None` if the client is not running. Here and in the functions
    /// below, `now` is the time of the process's own clock.
    pub(super) fn handle_event(&mut self, now: Duration, event: Event) -> Option<Vec<Action>> {
        Some(self.client.as_mut()?.handle_event(now, event))
    }

    /// Whether the process could acquire a guard for a lease now.
    pub(super) fn may_act(&self, now: Duration, lease: &str) -> bool {
        let client = self.client.clone();
        client.is_some_and(|mut client| client.acquire_guard(now, lease).is_ok())
    }

    pub(super) fn is_active(&self, lease: &Name) -> bool {
        self.active_leases.contains_key(lease)
    }

    /// The token of the operation in progress.
    pub(super) fn operation(&self, lease: &Name) -> Option<FencingToken> {
        self.active_leases.get(lease)?.operation
    }

    /// Ends the operation in progress under a lease, or begins one if there is none. Returns `None`
    /// if the process does not hold the lease.
    pub(super) fn step_operation(&mut self, now: Duration, lease: &Name) -> Option<OperationStep> {
        let client = self.client.as_mut()?;
        let ActiveLease { guard, operation } = match self.active_leases.remove(lease) {
            Some(active) => active,
            None => ActiveLease {
                guard: client.acquire_guard(now, lease).ok()?,
                operation: None,
            },
        };
        let (operation, step) = match operation {
            Some(token) => (None, OperationStep::Ended { token }),
            None => {
                let Ok(token) = client.check_guard(now, &guard) else {
                    let actions = client.release_guard(now, guard);
                    return Some(OperationStep::Released { actions });
                };
                (Some(token), OperationStep::Began { token })
            }
        };
        self.active_leases
            .insert(lease.clone(), ActiveLease { guard, operation });
        Some(step)
    }
}
