//! How long a dependency call usually takes, and whether one was slow.
//!
//! A slow call shows that the dependency is past its knee, long before the mean response time does.
//! The usual time is an exponentially weighted moving average of the calls that succeeded; a slow
//! one moves it far less, because a fault must not become usual while it lasts. It is known only
//! after some calls. The price: where calls get slower for good, each counts as slow until the
//! usual time has followed.

use crate::event::Outcome;

/// Multiple of the usual time above which a call is slow.
const SLOW_CALL_FACTOR: f64 = 6.0;

/// Calls that succeeded before any counts as slow.
const MIN_OBSERVED_CALLS: f64 = 20.0;

/// Fraction by which a call moves the usual time; the first calls move it more.
const GAIN: f64 = 0.02;

/// Fraction by which a slow call moves the usual time.
const SLOW_CALL_GAIN: f64 = 0.002;

/// The usual time, and the number of calls from which it is known.
#[derive(Default)]
pub(crate) struct UsualCallTime {
    seconds: f64,
    observed_calls: f64,
}

impl UsualCallTime {
    /// Learns from a call that ended, and returns whether it was slow. A call whose connection was
    /// lost, or that never left, shows nothing of the dependency.
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
