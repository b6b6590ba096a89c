use std::time::{Duration, Instant};

use super::{Arrivals, MAX_REPLIES};

/// A reply that is received at once: its position, and the time of the query in milliseconds.
fn record(arrivals: &mut Arrivals, start: Instant, position: u64, at: u64) {
    let at = start + Duration::from_millis(at);
    arrivals.record_reply(position, at, at);
}

/// Guards against a start that is never sent again: the commands before an answered query counted as
/// arrived, although the executor loses the commands of the last 50 ms before the break of a link.
#[test]
fn a_command_has_arrived_when_its_link_lasts_50_ms_longer_than_the_reply() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    record(&mut arrivals, start, 3, 0);
    record(&mut arrivals, start, 5, 25);
    record(&mut arrivals, start, 5, 49);
    assert_eq!(arrivals.certain(), 0);
    record(&mut arrivals, start, 8, 50);
    assert_eq!(arrivals.certain(), 3);
    record(&mut arrivals, start, 8, 75);
    assert_eq!(
        arrivals.certain(),
        5,
        "the first reply after a command counts"
    );
    arrivals.end_link();
    record(&mut arrivals, start, 0, 200);
    assert_eq!(arrivals.certain(), 5, "lost with the link");
}

/// Guards against a query that was sent before the reply it would confirm, and answered late.
#[test]
fn the_time_at_which_the_query_was_sent_counts() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut arrivals = Arrivals::default();
    arrivals.record_reply(3, after(0), after(40));
    arrivals.record_reply(3, after(60), after(500));
    assert_eq!(arrivals.certain(), 0);
    arrivals.record_reply(3, after(90), after(501));
    assert_eq!(arrivals.certain(), 3);
}

/// Guards against a queue that grows with the queries of deep health checks.
#[test]
fn the_number_of_replies_is_limited() {
    let start = Instant::now();
    let mut arrivals = Arrivals::default();
    for position in 1..=10 * MAX_REPLIES as u64 {
        record(&mut arrivals, start, position, 0);
    }
    assert_eq!(arrivals.replies.len(), MAX_REPLIES);
    record(&mut arrivals, start, 700, 50);
    record(&mut arrivals, start, 700, 100);
    assert_eq!(arrivals.certain(), 700);
}
