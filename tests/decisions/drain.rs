//! Tests of the shutdown notice and of the drain after it.

use crate::common::ms;
use crate::helpers::host_without_dependency;
use tulipgap::{Event, Gauges};

/// If the process was terminated before the next tick, requests were left unanswered. The shutdown
/// notice itself therefore answers the requests that are due.
#[test]
fn a_shutdown_notice_shorter_than_a_tick_answers_everything_at_once() {
    let mut host = host_without_dependency();
    host.arrive(0, 0, None, 50, 1);
    host.shutdown_notice(ms(10));
    assert!(host.requests.values().all(|tracked| tracked.is_answered));
}

/// Two of three servers received a shutdown notice and asked for no traffic at once, although they
/// could still run arrivals for seconds. The third server was full, and a third of all requests was
/// rejected. A busy server therefore asks callers to leave only shortly before its grace is over.
#[test]
fn a_busy_server_keeps_its_traffic_early_in_the_drain() {
    let feedback = |busy: f64| {
        let mut host = host_without_dependency();
        let gauges = Gauges {
            busy_fraction: Some(busy),
            runnable: None,
            open_connections: None,
        };
        host.send(vec![Event::TimerFired { gauges }]);
        host.shutdown_notice(ms(4000));
        host.advance(ms(100));
        let early = host.feedback;
        host.advance(ms(800));
        (early, host.feedback)
    };
    assert_eq!(feedback(0.5), (Some(0.0), Some(0.0)));
    assert_eq!(
        feedback(0.8),
        (Some(1.0), Some(0.0)),
        "the grace is nearly over"
    );
}
