//! Timed waits of coroutines. A thread keeps the deadlines and wakes each coroutine at its
//! deadline.
//!
//! This module replaces the timers of the runtime `may`. After waits of more than 1,024 different
//! durations, `may` frees lists of waiters that are still in use; an assertion of its queue then
//! fails, its timer thread ends, and no timed wait ends any more. The symptom is a server whose
//! connections all hang.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock, Weak};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;
use may::sync::Blocker;
use parking_lot::{Condvar, Mutex, MutexGuard};

/// A waiter that can be woken. It may be woken more than once.
pub(crate) trait Wake: Send + Sync {
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

/// The waiters, ordered by deadline and then by registration. Dropped waiters are skipped.
#[derive(Default)]
struct Deadlines {
    waiters: BTreeMap<(Instant, u64), Weak<dyn Wake>>,
    /// The number of waiters registered so far, which makes the keys unique.
    count: u64,
}

#[derive(Default)]
struct Clock {
    deadlines: Mutex<Deadlines>,
    has_earlier_deadline: Condvar,
}

static CLOCK: LazyLock<Clock> = LazyLock::new(|| {
    std::thread::spawn(|| CLOCK.run());
    Clock::default()
});

impl Clock {
    fn run(&self) {
        let mut deadlines = self.deadlines.lock();
        loop {
            match deadlines.waiters.first_entry() {
                None => self.has_earlier_deadline.wait(&mut deadlines),
                Some(first) if first.key().0 > Instant::now() => {
                    let at = first.key().0;
                    self.has_earlier_deadline.wait_until(&mut deadlines, at);
                }
                Some(first) => {
                    let due = first.remove().upgrade();
                    MutexGuard::unlocked(&mut deadlines, || {
                        if let Some(waiter) = due {
                            waiter.wake();
                        }
                    });
                }
            }
        }
    }

    fn schedule_wake(&self, at: Instant, waiter: Weak<dyn Wake>) {
        let mut deadlines = self.deadlines.lock();
        deadlines.count += 1;
        let key = (at, deadlines.count);
        deadlines.waiters.insert(key, waiter);
        if deadlines
            .waiters
            .first_key_value()
            .is_some_and(|(first, _)| *first == key)
        {
            self.has_earlier_deadline.notify_one();
        }
    }
}

/// Wakes the waiter at `at`, unless it has been dropped by then.
pub(crate) fn wake_at<W: Wake + 'static>(at: Instant, waiter: &Arc<W>) {
    let waiter: Weak<W> = Arc::downgrade(waiter);
    CLOCK.schedule_wake(at, waiter);
}

/// Blocks the coroutine until it is woken or the deadline passes. Spurious wake-ups are possible.
pub(crate) fn park(waiter: &Arc<Blocker>, deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        wake_at(deadline, waiter);
    }
    // An error reports an early wake-up; the caller checks its condition again.
    let _ = waiter.park(None);
}

/// Blocks the coroutine for that duration. Returns at once if the duration is too long for an
/// [`Instant`].
pub(crate) fn sleep(duration: Duration) {
    let Some(end) = Instant::now().checked_add(duration) else {
        return;
    };
    let waiter = Arc::new(Blocker::new(true));
    while Instant::now() < end {
        park(&waiter, Some(end));
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
