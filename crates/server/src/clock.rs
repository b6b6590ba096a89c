//! Waits that end by the clock. A thread of its own keeps them and wakes coroutines. may's own timers are not used:
//! once there were waits of over 1024 different spans it frees the lists of some that are still referred to. Then
//! an assertion of its queue fails, its thread is gone, and no wait ever ends.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock, Weak};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;
use may::sync::Blocker;
use parking_lot::{Condvar, Mutex, MutexGuard};

/// Whoever can be woken. One who was woken before does not mind.
pub trait Wake: Send + Sync {
    fn wake(&self);
}

impl Wake for Blocker {
    fn wake(&self) {
        self.unpark();
    }
}

impl Wake for WaitIoWaker {
    fn wake(&self) {
        self.wakeup();
    }
}

/// Who is to be woken, by time and then by order; one who is gone is passed over.
#[derive(Default)]
struct Wakes {
    waiters: BTreeMap<(Instant, u64), Weak<dyn Wake>>,
    /// How many there were so far.
    count: u64,
}

#[derive(Default)]
struct Clock {
    wakes: Mutex<Wakes>,
    sooner: Condvar,
}

static CLOCK: LazyLock<Clock> = LazyLock::new(|| {
    std::thread::spawn(|| CLOCK.run());
    Clock::default()
});

impl Clock {
    fn run(&self) {
        let mut wakes = self.wakes.lock();
        loop {
            match wakes.waiters.first_entry() {
                None => self.sooner.wait(&mut wakes),
                Some(first) if first.key().0 > Instant::now() => {
                    let at = first.key().0;
                    self.sooner.wait_until(&mut wakes, at);
                }
                Some(first) => {
                    let due = first.remove().upgrade();
                    MutexGuard::unlocked(&mut wakes, || {
                        if let Some(waiter) = due {
                            waiter.wake();
                        }
                    });
                }
            }
        }
    }

    fn wake(&self, at: Instant, waiter: Weak<dyn Wake>) {
        let mut wakes = self.wakes.lock();
        wakes.count += 1;
        let place = (at, wakes.count);
        wakes.waiters.insert(place, waiter);
        if wakes.waiters.first_key_value().is_some_and(|(first, _)| *first == place) {
            self.sooner.notify_one();
        }
    }
}

/// Has somebody woken at that time, unless it is gone by then.
pub fn wake_at<W: Wake + 'static>(at: Instant, waiter: &Arc<W>) {
    let waiter: Weak<W> = Arc::downgrade(waiter);
    CLOCK.wake(at, waiter);
}

/// Blocks a coroutine until it is woken, or until that time; at times it wakes without either.
pub fn park(waiter: &Arc<Blocker>, by: Option<Instant>) {
    if let Some(by) = by {
        wake_at(by, waiter);
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
