//! The block `cluster.trial`, for `tulipgap chaos` only: faults that only the program itself can
//! inject, and leases whose use the history checker verifies.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::validators::socket_address;

/// Rate of a correct clock, as a multiple of true time.
const EXACT_CLOCK_RATE: f64 = 1.0;

/// Faults to inject and leases to use in a run of `tulipgap chaos`.
#[derive(Clone, Debug, Deserialize, PartialEq, Validate)]
#[garde(context(()))]
pub struct FaultInjectionConfig {
    /// The address of the history checker, which is sent each write under a lease.
    #[garde(inner(custom(socket_address)))]
    pub witness: Option<String>,
    /// The leases to be used, each as `NAME TTL_MS CAPACITY MAX_OPERATION_MS`.
    #[serde(default)]
    #[garde(inner(custom(test_lease)))]
    pub leases: Vec<String>,
    /// Routes, each as `ADDRESS=ADDRESS`: messages to the first address are sent to the second.
    #[serde(default)]
    #[garde(inner(custom(route)))]
    pub routes: Vec<String>,
    /// The rate of the clock, as a multiple of true time.
    #[serde(default = "exact_clock_rate")]
    #[garde(range(min = 0.5, max = 2.0))]
    pub clock_rate: f64,
    /// A folder whose files inject faults: `full` makes the disk full, `fails` makes the next sync
    /// fail, and `pause_at` names the step of an operation at which the process pauses.
    #[serde(rename = "disk_trouble")]
    #[garde(skip)]
    pub fault_folder: Option<PathBuf>,
}

impl Default for FaultInjectionConfig {
    /// No fault.
    fn default() -> Self {
        FaultInjectionConfig {
            witness: None,
            leases: Vec::new(),
            routes: Vec::new(),
            clock_rate: EXACT_CLOCK_RATE,
            fault_folder: None,
        }
    }
}

/// A lease that the program uses under test.
#[derive(Clone, Debug, PartialEq)]
pub struct TestLease {
    /// The name of the lease.
    pub name: String,
    /// The TTL of the lease.
    pub ttl: Duration,
    /// How many members may hold the lease at a time.
    pub capacity: u32,
    /// The maximum duration of an operation under the lease.
    pub max_operation: Duration,
}

impl FaultInjectionConfig {
    /// The leases to be used. All are valid in a file that was accepted; an invalid lease is left
    /// out.
    pub fn leases(&self) -> Vec<TestLease> {
        self.leases
            .iter()
            .filter_map(|text| parse_test_lease(text))
            .collect()
    }

    /// The routes, as pairs of addresses. All are valid in a file that was accepted; an invalid
    /// route is left out.
    pub fn routes(&self) -> Vec<(SocketAddr, SocketAddr)> {
        self.routes
            .iter()
            .filter_map(|text| parse_route(text))
            .collect()
    }
}

fn exact_clock_rate() -> f64 {
    EXACT_CLOCK_RATE
}

fn parse_test_lease(text: &str) -> Option<TestLease> {
    let [name, ttl, capacity, max_operation] = text.split(' ').collect::<Vec<_>>()[..] else {
        return None;
    };
    let millis = |text: &str| Some(Duration::from_millis(text.parse().ok()?));
    Some(TestLease {
        name: name.into(),
        ttl: millis(ttl)?,
        capacity: capacity.parse().ok()?,
        max_operation: millis(max_operation)?,
    })
}

fn parse_route(text: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (from, to) = text.split_once('=')?;
    Some((from.parse().ok()?, to.parse().ok()?))
}

fn test_lease(text: &str, _: &()) -> garde::Result {
    let invalid = || {
        garde::Error::new(format!(
            "'{text}' does not have the form NAME TTL_MS CAPACITY MAX_OPERATION_MS"
        ))
    };
    parse_test_lease(text).map(|_| ()).ok_or_else(invalid)
}

fn route(text: &str, _: &()) -> garde::Result {
    let invalid = || garde::Error::new(format!("'{text}' does not have the form ADDRESS=ADDRESS"));
    parse_route(text).map(|_| ()).ok_or_else(invalid)
}
