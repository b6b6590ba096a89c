//! The block `cluster.trial`, for the rig alone: faults that only the program itself can inject,
//! and leases that it uses for the rig to watch.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::validators::socket_address;

/// The rate of a clock that is right.
const EXACT_CLOCK_RATE: f64 = 1.0;

/// Faults to be injected, and leases to be used.
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
    /// Each as `ADDRESS=ADDRESS`: what is sent to the first goes to the second.
    #[serde(default)]
    #[garde(inner(custom(route)))]
    pub routes: Vec<String>,
    /// How fast the clock runs, of the right rate.
    #[serde(default = "exact_clock_rate")]
    #[garde(range(min = 0.5, max = 2.0))]
    pub clock_rate: f64,
    /// A directory in which a file named `full` or `fails` makes the disk behave so.
    #[garde(skip)]
    pub disk_trouble: Option<PathBuf>,
}

impl Default for FaultInjectionConfig {
    /// No fault.
    fn default() -> Self {
        FaultInjectionConfig {
            witness: None,
            leases: Vec::new(),
            routes: Vec::new(),
            clock_rate: EXACT_CLOCK_RATE,
            disk_trouble: None,
        }
    }
}

/// A lease that the program uses under test.
#[derive(Clone, Debug, PartialEq)]
pub struct TestLease {
    /// Its name.
    pub name: String,
    /// Its TTL.
    pub ttl: Duration,
    /// How many members may hold it at a time.
    pub capacity: u32,
    /// The longest that an operation under it takes.
    pub max_operation: Duration,
}

impl FaultInjectionConfig {
    /// The leases to be used. Each is valid after the file was accepted; an invalid one is left
    /// out.
    pub fn leases(&self) -> Vec<TestLease> {
        self.leases
            .iter()
            .filter_map(|text| parse_test_lease(text))
            .collect()
    }

    /// The routes, as pairs of addresses. Each is valid after the file was accepted; an invalid one
    /// is left out.
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
            "'{text}' is not NAME TTL_MS CAPACITY MAX_OPERATION_MS"
        ))
    };
    parse_test_lease(text).map(|_| ()).ok_or_else(invalid)
}

fn route(text: &str, _: &()) -> garde::Result {
    let invalid = || garde::Error::new(format!("'{text}' is not ADDRESS=ADDRESS"));
    parse_route(text).map(|_| ()).ok_or_else(invalid)
}
