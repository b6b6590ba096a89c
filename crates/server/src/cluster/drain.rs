//! The lease that bounds how many processes of a zone drain at a time.
//!
//! [`DrainLease`] has no state of its own. It is acquired by an operator's command, or on a thread
//! of its own after a shutdown notice, and kept until the process ends. A process that has no slot
//! drains after a shutdown notice all the same.

use std::time::Duration;

use tulipgap_leases::LeaseSpec;

use super::lease_handle::LeaseHandle;

/// How long a process that has died counts as draining.
const DRAIN_LEASE_TTL: Duration = Duration::from_secs(3);
/// The longest step under the lease. Nothing is done step by step under it.
const MAX_DRAIN_STEP: Duration = Duration::from_millis(100);

/// The drain lease of this process's zone.
#[derive(Clone)]
pub(crate) struct DrainLease {
    name: String,
    /// Processes of the zone that may drain at a time.
    capacity: u32,
}

impl DrainLease {
    /// The lease of that zone.
    pub(crate) fn for_zone(zone: &str, capacity: u32) -> Self {
        DrainLease {
            name: format!("drain/{zone}"),
            capacity,
        }
    }

    /// Its name.
    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Its TTL and capacity.
    pub(crate) fn spec(&self) -> LeaseSpec {
        LeaseSpec {
            ttl: DRAIN_LEASE_TTL,
            capacity: self.capacity,
        }
    }

    /// The longest step under it.
    pub(crate) fn max_step(&self) -> Duration {
        MAX_DRAIN_STEP
    }

    /// Acquires it and keeps it until the process ends.
    pub(crate) fn acquire(&self, leases: &LeaseHandle) {
        leases.acquire(&self.name, self.spec(), self.max_step());
    }
}
