//! The harness of the program tests: a process of the program between stubs of its executor and its
//! store, and an edge node whose messages are encoded by hand.

pub(crate) mod backend;
pub(crate) mod edge_node;
pub(crate) mod executor;
pub(crate) mod lease_runs;
pub(crate) mod store;

use std::net::UdpSocket;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Port of the program for edge nodes, in `config_json`.
pub(crate) const EDGE_PORT: u16 = 6565;
/// Port of the executor, in `config_json`.
pub(crate) const EXECUTOR_PORT: u16 = 7300;
/// Port of the store, in `config_json`.
pub(crate) const STORE_PORT: u16 = 7700;
/// Port of the service registry, for datagrams, in `config_json`.
pub(crate) const REGISTRY_PORT: u16 = 7946;

/// Far longer than anything takes, on a busy machine too.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// Far longer than an answer takes on a busy machine, far shorter than a caller that is held up by
/// another would wait.
pub(crate) const PROMPT: Duration = Duration::from_secs(5);

/// A loopback address that no other test uses, nor a suite that runs at the same time: a socket
/// that is kept until the process ends claims it.
pub(crate) fn unique_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    static CLAIMED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
    let id = std::process::id();
    for _ in 0..1000 {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let second = 64 + next % 128;
        // A suite with more backends than the second byte has values goes on with the third.
        let third = (id >> 8).wrapping_add(next / 128) & 255;
        let host = format!("127.{second}.{third}.{}", 1 + id % 254);
        if let Ok(socket) = UdpSocket::bind((&host[..], 6564)) {
            CLAIMED.lock().unwrap().push(socket);
            return host;
        }
    }
    panic!("no address is free");
}

/// Waits until a condition holds; fails with `what` otherwise.
pub(crate) fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
