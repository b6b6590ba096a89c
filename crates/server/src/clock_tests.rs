//! Waits of many durations, ended by the clock or by a wake-up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;

use super::{park, sleep};

/// The timer thread of `may` failed an assertion after waits of over 1,024 different durations, and
/// no wait ended any more. Waits of many durations, some ended by the clock and some by a wake-up
/// before, must all end here.
#[test]
fn waits_of_many_spans_end() {
    const WAITS_PER_COROUTINE: u64 = 400;
    const COROUTINES: u64 = 64;
    let (ended, waiters) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(Mutex::new(Vec::new())),
    );
    for at in 0..COROUTINES {
        let (ended, waiters) = (ended.clone(), waiters.clone());
        crate::net::spawn(move || {
            for turn in 0..WAITS_PER_COROUTINE {
                sleep(Duration::from_nanos(1000 * at + turn));
                let waiter = Arc::new(Blocker::new(true));
                waiters.lock().push(Arc::downgrade(&waiter));
                park(
                    &waiter,
                    Some(Instant::now() + Duration::from_millis(1 + (turn + at) % 4)),
                );
            }
            ended.fetch_add(1, Ordering::AcqRel);
        });
    }
    let start = Instant::now();
    while ended.load(Ordering::Acquire) < COROUTINES {
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "a wait does not end"
        );
        let some = std::mem::take(&mut *waiters.lock());
        std::thread::sleep(Duration::from_micros(1900));
        for waiter in some.iter().step_by(2).filter_map(Weak::upgrade) {
            waiter.unpark();
        }
    }
}
