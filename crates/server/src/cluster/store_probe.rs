//! The health check of the store. When the store refuses connections, one process of a zone probes
//! it, and all other processes of the zone apply the verdict that the probing process publishes.
//!
//! [`StoreProbe`] runs on a dedicated thread, which checks the store client every
//! [`UPDATE_INTERVAL`] and lets [`DependencyProber`] decide. A process that loses the probe lease
//! stops probing, and another takes over. Without verdicts of other processes, a process decides by
//! its own connections alone. The thread ends with the event loop.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::Duration;

use tulipgap_leases::LeaseSpec;
use tulipgap_membership::dependency_probe::{
    DependencyProber, Input as ProbeInput, ProbeOutcome, Verdict, VerdictChange,
};

use super::input::Input;
use super::lease_handle::{LeaseHandle, ScopedGuard};
use crate::net::store::StoreClient;

/// The key of the metadata under which the verdict is published.
const VERDICT_KEY: &str = "store";
/// How often the probe checks whether the store refuses connections.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// The time limit for reading the other processes' verdicts from the event loop. Without them, this
/// process decides by its own connections alone.
const VERDICT_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit of a probe, which is the longest operation under the probe lease.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// The probe lease. One process probes, and another takes over within this TTL after its death.
const PROBE_LEASE: LeaseSpec = LeaseSpec {
    ttl: Duration::from_secs(4),
    capacity: 1,
};

/// The event loop has ended, which also ends the probe.
#[derive(Debug, thiserror::Error)]
#[error("the event loop of the cluster has ended")]
struct EventLoopEnded;

/// The probe of this process. It owns the prober's state and the guard of the probe lease.
pub(crate) struct StoreProbe {
    leases: LeaseHandle,
    inputs: SyncSender<Input>,
    lease: String,
    store: Arc<StoreClient>,
    prober: DependencyProber,
    /// Whether the lease is requested or held.
    wants_lease: bool,
    /// Present while the lease is held.
    guard: Option<ScopedGuard>,
    /// The outcome of the last probe, until it is passed to the prober.
    last_outcome: Option<ProbeOutcome>,
}

impl StoreProbe {
    /// A probe of the store that the processes of `zone` share.
    pub(crate) fn new(
        leases: LeaseHandle,
        inputs: SyncSender<Input>,
        zone: &str,
        store: Arc<StoreClient>,
    ) -> Self {
        StoreProbe {
            leases,
            inputs,
            lease: format!("probe/store/{zone}"),
            store,
            prober: DependencyProber::default(),
            wants_lease: false,
            guard: None,
            last_outcome: None,
        }
    }

    /// Runs until the event loop ends.
    pub(crate) fn run(mut self) {
        loop {
            std::thread::sleep(UPDATE_INTERVAL);
            let is_store_reachable = self.store.consecutive_refusals() == 0;
            if is_store_reachable && !self.wants_lease {
                continue;
            }
            if self.update().is_err() {
                return;
            }
        }
    }

    fn update(&mut self) -> Result<(), EventLoopEnded> {
        let verdicts = self.read_verdicts()?;
        let has_lease = self.check_lease();
        let input = ProbeInput {
            consecutive_refusals: self.store.consecutive_refusals(),
            has_lease,
            probe_outcome: self.last_outcome.take(),
            verdicts: &verdicts,
        };
        let output = self.prober.update(self.leases.clock().now(), &input);
        if let Some(change) = output.verdict_change {
            self.publish(change);
        }
        self.store.set_suspended(output.is_down);
        self.update_lease(output.should_have_lease, has_lease);
        if output.should_probe
            && let Some(address) = self.store.address()
        {
            self.last_outcome = Some(probe(address));
        }
        Ok(())
    }

    /// The verdicts of the other live members of the zone; none if the event loop does not respond
    /// in time.
    fn read_verdicts(&self) -> Result<Vec<Verdict>, EventLoopEnded> {
        let (reply, replied) = sync_channel(1);
        let read = Input::ReadMetadata {
            key: VERDICT_KEY,
            reply,
        };
        self.inputs.send(read).map_err(|_| EventLoopEnded)?;
        let published = replied
            .recv_timeout(VERDICT_READ_TIMEOUT)
            .unwrap_or_default();
        Ok(published
            .into_iter()
            .map(|entry| Verdict {
                member: entry.member,
                text: entry.value,
            })
            .collect())
    }

    /// Whether this process may probe now. If not, it releases the guard.
    fn check_lease(&mut self) -> bool {
        if self.guard.is_none() && self.wants_lease {
            self.guard = self.leases.acquire_guard(&self.lease).ok();
        }
        let has_lease = self
            .guard
            .as_ref()
            .is_some_and(|guard| guard.fencing_token().is_ok());
        if !has_lease {
            self.guard = None;
        }
        has_lease
    }

    fn publish(&self, change: VerdictChange) {
        let value = match change {
            VerdictChange::Publish(text) => Some(text),
            VerdictChange::Withdraw => None,
        };
        let _ = self.inputs.send(Input::PublishMetadata {
            key: VERDICT_KEY,
            value,
        });
    }

    /// Acquires or releases the probe lease. A process that held the lease and no longer needs it
    /// has found the store healthy.
    fn update_lease(&mut self, should_have_lease: bool, has_lease: bool) {
        if should_have_lease && !self.wants_lease {
            self.leases.acquire(&self.lease, PROBE_LEASE, PROBE_TIMEOUT);
        } else if !should_have_lease && self.wants_lease {
            self.guard = None;
            self.leases.release(&self.lease);
            if has_lease {
                self.store.health_check_succeeded();
            }
        }
        self.wants_lease = should_have_lease;
    }
}

/// Connects to the store once, and closes the connection again.
fn probe(address: SocketAddr) -> ProbeOutcome {
    match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Ok(_) => ProbeOutcome::Succeeded,
        Err(_) => ProbeOutcome::Failed,
    }
}
