//! The lease client of a process, and the operations that the process carries out under leases.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use tulipgap_leases::{
    Action, Config, Event, FencingToken, LeaseClient, LeaseGuard, LeaseSpec, Name, Owner,
};

use super::startup::Startup;
use crate::plan::PlannedLease;

/// How long a process rests between two operations under a lease, in seconds.
const REST_SECONDS: Range<f64> = 0.01..0.05;
/// How long an operation takes, as a fraction of the longest that it may take.
const OPERATION_FRACTION: Range<f64> = 0.4..0.95;
/// How long after a lease ended its process checks whether it holds the lease again.
pub(super) const REACQUIRE_DELAY: Duration = Duration::from_millis(10);
/// How far clocks may be off in rate, as the clients are configured, in thousandths.
const MAX_CLOCK_DRIFT_PERMILLE: u32 = 50;
/// The jitter of the clients' pauses, in thousandths of a pause.
const JITTER_PERMILLE: u32 = 250;

fn draw(rng: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * rng.f64()
}

/// Draws how long a process rests after an operation.
pub(super) fn draw_rest(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_secs_f64(draw(rng, REST_SECONDS))
}

/// Draws how long an operation takes that may take `max_operation_seconds`.
pub(super) fn draw_operation(rng: &mut fastrand::Rng, max_operation_seconds: f64) -> Duration {
    Duration::from_secs_f64(max_operation_seconds * draw(rng, OPERATION_FRACTION))
}

/// The request for a lease that the plan has a member want.
pub(super) fn acquire_event(lease: &PlannedLease) -> Event {
    Event::Acquire {
        lease: lease.name.as_str().into(),
        spec: LeaseSpec {
            ttl: Duration::from_secs_f64(lease.ttl),
            capacity: lease.capacity,
        },
        max_step: Duration::from_secs_f64(lease.max_operation),
        wait: true,
    }
}

/// A lease under which a client has a guard; the lease itself may have ended meanwhile.
struct ActiveLease {
    guard: LeaseGuard,
    /// The token of the operation that is under way.
    operation: Option<FencingToken>,
}

/// What became of the operations under a lease.
pub(super) enum OperationStep {
    /// The operation that was under way has ended.
    Ended { token: FencingToken },
    /// An operation has begun.
    Began { token: FencingToken },
    /// The lease has ended and its guard is released, which leads to these actions.
    Released { actions: Vec<Action> },
}

/// The lease client of a process, and its operations; no client while the process is dead or has
/// not started yet.
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

    /// Returns the operations that were under way.
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

    /// `now` is what the process's own clock shows, here and below.
    pub(super) fn handle_event(&mut self, now: Duration, event: Event) -> Option<Vec<Action>> {
        Some(self.client.as_mut()?.handle_event(now, event))
    }

    /// Whether the process may act under a lease, whatever it does.
    pub(super) fn may_act(&self, now: Duration, lease: &str) -> bool {
        let client = self.client.clone();
        client.is_some_and(|mut client| client.acquire_guard(now, lease).is_ok())
    }

    pub(super) fn is_active(&self, lease: &Name) -> bool {
        self.active_leases.contains_key(lease)
    }

    /// The token of the operation that is under way.
    pub(super) fn operation(&self, lease: &Name) -> Option<FencingToken> {
        self.active_leases.get(lease)?.operation
    }

    /// Ends the operation under a lease if one is under way, and begins one otherwise. `None` where
    /// the process does not hold the lease.
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
