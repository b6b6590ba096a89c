//! Tests of the idle timeout of connections.

use std::time::Duration;

use crate::common::{SimulatedHost, config, ms};
use crate::helpers::host_without_dependency;
use tulipgap::Config;

/// Idle connections of callers that rarely send requests filled the connection table, excluded
/// other callers and left cores idle. When idle connections were closed at once, retry storms
/// connected instead and took the cores for connecting and reading. The table is therefore emptied
/// if it is saturated, and left full in a retry storm.
#[test]
fn a_saturated_connection_table_is_emptied_and_left_full_in_a_retry_storm() {
    let mut host = SimulatedHost::new(
        Config {
            callers: 400,
            ..config()
        },
        1,
    );
    host.open_connections = 60.0;
    host.advance(ms(6000));
    assert!(host.idle_timeout <= ms(300), "{:?}", host.idle_timeout);
    // Rejections are no retry storm while cores are free for connecting and reading: requests of
    // high priority must be able to connect.
    let send_expired_requests = |host: &mut SimulatedHost| {
        for turn in 0..60 {
            host.arrive(0, 0, None, 9000, turn);
            host.advance(ms(100));
        }
    };
    send_expired_requests(&mut host);
    assert!(host.idle_timeout <= ms(300), "{:?}", host.idle_timeout);
    // Many callers that connect and are served are no retry storm either.
    host.advance(ms(5000));
    host.reading_cores = 8.0;
    host.advance(ms(6000));
    assert!(host.idle_timeout <= ms(300), "{:?}", host.idle_timeout);
    // Connecting and reading for attempts that are rejected take the cores from runs.
    send_expired_requests(&mut host);
    assert!(host.idle_timeout > ms(10_000), "{:?}", host.idle_timeout);
    // The full table keeps the retry storm out. The cores are busy, so the idle timeout stays as it
    // is.
    host.reading_cores = 2.0;
    host.advance(ms(6000));
    assert!(host.idle_timeout > ms(10_000), "{:?}", host.idle_timeout);
    // The retry storm counts as over once the cores have too little work.
    host.reading_cores = 0.0;
    host.advance(ms(6000));
    assert!(host.idle_timeout <= ms(300), "{:?}", host.idle_timeout);
}

/// If there are few callers, closing their idle connections only makes them connect again, which
/// costs time for reading.
#[test]
fn few_callers_keep_their_connections() {
    let mut host = host_without_dependency();
    host.open_connections = 3.0;
    host.advance(ms(6000));
    assert_eq!(host.idle_timeout, Duration::MAX, "no timeout was set");
}

/// A configured idle timeout near [`Duration::MAX`] overflowed when it was multiplied, and the
/// process panicked. Durations therefore saturate.
#[test]
fn an_unbounded_idle_timeout_does_not_overflow() {
    let mut host = SimulatedHost::new(
        Config {
            idle_timeout: Duration::MAX,
            ..config()
        },
        1,
    );
    host.advance(ms(1000));
    assert_eq!(host.idle_timeout, Duration::MAX);
}
