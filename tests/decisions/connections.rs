//! The idle timeout of connections.

use std::time::Duration;

use crate::common::{SimulatedHost, config, ms};
use crate::helpers::host_without_dependency;
use tulipgap::Config;

/// Connections of rare callers filled the table, shut others out and left cores idle; with idle
/// connections closed at once, retry storms got in and took the cores for connecting and reading.
/// Each state of the table is right in one of the two cases.
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
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Rejections alone, with cores to spare for connecting and reading, are no storm: requests of
    // high priority have to get in.
    let arrive_in_vain = |host: &mut SimulatedHost| {
        for turn in 0..60 {
            host.arrive(0, 0, None, 9000, turn);
            host.pass(ms(100));
        }
    };
    arrive_in_vain(&mut host);
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Nor are many callers that connect and are served.
    host.pass(ms(5000));
    host.reading = 8.0;
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
    // Connecting and reading for attempts in vain take the cores from runs.
    arrive_in_vain(&mut host);
    assert!(host.idle > ms(10_000), "{:?}", host.idle);
    // The full table has shut the storm out; the cores are busy, so it stays as it is.
    host.reading = 2.0;
    host.pass(ms(6000));
    assert!(host.idle > ms(10_000), "{:?}", host.idle);
    // It is over once the cores starve.
    host.reading = 0.0;
    host.pass(ms(6000));
    assert!(host.idle <= ms(300), "{:?}", host.idle);
}

/// Where callers are few, closing their idle connections only makes them connect anew, which costs
/// reading time.
#[test]
fn few_callers_keep_their_connections() {
    let mut host = host_without_dependency();
    host.open_connections = 3.0;
    host.pass(ms(6000));
    assert_eq!(host.idle, Duration::MAX, "no timeout was set");
}

/// A configured idle timeout near the longest span there is overflowed when it was multiplied, and
/// the process panicked. Spans saturate.
#[test]
fn an_unbounded_idle_timeout_does_not_overflow() {
    let mut host = SimulatedHost::new(
        Config {
            idle_timeout: Duration::MAX,
            ..config()
        },
        1,
    );
    host.pass(ms(1000));
    assert_eq!(host.idle, Duration::MAX);
}
