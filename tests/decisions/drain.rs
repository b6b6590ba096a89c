//! The shutdown notice and what follows it.

use crate::common::ms;
use crate::helpers::host_without_dependency;
use tulipgap::{Event, Gauges};

/// A termination that came sooner than the next tick left requests unanswered. The notice itself
/// answers what is due.
#[test]
fn a_shutdown_notice_shorter_than_a_tick_answers_everything_at_once() {
    let mut host = host_without_dependency();
    host.arrive(0, 0, None, 50, 1);
    host.shutdown_notice(ms(10));
    assert!(host.requests.values().all(|tracked| tracked.answered));
}

/// Two of three servers were told to stop, and asked for no traffic at once although they might run
/// what arrived for seconds. The third was full, and a third of all requests was rejected. A busy
/// server asks callers to leave only shortly before its grace is over.
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
        host.pass(ms(100));
        let early = host.feedback;
        host.pass(ms(800));
        (early, host.feedback)
    };
    assert_eq!(feedback(0.5), (Some(0.0), Some(0.0)));
    assert_eq!(
        feedback(0.8),
        (Some(1.0), Some(0.0)),
        "the grace is nearly over"
    );
}
