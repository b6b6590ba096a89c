//! How late the machine wakes the threads of the test. The checks add this delay to their time
//! limits, so that the limits need no fixed allowance for a busy machine.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long the measuring thread sleeps; it records how much later it wakes.
const SLEEP: Duration = Duration::from_millis(1);

/// The delays of a run, in order of time.
#[derive(Debug, Default)]
pub(crate) struct Delays(Mutex<Vec<Delay>>);

/// A sleep that ended late.
#[derive(Clone, Copy, Debug)]
struct Delay {
    from: Instant,
    to: Instant,
}

impl Delays {
    /// Records delays until `is_over` is set.
    pub(crate) fn measure(&self, is_over: &AtomicBool) {
        while !is_over.load(Ordering::Acquire) {
            let from = Instant::now() + SLEEP;
            std::thread::sleep(SLEEP);
            let to = Instant::now();
            self.0.lock().unwrap().push(Delay { from, to });
        }
    }

    /// Records delays while `run` runs, and returns its result. A panic of `run` is passed on.
    pub(crate) fn measure_while<T>(&self, run: impl FnOnce() -> T) -> T {
        let is_over = AtomicBool::new(false);
        std::thread::scope(|scope| {
            scope.spawn(|| self.measure(&is_over));
            let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
            is_over.store(true, Ordering::Release);
            result.unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        })
    }

    /// The longest delay that overlaps this period.
    pub(crate) fn longest(&self, from: Instant, to: Instant) -> Duration {
        self.overlapping(from, to)
            .into_iter()
            .max()
            .unwrap_or_default()
    }

    /// The sum of all delays that overlap this period.
    pub(crate) fn total(&self, from: Instant, to: Instant) -> Duration {
        self.overlapping(from, to).into_iter().sum()
    }

    fn overlapping(&self, from: Instant, to: Instant) -> Vec<Duration> {
        let delays = self.0.lock().unwrap();
        delays
            .iter()
            .filter(|delay| delay.to >= from && delay.from <= to)
            .map(|delay| delay.to.saturating_duration_since(delay.from))
            .collect()
    }
}
