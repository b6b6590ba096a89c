//! The usual time of a dependency call, and whether a call was slow.
//!
//! A slow call shows that the dependency is past its knee, long before the mean response time does.
//! The usual time is an exponentially weighted moving average of the times of successful calls. A
//! slow call moves it far less, so that a fault does not become usual while it lasts. No call
//! counts as slow before some calls have succeeded. The cost is that, if calls become slower
//! permanently, each call counts as slow until the usual time has followed.

use crate::event::Outcome;

/// Multiple of the usual time above which a call is slow.
const SLOW_CALL_FACTOR: f64 = 6.0;

/// Number of successful calls before any call counts as slow.
const MIN_OBSERVED_CALLS: f64 = 20.0;

/// Weight of a call in the usual time; the first calls have a larger weight.
const GAIN: f64 = 0.02;

/// Weight of a slow call in the usual time.
const SLOW_CALL_GAIN: f64 = 0.002;

/// The usual time, and the number of successful calls from which it was learnt.
#[derive(Default)]
pub(crate) struct UsualCallTime {
    seconds: f64,
    observed_calls: f64,
}

impl UsualCallTime {
    /// Learns from a call that ended, and returns whether it was slow. A call whose connection
    /// failed does not count as slow, because it shows nothing about the dependency.
    pub(crate) fn observe(&mut self, call_seconds: f64, outcome: Outcome) -> bool {
        let is_slow = self.is_slow(call_seconds) && !outcome.is_connection_failure();
        if outcome == Outcome::Succeeded {
            self.observed_calls += 1.0;
            let gain = if is_slow {
                SLOW_CALL_GAIN
            } else {
                GAIN.max(1.0 / self.observed_calls)
            };
            self.seconds += gain * (call_seconds - self.seconds);
        }
        is_slow
    }

    fn is_slow(&self, call_seconds: f64) -> bool {
        self.observed_calls >= MIN_OBSERVED_CALLS && call_seconds > SLOW_CALL_FACTOR * self.seconds
    }
}
