//! Waits that end by the clock. A thread of its own keeps them and wakes coroutines. may's own timers are not used:
//! once there were waits of over 1024 different spans it frees the lists of some that are still referred to. Then
//! an assertion of its queue fails, its thread is gone, and no wait ever ends.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, LazyLock, Weak};
use std::time::{Duration, Instant};

use may::sync::Blocker;
use parking_lot::{Condvar, Mutex};

/// Who is to be woken, by time and then by order. One who was woken before, or is gone, does not mind.
struct Wake {
    at: Reverse<(Instant, u64)>,
    waiter: Weak<Blocker>,
}

impl PartialEq for Wake {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Wake {}

impl PartialOrd for Wake {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Wake {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

#[derive(Default)]
struct Clock {
    wakes: Mutex<(BinaryHeap<Wake>, u64)>,
    sooner: Condvar,
}

static CLOCK: LazyLock<Arc<Clock>> = LazyLock::new(|| {
    let clock = Arc::new(Clock::default());
    let shared = clock.clone();
    std::thread::spawn(move || shared.run());
    clock
});

impl Clock {
    fn run(&self) {
        let mut wakes = self.wakes.lock();
        loop {
            let first = wakes.0.peek().map(|wake| wake.at.0.0);
            match first {
                None => self.sooner.wait(&mut wakes),
                Some(at) if at > Instant::now() => drop(self.sooner.wait_until(&mut wakes, at)),
                Some(_) => {
                    let due = wakes.0.pop().and_then(|wake| wake.waiter.upgrade());
                    parking_lot::MutexGuard::unlocked(&mut wakes, || {
                        if let Some(waiter) = due {
                            waiter.unpark();
                        }
                    });
                }
            }
        }
    }

    fn wake(&self, at: Instant, waiter: &Arc<Blocker>) {
        let mut wakes = self.wakes.lock();
        wakes.1 += 1;
        let wake = Wake { at: Reverse((at, wakes.1)), waiter: Arc::downgrade(waiter) };
        wakes.0.push(wake);
        if wakes.0.peek().is_some_and(|first| first.at.0.0 == at) {
            self.sooner.notify_one();
        }
    }
}

/// Blocks a coroutine until it is woken, or until that time; at times it wakes without either.
pub fn park(waiter: &Arc<Blocker>, by: Option<Instant>) {
    if let Some(by) = by {
        CLOCK.wake(by, waiter);
    }
    // What is waited for, and the clock, tell why it woke.
    let _ = waiter.park(None);
}

/// Blocks a coroutine for that span.
pub fn sleep(span: Duration) {
    let Some(end) = Instant::now().checked_add(span) else { return };
    let waiter = Arc::new(Blocker::new(true));
    while Instant::now() < end {
        park(&waiter, Some(end));
    }
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::{AtomicU64, Ordering};

    use super::*;

    /// Waits of many different spans, some ended by the clock and some before: each ends, and the clock goes on.
    #[test]
    fn waits_of_many_spans_end() {
        const EACH: u64 = 400;
        const ALL: u64 = 64;
        let (ended, waiters) = (Arc::new(AtomicU64::new(0)), Arc::new(Mutex::new(Vec::new())));
        for at in 0..ALL {
            let (ended, waiters) = (ended.clone(), waiters.clone());
            crate::net::spawn(move || {
                for turn in 0..EACH {
                    sleep(Duration::from_nanos(1000 * at + turn));
                    let waiter = Arc::new(Blocker::new(true));
                    waiters.lock().push(Arc::downgrade(&waiter));
                    park(&waiter, Some(Instant::now() + Duration::from_millis(1 + (turn + at) % 4)));
                }
                ended.fetch_add(1, Ordering::AcqRel);
            });
        }
        let start = Instant::now();
        while ended.load(Ordering::Acquire) < ALL {
            assert!(start.elapsed() < Duration::from_secs(60), "a wait does not end");
            let some = std::mem::take(&mut *waiters.lock());
            std::thread::sleep(Duration::from_micros(1900));
            for waiter in some.iter().step_by(2).filter_map(Weak::upgrade) {
                waiter.unpark();
            }
        }
    }
}
