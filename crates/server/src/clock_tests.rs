//! Timed waits of many durations, ended by their deadline or by a wake-up.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::Mutex;

use super::{park, sleep};

/// Guards against waits that never end: after waits of more than 1,024 different durations, the
/// timer thread of `may` failed an assertion and ended. Some waits here end at their deadline and
/// some by an earlier wake-up.
#[test]
fn waits_of_many_durations_end() {
    const WAITS_PER_COROUTINE: u64 = 400;
    const COROUTINES: u64 = 64;
    let (ended, waiters) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(Mutex::new(Vec::new())),
    );
    for coroutine in 0..COROUTINES {
        let (ended, waiters) = (ended.clone(), waiters.clone());
        crate::net::spawn(move || {
            for wait in 0..WAITS_PER_COROUTINE {
                sleep(Duration::from_nanos(1000 * coroutine + wait));
                let waiter = Arc::new(Blocker::new(true));
                waiters.lock().push(Arc::downgrade(&waiter));
                park(
                    &waiter,
                    Some(Instant::now() + Duration::from_millis(1 + (wait + coroutine) % 4)),
                );
            }
            ended.fetch_add(1, Ordering::AcqRel);
        });
    }
    let start = Instant::now();
    while ended.load(Ordering::Acquire) < COROUTINES {
        assert!(
            start.elapsed() < Duration::from_secs(60),
            "a wait has not ended within 60 s"
        );
        let registered = std::mem::take(&mut *waiters.lock());
        std::thread::sleep(Duration::from_micros(1900));
        for waiter in registered.iter().step_by(2).filter_map(Weak::upgrade) {
            waiter.unpark();
        }
    }
}
