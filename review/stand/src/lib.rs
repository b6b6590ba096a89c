//! Stand-ins for the peers of one backend: edge node, kernel, store, announce service and platform.
//! They use the standard library only, real sockets on loopback addresses and the real clock.

pub mod case;
pub mod edge;
pub mod kernel;
pub mod platform;
pub mod record;
pub mod store;
pub mod thrift;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The time since the Unix epoch.
pub fn unix_now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Waits until `done` returns true. Returns false if that takes longer than `limit`.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = std::time::Instant::now();
    while !done() {
        if start.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    true
}
