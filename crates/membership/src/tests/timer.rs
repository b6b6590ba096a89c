use super::{TICK, seconds};
use crate::timer::Timer;

/// Guards against timers that multiply. Every timer that expires sets the next one, so when each
/// suspicion and each relayed probe set an additional timer, each started a separate chain that
/// continued indefinitely, and a simulation of 100 members with slow links did not end. Therefore
/// only an earlier timer replaces the one that is set.
#[test]
fn only_an_earlier_timer_replaces_the_one_that_is_set() {
    let mut timer = Timer::default();
    assert!(timer.set(seconds(5)));
    assert!(!timer.set(seconds(5)));
    assert!(!timer.set(seconds(6)));
    assert!(timer.set(seconds(5) - TICK));
}

#[test]
fn event_before_the_time_is_ignored_and_one_at_the_time_clears_the_timer() {
    let mut timer = Timer::default();
    assert!(timer.expire(seconds(1)), "none is set");
    timer.set(seconds(5));
    assert!(!timer.expire(seconds(5) - TICK));
    assert!(timer.expire(seconds(5)));
    assert!(timer.set(seconds(9)), "none is set any more");
}
