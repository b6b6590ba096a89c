//! The lease that bounds how many processes of a zone drain at a time.
//!
//! [`DrainLease`] has no state. An operator's command or, after a shutdown notice, a separate
//! thread acquires the lease, which is kept until the process ends. After a shutdown notice, a
//! process drains even if it has no slot.

use std::time::Duration;

use tulipgap_leases::LeaseSpec;

use super::lease_handle::LeaseHandle;

/// The TTL of the lease: how long a process that has died still counts as draining.
const DRAIN_LEASE_TTL: Duration = Duration::from_secs(3);
/// The longest operation under the lease. The drain carries out no operations that check the lease.
const MAX_DRAIN_OPERATION: Duration = Duration::from_millis(100);

/// The drain lease of this process's zone.
#[derive(Clone)]
pub(crate) struct DrainLease {
    name: String,
    /// The number of processes of the zone that may drain at a time.
    capacity: u32,
}

impl DrainLease {
    /// The drain lease of `zone`.
    pub(crate) fn for_zone(zone: &str, capacity: u32) -> Self {
        DrainLease {
            name: format!("drain/{zone}"),
            capacity,
        }
    }

    /// The name of the lease.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// The TTL and capacity of the lease.
    pub(crate) fn spec(&self) -> LeaseSpec {
        LeaseSpec {
            ttl: DRAIN_LEASE_TTL,
            capacity: self.capacity,
        }
    }

    /// The longest operation under the lease.
    pub(crate) fn max_operation(&self) -> Duration {
        MAX_DRAIN_OPERATION
    }

    /// Acquires the lease and keeps it until the process ends.
    pub(crate) fn acquire(&self, leases: &LeaseHandle) {
        leases.acquire(&self.name, self.spec(), self.max_operation());
    }
}
