//! The harness of the program tests. It starts a process of the program with stubs of its executor
//! and its store, and encodes the messages of an edge node without the program's codec.

pub(crate) mod backend;
pub(crate) mod edge_node;
pub(crate) mod executor;
pub(crate) mod lease_runs;
pub(crate) mod store;

use std::net::UdpSocket;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Port of the program for edge nodes, in `config_json`.
pub(crate) const EDGE_PORT: u16 = 6565;
/// Port of the executor, in `config_json`.
pub(crate) const EXECUTOR_PORT: u16 = 7300;
/// Port of the store, in `config_json`.
pub(crate) const STORE_PORT: u16 = 7700;
/// Port of the service registry, for datagrams, in `config_json`.
pub(crate) const REGISTRY_PORT: u16 = 7946;

/// The time limit of waits that must succeed: far longer than any of them takes, even on a busy
/// machine.
pub(crate) const LONG_TIMEOUT: Duration = Duration::from_secs(30);

/// The bound on the time to an answer: far longer than an answer takes on a busy machine, far
/// shorter than the wait of a caller that is blocked by another one.
pub(crate) const MAX_ANSWER_TIME: Duration = Duration::from_secs(5);

/// Waits until no other test sends without a pause. Such tests run one after another: together they
/// would take the processors and the network from tests with time limits.
pub(crate) fn wait_for_flood_turn() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a loopback address that is used by no other test and by no other test process that runs
/// at the same time: a UDP socket that stays open until the process ends claims it.
pub(crate) fn unique_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    static CLAIMED: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());
    let id = std::process::id();
    for _ in 0..1000 {
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let second = 64 + next % 128;
        // After 128 values of the second byte the third byte is incremented.
        let third = (id >> 8).wrapping_add(next / 128) & 255;
        let host = format!("127.{second}.{third}.{}", 1 + id % 254);
        if let Ok(socket) = UdpSocket::bind((&host[..], 6564)) {
            CLAIMED.lock().unwrap().push(socket);
            return host;
        }
    }
    panic!("no loopback address is free");
}

/// Waits until `is_met` returns true; panics with `condition` after [`LONG_TIMEOUT`].
pub(crate) fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_met() {
        assert!(start.elapsed() < LONG_TIMEOUT, "{condition}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
