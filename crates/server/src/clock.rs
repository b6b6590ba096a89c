//! Deadlines of coroutines. A thread keeps them and wakes the coroutines that wait.
//!
//! The timers of the runtime `may` are not used. After waits of over 1,024 different durations it
//! frees lists of waiters that are still in use; then an assertion of its queue fails, its timer
//! thread ends, and no wait ever ends. It shows as a server whose connections all hang.

use std::collections::BTreeMap;
use std::sync::{Arc, LazyLock, Weak};
use std::time::{Duration, Instant};

use may::io::WaitIoWaker;
use may::sync::Blocker;
use parking_lot::{Condvar, Mutex, MutexGuard};

/// A waiter that can be woken, also one that was woken before.
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

/// The waiters by deadline, and by the order of their calls. A waiter that was dropped is skipped.
#[derive(Default)]
struct Deadlines {
    waiters: BTreeMap<(Instant, u64), Weak<dyn Wake>>,
    /// The number of waiters so far, which makes keys unique.
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

    fn wake(&self, at: Instant, waiter: Weak<dyn Wake>) {
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

/// Wakes a waiter at that time, unless it is dropped by then.
pub(crate) fn wake_at<W: Wake + 'static>(at: Instant, waiter: &Arc<W>) {
    let waiter: Weak<W> = Arc::downgrade(waiter);
    CLOCK.wake(at, waiter);
}

/// Blocks a coroutine until it is woken or until the deadline; it may wake up spuriously.
pub(crate) fn park(waiter: &Arc<Blocker>, deadline: Option<Instant>) {
    if let Some(deadline) = deadline {
        wake_at(deadline, waiter);
    }
    // An error says that it was woken early; the caller checks what it waits for.
    let _ = waiter.park(None);
}

/// Blocks a coroutine for a duration.
pub(crate) fn sleep(span: Duration) {
    let Some(end) = Instant::now().checked_add(span) else {
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
